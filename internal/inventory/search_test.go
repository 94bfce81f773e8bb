package inventory

import "testing"

// The search plays a keeper against a discovery that does at each tick one of a few things, in all orders up to a
// depth. The model knows what discovery holds and what the dispatcher was told; the property is the operators' rule: once a
// change counts as told, no send is possible later than the grace for drains after it.
const (
	tick      = 750_000
	grace     = 750_000
	askWithin = 4_000_000
)

// source is discovery as the model has it.
type source struct {
	at       int64
	changes  []int64 // times at which the list changed; its revision is their number
	written  int     // revision that reached the dispatcher
	ask      Call    // the call that waits for its answer, and the watch that is open; 0 = none
	watch    Call
	old      Call  // a watch at an address that discovery has left
	silentAt int64 // of the watch, kept past its end; 0 = it speaks
	asked    int64 // beginning of the last call
	failed   bool
	movedAt  int64
	hup      bool  // it has moved once
	ended    int64 // when discovery or the dispatcher ended the last watch
	down     bool
	pulse    int64 // next line of the watch
}

type state struct {
	k      Keeper
	s      source
	pushed bool
	from   *state // and by which move
	by     string
}

// copy makes a state whose steps do not touch this one.
func (a *state) copy() *state {
	b := *a
	b.s.changes = append([]int64(nil), a.s.changes...)
	if a.k.watch != nil {
		w := *a.k.watch
		b.k.watch = &w
	}
	if a.k.asked != nil {
		w := *a.k.asked
		b.k.asked = &w
	}
	b.k.out = nil
	return &b
}

// carry has the model take the keeper's commands.
func (a *state) carry() {
	for _, c := range append([]Command(nil), a.k.Ready()...) {
		switch c.Kind {
		case Dial:
			a.s.ask, a.s.asked = c.Call, a.s.at
		case Close:
			switch c.Call {
			case a.s.ask:
				a.s.ask = 0
			case a.s.watch:
				a.s.watch, a.s.ended = 0, a.s.at
			case a.s.old:
				a.s.old = 0
			}
		case Fail: // the decisions' longest first gap
			a.s.failed = true
		}
	}
}

// moves are what can happen within a tick; each tells whether it applies.
var moves = []struct {
	name string
	do   func(*state) bool
}{
	{"-", func(*state) bool { return true }},
	{"change", func(a *state) bool {
		a.s.changes = append(a.s.changes, a.s.at)
		return len(a.s.changes) == 1 && !a.s.down
	}},
	{"silence", func(a *state) bool {
		ok := a.s.watch != 0 && a.s.silentAt == 0
		a.s.silentAt = a.s.at
		return ok
	}},
	{"answer", func(a *state) bool {
		ok := a.s.ask != 0 && !a.s.down
		if ok {
			a.answer()
		}
		return ok
	}},
	{"turn away", func(a *state) bool {
		ok := a.s.ask != 0 && !a.s.down
		if ok {
			a.turnAway()
		}
		return ok
	}},
	{"end", func(a *state) bool {
		id := a.s.watch
		// It went down, and has told nothing since it fell silent: what changed counts by the rules for no watch.
		ok := id != 0 && !a.s.down
		if ok {
			a.s.watch, a.s.ended = 0, a.s.at
			if !a.pushed {
				a.s.silentAt = 0
			}
			a.k.Ended(a.s.at, id, Refused)
		}
		return ok
	}},
	{"move", func(a *state) bool {
		ok := a.s.movedAt == 0 && a.s.watch != 0 && !a.s.hup
		if ok {
			a.s.hup, a.s.movedAt, a.s.old, a.s.watch = true, a.s.at, a.s.watch, 0
			a.k.Moved(a.s.at)
		}
		return ok
	}},
	{"late list", func(a *state) bool { // from the address that discovery has left
		ok := a.s.old != 0 && a.s.silentAt == 0 && a.s.written < len(a.s.changes)
		if ok {
			a.tell(a.s.old)
		}
		return ok
	}},
	{"outage", func(a *state) bool { // where lists are pushed: it says nothing and learns nothing
		ok := a.pushed && !a.s.down && a.s.at < 5*tick
		if ok {
			a.s.down = true
			if a.s.watch != 0 && a.s.silentAt == 0 {
				a.s.silentAt = a.s.at
			}
		}
		return ok
	}},
	{"return", func(a *state) bool {
		ok := a.s.down
		if a.s.down = false; ok && a.s.ask != 0 {
			a.answer()
		}
		return ok
	}},
}

func (a *state) answer() {
	a.s.watch, a.s.ask = a.s.ask, 0
	a.s.silentAt, a.s.movedAt, a.s.pulse = 0, 0, a.s.at+2_000_000
	a.tell(a.s.watch)
}

func (a *state) turnAway() {
	id := a.s.ask
	a.s.ask, a.s.failed = 0, true
	a.k.Ended(a.s.at, id, Refused)
}

// tell writes what discovery holds on a connection.
func (a *state) tell(id Call) {
	a.k.Heard(a.s.at, id)
	if a.k.Listed(a.s.at, id, int64(len(a.s.changes)), true) {
		a.s.written = len(a.s.changes)
	}
}

// step lets a tick pass in which one thing happens.
func (a *state) step(move func(*state) bool) bool {
	end := a.s.at + tick
	if a.s.watch != 0 && a.s.silentAt == 0 && (end >= a.s.pulse || a.s.written < len(a.s.changes)) {
		a.s.pulse = end + 2_000_000
		a.tell(a.s.watch)
	}
	for {
		wake, turn := a.k.Next(), int64(0)
		if a.pushed && !a.s.down && a.s.ask != 0 {
			turn = a.s.asked + 2_000_000 // it lets no call wait longer
		}
		switch {
		case turn != 0 && turn <= end && (wake == 0 || turn <= wake):
			a.s.at = turn
			a.turnAway()
		case wake != 0 && wake <= end:
			a.s.at = max(wake, a.s.at)
			a.k.Wake(a.s.at)
		default:
			a.s.at = end
		}
		a.carry()
		if a.s.at == end && (wake == 0 || wake > end) {
			break
		}
	}
	if !move(a) {
		return false
	}
	a.carry()
	if a.s.ask == 0 && a.s.watch == 0 && a.s.failed {
		a.k.Ask(a.s.at) // the decisions' gap is over: a tick at most, the longest of their first
		a.carry()
	}
	return true
}

// late is how long ago the grace ended for the oldest change that was not heard; 0 or less: it did not.
func (a *state) late(l Limits) int64 {
	if a.k.doubt || a.s.written >= len(a.s.changes) {
		return 0
	}
	made := a.s.changes[a.s.written]
	told := int64(1 << 62)
	if a.s.silentAt != 0 && a.s.silentAt <= made && !a.s.down && (a.s.watch != 0 || made <= a.s.ended) { // missed by a silent watch
		told = min(told, max(a.s.silentAt+ToldSilent, made))
	}
	if a.s.movedAt != 0 {
		told = min(told, max(a.s.movedAt+ToldMoved, made))
	}
	if a.s.watch == 0 && l.Pushed && a.s.silentAt == 0 && a.s.movedAt == 0 {
		told = min(told, made)
	}
	if l.Pushed && a.s.down { // made before the outage; what was silent then began with it
		told = 1 << 62
	}
	if a.s.watch == 0 && !l.Pushed {
		span := l.AskWithin
		if a.s.failed {
			span *= failedMore
		}
		if a.s.at >= a.s.asked+span {
			told = min(told, made+l.AskWithin)
		}
	}
	return a.s.at - told - grace
}

// key tells states apart whose futures differ; times further back than any limit count alike.
type key struct {
	written, changes                             int
	flags                                        [12]bool
	silent, asked, moved, pulse, first, ended    int64
	known, quiet, kmoved, failed, gap            int64
	watchBegun, watchHeard, asksBegun, asksHeard int64
}

func (a *state) key() key {
	rel := func(t int64) int64 {
		if t == 0 {
			return -1
		}
		return min(a.s.at-t, 14*tick)
	}
	s, k := &a.s, &a.k
	out := key{written: s.written, changes: len(s.changes), silent: rel(s.silentAt), asked: rel(s.asked), moved: rel(s.movedAt), pulse: rel(s.pulse),
		known: rel(k.known), quiet: rel(k.quiet), kmoved: rel(k.moved), failed: rel(k.failed), gap: rel(k.gap)}
	out.flags = [12]bool{s.ask != 0, s.watch != 0, s.old != 0, s.failed, s.hup, s.down, k.doubt, k.down, k.watch != nil, k.asked != nil}
	if s.written < len(s.changes) {
		out.first, out.ended = rel(s.changes[0]), rel(s.ended)
	}
	if w := k.watch; w != nil {
		out.watchBegun, out.watchHeard, out.flags[10] = rel(w.begun), rel(w.heard), w.moved
	}
	if c := k.asked; c != nil {
		out.asksBegun, out.asksHeard = rel(c.begun), rel(c.heard)
	}
	return out
}

// path names the moves that led to a state.
func (a *state) path() string {
	if a.from == nil {
		return ""
	}
	return a.from.path() + " " + a.by
}

// search plays all orders of moves up to a depth and gives the first that breaks the rule.
func search(l Limits, depth int, spoil func(*Keeper)) (path string, states int) {
	start := &state{k: *New(tick, l, 0, func() float64 { return 0.5 }), pushed: l.Pushed}
	start.s.at = tick
	start.k.Ask(tick)
	start.carry()
	level := []*state{start}
	for range depth {
		seen := map[key]bool{}
		var next []*state
		for _, n := range level {
			for _, m := range moves {
				c := n.copy()
				c.from, c.by = n, m.name
				if !c.step(m.do) {
					continue
				}
				if spoil != nil {
					spoil(&c.k)
				}
				if c.late(l) > 0 {
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

// No order of silence, answers, failures, ends, a move and late lists lets a send go out later than the grace after a
// change counts as told; each rule of the keeper, taken away, gives an order that does.
func TestNoSendPastTheGrace(t *testing.T) {
	const depth = 14
	for _, c := range []struct {
		name   string
		limits Limits
	}{
		{"asked", Limits{AskWithin: askWithin, Grace: grace}},
		{"pushed", Limits{Pushed: true, Grace: grace}},
	} {
		path, states := search(c.limits, depth, nil)
		t.Logf("%s: %d states in %d ticks of 0.75 s", c.name, states, depth)
		if path != "" {
			t.Errorf("%s: a send goes out too late after %s", c.name, path)
		}
	}
	for _, m := range []struct {
		name   string
		limits Limits
		spoil  func(*Keeper)
	}{
		{"without doubt", Limits{AskWithin: askWithin, Grace: grace}, func(k *Keeper) { k.doubt = false }},
		{"a silent watch let go and forgotten", Limits{AskWithin: askWithin, Grace: grace}, func(k *Keeper) {
			if k.quiet != 0 {
				k.quiet, k.watch = 0, nil
			}
		}},
		{"the move forgotten", Limits{AskWithin: askWithin, Grace: grace}, func(k *Keeper) { k.moved = 0 }},
		{"pushed lists held for asked ones", Limits{Pushed: true, Grace: grace}, func(k *Keeper) { k.limits.Pushed = false }},
	} {
		if path, _ := search(m.limits, 13, m.spoil); path == "" {
			t.Errorf("%s: no order was found that breaks the rule", m.name)
		} else {
			t.Logf("%s:%s", m.name, path)
		}
	}
}
