package carrier

import (
	"testing"
	"time"

	"granitewing/internal/system/message"
)

// Guards against a message that is sent, or sent again, while something holds it. Each case takes the item of a message that may be sent and brings one
// hold about.
func TestWhyAMessageMayNotBeSent(t *testing.T) {
	newest := message.Version(99)
	cases := map[string]struct {
		unit string
		hold sendBlock
		make func(r *fixture, it *item)
	}{
		"nothing holds it":                    {pacedUnit, mayBeSent, func(*fixture, *item) {}},
		"its attempt failed":                  {pacedUnit, mayBeSent, func(_ *fixture, it *item) { it.attempts, it.failures = 1, 1 }},
		"its end is known":                    {pacedUnit, blockedCompleted, func(_ *fixture, it *item) { it.ended = true }},
		"its end is known, an attempt is out": {pacedUnit, blockedCompleted, func(_ *fixture, it *item) { it.ended, it.inFlight = true, true }},
		"an attempt is out":                   {pacedUnit, blockedInFlight, func(_ *fixture, it *item) { it.inFlight = true }},
		"its unit went elsewhere":             {pacedUnit, blockedUnitDropped, func(r *fixture, it *item) { r.core.drop(it.unit) }},
		"its unit is offered":                 {pacedUnit, blockedByHandover, func(_ *fixture, it *item) { it.unit.handover = &handover{} }},
		"its unit is offered, it was begun": {pacedUnit, mayBeSent, func(_ *fixture, it *item) {
			it.unit.handover, it.attempts = &handover{}, 1
		}},
		"its unit is released, it was begun": {pacedUnit, blockedByHandover, func(_ *fixture, it *item) {
			it.unit.handover, it.attempts = &handover{releasing: true}, 1
		}},
		"it is not due": {pacedUnit, blockedNotDue, func(r *fixture, it *item) { it.due = r.Now() + time.Second }},
		"another of its key is ahead": {keyUnit, blockedByOrder, func(_ *fixture, it *item) {
			it.unit.keys[it.message.Key] = []*item{{message: it.message, unit: it.unit}, it}
		}},
		"it was accepted under a newer configuration": {pacedUnit, blockedOlderConfiguration, func(_ *fixture, it *item) { it.message.Version = newest }},
		"its bytes are being fetched":                 {pacedUnit, blockedFetchingBody, func(_ *fixture, it *item) { it.fetchingBody = true }},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			r := newFixture()
			body := deliverBody("m1", one.unit, ownedToken)
			if refusal := r.core.Deliver(body); refusal != nil {
				t.Fatal(refusal.Reason)
			}
			it := r.core.units[one.unit].items["m1"]
			r.Pass(100 * time.Millisecond)
			r.finish(Outcome{Kind: NotSent})
			it.attempts = 0
			sent := len(r.sent)
			one.make(r, it)
			if found := r.core.blockOf(it); found != one.hold {
				t.Errorf("hold %d instead of %d", found, one.hold)
			}
			r.core.ready(it)
			r.Pass(10 * time.Millisecond)
			if went := len(r.sent) > sent; went != (one.hold == mayBeSent) {
				t.Errorf("hold %d, and it was sent: %t", one.hold, went)
			}
		})
	}
}

// Guards against a message that is sent before any configuration is known, by which its service would be chosen.
func TestNoMessageIsSentWithoutAConfiguration(t *testing.T) {
	r := newFixture()
	if refusal := r.core.Deliver(deliverBody("m1", pacedUnit, ownedToken)); refusal != nil {
		t.Fatal(refusal.Reason)
	}
	it := r.core.units[pacedUnit].items["m1"]
	it.inFlight, it.queued = false, false
	r.core.session.View().Table = nil
	if found := r.core.blockOf(it); found != blockedNoConfiguration {
		t.Errorf("hold %d", found)
	}
}
