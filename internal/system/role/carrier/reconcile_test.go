package carrier

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// adopt makes the carrier the adopter of a departed one and returns the departed one's unit.
func (r *fixture) adopt(incarnation string) string {
	gone := session.Departed{Incarnation: incarnation, Adopter: r.core.Incarnation()}
	r.table.Set(keeper.PrefixDeparted+incarnation, wire.Encode(&gone))
	r.push()
	r.Advance(100 * time.Millisecond)
	return ownership.CarrierUnit(incarnation)
}

// delayed returns a message that is due a delay after its acceptance, as a store of the given age lists it.
func delayed(unit string, delay, age time.Duration) wire.ListedMessage {
	m := deliverBody("m1", unit, ownedToken).Message
	m.Delay = delay
	return wire.ListedMessage{Message: m, Phase: message.Pending, Age: age}
}

// Guards against an accepted message left lying: stores hold it as pending, and the carrier that is responsible for its
// unit does not have it, whatever the reason.
func TestMessageThatOnlyStoresHaveIsDelivered(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	unit := r.adopt("edge-9+gone")
	r.store("disk-2").listed = []wire.ListedMessage{delayed(unit, 0, 5*time.Second)}
	r.store("disk-3").listed = r.store("disk-2").listed
	r.Advance(2 * reconcileInterval)
	Expect(r.sent).To(Equal([]string{"m1"}))
}

// Guards against a second run of a message that completed long ago: a store that was away for longer than outcomes are
// kept still holds it as pending, and no other store knows it.
func TestMessageThatTooFewStoresHaveIsNotListedAgain(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	unit := r.adopt("edge-9+gone")
	r.store("disk-2").listed = []wire.ListedMessage{delayed(unit, 0, 5*time.Second)}
	r.Advance(4 * reconcileInterval)
	Expect(r.sent).To(BeEmpty())
}

// Guards against delayed messages that run late: a store that was down takes its messages to be younger than they are,
// and would tell so to the next carrier that takes them over.
func TestLaggingStoreIsToldTheAges(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	r.store("disk-1").listed = []wire.ListedMessage{delayed(pacedUnit, time.Minute, 20*time.Second)}
	r.store("disk-2").listed = []wire.ListedMessage{delayed(pacedUnit, time.Minute, 8*time.Second)}
	r.own(ownedToken + 1)
	r.Advance(2 * reconcileInterval)
	Expect(r.store("disk-2").raised).NotTo(BeEmpty())
	for _, raised := range r.store("disk-2").raised {
		Expect(raised.ID).To(Equal("m1"))
		Expect(raised.Age).To(BeNumerically("~", 20*time.Second, 2*reconcileInterval))
	}
}

// Guards against the same at the carrier: it took the message over while the store that knows the true age was down.
func TestCarrierTakesTheGreaterAgeOfAStore(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	r.store("disk-2").listed = []wire.ListedMessage{delayed(pacedUnit, time.Minute, 8*time.Second)}
	r.own(ownedToken + 1)
	r.Advance(time.Second)
	r.store("disk-1").listed = []wire.ListedMessage{delayed(pacedUnit, time.Minute, 55*time.Second)}
	r.Advance(2 * reconcileInterval)
	Expect(r.sent).To(Equal([]string{"m1"}))
}

// Guards against an accepted message left lying at the carrier that has it: it may be sent, is in no queue, and no timer
// or event would put it there.
func TestMessageInNoQueueIsQueued(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	body := deliverBody("m1", pacedUnit, ownedToken)
	body.Message.Delay = time.Hour
	Expect(r.core.TakeMessage(body)).To(BeNil())
	r.core.units[pacedUnit].items["m1"].due = r.Now() // its timer is an hour away
	r.Advance(reconcileInterval + maxIdle)
	Expect(r.sent).To(Equal([]string{"m1"}))
	Expect(r.reports).To(ContainElement(&ForgottenError{Count: 1, Latest: "m1"}))
}
