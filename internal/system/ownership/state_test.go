package ownership

import (
	"errors"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

func live(incarnations ...string) Fleet { return Fleet{Live: incarnations} }

// release accepts the open offer of a unit.
func release(state *State, unit string) error {
	owner := state.Owners()[unit]
	return state.Apply([]Change{{Kind: Release, Unit: unit, Token: owner.Token, Offer: owner.Offer}})
}

var _ = ginkgo.Describe("The ownership table", func() {
	ginkgo.It("assigns owners evenly, and moves a unit only when its owner is gone, under a higher token", func() {
		state := NewState()
		units := append(KeyUnits(), ServiceUnit("p1"), ServiceUnit("p2"))
		Expect(state.Apply(state.Assign(units, live("a", "b")))).To(Succeed())
		load := map[string]int{}
		for _, owner := range state.Owners() {
			Expect(owner.Token).To(Equal(uint64(1)))
			load[owner.Incarnation]++
		}
		Expect(load).To(Equal(map[string]int{"a": 9, "b": 9}))
		Expect(state.Assign(units, live("a", "b", "c"))).To(BeEmpty())
		moved := state.Assign(units, live("b", "c"))
		Expect(moved).To(HaveLen(9))
		Expect(state.Apply(moved)).To(Succeed())
		for _, change := range moved {
			Expect(state.Owners()[change.Unit]).To(Equal(Owner{Incarnation: "c", Token: 2}))
		}
	})

	ginkgo.It("assigns nothing while no carrier is live", func() {
		Expect(NewState().Assign([]string{"u"}, live())).To(BeEmpty())
	})

	ginkgo.It("balances each group when carriers join, a few units at a time, and then stops", func() {
		state := NewState()
		units := append(KeyUnits(), ServiceUnit("p1"), ServiceUnit("p2"), ServiceUnit("p3"))
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
			if groups[balanceGroup(unit)] == nil {
				groups[balanceGroup(unit)] = map[string]int{}
			}
			groups[balanceGroup(unit)][owner.Incarnation]++
		}
		Expect(groups).To(HaveLen(2))
		for _, incarnation := range fleet.Live {
			Expect(groups[keyPrefix][incarnation]).To(BeNumerically("~", KeyBuckets/3, 1))
			Expect(groups[pacedPrefix][incarnation]).To(Equal(1))
		}
	})

	ginkgo.It("moves all units of a stopping carrier, and gives it none", func() {
		state := NewState()
		units := KeyUnits()
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
		Expect(moving).To(Equal(KeyBuckets / 2))
		fleet.Stopping = map[string]bool{"a": true, "b": true, "c": true}
		Expect(state.Balance(units, fleet, 64)).To(BeEmpty())
		Expect(state.Assign([]string{"new"}, fleet)).To(HaveLen(1))
	})

	ginkgo.It("withdraws an offer when the carrier that it was made to is gone", func() {
		state := NewState()
		units := KeyUnits()
		Expect(state.Apply(state.Assign(units, live("a")))).To(Succeed())
		offers := state.Balance(units, live("a", "b"), 1)
		Expect(state.Apply(offers)).To(Succeed())
		withdrawals := state.Balance(units, live("a"), 1)
		Expect(withdrawals).To(HaveLen(1))
		Expect(state.Apply(withdrawals)).To(Succeed())
		Expect(state.Owners()[offers[0].Unit]).To(Equal(Owner{Incarnation: "a", Token: 1, Offer: 2}))
	})

	ginkgo.It("accepts a release only for the offer that it refers to", func() {
		state := NewState()
		Expect(state.Apply([]Change{{Unit: "u", Incarnation: "a"}})).To(Succeed())
		offer := Change{Kind: Offer, Unit: "u", Incarnation: "b", Token: 1}
		Expect(state.Apply([]Change{offer})).To(Succeed())
		first := Change{Kind: Release, Unit: "u", Token: 1, Offer: 1}
		Expect(state.Apply(state.WithdrawOffers([]string{"u"}))).To(Succeed())
		var stale *StaleOfferError
		Expect(errors.As(state.Apply([]Change{first}), &stale)).To(BeTrue())
		Expect(state.Apply([]Change{{Kind: Offer, Unit: "u", Incarnation: "c", Token: 1, Offer: 2}})).To(Succeed())
		Expect(errors.As(state.Apply([]Change{first}), &stale)).To(BeTrue())
		Expect(state.Owners()["u"]).To(Equal(Owner{Incarnation: "a", Token: 1, OfferedTo: "c", Offer: 3}))
		Expect(release(state, "u")).To(Succeed())
		Expect(state.Owners()["u"]).To(Equal(Owner{Incarnation: "c", Token: 2}))
		// A repeated release of an earlier owner is acknowledged again, and an offer under an earlier token has no effect.
		Expect(state.Apply([]Change{{Kind: Release, Unit: "u", Token: 1, Offer: 3}})).To(Succeed())
		Expect(state.Apply([]Change{{Kind: Offer, Unit: "u", Incarnation: "d", Token: 1, Offer: 3}})).To(Succeed())
		Expect(state.Owners()["u"]).To(Equal(Owner{Incarnation: "c", Token: 2}))
	})

	ginkgo.It("returns the service of a paced unit, and the shard of each unit that can have an owner", func() {
		service, paced := ServiceOfUnit(ServiceUnit("a/b"))
		Expect(service).To(Equal("a/b"))
		Expect(paced).To(BeTrue())
		for _, other := range append(KeyUnits(), CarrierUnit("c"), "key/", "paced/", "") {
			_, paced := ServiceOfUnit(other)
			Expect(paced).To(BeFalse(), other)
		}
		for _, unit := range KeyUnits() {
			Expect(Shard(unit, 2)).To(Equal(keyShard), unit)
		}
		for _, unit := range []string{CarrierUnit("c"), "key/", "key/x", "key/-1", "key/16", "paced/", ""} {
			Expect(Shard(unit, 2)).To(Equal(-1), unit)
		}
		Expect(Shard("key/a service/3", 2)).To(Equal(Shard(ServiceUnit("a service"), 2)), "unit name of an earlier build")
	})

	ginkgo.It("creates a removed unit again only under a higher token", func() {
		state := NewState()
		Expect(state.Apply([]Change{{Unit: "u", Incarnation: "a"}, {Unit: "u", Incarnation: "b"}, {Unit: "v", Incarnation: "a"}})).To(Succeed())
		Expect(state.Apply([]Change{{Kind: Remove, Unit: "u", Token: 1}})).To(Succeed())
		Expect(state.Owners()).To(HaveKey("u"), "it has another owner by now")
		Expect(state.Apply([]Change{{Kind: Remove, Unit: "u", Token: 2}})).To(Succeed())
		Expect(state.Owners()).NotTo(HaveKey("u"))
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := NewState()
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored.Apply([]Change{{Unit: "u", Incarnation: "a"}})).To(Succeed())
		Expect(restored.Owners()["u"].Token).To(Equal(uint64(3)))
	})

	ginkgo.It("reads a snapshot of an earlier build", func() {
		data, err := msgpack.Marshal(map[string]Owner{"key/s/1": {Incarnation: "a", Token: 4}})
		Expect(err).NotTo(HaveOccurred())
		state := NewState()
		Expect(state.Restore(data)).To(Succeed())
		Expect(state.Owners()).To(Equal(map[string]Owner{"key/s/1": {Incarnation: "a", Token: 4}}))
	})

	ginkgo.It("spreads keys over units and services over shards", func() {
		units, shards := map[string]int{}, map[int]int{}
		for i := range 400 {
			units[KeyUnit(fmt.Sprintf("key-%d", i))]++
			shards[Shard(ServiceUnit(fmt.Sprintf("service-%d", i)), 2)]++
		}
		Expect(units).To(HaveLen(KeyBuckets))
		for _, count := range units {
			Expect(count).To(BeNumerically(">", 10))
		}
		Expect(shards[0]).To(BeNumerically("~", 200, 60))
	})

	ginkgo.It("is equal after a snapshot and restore", func() {
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
