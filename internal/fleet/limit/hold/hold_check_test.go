//go:build check

package hold

import (
	"testing"

	"granitewing/internal/check"
	"granitewing/internal/fleet/limit/lease"
)

// Rules that a world can go without.
const (
	fromAsk = "slots count from when they were asked for"
	inOrder = "an ask that was overtaken is not taken"
	newID   = "another set is another ID"
	waits   = "a new book waits until nothing of before can be in use"
)

const leaseFor = 10

// world is a book, which another may follow, two members that want a slot of one host, the links between them, and one clock.
type world struct {
	now     int64
	book    *Book
	asks    []said
	answers [2][]answer
	using   [2]int64 // until when a member uses the slot
	broken  string
}

type said struct {
	who    int
	number int64
	items  []Item
}

type answer struct {
	number int64
	Answer
}

var people = [2]lease.Owner{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}}

// deal has the book take what comes and answer it, some times; before the last another takes its place, where one does.
func (w *world) deal(times int, follows bool) func() {
	return func() {
		for n := range times {
			check.Touch(w)
			if follows && n == times-1 {
				w.book = NewBook(w.now, leaseFor, 1)
				if w.broken == waits {
					w.book.dealsFrom = w.now
				}
			}
			i := check.Choose(len(w.asks) + 1)
			if i == len(w.asks) {
				continue // nothing has come yet, or it is lost
			}
			a := w.asks[i]
			w.asks = append(append([]said(nil), w.asks[:i]...), w.asks[i+1:]...)
			if old := w.book.reports[people[a.who]]; old != nil && w.broken == inOrder {
				old.number = a.number - 1
			}
			w.book.Ask(w.now, people[a.who], a.number, a.items, false)
			for who, got := range w.book.Deal(w.now) {
				for i := range people {
					if people[i] == who {
						w.answers[i] = append(w.answers[i], answer{a.number, got})
					}
				}
			}
		}
	}
}

// member asks, takes what comes and uses the slot if it has it.
type member struct {
	*Holder
	i int
}

func (w *world) ask(m member) {
	check.Touch(w)
	if items, _, any := m.Ask(w.now); any {
		w.asks = append(w.asks, said{m.i, w.now, items})
	}
}

func (w *world) take(m member, id uint64) {
	check.Touch(w)
	if n := len(w.answers[m.i]); n > 0 {
		if k := check.Choose(n + 1); k < n {
			a := w.answers[m.i][k]
			if w.broken == fromAsk {
				a.number = w.now
			}
			m.Granted(w.now, a.number, a.Answer)
		}
	}
	if m.Has(w.now, id) {
		if w.now < w.using[1-m.i] {
			panic("one slot is in two hands")
		}
		w.using[m.i] = m.find(id).grantedUntil
	}
}

// shape is what happens while two members want the same slot.
type shape struct {
	early     bool // the first has told before that it wanted nothing, and that may still be on its way
	exchanges bool // it wants another host's first
	follows   bool // another book follows
	steps     int  // of the clock
	each      int64
}

func passed(c shape, broken string) check.Make {
	return func() ([]func(), func() error) {
		w := &world{now: 100, broken: broken}
		w.book = NewBook(0, leaseFor, 1)
		spot := func(h uint32) []Spot { return []Spot{{Host: h}} }
		first := func() {
			m, id := member{NewHolder(leaseFor), 0}, uint64(1)
			if c.exchanges {
				m.Want(id, spot(2), w.now+50, 5)
				w.ask(m)
				m.Drop(id)
				if broken != newID {
					id = 2
				}
				m.Want(id, spot(1), w.now+50, 5)
			} else {
				if c.early {
					check.Touch(w)
					w.asks = append(w.asks, said{0, w.now - 1, nil})
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
		if c.early || c.exchanges {
			deals = 3
		}
		return []func(){first, second, w.deal(deals, c.follows), clock}, nil
	}
}

// A slot is never in two hands, whichever goroutine stands still for however long, and whatever the links do.
func TestHeldInterleaved(t *testing.T) {
	for without, c := range map[string]shape{
		fromAsk: {steps: 2, each: 6},
		inOrder: {early: true, steps: 1, each: 7},
		newID:   {exchanges: true, steps: 1, each: 7},
		waits:   {follows: true, steps: 2, each: 6},
	} {
		r := check.Run(check.Default, passed(c, ""))
		t.Log(r)
		if r.Err != nil || !r.Whole {
			t.Error(r)
		}
		broken := passed(c, without)
		r = check.Run(check.Default, broken)
		t.Logf("without %q: %v", without, r)
		if r.Err == nil || check.Replay(r.Schedule, broken) == nil {
			t.Errorf("without %q: %v", without, r)
		}
	}
}
