package store

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

var _ = ginkgo.Describe("A store whose unit is taken over", func() {
	var b *bench

	ginkgo.BeforeEach(func() {
		b = &bench{path: ginkgo.GinkgoT().TempDir()}
		b.open(true)
	})

	ginkgo.It("takes nothing more for a carrier's unit that was listed, and lists what was being put then", func() {
		put := func(id string) *wire.RefusalBody {
			m := newMessage(id)
			m.Unit = carrierUnits + "a"
			var refusal *wire.RefusalBody
			b.core.Put(m, 0, func(r *wire.RefusalBody) { refusal = r })
			return refusal
		}
		Expect(put("early")).To(BeNil())
		var told []string
		list := func() {
			b.core.takeOver(carrierUnits+"a", func() {
				answer, err := b.core.List(wire.ListBody{Unit: carrierUnits + "a"})
				Expect(err).NotTo(HaveOccurred())
				for _, m := range answer.Messages {
					told = append(told, m.Message.ID)
				}
			})
		}
		list()
		Expect(told).To(BeEmpty(), "the answer waits for the sync")
		Expect(put("late").Code).To(Equal(wire.NotOwner))
		b.flush()
		Expect(told).To(ConsistOf("early"))
		list()
		Expect(told).To(HaveLen(2), "with nothing on its way it is answered at once")
		Expect(b.put("of another unit")).To(BeNil())
		for i := range 2 * maxTakenOver {
			b.core.takeOver(fmt.Sprint(carrierUnits, i), func() {})
		}
		Expect(b.core.takenOver.known).To(HaveLen(maxTakenOver))
		Expect(b.core.takenOver.order).To(HaveLen(maxTakenOver))
	})
})

// Guards against a message that is accepted for nobody: its carrier's unit was taken over and settled, and the stores that had fenced the unit have
// started anew, or cleaned their logs, since.
func TestFencedUnitsSurviveARestart(t *testing.T) {
	b := newListedBench(t)
	listed := 0
	b.core.takeOver(carrierUnits+"a", func() { listed++ })
	Expect(listed).To(BeZero(), "the answer waits for the sync of the fence")
	b.flush()
	Expect(listed).To(Equal(1))
	late := newMessage("late")
	late.Unit = carrierUnits + "a"
	refusal := func() *wire.RefusalBody {
		var refusal *wire.RefusalBody
		b.core.Put(late, 0, func(r *wire.RefusalBody) { refusal = r })
		b.flush()
		return refusal
	}
	b.open(false)
	Expect(refusal()).NotTo(BeNil())
	for i := 0; b.clean() == 0; i++ {
		id := fmt.Sprint("m", i)
		Expect(b.put(id)).To(BeNil())
		b.end(id, message.Succeeded)
	}
	b.open(false)
	Expect(refusal()).NotTo(BeNil())
}
