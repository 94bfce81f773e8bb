package store

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
)

var _ = ginkgo.Describe("A store that is told of ends", func() {
	ginkgo.It("counts messages that two runs brought to a success, and no end that is told again", func() {
		b := &bench{path: ginkgo.GinkgoT().TempDir()}
		b.open(true)
		tell := func(id string, phase message.Phase, stamp string) {
			b.core.Ends([]message.End{{ID: id, Phase: phase, Stamp: stamp}}, func() {})
			b.flush()
		}
		tell("m1", message.Succeeded, "one")
		tell("m1", message.Succeeded, "one")
		tell("m2", message.DeadLetter, "")
		tell("m2", message.Succeeded, "late")
		Expect(b.core.Repeats()).To(Equal(Repeats{}))
		tell("m1", message.Succeeded, "other")
		Expect(b.core.Repeats()).To(Equal(Repeats{Count: 1, Latest: "m1"}))
		Expect(b.find("m1").Stamp).To(Equal("one"))
	})
})
