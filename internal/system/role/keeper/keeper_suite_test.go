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

const alone = "10.0.0.1:7000"

// lone is a keeper that is its groups' only member, on simulated time and a disk that syncs at once.
type lone struct {
	core *Core
	now  time.Duration
}

func newLone() *lone {
	var stored [Groups]agreement.Stored
	options := Options{Address: alone, Tolerance: &tolerance.Tolerance{}, Random: func(int64) int64 { return 0 }, FeedEpoch: "e"}
	for id := range Groups {
		options.IDs[id] = alone
		stored[id].Snapshot.Members.Voters = []string{alone}
	}
	core, err := New(options, stored, 0)
	Expect(err).NotTo(HaveOccurred())
	l := &lone{core: core}
	l.pass(time.Second)
	return l
}

func (l *lone) settle() {
	for busy := true; busy; {
		busy = false
		for id := range Groups {
			ready := l.core.Ready(id)
			if ready.Empty() {
				continue
			}
			busy = true
			Expect(l.core.Persisted(l.now, id, &ready)).To(Succeed())
		}
	}
}

// pass lets time pass, with a heartbeat of each member now and then.
func (l *lone) pass(span time.Duration, members ...string) {
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

// heartbeat sends a heartbeat on a member's connection, and gives the refusal.
func (l *lone) heartbeat(from Subscriber, body wire.HeartbeatBody) (refusal error) {
	l.core.Heartbeat(l.now, from, body, func(_ time.Duration, err error) { refusal = err })
	l.settle()
	return refusal
}

func (l *lone) join(incarnation string, stopping bool) {
	member := session.Member{Incarnation: incarnation, Node: incarnation, Role: session.Carrier, Stopping: stopping}
	var failure error
	l.core.OpenSession(l.now, 1, wire.OpenSessionBody{Member: member, Renew: stopping}, func(err error) { failure = err })
	l.settle()
	Expect(failure).NotTo(HaveOccurred())
}

func (l *lone) configure() {
	raw := []byte(`{"resource-version":1,"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"async","timeout-ms":500,` +
		`"target-latency-ms":100,"priority":1,"backend":"s","retries":3,"ordered":true,"retention-s":60,"target-start-ms":900}],` +
		`"services":[{"name":"s","max-connections":9,"rate-per-s":0,"static":null}],"limits":{}}`)
	var failure error
	l.core.Replace(l.now, configuration.Order{Raw: raw}, func(err error) { failure = err })
	l.settle()
	Expect(failure).NotTo(HaveOccurred())
}

// owners counts the service's units by owner, and by the carrier that they are offered to.
func (l *lone) owners() (owned, offered map[string]int) {
	owned, offered = map[string]int{}, map[string]int{}
	for _, unit := range ownership.KeyUnits() {
		owner := l.core.Owner(unit)
		owned[owner.Incarnation]++
		if owner.Next != "" {
			offered[owner.Next]++
		}
	}
	return owned, offered
}

func (l *lone) release(unit string) error {
	owner := l.core.Owner(unit)
	var failure error
	l.core.ReleaseUnit(l.now, unit, owner.Token, owner.Offer, func(err error) { failure = err })
	l.settle()
	return failure
}

// releaseAll has owners follow what they are offered, until nothing is.
func (l *lone) releaseAll(members ...string) {
	for range 20 {
		for _, unit := range ownership.KeyUnits() {
			if l.core.Owner(unit).Next != "" {
				Expect(l.release(unit)).To(Succeed())
			}
		}
		l.pass(200*time.Millisecond, members...)
	}
}

var _ = Describe("A keeper that leads a shard", func() {
	It("offers units to a carrier that joins, once the fleet is quiet, until all own alike", func() {
		l := newLone()
		l.configure()
		l.join("a", false)
		l.pass(time.Second, "a")
		l.join("b", false)
		l.pass(quietBeforeMoves/2, "a", "b")
		_, offered := l.owners()
		Expect(offered).To(BeEmpty())
		l.pass(quietBeforeMoves, "a", "b")
		_, offered = l.owners()
		Expect(offered).To(Equal(map[string]int{"b": offersAtOnce}))
		l.releaseAll("a", "b")
		owned, offered := l.owners()
		Expect(owned).To(Equal(map[string]int{"a": ownership.KeyBuckets / 2, "b": ownership.KeyBuckets / 2}))
		Expect(offered).To(BeEmpty())
	})

	It("moves all units of a carrier that stops, at once", func() {
		l := newLone()
		l.configure()
		l.join("a", false)
		l.join("b", false)
		l.pass(quietBeforeMoves+200*time.Millisecond, "a", "b")
		l.releaseAll("a", "b")
		l.join("a", true)
		l.pass(150*time.Millisecond, "a", "b")
		_, offered := l.owners()
		Expect(offered).To(Equal(map[string]int{"b": ownership.KeyBuckets / 2}))
		l.releaseAll("a", "b")
		owned, _ := l.owners()
		Expect(owned).To(Equal(map[string]int{"b": ownership.KeyBuckets}))
	})

	It("takes an offer back that is not followed, and refuses a release that comes after", func() {
		l := newLone()
		l.configure()
		l.join("a", false)
		l.join("b", false)
		l.pass(quietBeforeMoves+200*time.Millisecond, "a", "b")
		owned, offered := l.owners()
		Expect(offered).NotTo(BeEmpty())
		var late ownership.Owner
		unit := ""
		for _, name := range ownership.KeyUnits() {
			if owner := l.core.Owner(name); owner.Next != "" {
				unit, late = name, owner
			}
		}
		l.pass(offerStands+500*time.Millisecond, "a", "b")
		_, offered = l.owners()
		Expect(offered).To(BeEmpty())
		var failure error
		l.core.ReleaseUnit(l.now, unit, late.Token, late.Offer, func(err error) { failure = err })
		l.settle()
		Expect(failure).To(BeAssignableToTypeOf(&ownership.StaleOfferError{}))
		still, _ := l.owners()
		Expect(still).To(Equal(owned))
		l.pass(pauseAfterOffer, "a", "b")
		_, offered = l.owners()
		Expect(offered).NotTo(BeEmpty())
	})

	It("gives the units of a carrier whose session ended to another, whatever was offered", func() {
		l := newLone()
		l.configure()
		l.join("a", false)
		l.join("b", false)
		l.pass(quietBeforeMoves+200*time.Millisecond, "a", "b")
		l.pass(SessionLife+time.Second, "b")
		owned, offered := l.owners()
		Expect(owned).To(Equal(map[string]int{"b": ownership.KeyBuckets}))
		Expect(offered).To(BeEmpty())
		Expect(l.core.Status(l.now).Departed).To(HaveLen(1))
	})

	It("goes on giving the feed to its members after it was let go by another group", func() {
		l := newLone()
		l.join("a", false)
		l.core.Pushes()
		l.core.ResetGroup(l.now, ConfigurationGroup, FreshIdentity(alone, "x"))
		Expect(l.core.Pushes()).To(HaveLen(1), "the whole table, since a part of it is gone")
		l.join("b", false)
		Expect(l.core.Pushes()).To(HaveLen(1))
	})

	It("gives the feed again to a member that it had forgotten, at its next heartbeat", func() {
		l := newLone()
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

	It("sends again what a member lacks, however often the table changes meanwhile", func() {
		l := newLone()
		l.join("a", false)
		l.core.Pushes()
		position := feed.Position{Epoch: "e", Offset: l.core.feed.Offset()}
		for change := range reportsBehind {
			Expect(l.heartbeat(1, wire.HeartbeatBody{Incarnation: "a", Position: position})).To(Succeed())
			l.core.feed.Set(PrefixOwner+"paced/s", wire.Encode(&ownership.Owner{Token: uint64(change)}))
			l.core.Pushes() // is lost
		}
		Expect(l.heartbeat(1, wire.HeartbeatBody{Incarnation: "a", Position: position})).To(Succeed())
		l.core.feed.Set(PrefixOwner+"paced/s", wire.Encode(&ownership.Owner{Token: 100}))
		pushes := l.core.Pushes()
		Expect(pushes).To(HaveLen(1))
		update, err := wire.DecodeUpdate(pushes[0].Payload)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.AppliesAt(position)).To(BeTrue(), "it begins at %v", update.Base)
	})

	It("knows no unit of another name", func() {
		l := newLone()
		var failure error
		l.core.ReleaseUnit(l.now, "carrier/a", 1, 1, func(err error) { failure = err })
		Expect(failure).To(HaveOccurred())
		Expect(l.core.Owner("nothing")).To(Equal(ownership.Owner{}))
	})
})
