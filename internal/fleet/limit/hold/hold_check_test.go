//go:build check

package hold

import (
	"testing"

	"granitewing/internal/check"
	"granitewing/internal/fleet/limit/lease"
)

// Rules that a scenario can remove.
const (
	ruleLeaseFromAsk = "slots count from when they were asked for"
	ruleInOrder      = "a reordered ask is ignored"
	ruleNewID        = "a new set has a new ID"
	ruleNewBookWaits = "a new book waits until earlier grants have expired"
)

const leaseFor = 10

// world is a book, which a new one may replace, two members that want a slot of one host, the links between them,
// and one clock.
type world struct {
	now         int64
	book        *Book
	asks        []sentReport
	answers     [2][]sentAnswer
	usedUntil   [2]int64 // until when a member uses the slot
	removedRule string
}

type sentReport struct {
	who    int
	number int64
	items  []Item
}

type sentAnswer struct {
	number int64
	Answer
}

var members = [2]lease.Owner{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}}

// deal lets the book handle a number of messages and answer them. With follows, a new book replaces it before the
// last.
func (w *world) deal(times int, follows bool) func() {
	return func() {
		for n := range times {
			check.Touch(w)
			if follows && n == times-1 {
				w.book = NewBook(w.now, leaseFor, 1)
				if w.removedRule == ruleNewBookWaits {
					w.book.dealsFrom = w.now
				}
			}
			i := check.Choose(len(w.asks) + 1)
			if i == len(w.asks) {
				continue // nothing has arrived, or it is lost
			}
			a := w.asks[i]
			w.asks = append(append([]sentReport(nil), w.asks[:i]...), w.asks[i+1:]...)
			if old := w.book.reports[members[a.who]]; old != nil && w.removedRule == ruleInOrder {
				old.number = a.number - 1
			}
			w.book.Ask(w.now, members[a.who], a.number, a.items, false)
			for who, got := range w.book.Deal(w.now) {
				for i := range members {
					if members[i] == who {
						w.answers[i] = append(w.answers[i], sentAnswer{a.number, got})
					}
				}
			}
		}
	}
}

// member asks, handles answers, and uses the slot if it has it.
type member struct {
	*Holder
	i int
}

func (w *world) ask(m member) {
	check.Touch(w)
	if items, _, any := m.Ask(w.now); any {
		w.asks = append(w.asks, sentReport{m.i, w.now, items})
	}
}

func (w *world) take(m member, id uint64) {
	check.Touch(w)
	if n := len(w.answers[m.i]); n > 0 {
		if k := check.Choose(n + 1); k < n {
			a := w.answers[m.i][k]
			if w.removedRule == ruleLeaseFromAsk {
				a.number = w.now
			}
			m.Granted(w.now, a.number, a.Answer)
		}
	}
	if m.Has(w.now, id) {
		if w.now < w.usedUntil[1-m.i] {
			panic("one slot has two holders")
		}
		w.usedUntil[m.i] = m.find(id).grantedUntil
	}
}

// scenario is what happens while two members want the same slot.
type scenario struct {
	delayedAsk  bool // the first member has reported before that it wants nothing, and that report may still be under way
	replacesSet bool // the first member wants a slot of another host first
	newBook     bool // a new book replaces the first
	steps       int  // of the clock
	each        int64
}

func twoMembers(c scenario, removed string) check.Make {
	return func() ([]func(), func() error) {
		w := &world{now: 100, removedRule: removed}
		w.book = NewBook(0, leaseFor, 1)
		spot := func(h uint32) []Spot { return []Spot{{Host: h}} }
		first := func() {
			m, id := member{NewHolder(leaseFor), 0}, uint64(1)
			if c.replacesSet {
				m.Want(id, spot(2), w.now+50, 5)
				w.ask(m)
				m.Drop(id)
				if removed != ruleNewID {
					id = 2
				}
				m.Want(id, spot(1), w.now+50, 5)
			} else {
				if c.delayedAsk {
					check.Touch(w)
					w.asks = append(w.asks, sentReport{0, w.now - 1, nil})
				}
				m.Want(id, spot(1), w.now+50, 5)
				w.ask(m)
			}
			w.take(m, id)
		}
		second := func() {
			m := member{NewHolder(leaseFor), 1}
			m.Want(9, spot(1), w.now+50, 5)
			w.ask(m)
			w.take(m, 9)
		}
		clock := func() {
			for range c.steps {
				check.Touch(w)
				w.now += c.each
			}
		}
		deals := 2
		if c.delayedAsk || c.replacesSet {
			deals = 3
		}
		return []func(){first, second, w.deal(deals, c.newBook), clock}, nil
	}
}

// A slot never has two holders, however long any goroutine pauses and whatever the links do.
func TestSlotInterleaved(t *testing.T) {
	for without, c := range map[string]scenario{
		ruleLeaseFromAsk: {steps: 2, each: 6},
		ruleInOrder:      {delayedAsk: true, steps: 1, each: 7},
		ruleNewID:        {replacesSet: true, steps: 1, each: 7},
		ruleNewBookWaits: {newBook: true, steps: 2, each: 6},
	} {
		r := check.Run(check.Default, twoMembers(c, ""))
		t.Log(r)
		if r.Err != nil || !r.Complete {
			t.Error(r)
		}
		mutation := twoMembers(c, without)
		r = check.Run(check.Default, mutation)
		t.Logf("without %q: %v", without, r)
		if r.Err == nil || check.Replay(r.Schedule, mutation) == nil {
			t.Errorf("without %q: %v", without, r)
		}
	}
}
