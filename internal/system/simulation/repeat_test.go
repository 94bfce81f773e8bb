package simulation

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A run", func() {
	It("has the same event hash whenever its scenario is run", func() {
		const first, count = 3000, 50
		var differ []string
		var found sync.Mutex
		eachSeed(first, count, func(seed uint64) {
			scenario := Draw(seed)
			one, err := Run(scenario)
			Expect(err).NotTo(HaveOccurred())
			other, err := Run(scenario)
			Expect(err).NotTo(HaveOccurred())
			if one.History != other.History {
				found.Lock()
				defer found.Unlock()
				differ = append(differ, fmt.Sprint(seed))
			}
		})
		Expect(differ).To(BeEmpty(), "seeds whose runs differ")
	})
})
