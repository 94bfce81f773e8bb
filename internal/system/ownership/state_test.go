package ownership

import (
	"errors"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func live(incarnations ...string) Fleet { return Fleet{Live: incarnations} }

// release follows the offer that stands.
func release(state *State, unit string) error {
	owner := state.Owners()[unit]
	return state.Apply([]Change{{Kind: Release, Unit: unit, Token: owner.Token, Offer: owner.Offer}})
}

var _ = ginkgo.Describe("The table of owners", func() {
	ginkgo.It("names owners evenly, and moves a unit only when its owner is gone, under a higher token", func() {
		state := NewState()
		units := append(KeyUnits("alert"), PacedUnit("p1"), PacedUnit("p2"))
		Expect(state.Apply(state.Assign(units, live("a", "b")))).To(Succeed())
		load := map[string]int{}
		for _, owner := range state.Owners() {
			Expect(owner.Token).To(Equal(uint64(1)))
			load[owner.Incarnation]++
		}
		Expect(load).To(Equal(map[string]int{"a": 5, "b": 5}))
		Expect(state.Assign(units, live("a", "b", "c"))).To(BeEmpty())
		moved := state.Assign(units, live("b", "c"))
		Expect(moved).To(HaveLen(5))
		Expect(state.Apply(moved)).To(Succeed())
		for _, change := range moved {
			Expect(state.Owners()[change.Unit]).To(Equal(Owner{Incarnation: "c", Token: 2}))
		}
	})

	ginkgo.It("assigns nothing while there is nobody", func() {
		Expect(NewState().Assign([]string{"u"}, live())).To(BeEmpty())
	})

	ginkgo.It("evens out each group when carriers join, a few units at a time, and then rests", func() {
		state := NewState()
		units := append(KeyUnits("alert"), KeyUnits("fix")...)
		units = append(units, PacedUnit("p1"), PacedUnit("p2"), PacedUnit("p3"))
		Expect(state.Apply(state.Assign(units, live("a")))).To(Succeed())
		fleet := live("a", "b", "c")
		for range 20 {
			offers := state.Balance(units, fleet, 4)
			Expect(len(offers)).To(BeNumerically("<=", 4))
			Expect(state.Apply(offers)).To(Succeed())
			for _, offer := range offers {
				Expect(release(state, offer.Unit)).To(Succeed())
			}
		}
		Expect(state.Balance(units, fleet, 4)).To(BeEmpty())
		groups := map[string]map[string]int{}
		for unit, owner := range state.Owners() {
			if groups[groupOf(unit)] == nil {
				groups[groupOf(unit)] = map[string]int{}
			}
			groups[groupOf(unit)][owner.Incarnation]++
		}
		Expect(groups).To(HaveLen(3))
		for _, group := range groups {
			for _, incarnation := range fleet.Live {
				Expect(group[incarnation]).To(BeNumerically("~", len(units)/9, 1))
			}
		}
	})

	ginkgo.It("has all units of a carrier that stops move, and gives it none", func() {
		state := NewState()
		units := KeyUnits("alert")
		Expect(state.Apply(state.Assign(units, live("a", "b")))).To(Succeed())
		fleet := live("a", "b", "c")
		fleet.Stopping = map[string]bool{"b": true}
		offers := state.Balance(units, fleet, 64)
		Expect(state.Apply(offers)).To(Succeed())
		moving := 0
		for _, offer := range offers {
			Expect(offer.Incarnation).NotTo(Equal("b"))
			if state.Owners()[offer.Unit].Incarnation == "b" {
				moving++
			}
		}
		Expect(moving).To(Equal(4))
		fleet.Stopping = map[string]bool{"a": true, "b": true, "c": true}
		Expect(state.Balance(units, fleet, 64)).To(BeEmpty())
		Expect(state.Assign([]string{"new"}, fleet)).To(HaveLen(1))
	})

	ginkgo.It("takes an offer back when the carrier that it was made to has gone", func() {
		state := NewState()
		units := KeyUnits("alert")
		Expect(state.Apply(state.Assign(units, live("a")))).To(Succeed())
		offers := state.Balance(units, live("a", "b"), 1)
		Expect(state.Apply(offers)).To(Succeed())
		back := state.Balance(units, live("a"), 1)
		Expect(back).To(HaveLen(1))
		Expect(state.Apply(back)).To(Succeed())
		Expect(state.Owners()[offers[0].Unit]).To(Equal(Owner{Incarnation: "a", Token: 1, Offer: 2}))
	})

	ginkgo.It("lets a release count for the offer that it follows alone", func() {
		state := NewState()
		Expect(state.Apply([]Change{{Unit: "u", Incarnation: "a"}})).To(Succeed())
		offer := Change{Kind: Offer, Unit: "u", Incarnation: "b", Token: 1}
		Expect(state.Apply([]Change{offer})).To(Succeed())
		first := Change{Kind: Release, Unit: "u", Token: 1, Offer: 1}
		Expect(state.Apply(state.Withdraw([]string{"u"}))).To(Succeed())
		var stale *StaleOfferError
		Expect(errors.As(state.Apply([]Change{first}), &stale)).To(BeTrue())
		Expect(state.Apply([]Change{{Kind: Offer, Unit: "u", Incarnation: "c", Token: 1, Offer: 2}})).To(Succeed())
		Expect(errors.As(state.Apply([]Change{first}), &stale)).To(BeTrue())
		Expect(state.Owners()["u"]).To(Equal(Owner{Incarnation: "a", Token: 1, Next: "c", Offer: 3}))
		Expect(release(state, "u")).To(Succeed())
		Expect(state.Owners()["u"]).To(Equal(Owner{Incarnation: "c", Token: 2}))
		// One that was taken before is acknowledged again, and an offer under a former token is void.
		Expect(state.Apply([]Change{{Kind: Release, Unit: "u", Token: 1, Offer: 3}})).To(Succeed())
		Expect(state.Apply([]Change{{Kind: Offer, Unit: "u", Incarnation: "d", Token: 1, Offer: 3}})).To(Succeed())
		Expect(state.Owners()["u"]).To(Equal(Owner{Incarnation: "c", Token: 2}))
	})

	ginkgo.It("tells the service of a unit", func() {
		Expect(ServiceOf(KeyUnit("a/b", "k"))).To(Equal("a/b"))
		Expect(ServiceOf(PacedUnit("p"))).To(Equal("p"))
		Expect(ServiceOf(CarrierUnit("c"))).To(BeEmpty())
		Expect(ServiceOf("key/")).To(BeEmpty())
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
		Expect(state.Apply([]Change{{Unit: "u", Incarnation: "a"}})).To(Succeed())
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := NewState()
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored).To(Equal(state))
		Expect(restored.Restore([]byte{0xc1})).NotTo(Succeed())
	})
})
