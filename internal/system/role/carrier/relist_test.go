package carrier

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/feed"
	"granitewing/internal/system/message"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// relistLimit is how long a message that nobody passes on may wait for the owner of its unit to find it.
const relistLimit = 10 * time.Second

// departed adds a carrier that has left and whose messages another carrier has adopted.
func (r *fixture) departed(incarnation string) {
	gone := session.Departed{Incarnation: incarnation, Adopter: "edge-8+other"}
	r.table.Set(keeper.PrefixDeparted+incarnation, wire.Encode(&gone))
	r.push()
}

// storeForPacedUnit puts a message for the paced unit on two stores, as an acceptor does that then does not pass it on.
func (r *fixture) storeForPacedUnit(id string) {
	listed := wire.ListedMessage{Message: deliverBody(id, pacedUnit, ownedToken).Message, Phase: message.Pending}
	for _, disk := range []string{"disk-1", "disk-2"} {
		r.store(disk).listed = append(r.store(disk).listed, listed)
	}
}

// Guards against an accepted message of a service with a rate that nobody delivers: its acceptor departed while the
// owner was listing the unit, and that listing had read the stores before the message was there.
func TestUnitIsListedAgainWhenAnAcceptorDepartsDuringARecovery(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	r.store("disk-3").unresponsive = true // the listing lasts longer than listAllPeriod
	r.own(ownedToken + 1)
	r.Advance(50 * time.Millisecond)
	r.storeForPacedUnit("m1")
	r.departed("edge-9+acceptor")
	r.Advance(relistLimit)
	Expect(r.sent).To(ContainElement("m1"))
}

// Guards against the same where the listing under way is itself one for a carrier that departed earlier.
func TestUnitIsListedAgainForASecondDeparture(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	r.store("disk-3").unresponsive = true
	r.departed("edge-7+acceptor")
	r.Advance(relistDelay + 50*time.Millisecond)
	r.storeForPacedUnit("m1")
	r.departed("edge-9+acceptor")
	r.Advance(relistLimit)
	Expect(r.sent).To(ContainElement("m1"))
}

// Guards against the same where the owner never sees the acceptor among the departed carriers: it was settled while the
// owner had no feed, and the next snapshot just lacks the acceptor.
func TestUnitIsListedAgainWhenAnAcceptorIsMissingFromASnapshot(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	acceptor := session.Member{Incarnation: "edge-9+acceptor", Node: "edge-9", Role: session.Carrier, Address: "10.0.1.9:7002"}
	r.table.Set(keeper.PrefixMember+acceptor.Incarnation, wire.Encode(&acceptor))
	r.push()
	r.Advance(time.Second)
	r.storeForPacedUnit("m1")
	r.table.Delete(keeper.PrefixMember + acceptor.Incarnation)
	snapshot := r.table.UpdateSince(feed.Position{})
	r.core.FeedUpdate(keeperAddress, wire.EncodeUpdate(&snapshot))
	r.Advance(relistLimit)
	Expect(r.sent).To(ContainElement("m1"))
}

// As a control: a departure that is seen while nothing is under way has the unit listed again.
func TestUnitIsListedAgainWhenAnAcceptorDeparts(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	r.storeForPacedUnit("m1")
	r.departed("edge-9+acceptor")
	r.Advance(relistLimit)
	Expect(r.sent).To(ContainElement("m1"))
}
