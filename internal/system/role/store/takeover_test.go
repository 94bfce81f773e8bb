package store

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

var _ = ginkgo.Describe("A store with a unit that is taken over", func() {
	var f *fixture

	ginkgo.BeforeEach(func() {
		f = &fixture{path: ginkgo.GinkgoT().TempDir()}
		f.open(true)
	})

	ginkgo.It("refuses messages for a listed carrier's unit, and lists those being written at that time", func() {
		put := func(id string) *wire.RefusalBody {
			m := newMessage(id)
			m.Unit = carrierUnitPrefix + "a"
			var refusal *wire.RefusalBody
			f.core.Put(m, 0, func(r *wire.RefusalBody) { refusal = r })
			return refusal
		}
		Expect(put("early")).To(BeNil())
		var listed []string
		list := func() {
			f.core.takeOver(carrierUnitPrefix+"a", func() {
				answer, err := f.core.List(wire.ListBody{Unit: carrierUnitPrefix + "a"})
				Expect(err).NotTo(HaveOccurred())
				for _, m := range answer.Messages {
					listed = append(listed, m.Message.ID)
				}
			})
		}
		list()
		Expect(listed).To(BeEmpty(), "the answer waits for the sync")
		Expect(put("late").Code).To(Equal(wire.NotOwner))
		f.flush()
		Expect(listed).To(ConsistOf("early"))
		list()
		Expect(listed).To(HaveLen(2), "the list is answered at once if no message is being written")
		Expect(f.put("of another unit")).To(BeNil())
		for i := range 2 * maxTakenOver {
			f.core.takeOver(fmt.Sprint(carrierUnitPrefix, i), func() {})
		}
		Expect(f.core.takenOver.durable).To(HaveLen(maxTakenOver))
		Expect(f.core.takenOver.order).To(HaveLen(maxTakenOver))
	})
})

// Guards against a message that is accepted but never delivered: its carrier's unit was taken over and the takeover
// had finished, and the stores that had fenced the unit have since restarted or cleaned their logs.
func TestFencedUnitsSurviveARestart(t *testing.T) {
	f := newFixture(t)
	listed := 0
	f.core.takeOver(carrierUnitPrefix+"a", func() { listed++ })
	Expect(listed).To(BeZero(), "the answer waits for the sync of the fence")
	f.flush()
	Expect(listed).To(Equal(1))
	late := newMessage("late")
	late.Unit = carrierUnitPrefix + "a"
	refusal := func() *wire.RefusalBody {
		var refusal *wire.RefusalBody
		f.core.Put(late, 0, func(r *wire.RefusalBody) { refusal = r })
		f.flush()
		return refusal
	}
	f.open(false)
	Expect(refusal()).NotTo(BeNil())
	for i := 0; f.clean() == 0; i++ {
		id := fmt.Sprint("m", i)
		Expect(f.put(id)).To(BeNil())
		f.complete(id, message.Succeeded)
	}
	f.open(false)
	Expect(refusal()).NotTo(BeNil())
}
