package limit

import (
	"fmt"
	"testing"

	"granitewing/internal/fleet/limit/hold"
	"granitewing/internal/fleet/limit/lease"
)

// Rules of slots held together that a play can go without.
const (
	fromAsk = "rights count from when they were asked for"
	newID   = "another set is another ID"
)

// troupe is a stage whose members want slots of a few hosts together all the time.
type troupe struct {
	*stage
	hosts   uint32
	sets    map[*Part][]*wanted
	last    uint64
	begun   int
	waits   []int64 // of those that got their slots
	doubled int     // looks at which a host's slot was in two hands
}

type wanted struct {
	id    uint64
	spots []hold.Spot
	since int64
	ends  int64 // it gives its slots back then; 0: it has none yet
}

func newTroupe(seed uint64, nodes int, broken string) *troupe {
	t := &troupe{stage: newStage(seed, 0, nil), hosts: 12, sets: map[*Part][]*wanted{}}
	t.broken, t.room = broken, 1
	t.people(nodes)
	for i := range t.nodes {
		t.after(t.rng.Int64N(sec), func() { t.act(i) })
	}
	t.after(sec/50, t.look)
	return t
}

// act has a member want, take, exchange and give back.
func (t *troupe) act(i int) {
	t.after(sec/20, func() { t.act(i) })
	n := t.nodes[i]
	if n.down || n.stopped {
		return
	}
	now, h := n.now(t.at), n.part.Holder()
	kept := t.sets[n.part][:0]
	for _, w := range t.sets[n.part] {
		has := h.Has(now, w.id)
		switch {
		case w.ends == 0 && has:
			w.ends = t.at + t.rng.Int64N(6*sec)
			t.begun++
			t.waits = append(t.waits, t.at-w.since)
		case w.ends > 0 && (t.at >= w.ends || !has), t.at-w.since > 4*sec:
			h.Drop(w.id)
			continue
		case w.ends == 0 && t.rng.IntN(20) == 0: // placed anew
			h.Drop(w.id)
			if t.broken != newID {
				t.last++
				w.id = t.last
			}
			w.spots = t.draw()
			h.Want(w.id, w.spots, now+3*sec, sec)
		}
		kept = append(kept, w)
	}
	if len(kept) < 2 && t.rng.IntN(10) == 0 {
		t.last++
		w := &wanted{id: t.last, spots: t.draw(), since: t.at}
		h.Want(w.id, w.spots, now+3*sec, sec)
		kept = append(kept, w)
	}
	t.sets[n.part] = kept
}

func (t *troupe) draw() (out []hold.Spot) {
	for _, h := range t.rng.Perm(int(t.hosts))[:1+t.rng.IntN(3)] {
		out = append(out, hold.Spot{Host: uint32(h)})
	}
	return out
}

// look watches from outside: whose slots are whose, by what each member that goes on believes.
func (t *troupe) look() {
	t.after(sec/50, t.look)
	owner := map[uint32]*wanted{}
	for _, n := range t.nodes {
		if n.down || n.stopped {
			continue
		}
		for _, w := range t.sets[n.part] {
			if w.ends == 0 || !n.part.Holder().Has(n.now(t.at), w.id) {
				continue
			}
			for _, s := range w.spots {
				if owner[s.Host] != nil {
					t.doubled++
				}
				owner[s.Host] = w
			}
		}
	}
}

func drawn(seed uint64, broken string) *troupe {
	t := newTroupe(seed, []int{12, 5, 30}[seed%3], broken)
	t.schedule(60)
	t.run(60 * sec)
	return t
}

// Whatever fails, a slot is never in two hands, and sets are had all or none; in calm they are had, and nobody waits for ever.
func TestHolds(t *testing.T) {
	for seed := range uint64(*plays) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := drawn(seed, "")
			if s.doubled > 0 {
				t.Errorf("a slot was in two hands at %d looks", s.doubled)
			}
			if s.begun < 20 {
				t.Errorf("%d sets were had in 60 s", s.begun)
			}
			before := s.begun
			s.run(90 * sec)
			t.Logf("%d sets had through faults, %d in the 30 s after them", before, s.begun-before)
			if s.begun-before < 30 {
				t.Errorf("%d sets were had in 30 s of calm", s.begun-before)
			}
		})
	}
}

// Each rule is needed: without it a slot is in two hands before long.
func TestHoldsWithoutARule(t *testing.T) {
	for _, rule := range []string{fromAsk, newID} {
		t.Run(rule, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				if s := drawn(seed, rule); s.doubled > 0 {
					t.Logf("seed %d: at %d looks", seed, s.doubled)
					return
				}
			}
			t.Error("no play has a slot in two hands")
		})
	}
}

// A dealer that ends in order tells the next what it has given, and that one gives at once; after one that dies the next waits.
func TestSlotsHandover(t *testing.T) {
	for seed := range uint64(5) {
		for name, end := range map[string]func(s *troupe, i int){
			"in order": func(s *troupe, i int) { s.resign(i, 20*sec) },
			"killed":   func(s *troupe, i int) { s.kill(i, 20*sec) },
		} {
			s := newTroupe(seed, 12, "")
			s.run(12 * sec)
			end(s, s.dealer())
			s.begun = 0
			s.run(s.at + sec)
			dealt := false
			for _, n := range s.nodes {
				_, _, deals := n.part.Held(n.now(s.at))
				dealt = dealt || deals && !n.down
			}
			if dealt != (name == "in order") {
				t.Errorf("seed %d, %s: slots are dealt a second later: %t", seed, name, dealt)
			}
			s.run(s.at + 10*sec)
			if s.doubled > 0 || s.begun < 5 {
				t.Errorf("seed %d, %s: %d sets had in 11 s, a slot was in two hands at %d looks", seed, name, s.begun, s.doubled)
			}
		}
	}
}

// What a dealer left counts for the one just after it alone: another may have given since, where the post comes a lease after the
// word that the former had heard.
func TestHeirloom(t *testing.T) {
	for _, c := range []struct {
		late  int64 // from that word to the post
		waits bool
	}{{leaseUs / 2, false}, {leaseUs - 1, false}, {leaseUs, true}, {3 * leaseUs, true}} {
		self, former, member := lease.Owner{Name: "n0", Incarnation: 2}, lease.Owner{Name: "n1", Incarnation: 1}, lease.Owner{Name: "m", Incarnation: 1}
		p := New(0, Options{Self: self, Keepers: []string{"n0"}, Lease: leaseUs, Room: 1})
		now := leaseUs + 1 // the post is its own from here on
		p.options.Keepers = append(p.options.Keepers, "n1")
		p.Hear(now, &Message{Kind: SlotsOver, From: former, To: self, Number: now - c.late,
			Table: []hold.Holding{{Who: member, Number: 7, Items: []hold.Item{{ID: 1, Run: sec, Left: sec, Spots: []hold.Spot{{Host: 1}}}}}}})
		p.Round(now)
		if sets, _, deals := p.Held(now); deals == c.waits || (sets == 1) == c.waits {
			t.Errorf("%d us after the word: deals %t, with %d sets", c.late, deals, sets)
		}
		if c.waits {
			continue
		}
		// What the member had told the former dealer before that is overtaken, and does not undo what was given.
		p.Hear(now, &Message{Kind: Ask, From: member, To: self, Number: 6})
		p.Round(now + 1)
		if sets, _, _ := p.Held(now + 1); sets != 1 {
			t.Errorf("an ask that was overtaken undid what was given: %d sets", sets)
		}
	}
}

// A message that is no message, or tells more than there may be, is not taken.
func TestHoldsForm(t *testing.T) {
	m := &Message{Kind: Ask, Look: true, Holds: []hold.Item{{ID: 7, State: hold.Runs, Left: 5, Run: 9, Spots: []hold.Spot{{Host: 1, Rack: 2.5}, {Host: 3, Zone: 1}}}}}
	m.From.Name, m.To.Name = "a", "b"
	g := &Message{Kind: Grant, From: m.To, To: m.From, Held: &hold.Answer{Given: []uint64{7}, Told: true, Busy: []hold.Busy{{Spot: hold.Spot{Host: 4}, Left: 11}}}}
	over := &Message{Kind: SlotsOver, From: m.To, To: m.From, Table: []hold.Holding{{Who: m.From, Number: 3, Items: m.Holds}}}
	said := func(m *Message) string { return fmt.Sprintf("%+v %+v %+v %t", m.Holds, m.Held, m.Table, m.Look) }
	for _, m := range []*Message{m, g, over} {
		b := Append(nil, m)
		got, err := Parse(b)
		if err != nil || said(got) != said(m) {
			t.Errorf("%+v, %v", got, err)
		}
		for n := range b {
			if _, err := Parse(b[:n]); err == nil {
				t.Errorf("%d of %d bytes are taken", n, len(b))
			}
		}
	}
	m.Holds[0].Run = -1
	if _, err := Parse(Append(nil, m)); err == nil {
		t.Error("a run of less than nothing")
	}
}
