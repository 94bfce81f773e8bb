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
		hold hold
		make func(r *rig, it *item)
	}{
		"nothing holds it":                    {pacedUnit, mayBeSent, func(*rig, *item) {}},
		"its attempt failed":                  {pacedUnit, mayBeSent, func(_ *rig, it *item) { it.tries, it.failures = 1, 1 }},
		"its end is known":                    {pacedUnit, heldEnded, func(_ *rig, it *item) { it.ended = true }},
		"its end is known, an attempt is out": {pacedUnit, heldEnded, func(_ *rig, it *item) { it.ended, it.flying = true, true }},
		"an attempt is out":                   {pacedUnit, heldOut, func(_ *rig, it *item) { it.flying = true }},
		"its unit went elsewhere":             {pacedUnit, heldNotOurs, func(r *rig, it *item) { r.core.drop(it.unit) }},
		"its unit is offered":                 {pacedUnit, heldHandover, func(_ *rig, it *item) { it.unit.handover = &handover{} }},
		"its unit is offered, it was begun": {pacedUnit, mayBeSent, func(_ *rig, it *item) {
			it.unit.handover, it.tries = &handover{}, 1
		}},
		"its unit is released, it was begun": {pacedUnit, heldHandover, func(_ *rig, it *item) {
			it.unit.handover, it.tries = &handover{releasing: true}, 1
		}},
		"it is not due": {pacedUnit, heldNotDue, func(r *rig, it *item) { it.due = r.Now() + time.Second }},
		"another of its key is ahead": {keyUnit, heldBehind, func(_ *rig, it *item) {
			it.unit.keys[it.message.Key] = []*item{{message: it.message, unit: it.unit}, it}
		}},
		"it was accepted under a newer configuration": {pacedUnit, heldOlderTable, func(_ *rig, it *item) { it.message.Version = newest }},
		"its bytes are being fetched":                 {pacedUnit, heldWithoutItsBody, func(_ *rig, it *item) { it.fetching = true }},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			body := handed("m1", one.unit, ownToken)
			if refusal := r.core.Deliver(body); refusal != nil {
				t.Fatal(refusal.Reason)
			}
			it := r.core.units[one.unit].items["m1"]
			r.Pass(100 * time.Millisecond)
			r.finish(Outcome{Kind: NotSent})
			it.tries = 0
			sent := len(r.sent)
			one.make(r, it)
			if found := r.core.holdOf(it); found != one.hold {
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
	r := newRig()
	if refusal := r.core.Deliver(handed("m1", pacedUnit, ownToken)); refusal != nil {
		t.Fatal(refusal.Reason)
	}
	it := r.core.units[pacedUnit].items["m1"]
	it.flying, it.queued = false, false
	r.core.session.View().Table = nil
	if found := r.core.holdOf(it); found != heldNoTable {
		t.Errorf("hold %d", found)
	}
}
