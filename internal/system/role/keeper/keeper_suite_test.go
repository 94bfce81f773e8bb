package keeper

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/configuration"
	"granitewing/internal/system/feed"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/session"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

func TestKeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Keeper")
}

const singleAddress = "10.0.0.1:7000"

// singleKeeper is a keeper that is the only member of its groups, on simulated time and with a disk that syncs at
// once.
type singleKeeper struct {
	core *Core
	now  time.Duration
}

func newSingleKeeper() *singleKeeper {
	var stored [Groups]agreement.PersistentState
	options := Options{Address: singleAddress, Tolerance: &tolerance.Tolerance{}, Random: func(int64) int64 { return 0 }, FeedEpoch: "e"}
	for id := range Groups {
		options.IDs[id] = singleAddress
		stored[id].Snapshot.Members.Voters = []string{singleAddress}
	}
	core, err := New(options, stored, 0)
	Expect(err).NotTo(HaveOccurred())
	l := &singleKeeper{core: core}
	l.advance(time.Second)
	return l
}

// settle persists and applies until nothing is pending.
func (l *singleKeeper) settle() {
	for pending := true; pending; {
		pending = false
		for id := range Groups {
			ready := l.core.Ready(id)
			if ready.Empty() {
				continue
			}
			pending = true
			Expect(l.core.Persisted(l.now, id, &ready)).To(Succeed())
		}
	}
}

// advance lets time pass in steps of 50 ms, with a heartbeat of each of the given members in every step.
func (l *singleKeeper) advance(span time.Duration, members ...string) {
	const step = 50 * time.Millisecond
	for end := l.now + span; l.now < end; {
		l.now += step
		l.core.Tick(l.now)
		for _, incarnation := range members {
			Expect(l.heartbeat(1, wire.HeartbeatBody{Incarnation: incarnation})).To(Succeed())
		}
		l.settle()
	}
}

// heartbeat sends a heartbeat on a member's connection and returns the refusal, if any.
func (l *singleKeeper) heartbeat(from Subscriber, body wire.HeartbeatBody) (refusal error) {
	l.core.Heartbeat(l.now, from, body, func(_ time.Duration, err error) { refusal = err })
	l.settle()
	return refusal
}

// join opens a carrier's session, or renews it for a carrier that is stopping.
func (l *singleKeeper) join(incarnation string, stopping bool) {
	member := session.Member{Incarnation: incarnation, Node: incarnation, Role: session.Carrier, Stopping: stopping}
	var failure error
	l.core.OpenSession(l.now, 1, wire.OpenSessionBody{Member: member, Renew: stopping}, func(err error) { failure = err })
	l.settle()
	Expect(failure).NotTo(HaveOccurred())
}

// configure installs a configuration with one service of ordered messages.
func (l *singleKeeper) configure() {
	raw := []byte(`{"resource-version":1,"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"async","timeout-ms":500,` +
		`"target-latency-ms":100,"priority":1,"backend":"s","retries":3,"ordered":true,"retention-s":60,"target-start-ms":900}],` +
		`"services":[{"name":"s","max-connections":9,"rate-per-s":0,"static":null}],"limits":{}}`)
	var failure error
	l.core.ReplaceConfiguration(l.now, configuration.Order{Raw: raw}, func(err error) { failure = err })
	l.settle()
	Expect(failure).NotTo(HaveOccurred())
}

// owners counts the key units by owner, and by the carrier that they are offered to.
func (l *singleKeeper) owners() (owned, offered map[string]int) {
	owned, offered = map[string]int{}, map[string]int{}
	for _, unit := range ownership.KeyUnits() {
		owner := l.core.Owner(unit)
		owned[owner.Incarnation]++
		if owner.OfferedTo != "" {
			offered[owner.OfferedTo]++
		}
	}
	return owned, offered
}

// release releases an offered unit on behalf of its owner.
func (l *singleKeeper) release(unit string) error {
	owner := l.core.Owner(unit)
	var failure error
	l.core.ReleaseUnit(l.now, unit, owner.Token, owner.Offer, func(err error) { failure = err })
	l.settle()
	return failure
}

// releaseAll has the owners release all units that are offered, for 20 rounds of 200 ms.
func (l *singleKeeper) releaseAll(members ...string) {
	for range 20 {
		for _, unit := range ownership.KeyUnits() {
			if l.core.Owner(unit).OfferedTo != "" {
				Expect(l.release(unit)).To(Succeed())
			}
		}
		l.advance(200*time.Millisecond, members...)
	}
}

var _ = Describe("A keeper that leads a shard", func() {
	It("offers units to a carrier that joins, once the set of carriers is stable, until all own the same number", func() {
		l := newSingleKeeper()
		l.configure()
		l.join("a", false)
		l.advance(time.Second, "a")
		l.join("b", false)
		l.advance(quietBeforeOffers/2, "a", "b")
		_, offered := l.owners()
		Expect(offered).To(BeEmpty())
		l.advance(quietBeforeOffers, "a", "b")
		_, offered = l.owners()
		Expect(offered).To(Equal(map[string]int{"b": maxOffers}))
		l.releaseAll("a", "b")
		owned, offered := l.owners()
		Expect(owned).To(Equal(map[string]int{"a": ownership.KeyBuckets / 2, "b": ownership.KeyBuckets / 2}))
		Expect(offered).To(BeEmpty())
	})

	It("moves all units of a stopping carrier at once", func() {
		l := newSingleKeeper()
		l.configure()
		l.join("a", false)
		l.join("b", false)
		l.advance(quietBeforeOffers+200*time.Millisecond, "a", "b")
		l.releaseAll("a", "b")
		l.join("a", true)
		l.advance(150*time.Millisecond, "a", "b")
		_, offered := l.owners()
		Expect(offered).To(Equal(map[string]int{"b": ownership.KeyBuckets / 2}))
		l.releaseAll("a", "b")
		owned, _ := l.owners()
		Expect(owned).To(Equal(map[string]int{"b": ownership.KeyBuckets}))
	})

	It("withdraws an offer that is not taken up, and refuses a release after that", func() {
		l := newSingleKeeper()
		l.configure()
		l.join("a", false)
		l.join("b", false)
		l.advance(quietBeforeOffers+200*time.Millisecond, "a", "b")
		owned, offered := l.owners()
		Expect(offered).NotTo(BeEmpty())
		var withdrawn ownership.Owner
		unit := ""
		for _, name := range ownership.KeyUnits() {
			if owner := l.core.Owner(name); owner.OfferedTo != "" {
				unit, withdrawn = name, owner
			}
		}
		l.advance(offerTimeout+500*time.Millisecond, "a", "b")
		_, offered = l.owners()
		Expect(offered).To(BeEmpty())
		var failure error
		l.core.ReleaseUnit(l.now, unit, withdrawn.Token, withdrawn.Offer, func(err error) { failure = err })
		l.settle()
		Expect(failure).To(BeAssignableToTypeOf(&ownership.StaleOfferError{}))
		after, _ := l.owners()
		Expect(after).To(Equal(owned))
		l.advance(pauseAfterWithdrawal, "a", "b")
		_, offered = l.owners()
		Expect(offered).NotTo(BeEmpty())
	})

	It("assigns the units of a carrier whose session ended to another, even if they were offered", func() {
		l := newSingleKeeper()
		l.configure()
		l.join("a", false)
		l.join("b", false)
		l.advance(quietBeforeOffers+200*time.Millisecond, "a", "b")
		l.advance(SessionTimeout+time.Second, "b")
		owned, offered := l.owners()
		Expect(owned).To(Equal(map[string]int{"b": ownership.KeyBuckets}))
		Expect(offered).To(BeEmpty())
		Expect(l.core.Status(l.now).Departed).To(HaveLen(1))
	})

	It("still sends the feed to its members after another group has removed it", func() {
		l := newSingleKeeper()
		l.join("a", false)
		l.core.Pushes()
		l.core.ResetGroup(l.now, ConfigurationGroup, FreshIdentity(singleAddress, "x"))
		Expect(l.core.Pushes()).To(HaveLen(1), "the whole table, since a part of it was lost")
		l.join("b", false)
		Expect(l.core.Pushes()).To(HaveLen(1))
	})

	It("subscribes a member again at its next heartbeat, if the subscription was lost", func() {
		l := newSingleKeeper()
		l.join("a", false)
		position := feed.Position{Epoch: "e", Offset: l.core.feed.Offset()}
		l.core.Pushes()
		l.core.Unsubscribe(1)
		Expect(l.heartbeat(2, wire.HeartbeatBody{Incarnation: "a", Position: position})).To(Succeed())
		Expect(l.core.Pushes()).To(BeEmpty())
		l.join("b", false)
		pushes := l.core.Pushes()
		Expect(pushes).To(HaveLen(2))
	})

	It("resends what a member lacks, however often the table changes meanwhile", func() {
		l := newSingleKeeper()
		l.join("a", false)
		l.core.Pushes()
		position := feed.Position{Epoch: "e", Offset: l.core.feed.Offset()}
		for change := range maxStaleReports {
			Expect(l.heartbeat(1, wire.HeartbeatBody{Incarnation: "a", Position: position})).To(Succeed())
			l.core.feed.Set(PrefixOwner+"paced/s", wire.Encode(&ownership.Owner{Token: uint64(change)}))
			l.core.Pushes() // this update is lost
		}
		Expect(l.heartbeat(1, wire.HeartbeatBody{Incarnation: "a", Position: position})).To(Succeed())
		l.core.feed.Set(PrefixOwner+"paced/s", wire.Encode(&ownership.Owner{Token: 100}))
		pushes := l.core.Pushes()
		Expect(pushes).To(HaveLen(1))
		update, err := wire.DecodeUpdate(pushes[0].Payload)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.AppliesAt(position)).To(BeTrue(), "it begins at %v", update.Base)
	})

	It("knows no unit of an invalid name", func() {
		l := newSingleKeeper()
		var failure error
		l.core.ReleaseUnit(l.now, "carrier/a", 1, 1, func(err error) { failure = err })
		Expect(failure).To(HaveOccurred())
		Expect(l.core.Owner("nothing")).To(Equal(ownership.Owner{}))
	})
})
