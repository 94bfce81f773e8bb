package inventory

import "testing"

// The search runs a tracker against a model of discovery in which one of a few events happens at each tick, in all
// orders up to a depth. The model knows what discovery holds and what it has delivered to the dispatcher. The
// property checked: once a change counts as notified, no send is possible after the drain grace that follows.
const (
	tick      = 750_000
	grace     = 750_000
	askWithin = 4_000_000
)

// discoveryModel is the state of discovery in the model.
type discoveryModel struct {
	now               int64
	changes           []int64 // times at which the list changed; the revision is their number
	deliveredRevision int     // revision that the dispatcher has received
	pendingCall       Call    // the call that awaits its answer; 0 = none, as for watch, the open watch
	watch             Call
	formerWatch       Call  // a watch at an address that discovery has left
	silentSince       int64 // since when the watch is silent, kept after its end; 0 = not silent
	lastCallStart     int64 // start of the last call
	lastCallFailed    bool
	movedAt           int64
	hasMoved          bool  // discovery has moved once
	watchEndedAt      int64 // when discovery or the dispatcher ended the last watch
	down              bool
	nextLineAt        int64 // time of the next line on the watch
}

type state struct {
	tracker Tracker
	model   discoveryModel
	pushed  bool
	from    *state // the previous state, and the move that led here
	move    string
}

// copy returns a state that shares nothing mutable with this one.
func (a *state) copy() *state {
	b := *a
	b.model.changes = append([]int64(nil), a.model.changes...)
	if a.tracker.watch != nil {
		w := *a.tracker.watch
		b.tracker.watch = &w
	}
	if a.tracker.pending != nil {
		w := *a.tracker.pending
		b.tracker.pending = &w
	}
	b.tracker.commands = nil
	return &b
}

// applyCommands executes the tracker's commands in the model.
func (a *state) applyCommands() {
	for _, c := range append([]Command(nil), a.tracker.Ready()...) {
		switch c.Kind {
		case Dial:
			a.model.pendingCall, a.model.lastCallStart = c.Call, a.model.now
		case Close:
			switch c.Call {
			case a.model.pendingCall:
				a.model.pendingCall = 0
			case a.model.watch:
				a.model.watch, a.model.watchEndedAt = 0, a.model.now
			case a.model.formerWatch:
				a.model.formerWatch = 0
			}
		case Fail: // the longest first retry delay of the decision module
			a.model.lastCallFailed = true
		}
	}
}

// moves are the events that can happen in a tick; each reports whether it applies.
var moves = []struct {
	name string
	do   func(*state) bool
}{
	{"-", func(*state) bool { return true }},
	{"change", func(a *state) bool {
		a.model.changes = append(a.model.changes, a.model.now)
		return len(a.model.changes) == 1 && !a.model.down
	}},
	{"silence", func(a *state) bool {
		ok := a.model.watch != 0 && a.model.silentSince == 0
		a.model.silentSince = a.model.now
		return ok
	}},
	{"answer", func(a *state) bool {
		ok := a.model.pendingCall != 0 && !a.model.down
		if ok {
			a.answer()
		}
		return ok
	}},
	{"reject", func(a *state) bool {
		ok := a.model.pendingCall != 0 && !a.model.down
		if ok {
			a.rejectCall()
		}
		return ok
	}},
	{"end", func(a *state) bool {
		id := a.model.watch
		// Discovery went down and has reported nothing since it fell silent, so the rules for no open watch apply to
		// changes.
		ok := id != 0 && !a.model.down
		if ok {
			a.model.watch, a.model.watchEndedAt = 0, a.model.now
			if !a.pushed {
				a.model.silentSince = 0
			}
			a.tracker.Ended(a.model.now, id, Refused)
		}
		return ok
	}},
	{"move", func(a *state) bool {
		ok := a.model.movedAt == 0 && a.model.watch != 0 && !a.model.hasMoved
		if ok {
			a.model.hasMoved, a.model.movedAt, a.model.formerWatch, a.model.watch = true, a.model.now, a.model.watch, 0
			a.tracker.Moved(a.model.now)
		}
		return ok
	}},
	{"late list", func(a *state) bool { // from the former address
		ok := a.model.formerWatch != 0 && a.model.silentSince == 0 && a.model.deliveredRevision < len(a.model.changes)
		if ok {
			a.deliverList(a.model.formerWatch)
		}
		return ok
	}},
	{"outage", func(a *state) bool { // lists are pushed: discovery reports nothing and learns nothing
		ok := a.pushed && !a.model.down && a.model.now < 5*tick
		if ok {
			a.model.down = true
			if a.model.watch != 0 && a.model.silentSince == 0 {
				a.model.silentSince = a.model.now
			}
		}
		return ok
	}},
	{"return", func(a *state) bool {
		ok := a.model.down
		if a.model.down = false; ok && a.model.pendingCall != 0 {
			a.answer()
		}
		return ok
	}},
}

func (a *state) answer() {
	a.model.watch, a.model.pendingCall = a.model.pendingCall, 0
	a.model.silentSince, a.model.movedAt, a.model.nextLineAt = 0, 0, a.model.now+2_000_000
	a.deliverList(a.model.watch)
}

func (a *state) rejectCall() {
	id := a.model.pendingCall
	a.model.pendingCall, a.model.lastCallFailed = 0, true
	a.tracker.Ended(a.model.now, id, Refused)
}

// deliverList writes the list of discovery on a connection.
func (a *state) deliverList(id Call) {
	a.tracker.Heard(a.model.now, id)
	if a.tracker.Listed(a.model.now, id, int64(len(a.model.changes)), true) {
		a.model.deliveredRevision = len(a.model.changes)
	}
}

// step advances by one tick in which one event happens. It reports false if the event does not apply.
func (a *state) step(move func(*state) bool) bool {
	end := a.model.now + tick
	if a.model.watch != 0 && a.model.silentSince == 0 && (end >= a.model.nextLineAt || a.model.deliveredRevision < len(a.model.changes)) {
		a.model.nextLineAt = end + 2_000_000
		a.deliverList(a.model.watch)
	}
	for {
		wake, timeout := a.tracker.Next(), int64(0)
		if a.pushed && !a.model.down && a.model.pendingCall != 0 {
			timeout = a.model.lastCallStart + 2_000_000 // discovery ends a call that waited this long
		}
		switch {
		case timeout != 0 && timeout <= end && (wake == 0 || timeout <= wake):
			a.model.now = timeout
			a.rejectCall()
		case wake != 0 && wake <= end:
			a.model.now = max(wake, a.model.now)
			a.tracker.Wake(a.model.now)
		default:
			a.model.now = end
		}
		a.applyCommands()
		if a.model.now == end && (wake == 0 || wake > end) {
			break
		}
	}
	if !move(a) {
		return false
	}
	a.applyCommands()
	if a.model.pendingCall == 0 && a.model.watch == 0 && a.model.lastCallFailed {
		a.tracker.Ask(a.model.now) // the retry delay of the decision module is over: its first one is at most a tick
		a.applyCommands()
	}
	return true
}

// overdue returns how long ago the grace ended for the oldest change that was not received; it has not ended if
// the result is 0 or less.
func (a *state) overdue(l Limits) int64 {
	if a.tracker.stale || a.model.deliveredRevision >= len(a.model.changes) {
		return 0
	}
	changedAt := a.model.changes[a.model.deliveredRevision]
	notifiedAt := int64(1 << 62)
	if a.model.silentSince != 0 && a.model.silentSince <= changedAt && !a.model.down && (a.model.watch != 0 || changedAt <= a.model.watchEndedAt) {
		// Missed by a silent watch.
		notifiedAt = min(notifiedAt, max(a.model.silentSince+NotifiedAfterSilence, changedAt))
	}
	if a.model.movedAt != 0 {
		notifiedAt = min(notifiedAt, max(a.model.movedAt+NotifiedAfterMove, changedAt))
	}
	if a.model.watch == 0 && l.Pushed && a.model.silentSince == 0 && a.model.movedAt == 0 {
		notifiedAt = min(notifiedAt, changedAt)
	}
	if l.Pushed && a.model.down { // the change precedes the outage, and what is silent became so with it
		notifiedAt = 1 << 62
	}
	if a.model.watch == 0 && !l.Pushed {
		validity := l.AskWithin
		if a.model.lastCallFailed {
			validity *= failedValidityFactor
		}
		if a.model.now >= a.model.lastCallStart+validity {
			notifiedAt = min(notifiedAt, changedAt+l.AskWithin)
		}
	}
	return a.model.now - notifiedAt - grace
}

// stateKey distinguishes states with different futures. Times longer ago than any limit are equal.
type stateKey struct {
	deliveredRevision, changes                                             int
	flags                                                                  [12]bool
	silentSince, lastCallStart, moved, nextLineAt, firstChange, watchEnded int64
	knownUntil, keeperSilentSince, keeperMoved, failedCallStart, retryAt   int64
	watchStarted, watchLastByte, pendingStarted, pendingLastByte           int64
}

func (a *state) key() stateKey {
	rel := func(t int64) int64 {
		if t == 0 {
			return -1
		}
		return min(a.model.now-t, 14*tick)
	}
	s, k := &a.model, &a.tracker
	out := stateKey{deliveredRevision: s.deliveredRevision, changes: len(s.changes), silentSince: rel(s.silentSince), lastCallStart: rel(s.lastCallStart), moved: rel(s.movedAt), nextLineAt: rel(s.nextLineAt),
		knownUntil: rel(k.knownUntil), keeperSilentSince: rel(k.silentSince), keeperMoved: rel(k.movedAt), failedCallStart: rel(k.failedCallStart), retryAt: rel(k.retryAt)}
	out.flags = [12]bool{s.pendingCall != 0, s.watch != 0, s.formerWatch != 0, s.lastCallFailed, s.hasMoved, s.down, k.stale, k.unresponsive, k.watch != nil, k.pending != nil}
	if s.deliveredRevision < len(s.changes) {
		out.firstChange, out.watchEnded = rel(s.changes[0]), rel(s.watchEndedAt)
	}
	if w := k.watch; w != nil {
		out.watchStarted, out.watchLastByte, out.flags[10] = rel(w.startedAt), rel(w.lastByteAt), w.formerAddress
	}
	if c := k.pending; c != nil {
		out.pendingStarted, out.pendingLastByte = rel(c.startedAt), rel(c.lastByteAt)
	}
	return out
}

// path returns the names of the moves that led to a state.
func (a *state) path() string {
	if a.from == nil {
		return ""
	}
	return a.from.path() + " " + a.move
}

// search runs all orders of moves up to a depth and returns the first one that violates the property.
func search(l Limits, depth int, mutate func(*Tracker)) (path string, states int) {
	start := &state{tracker: *New(tick, l, 0, func() float64 { return 0.5 }), pushed: l.Pushed}
	start.model.now = tick
	start.tracker.Ask(tick)
	start.applyCommands()
	level := []*state{start}
	for range depth {
		seen := map[stateKey]bool{}
		var next []*state
		for _, n := range level {
			for _, m := range moves {
				c := n.copy()
				c.from, c.move = n, m.name
				if !c.step(m.do) {
					continue
				}
				if mutate != nil {
					mutate(&c.tracker)
				}
				if c.overdue(l) > 0 {
					return c.path(), states
				}
				if k := c.key(); !seen[k] {
					seen[k] = true
					states++
					next = append(next, c)
				}
			}
		}
		level = next
	}
	return "", states
}

// No order of silence, answers, failures, ends, a move and late lists allows a send after the grace that follows
// the time at which a change counts as notified. As a check of the search itself, removing any one of the tracker's
// rules must lead to an order that does.
func TestNoSendAfterGrace(t *testing.T) {
	const depth = 14
	for _, c := range []struct {
		name   string
		limits Limits
	}{
		{"queried", Limits{AskWithin: askWithin, Grace: grace}},
		{"pushed", Limits{Pushed: true, Grace: grace}},
	} {
		path, states := search(c.limits, depth, nil)
		t.Logf("%s: %d states in %d ticks of 0.75 s", c.name, states, depth)
		if path != "" {
			t.Errorf("%s: a send is possible after the grace:%s", c.name, path)
		}
	}
	for _, m := range []struct {
		name   string
		limits Limits
		mutate func(*Tracker)
	}{
		{"membership never stale", Limits{AskWithin: askWithin, Grace: grace}, func(k *Tracker) { k.stale = false }},
		{"a silent watch closed and forgotten", Limits{AskWithin: askWithin, Grace: grace}, func(k *Tracker) {
			if k.silentSince != 0 {
				k.silentSince, k.watch = 0, nil
			}
		}},
		{"the move of discovery forgotten", Limits{AskWithin: askWithin, Grace: grace}, func(k *Tracker) { k.movedAt = 0 }},
		{"pushed lists treated as queried ones", Limits{Pushed: true, Grace: grace}, func(k *Tracker) { k.limits.Pushed = false }},
	} {
		if path, _ := search(m.limits, 13, m.mutate); path == "" {
			t.Errorf("%s: no order violates the property", m.name)
		} else {
			t.Logf("%s:%s", m.name, path)
		}
	}
}
