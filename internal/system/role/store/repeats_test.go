package store

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
)

var _ = ginkgo.Describe("A store that receives outcomes", func() {
	ginkgo.It("counts messages that succeeded in two runs, but not repeated reports of one outcome", func() {
		f := &fixture{path: ginkgo.GinkgoT().TempDir()}
		f.open(true)
		report := func(id string, phase message.Phase, stamp string) {
			f.core.PutOutcomes([]message.Outcome{{ID: id, Phase: phase, Stamp: stamp}}, func() {})
			f.flush()
		}
		report("m1", message.Succeeded, "one")
		report("m1", message.Succeeded, "one")
		report("m2", message.DeadLetter, "")
		report("m2", message.Succeeded, "late")
		Expect(f.core.Repeats()).To(Equal(Repeats{}))
		report("m1", message.Succeeded, "other")
		Expect(f.core.Repeats()).To(Equal(Repeats{Count: 1, Latest: "m1"}))
		Expect(f.find("m1").Stamp).To(Equal("one"))
	})
})
