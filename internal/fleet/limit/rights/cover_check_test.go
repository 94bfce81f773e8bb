//go:build check

package rights

import (
	"testing"

	"granitewing/internal/check"
	"granitewing/internal/fleet/limit/cover"
	"granitewing/internal/fleet/limit/lease"
)

// keeper is one of three keepers, with its promise and its replica.
type keeper struct {
	lease.Owner
	promised lease.Owner
	turn     int64
	shelf    cover.Replica
}

// handover is a post that passes from x to y while one place is granted, to a by x and to b by y. Time hardly
// passes.
type handover struct {
	now         int64
	post        lease.Owner
	keepers     [3]*keeper
	x, y        *Dealer
	asked       int64      // when a asked x
	grant       *sentGrant // from x to a, under way
	jobs        int
	removedRule string
}

// Rules that a run can remove.
const (
	ruleMajorityStores   = "nothing is granted beyond what a majority stores"
	ruleReadMajority     = "the next dealer uses what a majority knows"
	ruleNoEarlierSession = "grants of an earlier session are not taken up again"
)

var (
	x, y, z = lease.Owner{Name: "x", Incarnation: 1}, lease.Owner{Name: "y", Incarnation: 1}, lease.Owner{Name: "z", Incarnation: 1}
	a       = members[0]
)

func (w *handover) tick() int64 { w.now++; return w.now }

// storeTable sends a dealer's table to a keeper, and the confirmation back.
func (w *handover) storeTable(d *Dealer, from lease.Owner, k *keeper) {
	table, version := d.cover.Table()
	if _, turn := d.cover.Keeper(k.Name); k.promised == from && k.shelf.Put(k.turn, turn, version, table) {
		d.cover.Confirmed(k.Owner, turn, version)
	}
}

// readTable lets a dealer ask a keeper for its table.
func (w *handover) readTable(d *Dealer, from lease.Owner, k *keeper) {
	if k.promised != from {
		return
	}
	t, known := k.shelf.Look()
	if most, all := d.cover.Found(k.Owner, w.tick(), k.turn, t, known); all {
		d.Adopt(w.now, most)
		d.cover.Settle()
	}
}

// startJob lets a holder start a job if it may.
func (w *handover) startJob(h *Holder) {
	if _, ok := h.Take(w.now); ok {
		if w.jobs++; w.jobs > 1 {
			panic("one place was taken twice")
		}
	}
}

// formerDealer is the dealer that loses the post: it sends the table with a's entry to two keepers, in either
// order, and then grants.
func (w *handover) formerDealer() {
	first := check.Choose(2)
	for i := range 2 {
		check.Touch(w)
		if check.Choose(2) == 0 { // or the message is lost
			w.storeTable(w.x, x, w.keepers[1+(first+i)%2])
		}
	}
	check.Touch(w)
	if w.post == x {
		w.x.Ask(w.tick(), a, Ask{Demand: 1})
		for _, g := range w.x.Deal(w.now) {
			w.grant = &sentGrant{w.asked, g}
		}
	}
}

// nextDealer is the dealer that gets the post, by its own promise and that of another keeper.
func (w *handover) nextDealer() {
	check.Touch(w)
	w.post = lease.Owner{} // no majority is promised to x any more
	other := w.keepers[2*check.Choose(2)]
	for _, k := range []*keeper{w.keepers[1], other} {
		k.promised, k.turn = y, k.turn+1
	}
	covers := cover.NewBook(w.now, 3)
	if w.removedRule == ruleReadMajority {
		covers = cover.NewBook(w.now, 1)
	}
	w.y = NewDealer(w.now, w.x.limit, new(uint64), covers)
	w.readTable(w.y, y, w.keepers[1])
	check.Touch(w)
	w.readTable(w.y, y, other)
	w.post = y
}

// ask lets a holder (0 is a, 1 is b) ask y and handle the answer; y sends its table to the keepers as needed.
func (w *handover) ask(i int, h *Holder) {
	if w.post != y {
		return
	}
	who := members[i]
	for range 2 {
		now := w.tick()
		w.startJob(h) // without a right this registers demand
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
			w.storeTable(w.y, y, k)
		}
	}
}

// holderA is a: it may receive x's grant and start a job, asks y, and may receive x's grant later.
func (w *handover) holderA() {
	h := NewHolder(w.now, w.x.limit)
	take := func() {
		check.Touch(w)
		if w.grant != nil {
			h.Granted(w.now, w.grant.number, x, w.grant.grant)
			w.startJob(h)
		}
	}
	if check.Choose(2) == 0 {
		take()
	}
	check.Touch(w)
	w.ask(0, h)
	if w.removedRule == ruleNoEarlierSession {
		h.lastAnswered = 0
	}
	take()
}

// holderB is b, which asks y.
func (w *handover) holderB() {
	h := NewHolder(w.now, w.x.limit)
	check.Touch(w)
	w.ask(1, h)
	w.startJob(h)
}

func runHandover(removed string) check.Make {
	return func() ([]func(), func() error) {
		l := Limit{Kind: Open, Amount: 1, Lease: 1e6, MaxOpenTime: 1e6}
		w := &handover{now: 1, post: x, removedRule: removed}
		for i, o := range []lease.Owner{x, y, z} {
			w.keepers[i] = &keeper{Owner: o, promised: x, turn: 1}
		}
		w.x = NewDealer(-4e6, l, new(uint64), cover.NewBook(0, 3))
		w.x.cover.Settle()
		for _, k := range w.keepers {
			w.readTable(w.x, x, k)
			k.shelf.Put(1, 1, 0, nil)
		}
		w.x.cover.Want(w.now, cover.Table{})
		for _, k := range w.keepers {
			w.storeTable(w.x, x, k)
		}
		w.asked = w.tick()
		w.x.Ask(w.now, a, Ask{Demand: 1})
		w.x.Deal(w.now) // a's entry is sent to the keepers next
		w.storeTable(w.x, x, w.keepers[0])
		if removed == ruleMajorityStores {
			_, version := w.x.cover.Table()
			for _, k := range w.keepers {
				w.x.cover.Confirmed(k.Owner, k.turn, version)
			}
		}
		return []func(){w.formerDealer, w.nextDealer, w.holderA, w.holderB}, nil
	}
}

// When a post passes to another process no place is taken twice, however long any goroutine pauses and whatever is
// lost.
func TestHandoverInterleaved(t *testing.T) {
	r := check.Run(check.Default, runHandover(""))
	t.Log(r)
	if r.Err != nil || !r.Complete || r.Schedules < 1000 {
		t.Error(r)
	}
	for _, rule := range []string{ruleMajorityStores, ruleReadMajority, ruleNoEarlierSession} {
		r := check.Run(check.Default, runHandover(rule))
		t.Logf("without %q: %v", rule, r)
		if r.Err == nil || check.Replay(r.Schedule, runHandover(rule)) == nil {
			t.Errorf("without %q: %v", rule, r)
		}
	}
}
