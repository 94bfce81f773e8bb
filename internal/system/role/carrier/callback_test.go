package carrier

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// deliverBodyWithCallback returns the call that passes on a message with a call-back URL.
func deliverBodyWithCallback(id string, token uint64) wire.DeliverBody {
	body := deliverBody(id, pacedUnit, token)
	body.Message.Callback = "http://10.8.0.1:80/done"
	return body
}

// runMessages passes messages to the carrier and lets each one succeed before the next.
func (r *fixture) runMessages(t *testing.T, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if refusal := r.core.TakeMessage(deliverBodyWithCallback(id, ownedToken)); refusal != nil {
			t.Fatal(refusal.Reason)
		}
		r.Advance(100 * time.Millisecond)
		r.finish(AttemptOutcome{Kind: RunSucceeded, Stamp: "s"})
	}
}

// Guards against a call-back that no carrier makes. An owner is passed a message that completed under a former
// owner, and it took the unit over while no store listed the message.
func TestMessageCompletedBeforeHandover(t *testing.T) {
	r := newFixture()
	r.receive = func(string) int { return http.StatusOK }
	r.store("disk-2").outcomes["m1"] = message.Outcome{ID: "m1", Phase: message.Succeeded, Stamp: "s", CallbackOwed: true}
	r.core.TakeMessage(deliverBodyWithCallback("m1", ownedToken-1))
	r.Advance(time.Second)
	if !slices.Equal(r.calledBack, []string{"m1"}) || len(r.sent) > 0 {
		t.Errorf("call-backs made for %v, messages sent %v", r.calledBack, r.sent)
	}
}

// Guards against a call-back that is never accepted and delays all others of its receiver.
func TestFailingCallbackDoesNotDelayOthers(t *testing.T) {
	r := newFixture()
	r.receive = func(id string) int {
		if id == "m0" {
			return http.StatusServiceUnavailable
		}
		return http.StatusOK
	}
	var others []string
	for number := 1; number <= 20; number++ {
		others = append(others, fmt.Sprintf("m%d", number))
	}
	r.runMessages(t, append([]string{"m0"}, others...)...)
	r.Advance(5 * time.Second)
	slices.Sort(r.calledBack)
	slices.Sort(others)
	if !slices.Equal(r.calledBack, others) {
		t.Errorf("call-backs made for %v", r.calledBack)
	}
}

// Guards against a call-back that counts as made after a number of attempts while the stores still keep its
// outcome.
func TestCallbackIsRetriedWhileOutcomeIsKept(t *testing.T) {
	r := newFixture()
	begin := r.Now()
	r.receive = func(string) int {
		if r.Now()-begin < r.core.settings.Bounds.Status {
			return http.StatusServiceUnavailable
		}
		return http.StatusOK
	}
	r.runMessages(t, "m1", "m2", "m3")
	r.Advance(r.core.settings.Bounds.Status + 10*time.Second)
	slices.Sort(r.calledBack)
	if !slices.Equal(r.calledBack, []string{"m1", "m2", "m3"}) {
		t.Errorf("call-backs made for %v, reported %v", r.calledBack, r.reports)
	}
}

// Guards against endless attempts: a call-back that its receiver never accepts is abandoned, and this is reported,
// once the stores no longer keep its outcome.
func TestCallbackIsAbandoned(t *testing.T) {
	r := newFixture()
	r.receive = func(string) int { return http.StatusServiceUnavailable }
	r.runMessages(t, "m1")
	r.Advance(3 * r.core.settings.Bounds.Status)
	if r.core.hasCallbacks() || len(r.reports) != 1 {
		t.Errorf("reported %v, call-backs pending: %t", r.reports, r.core.hasCallbacks())
	}
}

// Guards against a stopping carrier that leaves call-backs to the next owner although its receivers accept them in
// time.
func TestStoppingCarrierMakesItsCallbacks(t *testing.T) {
	r := newFixture()
	failUntil := r.Now() + 2*time.Second
	r.receive = func(string) int {
		if r.Now() < failUntil {
			return http.StatusServiceUnavailable
		}
		return http.StatusOK
	}
	r.runMessages(t, "m1", "m2", "m3", "m4")
	stopped := false
	r.core.Shutdown(r.Now(), func() { stopped = true })
	for !stopped {
		r.Advance(50 * time.Millisecond)
	}
	if len(r.calledBack) != 4 {
		t.Errorf("call-backs made for %v when the carrier had stopped", r.calledBack)
	}
}

// Guards against an unbounded number of pending call-backs: they count toward the memory limit of waiting
// messages.
func TestPendingCallbacksCountTowardMemory(t *testing.T) {
	r := newFixture()
	failUntil := r.Now() + 10*time.Second
	r.receive = func(string) int {
		if r.Now() < failUntil {
			return http.StatusServiceUnavailable
		}
		return http.StatusOK
	}
	before := r.core.waitingBytes
	r.runMessages(t, "m1", "m2", "m3")
	if pending := r.core.waitingBytes - before; pending < 3*256 {
		t.Errorf("three pending call-backs count as %d bytes", pending)
	}
	r.Advance(30 * time.Second)
	if r.core.waitingBytes != before {
		t.Errorf("%d bytes still counted after all call-backs were made", r.core.waitingBytes-before)
	}
}

// Guards against a queue that grows each time a unit is listed: a call-back that is queued already is not queued
// again, and belongs to the unit that was listed last.
func TestQueuedCallbackIsNotQueuedAgain(t *testing.T) {
	r := newFixture()
	failing := true
	r.receive = func(string) int {
		if failing {
			return http.StatusServiceUnavailable
		}
		return http.StatusOK
	}
	end := message.Outcome{ID: "m1", Phase: message.Succeeded, Stamp: "s", CallbackOwed: true}
	listed := wire.ListedMessage{Message: deliverBodyWithCallback("m1", 1).Message, Phase: end.Phase, Stamp: end.Stamp}
	r.store("disk-1").listed, r.store("disk-1").outcomes["m1"] = []wire.ListedMessage{listed}, end
	for step := range uint64(5) {
		r.own(ownedToken + 1 + step)
		r.Advance(time.Second)
	}
	if u := r.core.units[pacedUnit]; u.unrecorded != 1 {
		t.Errorf("the unit counts %d unrecorded", u.unrecorded)
	}
	failing = false
	r.Advance(5 * time.Second)
	if !slices.Equal(r.calledBack, []string{"m1"}) || r.core.hasCallbacks() || r.core.units[pacedUnit].unrecorded != 0 {
		t.Errorf("call-backs made for %v, pending: %t, unrecorded: %d", r.calledBack, r.core.hasCallbacks(), r.core.units[pacedUnit].unrecorded)
	}
}
