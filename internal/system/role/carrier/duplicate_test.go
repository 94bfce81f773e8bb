package carrier

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/link"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// Guards against a message that runs again at the next owner of its unit after it succeeded under a former owner.
// The simulation's test of messages that are forwarded after they completed has the scenarios and the cause.
var _ = ginkgo.Describe("An owner that is passed a message", func() {
	var r *fixture

	ginkgo.BeforeEach(func() { r = newFixture() })

	for _, unit := range []string{pacedUnit, keyUnit} {
		ginkgo.It("does not run it if it completed under a former owner: "+unit, func() {
			r.store("disk-2").outcomes["m1"] = succeeded
			refusal := r.core.TakeMessage(deliverBody("m1", unit, ownedToken-1))
			Expect(refusal).NotTo(BeNil(), "the outcome is not known yet")
			Expect(refusal.Code).To(Equal(wire.NotReady))
			r.Advance(50 * time.Millisecond)
			Expect(r.core.TakeMessage(deliverBody("m1", unit, ownedToken-1))).To(BeNil(), "the message has completed")
			r.Advance(3 * time.Second)
			Expect(r.sent).To(BeEmpty())
			Expect(r.core.Counters().CompletedBefore).To(BeEquivalentTo(1))
			Expect(r.logged).To(ContainElement(ContainSubstring("had completed under a former owner")))
		})

		ginkgo.It("runs it once the stores that hold it report no outcome: "+unit, func() {
			Expect(r.core.TakeMessage(deliverBody("m1", unit, ownedToken-1))).NotTo(BeNil())
			Expect(r.sent).To(BeEmpty())
			r.Advance(50 * time.Millisecond)
			Expect(r.core.TakeMessage(deliverBody("m1", unit, ownedToken-1))).To(BeNil())
			r.Advance(time.Second)
			Expect(r.sent).To(Equal([]string{"m1"}))
		})

		ginkgo.It("queries no store if it was accepted under this owner: "+unit, func() {
			Expect(r.core.TakeMessage(deliverBody("m1", unit, ownedToken))).To(BeNil())
			Expect(r.core.TakeMessage(deliverBody("m1", unit, ownedToken))).To(BeNil())
			r.Advance(time.Second)
			Expect(r.sent).To(Equal([]string{"m1"}))
			Expect(r.store("disk-1").outcomeQueries).To(BeZero())
		})

		ginkgo.It("refuses it if it was accepted under a later owner: "+unit, func() {
			refusal := r.core.TakeMessage(deliverBody("m1", unit, ownedToken+1))
			Expect(refusal).NotTo(BeNil())
			Expect(refusal.Code).To(Equal(wire.NotOwner))
			r.Advance(time.Second)
			Expect(r.sent).To(BeEmpty())
		})
	}

	ginkgo.It("waits for an unresponsive store, but only for as long as for one that may be lost", func() {
		r.store("disk-1").unresponsive = true
		r.core.TakeMessage(deliverBody("m1", pacedUnit, ownedToken-1))
		r.Advance(listAllPeriod - 100*time.Millisecond)
		Expect(r.sent).To(BeEmpty())
		r.Advance(300 * time.Millisecond)
		Expect(r.sent).To(Equal([]string{"m1"}))
	})

	ginkgo.It("does not run it while no store that holds it answers", func() {
		r.store("disk-1").unresponsive, r.store("disk-2").unresponsive = true, true
		r.core.TakeMessage(deliverBody("m1", pacedUnit, ownedToken-1))
		r.Advance(5 * time.Second)
		Expect(r.sent).To(BeEmpty())
		r.store("disk-1").unresponsive, r.store("disk-2").unresponsive = false, false
		r.Advance(2 * time.Second)
		Expect(r.sent).To(Equal([]string{"m1"}))
	})

	ginkgo.It("queries all counting stores, and queries an unreachable one later", func() {
		r.store("disk-3").outcomes["m1"] = succeeded
		r.Reachable["10.0.0.2:703"] = false
		r.core.TakeMessage(deliverBody("m1", pacedUnit, ownedToken-1))
		r.Advance(200 * time.Millisecond)
		Expect(r.sent).To(BeEmpty())
		r.Reachable["10.0.0.2:703"] = true
		r.Advance(3 * time.Second)
		Expect(r.sent).To(BeEmpty())
		Expect(r.core.Counters().CompletedBefore).To(BeEquivalentTo(1))
	})

	ginkgo.It("queries the stores if the message may be older than the outcomes that it remembers", func() {
		for id := range maxRecentOutcomes + 1 {
			r.core.recent.add(r.Now(), message.Outcome{ID: string(rune(id)) + "x", Phase: message.Succeeded})
		}
		r.store("disk-1").outcomes["m1"] = succeeded
		Expect(r.core.TakeMessage(deliverBody("m1", pacedUnit, ownedToken))).NotTo(BeNil())
		r.Advance(time.Second)
		Expect(r.sent).To(BeEmpty())
	})

	ginkgo.It("leaves it to the next owner if the unit moves meanwhile", func() {
		r.store("disk-1").unresponsive = true
		r.core.TakeMessage(deliverBody("m1", pacedUnit, ownedToken-1))
		waiting := r.core.waitingBytes
		Expect(waiting).To(BeNumerically(">", 0))
		r.table.Set(keeper.PrefixOwner+pacedUnit, wire.Encode(&ownership.Owner{Incarnation: "edge-2+x", Token: ownedToken + 1}))
		r.push()
		r.Advance(3 * time.Second)
		Expect(r.sent).To(BeEmpty())
		Expect(r.core.waitingBytes).To(BeZero())
	})

	ginkgo.It("limits the number of concurrent outcome queries", func() {
		for _, store := range r.stores {
			store.unresponsive = true
		}
		for id := range maxOutcomeQueries + 10 {
			Expect(r.core.TakeMessage(deliverBody(string(rune(id))+"y", pacedUnit, ownedToken-1))).NotTo(BeNil())
		}
		Expect(r.core.units[pacedUnit].outcomeQueries).To(HaveLen(maxOutcomeQueries))
	})
})

var _ = ginkgo.Describe("A recovery", func() {
	listed := func(id string) wire.ListedMessage {
		return wire.ListedMessage{Message: deliverBody(id, pacedUnit, 1).Message, Phase: message.Pending}
	}

	ginkgo.It("ignores a listing that arrives while outcomes are queried", func() {
		r := newFixture()
		for _, store := range r.stores {
			store.outcomes["m1"] = succeeded
		}
		r.store("disk-2").listed = []wire.ListedMessage{listed("m2")}
		late := r.store("disk-3")
		late.listed = []wire.ListedMessage{listed("m1")}
		late.unresponsive = true
		r.own(ownedToken + 1)
		u := r.core.units[pacedUnit]
		for tries := 0; u.recovery.outcomeRound == nil && tries < 3000; tries++ {
			r.Advance(time.Millisecond) // until the lists of the other two are enough
		}
		Expect(u.recovery.finished).To(BeFalse(), "their outcomes are being queried")
		*u.recovery.listed["disk-3"] = listing{messages: late.listed, complete: true, done: true, epoch: 1}
		r.Advance(time.Second)
		Expect(u.recovery.finished).To(BeTrue())
		Expect(r.sent).To(Equal([]string{"m2"}))
	})

	ginkgo.It("treats counting disks that did not answer as holders of what it found", func() {
		r := newFixture()
		r.store("disk-1").listed = []wire.ListedMessage{listed("m1")}
		r.Reachable["10.0.0.2:702"] = false
		r.own(ownedToken + 1)
		r.Advance(2 * time.Second)
		Expect(r.sent).To(Equal([]string{"m1"}))
		Expect(r.core.units[pacedUnit].items["m1"].holders).To(Equal([]string{"disk-1", "disk-2"}))
	})
})

var _ = ginkgo.Describe("A carrier that accepts a message for an owner", func() {
	ginkgo.It("puts the known token on the message before any store gets it", func() {
		r := newFixture()
		var stored wire.PutBody
		var answered Answer
		r.core.Submit(&Submission{Message: message.Message{ID: "m1", Host: "h", Method: "POST", Target: "/x"}, Path: "/x"}, func(a Answer) { answered = a })
		Expect(wire.Decode(wire.PutMessage, r.LastCall(wire.PutMessage).Payload, &stored)).To(Succeed())
		Expect(stored.Message.Unit).To(Equal(pacedUnit))
		Expect(stored.Message.Token).To(BeEquivalentTo(ownedToken))
		r.Advance(time.Second)
		Expect(answered.Verdict).To(Equal(Accepted))
		Expect(r.sent).To(Equal([]string{"m1"}))
	})

	ginkgo.It("forwards until it has an answer, and not again", func() {
		r := newFixture()
		const other = "10.0.1.2:7001"
		r.Reachable[other] = true
		refusals := 3
		r.Answer = func(address string, kind wire.Kind, payload []byte) ([]byte, error) {
			if address != other {
				return r.answer(address, kind, payload)
			}
			if refusals--; refusals >= 0 {
				return nil, &link.RefusedError{Body: wire.RefusalBody{Code: wire.NotReady}}
			}
			return wire.Encode(&wire.DeliverAnswer{}), nil
		}
		r.table.Set(keeper.PrefixMember+"edge-2+x", wire.Encode(&session.Member{Incarnation: "edge-2+x", Role: session.Carrier, Address: other}))
		r.table.Set(keeper.PrefixOwner+pacedUnit, wire.Encode(&ownership.Owner{Incarnation: "edge-2+x", Token: ownedToken + 1}))
		r.push()
		r.core.Submit(&Submission{Message: message.Message{ID: "m1", Host: "h", Method: "POST", Target: "/x"}, Path: "/x"}, func(Answer) {})
		r.Advance(2 * time.Second)
		Expect(refusals).To(Equal(-1))
		Expect(r.core.waitingBytes).To(BeZero())
	})
})
