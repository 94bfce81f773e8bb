package simulation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// What was seen: on days of planned work a message of a service with a rate ran again, up to 2 s after a success that its carrier had read and the
// stores knew.
// How it came about: the carrier that accepted the message hands it to the owner of the service's unit, and asks again where it has no answer or a
// refusal. The unit changes its owner meanwhile; an owner that has the message, by that call or from the stores, ends it and hands the unit on.
// Cause: the next owner takes what it is handed for new, since it remembers no more than the ends of its own life. Proven by these scenarios, which lose answers between
// carriers, or what the keepers tell one of them, in otherwise planned work.
func TestForwardedAfterItsEnd(t *testing.T) {
	for _, file := range []string{"answer-lost-at-a-handover.txt", "owner-changes-unnoticed.txt"} {
		t.Run(file, func(t *testing.T) { playSeeds(t, filepath.Join("testdata", "twice", file)) })
	}
}

// playSeeds plays a scenario with the first seeds, and fails where a rule is broken or too little was served.
func playSeeds(t *testing.T, file string) {
	t.Helper()
	const seeds = 20
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var failures [seeds + 1]string
	eachSeed(1, seeds, func(seed uint64) {
		scenario, err := Parse(string(text))
		if err != nil {
			failures[seed] = err.Error()
			return
		}
		scenario.Seed = seed
		failures[seed] = strings.Join(shortcomings(scenario), "\n")
	})
	for seed, failure := range failures {
		if failure != "" {
			t.Errorf("seed %d: %s", seed, failure)
		}
	}
}
