package simulation

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a delayed message that lies after its time has come: the ages that the stores told to who took it
// over lagged by the time for which each of them had been down.
func TestDelayedMessagesAreDueOnTimeAfterManyStoreLosses(t *testing.T) {
	RegisterTestingT(t)
	text, err := os.ReadFile("testdata/delays/delayed-over-many-store-losses.txt")
	Expect(err).NotTo(HaveOccurred())
	scenario, err := Parse(string(text))
	Expect(err).NotTo(HaveOccurred())
	const seeds = 3
	for seed := range uint64(seeds) {
		scenario.Seed = seed + 1
		result, err := Run(scenario)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Broken).To(BeEmpty(), "seed %d", scenario.Seed)
	}
}
