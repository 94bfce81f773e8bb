package carrier

import (
	"testing"
	"time"

	"granitewing/internal/system/message"
)

// Guards against a message that is sent, or sent again, while something blocks it. Each case starts with the item
// of a message that may be sent and applies one block.
func TestSendBlocks(t *testing.T) {
	newest := message.Version(99)
	cases := map[string]struct {
		unit  string
		block sendBlock
		apply func(r *fixture, it *item)
	}{
		"nothing blocks it":                             {pacedUnit, mayBeSent, func(*fixture, *item) {}},
		"its attempt failed":                            {pacedUnit, mayBeSent, func(_ *fixture, it *item) { it.attempts, it.failures = 1, 1 }},
		"its outcome is known":                          {pacedUnit, blockedCompleted, func(_ *fixture, it *item) { it.completed = true }},
		"its outcome is known, an attempt is in flight": {pacedUnit, blockedCompleted, func(_ *fixture, it *item) { it.completed, it.inFlight = true, true }},
		"an attempt is in flight":                       {pacedUnit, blockedInFlight, func(_ *fixture, it *item) { it.inFlight = true }},
		"its unit was dropped":                          {pacedUnit, blockedUnitDropped, func(r *fixture, it *item) { r.core.drop(it.unit) }},
		"its unit is being handed over":                 {pacedUnit, blockedByHandover, func(_ *fixture, it *item) { it.unit.handover = &handover{} }},
		"its unit is being handed over, it was started": {pacedUnit, mayBeSent, func(_ *fixture, it *item) {
			it.unit.handover, it.attempts = &handover{}, 1
		}},
		"its unit is released, it was started": {pacedUnit, blockedByHandover, func(_ *fixture, it *item) {
			it.unit.handover, it.attempts = &handover{releasing: true}, 1
		}},
		"it is not due": {pacedUnit, blockedNotDue, func(r *fixture, it *item) { it.due = r.Now() + time.Second }},
		"another message of its key is ahead": {keyUnit, blockedByOrder, func(_ *fixture, it *item) {
			it.unit.keys[it.message.Key] = []*item{{message: it.message, unit: it.unit}, it}
		}},
		"it was accepted under a newer configuration": {pacedUnit, blockedOlderConfiguration, func(_ *fixture, it *item) { it.message.Version = newest }},
		"its body is being fetched":                   {pacedUnit, blockedFetchingBody, func(_ *fixture, it *item) { it.fetchingBody = true }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			r := newFixture()
			body := deliverBody("m1", test.unit, ownedToken)
			if refusal := r.core.TakeMessage(body); refusal != nil {
				t.Fatal(refusal.Reason)
			}
			it := r.core.units[test.unit].items["m1"]
			r.Advance(100 * time.Millisecond)
			r.finish(AttemptOutcome{Kind: NotSent})
			it.attempts = 0
			sent := len(r.sent)
			test.apply(r, it)
			if found := r.core.blockOf(it); found != test.block {
				t.Errorf("block %d instead of %d", found, test.block)
			}
			r.core.ready(it)
			r.Advance(10 * time.Millisecond)
			if went := len(r.sent) > sent; went != (test.block == mayBeSent) {
				t.Errorf("block %d, but sent: %t", test.block, went)
			}
		})
	}
}

// Guards against a message that is sent before any configuration is known, since the configuration determines its
// service.
func TestNoMessageIsSentWithoutAConfiguration(t *testing.T) {
	r := newFixture()
	if refusal := r.core.TakeMessage(deliverBody("m1", pacedUnit, ownedToken)); refusal != nil {
		t.Fatal(refusal.Reason)
	}
	it := r.core.units[pacedUnit].items["m1"]
	it.inFlight, it.queued = false, false
	r.core.session.View().Table = nil
	if found := r.core.blockOf(it); found != blockedNoConfiguration {
		t.Errorf("block %d", found)
	}
}
