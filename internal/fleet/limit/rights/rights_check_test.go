//go:build check

package rights

import (
	"fmt"
	"testing"

	"granitewing/internal/check"
	"granitewing/internal/fleet/limit/lease"
)

// world is a dealer of one limit, two holders, links that keep, duplicate and reorder messages, and one clock.
type world struct {
	now         int64
	dealer      *Dealer
	asks        []sentAsk
	grants      [2][]sentGrant
	openUntil   [2]int64 // until when a holder's job may run; 0: it has none
	jobs        int
	duplicates  bool
	removedRule string // the rule that this run goes without
}

// ruleClockAfterMessages is the rule that a dealer reads the clock after it has received the messages.
const ruleClockAfterMessages = "the clock is read after the messages"

type sentAsk struct {
	who    lease.Owner
	number int64
	ask    Ask
}

type sentGrant struct {
	number int64
	grant  Grant
}

var (
	dealerID = lease.Owner{Name: "d", Incarnation: 1}
	members  = [2]lease.Owner{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}}
)

// pick receives one of the messages under way, if any. With duplicates the message may also be received again
// later.
func pick[T any](w *world, from *[]T) (v T, any bool) {
	i := check.Choose(len(*from) + 1)
	if i == len(*from) {
		return v, false // nothing has arrived, or it is lost
	}
	v = (*from)[i]
	if !w.duplicates || check.Choose(2) == 0 {
		*from = append(append([]T(nil), (*from)[:i]...), (*from)[i+1:]...)
	}
	return v, true
}

// deal lets the dealer handle and answer a number of messages.
func (w *world) deal(times int) func() {
	return func() {
		for range times {
			check.Touch(w)
			now := w.now
			if w.removedRule == ruleClockAfterMessages {
				check.Touch(w)
			}
			m, any := pick(w, &w.asks)
			if !any {
				continue
			}
			if w.removedRule != ruleClockAfterMessages {
				check.Touch(w) // the clock is read after the messages are received
				now = w.now
			}
			w.dealer.Ask(now, m.who, m.ask)
			for _, g := range w.dealer.Deal(now) {
				for i, who := range members {
					if who == g.To {
						w.grants[i] = append(w.grants[i], sentGrant{m.number, g})
					}
				}
			}
		}
	}
}

// ask sends a holder's ask.
func (w *world) ask(i int, h *Holder) {
	check.Touch(w)
	if a, any := h.Ask(w.now, dealerID); any {
		w.asks = append(w.asks, sentAsk{members[i], w.now, a})
	}
}

// take lets a holder handle a grant and start a job if it may.
func (w *world) take(i int, h *Holder) (p Place, ok bool) {
	check.Touch(w)
	if g, any := pick(w, &w.grants[i]); any {
		if w.removedRule == "rights count from when they were asked for" {
			g.number = w.now
		}
		h.Granted(w.now, g.number, dealerID, g.grant)
	}
	if p, ok = h.Take(w.now); ok {
		w.jobs++
		if w.now < w.openUntil[1-i] {
			panic("one place has two holders")
		}
		w.openUntil[i] = w.now + h.limit.MaxOpenTime
	}
	return p, ok
}

// holder asks once, starts a job if it may, and ends it.
func (w *world) holder(i int, l Limit) func() {
	h := NewHolder(w.now, l)
	return func() {
		w.ask(i, h)
		if p, ok := w.take(i, h); ok {
			check.Touch(w)
			h.Done(w.now, p)
			w.openUntil[i] = 0
		}
	}
}

// twoHolders lets two holders use one place while time passes in two steps of 4. right is the length of the lease of
// a right, and job the longest run time of a job.
func twoHolders(right, job int64, removed string) check.Make {
	return func() ([]func(), func() error) {
		l := Limit{Kind: Open, Amount: 1, Lease: right, MaxOpenTime: job}
		dealerLimit := l
		switch removed {
		case "a right is outstanding for as long as it may be used":
			dealerLimit.Lease = 1
		case "a place is taken until the answer":
			dealerLimit.MaxOpenTime = 0
		}
		w := &world{now: 100, removedRule: removed}
		w.dealer = NewDealer(80, dealerLimit, new(uint64), nil)
		clock := func() {
			for range 2 {
				check.Touch(w)
				w.now += 4
			}
		}
		return []func(){w.holder(0, l), w.holder(1, l), w.deal(2), clock}, nil
	}
}

// A place never has two holders, however long any goroutine pauses and whatever the links do.
func TestPlaceInterleaved(t *testing.T) {
	run := map[[2]int64]bool{}
	for _, c := range []struct {
		right, job int64
		without    string
	}{
		{6, 1, "rights count from when they were asked for"},
		{6, 1, "a right is outstanding for as long as it may be used"},
		{3, 6, "a place is taken until the answer"},
		{6, 1, ruleClockAfterMessages},
	} {
		if whole := [2]int64{c.right, c.job}; !run[whole] {
			run[whole] = true
			r := check.Run(check.Default, twoHolders(c.right, c.job, ""))
			t.Log(r)
			if r.Err != nil || !r.Complete {
				t.Error(r)
			}
		}
		mutation := twoHolders(c.right, c.job, c.without)
		r := check.Run(check.Default, mutation)
		t.Logf("without %q: %v", c.without, r)
		if r.Err == nil || check.Replay(r.Schedule, mutation) == nil {
			t.Errorf("without %q: %v", c.without, r)
		}
	}
}

// unreliableLinks lets one holder use a burst of two, over links that lose, duplicate and reorder messages. With
// forgets the holder restarts in the middle without a new incarnation, which no real process does.
func unreliableLinks(forgets bool) check.Make {
	return func() ([]func(), func() error) {
		l := Limit{Kind: Rate, Amount: 1e-3, Burst: 2, Lease: 1000}
		w := &world{now: 1, duplicates: true}
		w.dealer = NewDealer(-2000, l, new(uint64), nil)
		w.dealer.unallocated, w.dealer.updatedAt = 2, 1
		user := func() {
			h := NewHolder(w.now, l)
			for i := range 3 {
				if forgets && i == 2 {
					h = NewHolder(w.now, l)
				}
				w.openUntil = [2]int64{}
				w.ask(0, h)
				w.take(0, h)
			}
		}
		return []func(){user, w.deal(2)}, func() error {
			if w.jobs > 2 {
				return fmt.Errorf("%d jobs of 2 rights", w.jobs)
			}
			if w.dealer.outstanding < 0 || w.dealer.unallocated+float64(w.dealer.outstanding) > 2 {
				return fmt.Errorf("%d outstanding and %g unallocated of 2", w.dealer.outstanding, w.dealer.unallocated)
			}
			return nil
		}
	}
}

// Lost, duplicated, late or reordered messages give nobody a right twice.
func TestDuplicatesInterleaved(t *testing.T) {
	r := check.Run(check.Default, unreliableLinks(false))
	t.Log(r)
	if r.Err != nil || !r.Complete || r.Schedules < 1000 {
		t.Error(r)
	}
	r = check.Run(check.Default, unreliableLinks(true))
	t.Logf("a process that restarts as the same incarnation: %v", r)
	if r.Err == nil || check.Replay(r.Schedule, unreliableLinks(true)) == nil {
		t.Error(r)
	}
}
