package gang_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"granitewing/internal/dispatch"
	"granitewing/internal/fleet/gang"
	"granitewing/internal/fleet/gang/pattern"
	"granitewing/internal/fleet/gang/topology"
	"granitewing/internal/fleet/limit"
	"granitewing/internal/fleet/limit/lease"
	"granitewing/logic"
)

const (
	sec    = 1_000_000
	period = sec / 20
)

// fixture is a dispatcher's core with its own dealer of slots, over six hosts in two racks.
type fixture struct {
	t        *testing.T
	now      int64
	core     *dispatch.Core
	slots    *limit.Part
	last     int
	cmds     []dispatch.Command // since they were last checked
	noRounds bool               // the dealer takes part in no more rounds
}

func newFixture(t *testing.T) *fixture {
	class := func(name string, repeat logic.Repeat) logic.Class {
		return logic.Class{Name: name, TargetLatency: 5 * sec, Deadline: 9 * sec, Value: 1, Repeat: repeat, WorkerKind: -1}
	}
	core, err := dispatch.New(logic.Config{Classes: []logic.Class{class("safe", logic.RepeatSafe), class("unsafe", logic.RepeatUnsafe)}, ReportsStart: true, MayCancel: true, MaxAttempts: 3}, 1)
	if err != nil {
		t.Fatal(err)
	}
	e := &fixture{t: t, core: core, now: sec}
	o := gang.Options{Room: 1, Topology: topology.Topology{Host: 1e9, Rack: 1e9, Zone: 1e9}}
	for class := range 2 {
		o.Kinds = append(o.Kinds, gang.Kind{Class: class, Parts: 3, Least: 3, Pattern: pattern.Ring, Within: sec, Wait: 3 * sec})
	}
	e.slots = limit.New(e.now, limit.Options{Self: lease.Owner{Name: "n0", Incarnation: 1}, Keepers: []string{"n0"}, Lease: sec, SlotsPerHost: 1})
	core.Gang(gang.New(o, e.slots.Holder(), sec, core.EachGangHost))
	var hosts []dispatch.Host
	for i := range 6 {
		hosts = append(hosts, host(i, logic.Ready))
	}
	core.Inventory(e.now, logic.ListFull, hosts)
	e.advance(4 * sec) // the dealer has its post and has waited for earlier grants
	return e
}

func host(i int, phase logic.Phase) dispatch.Host {
	return dispatch.Host{Name: fmt.Sprintf("s-%08x", i+1), Addr: fmt.Sprint("h", i), Cell: i / 3, Weight: 1, Phase: phase}
}

// advance lets time pass, with the rounds that fall into it.
func (e *fixture) advance(us int64) {
	for end := e.now + us; e.now < end; {
		e.now += period
		if !e.noRounds {
			for _, m := range e.slots.Round(e.now) {
				e.slots.Receive(e.now, m)
			}
		}
		e.record(e.core.ReconsiderGangs(e.now))
	}
}

func (e *fixture) record(cmds []dispatch.Command) { e.cmds = append(e.cmds, cmds...) }

func (e *fixture) arrive(class int) dispatch.ID {
	e.last++
	id, cmds := e.core.Arrive(e.now, dispatch.Message{Name: fmt.Sprint("m", e.last), Class: class, Hint: sec, Slots: 1}, e.now+9*sec)
	e.record(cmds)
	return id
}

// eachPart applies do to the parts of a gang with ranks from <= rank < to.
func (e *fixture) eachPart(id dispatch.ID, from, to int, do func(r dispatch.AttemptID) []dispatch.Command) {
	for rank := from; rank < to; rank++ {
		e.record(do(dispatch.AttemptID{Message: id, Attempt: rank}))
	}
}

func (e *fixture) began(r dispatch.AttemptID) []dispatch.Command { return e.core.Started(e.now, r) }

func (e *fixture) served(r dispatch.AttemptID) []dispatch.Command {
	return e.core.Ended(e.now, r, logic.Served, fmt.Appendf(nil, "part %d", r.Attempt))
}

// commands describes the commands since the last call.
func (e *fixture) commands() string {
	var out []string
	for _, c := range e.cmds {
		switch c.Kind {
		case dispatch.Send:
			out = append(out, "send")
		case dispatch.Drop:
			out = append(out, "drop")
		case dispatch.Answer:
			out = append(out, fmt.Sprintf("%s %q", [...]string{"served", "refused", "failed", "duplicate"}[c.Verdict], c.Content))
		}
	}
	e.cmds = nil
	return strings.Join(out, ", ")
}

func (e *fixture) expect(what, got, want string) {
	e.t.Helper()
	if got != want {
		e.t.Errorf("%s: %s, want %s", what, got, want)
	}
}

const allSent = "send, send, send"

// Outcomes of a gang: one final answer, by the rules of its class, and nothing left running.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		do           func(e *fixture, id dispatch.ID)
		safe, unsafe string
	}{
		"all parts are served":          {func(e *fixture, id dispatch.ID) { e.eachPart(id, 0, 3, e.served) }, `served "part 0"`, `served "part 0"`},
		"two of three parts are served": {func(e *fixture, id dispatch.ID) { e.eachPart(id, 1, 3, e.served) }, "", ""},
		"a part fails": {func(e *fixture, id dispatch.ID) {
			e.record(e.core.Ended(e.now, dispatch.AttemptID{Message: id, Attempt: 1}, logic.Failed, nil))
		}, `drop, drop, refused ""`, `drop, drop, failed ""`},
		"a part fails and another is served after it": {func(e *fixture, id dispatch.ID) {
			e.record(e.core.Ended(e.now, dispatch.AttemptID{Message: id, Attempt: 1}, logic.Broken, nil))
			e.eachPart(id, 0, 1, e.served)
		}, `drop, drop, refused ""`, `drop, drop, failed ""`},
		"its client leaves":      {func(e *fixture, id dispatch.ID) { e.record(e.core.ClientGone(e.now, id)) }, "drop, drop, drop", "drop, drop, drop"},
		"its client's time ends": {func(e *fixture, id dispatch.ID) { e.record(e.core.Expire(e.now, id)) }, `failed "", drop, drop, drop`, `failed "", drop, drop, drop`},
	} {
		for class, want := range []string{c.safe, c.unsafe} {
			e := newFixture(t)
			id := e.arrive(class)
			e.advance(sec / 2)
			e.expect(name, e.commands(), allSent)
			e.eachPart(id, 0, 3, e.began)
			e.advance(2 * sec)
			c.do(e, id)
			e.expect(name, e.commands(), want)
			if _, slots, _ := e.slots.SlotBook(e.now); want != "" {
				e.advance(sec / 2)
				if _, left, _ := e.slots.SlotBook(e.now); left != 0 || e.core.Open() != 0 {
					t.Errorf("%s: %d slots held afterwards of %d, %d messages open", name, left, slots, e.core.Open())
				}
			}
		}
	}
}

// A gang that can't start as a whole is given up: parts don't begin in time, its lease ends before they did, or it
// gets no slots. If all parts began within the lease, they go on after it.
func TestIncompleteStart(t *testing.T) {
	e := newFixture(t)
	id := e.arrive(1)
	e.advance(sec / 2)
	e.expect("sent", e.commands(), allSent)
	e.eachPart(id, 0, 2, e.began)
	e.advance(sec / 2)
	e.expect("two have begun", e.commands(), "")
	e.advance(sec)
	e.expect("the third has not begun in time", e.commands(), `drop, drop, drop, failed ""`)

	e = newFixture(t)
	id = e.arrive(0)
	e.advance(sec / 2)
	e.expect("sent", e.commands(), allSent)
	e.noRounds = true
	e.eachPart(id, 0, 2, e.began)
	e.advance(9 * sec / 10)
	if got := e.commands(); got != `drop, drop, drop, refused ""` {
		t.Errorf("the lease ends while two of three have begun: %s", got)
	}
	if e.core.MayStart(e.now, dispatch.AttemptID{Message: id, Attempt: 2}) {
		t.Error("a part may be sent though its gang has ended")
	}

	e = newFixture(t)
	id = e.arrive(0)
	e.advance(sec / 2)
	e.eachPart(id, 0, 3, e.began)
	e.noRounds = true
	e.advance(5 * sec)
	e.eachPart(id, 0, 3, e.served)
	e.expect("the lease ends once all have begun", e.commands(), allSent+`, served "part 0"`)
}

// Gangs share hosts one after another: a third gang waits until one of two ends, and is refused if its time is
// over first.
func TestWaitForSlots(t *testing.T) {
	e := newFixture(t)
	a, b := e.arrive(0), e.arrive(0)
	e.advance(sec / 2)
	e.expect("two gangs of three on six hosts", e.commands(), allSent+", "+allSent)
	for _, id := range []dispatch.ID{a, b} {
		e.eachPart(id, 0, 3, e.began)
	}
	c := e.arrive(0)
	e.advance(sec / 2)
	e.expect("a third", e.commands(), "")
	e.eachPart(a, 0, 3, e.served)
	e.advance(sec / 2)
	e.expect("one is over", e.commands(), `served "part 0", `+allSent)
	e.eachPart(c, 0, 3, e.began)
	e.arrive(0)
	e.advance(6 * sec)
	e.expect("neither ends", e.commands(), `refused ""`)
}

// A host that drains while a gang waits for its slots gets no part: the gang is placed anew.
func TestDrainingHost(t *testing.T) {
	e := newFixture(t)
	e.arrive(0)
	e.advance(period)
	e.advance(period)
	var cells [2]int
	for i := range 6 {
		if i == 0 || i == 3 {
			e.record(e.core.Inventory(e.now, logic.ListDelta, []dispatch.Host{host(i, logic.Draining)}))
			cells[i/3]++
		}
	}
	e.advance(2 * sec)
	sent := 0
	for _, c := range e.cmds {
		if c.Kind == dispatch.Send {
			sent++
			if slices.Contains([]string{"h0", "h3"}, c.Addr) {
				t.Errorf("a part was sent to %s, which drains", c.Addr)
			}
			if len(c.Gang.Peers) != 3 || c.Gang.Peers[c.Gang.Rank] != c.Addr {
				t.Errorf("part %d at %s has the peers %v", c.Gang.Rank, c.Addr, c.Gang.Peers)
			}
		}
	}
	if sent != 3 {
		t.Errorf("%d parts were sent: %s", sent, e.commands())
	}
}
