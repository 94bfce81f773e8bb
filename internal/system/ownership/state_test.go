package ownership

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("The table of owners", func() {
	ginkgo.It("names owners evenly, and moves a unit only when its owner is gone, under a higher token", func() {
		state := NewState()
		units := append(KeyUnits("alert"), PacedUnit("p1"), PacedUnit("p2"))
		state.Apply(state.Assign(units, []string{"a", "b"}))
		load := map[string]int{}
		for _, owner := range state.Owners() {
			Expect(owner.Token).To(Equal(uint64(1)))
			load[owner.Incarnation]++
		}
		Expect(load).To(Equal(map[string]int{"a": 5, "b": 5}))
		Expect(state.Assign(units, []string{"a", "b", "c"})).To(BeEmpty())
		moved := state.Assign(units, []string{"b", "c"})
		Expect(moved).To(HaveLen(5))
		state.Apply(moved)
		for _, assignment := range moved {
			Expect(state.Owners()[assignment.Unit]).To(Equal(Owner{Incarnation: "c", Token: 2}))
		}
	})

	ginkgo.It("assigns nothing while there is nobody", func() {
		Expect(NewState().Assign([]string{"u"}, nil)).To(BeEmpty())
	})

	ginkgo.It("spreads keys over units and services over shards", func() {
		units, shards := map[string]int{}, map[int]int{}
		for i := range 400 {
			units[KeyUnit("s", fmt.Sprintf("key-%d", i))]++
			shards[Shard(fmt.Sprintf("service-%d", i), 2)]++
		}
		Expect(units).To(HaveLen(BucketsOfOrderedService))
		for _, count := range units {
			Expect(count).To(BeNumerically(">", 20))
		}
		Expect(shards[0]).To(BeNumerically("~", 200, 60))
	})

	ginkgo.It("is the same after a snapshot", func() {
		state := NewState()
		state.Apply([]Assignment{{Unit: "u", Incarnation: "a"}})
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := NewState()
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored).To(Equal(state))
		Expect(restored.Restore([]byte{0xc1})).NotTo(Succeed())
	})
})
