//go:build check

package rights

import (
	"testing"

	"granitewing/internal/check"
	"granitewing/internal/fleet/limit/cover"
	"granitewing/internal/fleet/limit/lease"
)

// keeper is one of three, with its promise and its shelf.
type keeper struct {
	lease.Owner
	promised lease.Owner
	turn     int64
	shelf    cover.Shelf
}

// passing is a post that goes from x to y while one place is dealt, to a by x and to b by y. Time hardly goes on.
type passing struct {
	now     int64
	post    lease.Owner
	keepers [3]*keeper
	x, y    *Dealer
	asked   int64   // when a asked x
	grant   *answer // of x to a, on its way
	jobs    int
	broken  string
}

// Rules that it can go without.
const (
	covered = "nothing is given past what a majority keeps"
	most    = "the next dealer goes by what a majority knows"
	passed2 = "what an earlier session gave is not taken up again"
)

var (
	x, y, z = lease.Owner{Name: "x", Incarnation: 1}, lease.Owner{Name: "y", Incarnation: 1}, lease.Owner{Name: "z", Incarnation: 1}
	a       = people[0]
)

func (w *passing) tick() int64 { w.now++; return w.now }

// put has a dealer tell a keeper its table, and hears that it is kept.
func (w *passing) put(d *Dealer, from lease.Owner, k *keeper) {
	table, version := d.cover.Told()
	if _, turn := d.cover.To(k.Name); k.promised == from && k.shelf.Put(k.turn, turn, version, table) {
		d.cover.Has(k.Owner, turn, version)
	}
}

// found has a dealer ask a keeper what it knows.
func (w *passing) found(d *Dealer, from lease.Owner, k *keeper) {
	if k.promised != from {
		return
	}
	t, known := k.shelf.Look()
	if most, all := d.cover.Found(k.Owner, w.tick(), k.turn, t, known); all {
		d.Adopt(w.now, most)
		d.cover.Settle()
	}
}

// give has a holder start a job if it may.
func (w *passing) give(h *Holder) {
	if _, ok := h.Take(w.now); ok {
		if w.jobs++; w.jobs > 1 {
			panic("one place was taken twice")
		}
	}
}

// former is the dealer that loses the post: it tells two keepers, in either order, what a is to have, and gives it.
func (w *passing) former() {
	first := check.Choose(2)
	for i := range 2 {
		check.Touch(w)
		if check.Choose(2) == 0 { // or it is lost
			w.put(w.x, x, w.keepers[1+(first+i)%2])
		}
	}
	check.Touch(w)
	if w.post == x {
		w.x.Ask(w.tick(), a, Ask{Demand: 1})
		for _, g := range w.x.Deal(w.now) {
			w.grant = &answer{w.asked, g}
		}
	}
}

// next is the one that gets it, by its own word and another's.
func (w *passing) next() {
	check.Touch(w)
	w.post = lease.Owner{} // no majority is promised to x any more
	other := w.keepers[2*check.Choose(2)]
	for _, k := range []*keeper{w.keepers[1], other} {
		k.promised, k.turn = y, k.turn+1
	}
	covers := cover.NewBook(w.now, 3)
	if w.broken == most {
		covers = cover.NewBook(w.now, 1)
	}
	w.y = NewDealer(w.now, w.x.limit, new(uint64), covers)
	w.found(w.y, y, w.keepers[1])
	check.Touch(w)
	w.found(w.y, y, other)
	w.post = y
}

// ask has a holder (0 is a, 1 is b) ask y, and take the answer; y tells the keepers as it needs to.
func (w *passing) ask(i int, h *Holder) {
	if w.post != y {
		return
	}
	who := people[i]
	for range 2 {
		now := w.tick()
		w.give(h) // what it has not it asks for
		m, any := h.Ask(now, y)
		if !any {
			return
		}
		w.y.Ask(now, who, m)
		for _, g := range w.y.Deal(now) {
			if g.To == who {
				h.Granted(now, now, y, g)
			}
		}
		for _, k := range w.keepers {
			w.put(w.y, y, k)
		}
	}
}

// early is a: it may take what x gave and start a job, asks y, and may find what x gave later.
func (w *passing) early() {
	h := NewHolder(w.now, w.x.limit)
	take := func() {
		check.Touch(w)
		if w.grant != nil {
			h.Granted(w.now, w.grant.number, x, w.grant.grant)
			w.give(h)
		}
	}
	if check.Choose(2) == 0 {
		take()
	}
	check.Touch(w)
	w.ask(0, h)
	if w.broken == passed2 {
		h.lastAnswered = 0
	}
	take()
}

// late is b, which asks y.
func (w *passing) late() {
	h := NewHolder(w.now, w.x.limit)
	check.Touch(w)
	w.ask(1, h)
	w.give(h)
}

func passOn(broken string) check.Make {
	return func() ([]func(), func() error) {
		l := Limit{Kind: Open, Amount: 1, Lease: 1e6, Linger: 1e6}
		w := &passing{now: 1, post: x, broken: broken}
		for i, o := range []lease.Owner{x, y, z} {
			w.keepers[i] = &keeper{Owner: o, promised: x, turn: 1}
		}
		w.x = NewDealer(-4e6, l, new(uint64), cover.NewBook(0, 3))
		w.x.cover.Settle()
		for _, k := range w.keepers {
			w.found(w.x, x, k)
			k.shelf.Put(1, 1, 0, nil)
		}
		w.x.cover.Want(w.now, cover.Table{})
		for _, k := range w.keepers {
			w.put(w.x, x, k)
		}
		w.asked = w.tick()
		w.x.Ask(w.now, a, Ask{Demand: 1})
		w.x.Deal(w.now) // what a is to have is told next
		w.put(w.x, x, w.keepers[0])
		if broken == covered {
			_, version := w.x.cover.Told()
			for _, k := range w.keepers {
				w.x.cover.Has(k.Owner, k.turn, version)
			}
		}
		return []func(){w.former, w.next, w.early, w.late}, nil
	}
}

// A post that passes on has no place taken twice, whoever stands still for however long, and whatever is lost.
func TestPassedOnInterleaved(t *testing.T) {
	r := check.Run(check.Default, passOn(""))
	t.Log(r)
	if r.Err != nil || !r.Whole || r.Schedules < 1000 {
		t.Error(r)
	}
	for _, rule := range []string{covered, most, passed2} {
		r := check.Run(check.Default, passOn(rule))
		t.Logf("without %q: %v", rule, r)
		if r.Err == nil || check.Replay(r.Schedule, passOn(rule)) == nil {
			t.Errorf("without %q: %v", rule, r)
		}
	}
}
