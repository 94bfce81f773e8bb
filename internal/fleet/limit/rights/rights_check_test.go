//go:build check

package rights

import (
	"fmt"
	"testing"

	"granitewing/internal/check"
	"granitewing/internal/fleet/limit/lease"
)

// world is a dealer of one limit, two holders, links that keep, double and turn round what is on its way, and one clock.
type world struct {
	now     int64
	dealer  *Dealer
	asks    []sent
	grants  [2][]answer
	open    [2]int64 // till when a holder's job may run; 0: it has none
	taken   int
	doubles bool
	broken  string // the rule that it goes without
}

// late is the rule that a dealer reads the clock after it has taken what came.
const late = "the clock is read after the messages"

type sent struct {
	who    lease.Owner
	number int64
	ask    Ask
}

type answer struct {
	number int64
	grant  Grant
}

var (
	deals  = lease.Owner{Name: "d", Incarnation: 1}
	people = [2]lease.Owner{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}}
)

// pick takes one of what is on its way, if any is, and where links double has it come again later or not.
func pick[T any](w *world, from *[]T) (v T, any bool) {
	i := check.Choose(len(*from) + 1)
	if i == len(*from) {
		return v, false // nothing has come yet, or it is lost
	}
	v = (*from)[i]
	if !w.doubles || check.Choose(2) == 0 {
		*from = append(append([]T(nil), (*from)[:i]...), (*from)[i+1:]...)
	}
	return v, true
}

// deal has the dealer take what comes and answer it, some times.
func (w *world) deal(times int) func() {
	return func() {
		for range times {
			check.Touch(w)
			now := w.now
			if w.broken == late {
				check.Touch(w)
			}
			m, any := pick(w, &w.asks)
			if !any {
				continue
			}
			if w.broken != late {
				check.Touch(w) // the clock is read once all is taken
				now = w.now
			}
			w.dealer.Ask(now, m.who, m.ask)
			for _, g := range w.dealer.Deal(now) {
				for i, who := range people {
					if who == g.To {
						w.grants[i] = append(w.grants[i], answer{m.number, g})
					}
				}
			}
		}
	}
}

// ask has a holder ask.
func (w *world) ask(i int, h *Holder) {
	check.Touch(w)
	if a, any := h.Ask(w.now, deals); any {
		w.asks = append(w.asks, sent{people[i], w.now, a})
	}
}

// take has a holder take what has come for it, and start a job if it may.
func (w *world) take(i int, h *Holder) (p Place, ok bool) {
	check.Touch(w)
	if g, any := pick(w, &w.grants[i]); any {
		if w.broken == "rights count from when they were asked for" {
			g.number = w.now
		}
		h.Granted(w.now, g.number, deals, g.grant)
	}
	if p, ok = h.Take(w.now); ok {
		w.taken++
		if w.now < w.open[1-i] {
			panic("one place is in two hands")
		}
		w.open[i] = w.now + h.limit.Linger
	}
	return p, ok
}

// holder is one that asks once, starts a job if it may, and ends it.
func (w *world) holder(i int, l Limit) func() {
	h := NewHolder(w.now, l)
	return func() {
		w.ask(i, h)
		if p, ok := w.take(i, h); ok {
			check.Touch(w)
			h.Done(w.now, p)
			w.open[i] = 0
		}
	}
}

// passed has one place pass between two holders while time goes on in two steps of 4; a right counts for a time, and a job
// runs for one.
func passed(right, job int64, broken string) check.Make {
	return func() ([]func(), func() error) {
		l := Limit{Kind: Open, Amount: 1, Lease: right, Linger: job}
		dealt := l
		switch broken {
		case "a right is out for as long as it may be used":
			dealt.Lease = 1
		case "a place is taken until the answer":
			dealt.Linger = 0
		}
		w := &world{now: 100, broken: broken}
		w.dealer = NewDealer(80, dealt, new(uint64), nil)
		clock := func() {
			for range 2 {
				check.Touch(w)
				w.now += 4
			}
		}
		return []func(){w.holder(0, l), w.holder(1, l), w.deal(2), clock}, nil
	}
}

// A place is never in two hands, whichever goroutine stands still for however long, and whatever the links do.
func TestPassedInterleaved(t *testing.T) {
	run := map[[2]int64]bool{}
	for _, c := range []struct {
		right, job int64
		without    string
	}{
		{6, 1, "rights count from when they were asked for"},
		{6, 1, "a right is out for as long as it may be used"},
		{3, 6, "a place is taken until the answer"},
		{6, 1, late},
	} {
		if whole := [2]int64{c.right, c.job}; !run[whole] {
			run[whole] = true
			r := check.Run(check.Default, passed(c.right, c.job, ""))
			t.Log(r)
			if r.Err != nil || !r.Whole {
				t.Error(r)
			}
		}
		broken := passed(c.right, c.job, c.without)
		r := check.Run(check.Default, broken)
		t.Logf("without %q: %v", c.without, r)
		if r.Err == nil || check.Replay(r.Schedule, broken) == nil {
			t.Errorf("without %q: %v", c.without, r)
		}
	}
}

// doubled has one holder use a burst of two, over links that lose, double and turn round; forgets has it start anew in the
// middle as the same process, which no process does.
func doubled(forgets bool) check.Make {
	return func() ([]func(), func() error) {
		l := Limit{Kind: Rate, Amount: 1e-3, Burst: 2, Lease: 1000}
		w := &world{now: 1, doubles: true}
		w.dealer = NewDealer(-2000, l, new(uint64), nil)
		w.dealer.unallocated, w.dealer.updatedAt = 2, 1
		user := func() {
			h := NewHolder(w.now, l)
			for i := range 3 {
				if forgets && i == 2 {
					h = NewHolder(w.now, l)
				}
				w.open = [2]int64{}
				w.ask(0, h)
				w.take(0, h)
			}
		}
		return []func(){user, w.deal(2)}, func() error {
			if w.taken > 2 {
				return fmt.Errorf("%d jobs of 2 rights", w.taken)
			}
			if w.dealer.outstanding < 0 || w.dealer.unallocated+float64(w.dealer.outstanding) > 2 {
				return fmt.Errorf("%d out and %g left of 2", w.dealer.outstanding, w.dealer.unallocated)
			}
			return nil
		}
	}
}

// What is lost, doubled, late or out of order gives nobody a right twice.
func TestDoubledInterleaved(t *testing.T) {
	r := check.Run(check.Default, doubled(false))
	t.Log(r)
	if r.Err != nil || !r.Whole || r.Schedules < 1000 {
		t.Error(r)
	}
	r = check.Run(check.Default, doubled(true))
	t.Logf("a process that forgets: %v", r)
	if r.Err == nil || check.Replay(r.Schedule, doubled(true)) == nil {
		t.Error(r)
	}
}
