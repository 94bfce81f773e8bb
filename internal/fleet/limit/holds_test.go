package limit

import (
	"fmt"
	"testing"

	"granitewing/internal/fleet/limit/hold"
	"granitewing/internal/fleet/limit/lease"
)

// Rules of slots held together that a run can remove.
const (
	ruleLeaseFromAsk = "rights count from when they were asked for"
	ruleNewID        = "a new set has a new ID"
)

// slotHarness is a harness whose members always want slots of a few hosts together.
type slotHarness struct {
	*harness
	hosts      uint32
	sets       map[*Part][]*slotRequest
	last       uint64
	acquired   int
	waitTimes  []int64 // of sets that were granted
	doubleHeld int     // checks that found a slot with two holders
}

type slotRequest struct {
	id    uint64
	spots []hold.Spot
	since int64
	ends  int64 // when its slots are given back; 0: none are granted yet
}

func newSlotHarness(seed uint64, nodes int, removed string) *slotHarness {
	t := &slotHarness{harness: newHarness(seed, 0, nil), hosts: 12, sets: map[*Part][]*slotRequest{}}
	t.removedRule, t.room = removed, 1
	t.addNodes(nodes)
	for i := range t.nodes {
		t.after(t.rng.Int64N(sec), func() { t.step(i) })
	}
	t.after(sec/50, t.checkOwners)
	return t
}

// step lets a member ask for, start to use, replace and drop sets of slots.
func (t *slotHarness) step(i int) {
	t.after(sec/20, func() { t.step(i) })
	n := t.nodes[i]
	if n.down || n.paused {
		return
	}
	now, h := n.now(t.at), n.part.Holder()
	kept := t.sets[n.part][:0]
	for _, w := range t.sets[n.part] {
		has := h.Has(now, w.id)
		switch {
		case w.ends == 0 && has:
			w.ends = t.at + t.rng.Int64N(6*sec)
			t.acquired++
			t.waitTimes = append(t.waitTimes, t.at-w.since)
		case w.ends > 0 && (t.at >= w.ends || !has), t.at-w.since > 4*sec:
			h.Drop(w.id)
			continue
		case w.ends == 0 && t.rng.IntN(20) == 0: // placed anew
			h.Drop(w.id)
			if t.removedRule != ruleNewID {
				t.last++
				w.id = t.last
			}
			w.spots = t.randomSpots()
			h.Want(w.id, w.spots, now+3*sec, sec)
		}
		kept = append(kept, w)
	}
	if len(kept) < 2 && t.rng.IntN(10) == 0 {
		t.last++
		w := &slotRequest{id: t.last, spots: t.randomSpots(), since: t.at}
		h.Want(w.id, w.spots, now+3*sec, sec)
		kept = append(kept, w)
	}
	t.sets[n.part] = kept
}

func (t *slotHarness) randomSpots() (out []hold.Spot) {
	for _, h := range t.rng.Perm(int(t.hosts))[:1+t.rng.IntN(3)] {
		out = append(out, hold.Spot{Host: uint32(h)})
	}
	return out
}

// checkOwners compares the slots that the running members believe to be their own.
func (t *slotHarness) checkOwners() {
	t.after(sec/50, t.checkOwners)
	owner := map[uint32]*slotRequest{}
	for _, n := range t.nodes {
		if n.down || n.paused {
			continue
		}
		for _, w := range t.sets[n.part] {
			if w.ends == 0 || !n.part.Holder().Has(n.now(t.at), w.id) {
				continue
			}
			for _, s := range w.spots {
				if owner[s.Host] != nil {
					t.doubleHeld++
				}
				owner[s.Host] = w
			}
		}
	}
}

func runSlotFaults(seed uint64, removed string) *slotHarness {
	t := newSlotHarness(seed, []int{12, 5, 30}[seed%3], removed)
	t.scheduleFaults(60)
	t.run(60 * sec)
	return t
}

// Whatever fails, a slot never has two holders, and sets are granted all or none. Without faults they are granted,
// and no set waits for ever.
func TestSlotFaults(t *testing.T) {
	for seed := range uint64(*faultRuns) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := runSlotFaults(seed, "")
			if s.doubleHeld > 0 {
				t.Errorf("%d checks found a slot with two holders", s.doubleHeld)
			}
			if s.acquired < 20 {
				t.Errorf("%d sets were granted in 60 s", s.acquired)
			}
			before := s.acquired
			s.run(90 * sec)
			t.Logf("%d sets granted during faults, %d in the 30 s after them", before, s.acquired-before)
			if s.acquired-before < 30 {
				t.Errorf("%d sets were granted in 30 s without faults", s.acquired-before)
			}
		})
	}
}

// Each rule is needed: without it a slot soon has two holders.
func TestSlotFaultsWithRuleRemoved(t *testing.T) {
	for _, rule := range []string{ruleLeaseFromAsk, ruleNewID} {
		t.Run(rule, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				if s := runSlotFaults(seed, rule); s.doubleHeld > 0 {
					t.Logf("seed %d: %d checks found a slot with two holders", seed, s.doubleHeld)
					return
				}
			}
			t.Error("no run has a slot with two holders")
		})
	}
}

// A dealer that leaves in order tells its successor what it has granted, and the successor grants at once. After a
// dealer that was killed the next one waits.
func TestSlotsHandover(t *testing.T) {
	for seed := range uint64(5) {
		for name, end := range map[string]func(s *slotHarness, i int){
			"in order": func(s *slotHarness, i int) { s.leave(i, 20*sec) },
			"killed":   func(s *slotHarness, i int) { s.kill(i, 20*sec) },
		} {
			s := newSlotHarness(seed, 12, "")
			s.run(12 * sec)
			end(s, s.dealer())
			s.acquired = 0
			s.run(s.at + sec)
			granted := false
			for _, n := range s.nodes {
				_, _, deals := n.part.SlotBook(n.now(s.at))
				granted = granted || deals && !n.down
			}
			if granted != (name == "in order") {
				t.Errorf("seed %d, %s: slots are granted a second later: %t", seed, name, granted)
			}
			s.run(s.at + 10*sec)
			if s.doubleHeld > 0 || s.acquired < 5 {
				t.Errorf("seed %d, %s: %d sets granted in 11 s, %d checks found a slot with two holders", seed, name, s.acquired, s.doubleHeld)
			}
		}
	}
}

// A handover counts only for the immediate successor. If the successor became dealer a lease or more after the
// promise that the former dealer had received, another dealer may have granted slots in between.
func TestSlotHandoverFromPredecessorOnly(t *testing.T) {
	for _, c := range []struct {
		late  int64 // from that promise to the start as dealer
		waits bool
	}{{leaseUs / 2, false}, {leaseUs - 1, false}, {leaseUs, true}, {3 * leaseUs, true}} {
		self, former, member := lease.Owner{Name: "n0", Incarnation: 2}, lease.Owner{Name: "n1", Incarnation: 1}, lease.Owner{Name: "m", Incarnation: 1}
		p := New(0, Options{Self: self, Keepers: []string{"n0"}, Lease: leaseUs, SlotsPerHost: 1})
		now := leaseUs + 1 // from here on it can hold the post
		p.options.Keepers = append(p.options.Keepers, "n1")
		p.Receive(now, &Message{Kind: SlotHandover, From: former, To: self, Number: now - c.late,
			Table: []hold.Holding{{Who: member, Number: 7, Items: []hold.Item{{ID: 1, Run: sec, Left: sec, Spots: []hold.Spot{{Host: 1}}}}}}})
		p.Round(now)
		if sets, _, deals := p.SlotBook(now); deals == c.waits || (sets == 1) == c.waits {
			t.Errorf("%d us after the promise: grants %t, with %d sets", c.late, deals, sets)
		}
		if c.waits {
			continue
		}
		// What the member had sent to the former dealer before is out of order, and does not undo the grant.
		p.Receive(now, &Message{Kind: Ask, From: member, To: self, Number: 6})
		p.Round(now + 1)
		if sets, _, _ := p.SlotBook(now + 1); sets != 1 {
			t.Errorf("a reordered ask undid a grant: %d sets", sets)
		}
	}
}

// Malformed messages, and those that exceed the limits, are rejected.
func TestSlotEncoding(t *testing.T) {
	m := &Message{Kind: Ask, Look: true, Holds: []hold.Item{{ID: 7, State: hold.Runs, Left: 5, Run: 9, Spots: []hold.Spot{{Host: 1, Rack: 2.5}, {Host: 3, Zone: 1}}}}}
	m.From.Name, m.To.Name = "a", "b"
	g := &Message{Kind: Grant, From: m.To, To: m.From, Held: &hold.Answer{Given: []uint64{7}, BusyIncluded: true, Busy: []hold.Busy{{Spot: hold.Spot{Host: 4}, Left: 11}}}}
	over := &Message{Kind: SlotHandover, From: m.To, To: m.From, Table: []hold.Holding{{Who: m.From, Number: 3, Items: m.Holds}}}
	describe := func(m *Message) string { return fmt.Sprintf("%+v %+v %+v %t", m.Holds, m.Held, m.Table, m.Look) }
	for _, m := range []*Message{m, g, over} {
		b := Append(nil, m)
		got, err := Parse(b)
		if err != nil || describe(got) != describe(m) {
			t.Errorf("%+v, %v", got, err)
		}
		for n := range b {
			if _, err := Parse(b[:n]); err == nil {
				t.Errorf("%d of %d bytes are accepted", n, len(b))
			}
		}
	}
	m.Holds[0].Run = -1
	if _, err := Parse(Append(nil, m)); err == nil {
		t.Error("a negative run time is accepted")
	}
}
