//go:build check

// Package check runs two to four goroutines of real code one at a time over all the orders in which they can touch what they
// share (seam). Orders that differ only in the order of touches of different objects are alike, and one of them is run
// (sleep sets). What it finds is an order, as a short list, that can be run again.
package check

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"granitewing/internal/seam"
)

// Bounds of a search.
type Bounds struct {
	Preemptions int // times that a goroutine which could go on is made to wait; -1: as often as there is
	Schedules   int // orders run at most
	Steps       int // of one order at most
}

// Default bounds a search that takes some seconds.
var Default = Bounds{Preemptions: -1, Schedules: 300_000, Steps: 2000}

// Result is what a search came to.
type Result struct {
	Schedules int   // orders that were run
	Pruned    int   // orders left as like one that was run
	Whole     bool  // all orders within the bound of preemptions were run
	Schedule  []int // that failed: whose turn it was, and which way was chosen, in turn
	Err       error // of it; nil if all were well
}

// String says it in a line.
func (r *Result) String() string {
	s := fmt.Sprintf("%d orders run, %d left as alike, all of them: %t", r.Schedules, r.Pruned, r.Whole)
	if r.Err != nil {
		s += fmt.Sprintf("; %v after %s", r.Err, strings.Trim(fmt.Sprint(r.Schedule), "[]"))
	}
	return s
}

// Make makes the goroutines of one order, and what must hold once all have ended. It is called anew for each.
type Make func() (threads []func(), after func() error)

// errPruned ends an order that is like one that was run.
var errPruned = errors.New("like one that was run")

// thread is one goroutine.
type thread struct {
	objects []any // that it touches next
	ready   func() bool
	resume  chan bool // false: end
	over    bool
}

// node is a place in an order where something was chosen.
type node struct {
	ways   int // of a choice; 0: it is a turn
	pick   int
	able   []int        // who could go on
	sleep  map[int]bool // whose going on is like something that was run
	before int          // who went on before, -1 at the start
	spent  int          // preemptions until here
}

// search is one search; one runs at a time, since the seam is one.
type search struct {
	bounds  Bounds
	path    []*node
	at      int
	threads []*thread
	yielded chan int // who has come to its next touch, or its end
	current int
	failed  error
	steps   int
	ending  bool // the order is over; those in the middle end
}

var alone sync.Mutex

// Run searches all orders within the bounds, until one fails.
func Run(b Bounds, m Make) *Result {
	alone.Lock()
	defer alone.Unlock()
	s := &search{bounds: b}
	r := &Result{}
	for {
		switch err := s.play(m, nil); {
		case errors.Is(err, errPruned):
			r.Pruned++
		case err != nil:
			r.Schedules++
			r.Err, r.Schedule = err, s.schedule()
			return r
		default:
			r.Schedules++
		}
		if !s.next() {
			r.Whole = true
			return r
		}
		if r.Schedules+r.Pruned >= b.Schedules {
			return r
		}
	}
}

// Replay runs one order again.
func Replay(schedule []int, m Make) error {
	alone.Lock()
	defer alone.Unlock()
	s := &search{bounds: Default}
	return s.play(m, schedule)
}

// schedule is the order as it was run.
func (s *search) schedule() (out []int) {
	for _, n := range s.path {
		if n.ways > 0 {
			out = append(out, n.pick)
		} else {
			out = append(out, n.able[n.pick])
		}
	}
	return out
}

// next turns to the order after this one: the last place where something else can be chosen. What was chosen there sleeps
// from now on: until someone touches what it touches, its turn would lead to what was run.
func (s *search) next() bool {
	for len(s.path) > 0 {
		n := s.path[len(s.path)-1]
		if n.ways > 0 {
			if n.pick++; n.pick < n.ways {
				return true
			}
		} else {
			n.sleep[n.able[n.pick]] = true
			for i := range n.able {
				if !n.sleep[n.able[i]] && s.may(n, n.able[i]) {
					n.pick = i
					return true
				}
			}
		}
		s.path = s.path[:len(s.path)-1]
	}
	return false
}

// may tells whether the bound of preemptions lets a thread go on there.
func (s *search) may(n *node, who int) bool {
	return s.bounds.Preemptions < 0 || !preempts(n, who) || n.spent < s.bounds.Preemptions
}

func preempts(n *node, who int) bool {
	if n.before < 0 || n.before == who {
		return false
	}
	return slices.Contains(n.able, n.before)
}

// play runs one order: as the path says as far as it goes, or a schedule, and then the first that may.
func (s *search) play(m Make, schedule []int) error {
	s.at, s.failed, s.steps, s.current, s.ending = 0, nil, 0, -1, false
	s.yielded = make(chan int)
	threads, after := m()
	s.threads = nil
	for range threads {
		s.threads = append(s.threads, &thread{resume: make(chan bool)})
	}
	seam.Turn = func(ready func() bool, objects ...any) { s.wait(s.current, ready, objects) }
	seam.Choose = func(n int) int { return s.choose(n, schedule) }
	defer func() { seam.Turn, seam.Choose = nil, nil }()
	for i, f := range threads {
		go s.thread(i, f)
		<-s.yielded // it has come to its start
	}
	err := s.turns(schedule)
	s.ending = true
	for i, t := range s.threads {
		if !t.over {
			s.current = i
			t.resume <- false
			<-s.yielded
		}
	}
	if err == nil {
		err = s.failed
	}
	if err == nil && after != nil {
		seam.Turn, seam.Choose = nil, nil
		err = after()
	}
	return err
}

// ended is thrown to end a goroutine in the middle.
type ended struct{}

func (s *search) thread(i int, f func()) {
	t := s.threads[i]
	defer func() {
		if r := recover(); r != nil && r != (any)(ended{}) && s.failed == nil {
			s.failed = fmt.Errorf("goroutine %d: %v", i, r)
		}
		t.over = true
		s.yielded <- i
	}()
	s.wait(i, nil, nil)
	f()
}

// wait is a goroutine's: it says what it touches next, and waits for its turn.
func (s *search) wait(i int, ready func() bool, objects []any) {
	if s.ending {
		panic(ended{})
	}
	t := s.threads[i]
	t.objects, t.ready = objects, ready
	s.yielded <- i
	if !<-t.resume {
		panic(ended{})
	}
}

// turns gives turns until all have ended.
func (s *search) turns(schedule []int) error {
	sleep, before, spent := map[int]bool{}, -1, 0
	for {
		var able []int
		over := true
		for i, t := range s.threads {
			if t.over {
				continue
			}
			over = false
			if t.ready == nil || t.ready() {
				able = append(able, i)
			}
		}
		switch {
		case s.failed != nil || over:
			return s.failed
		case len(able) == 0:
			return errors.New("each waits for another")
		case s.steps >= s.bounds.Steps:
			return fmt.Errorf("no end after %d steps", s.steps)
		}
		s.steps++
		n, err := s.turn(able, sleep, before, spent, schedule)
		if err != nil {
			return err
		}
		who := n.able[n.pick]
		if preempts(n, who) {
			spent++
		}
		t := s.threads[who]
		next := map[int]bool{}
		for i := range n.sleep {
			if i != who && apart(s.threads[i].objects, t.objects) {
				next[i] = true
			}
		}
		sleep, before, s.current = next, who, who
		t.resume <- true
		<-s.yielded
	}
}

// apart tells whether two touches can be in either order.
func apart(a, b []any) bool {
	return !slices.ContainsFunc(a, func(x any) bool { return slices.Contains(b, x) })
}

// turn says whose turn it is.
func (s *search) turn(able []int, sleep map[int]bool, before, spent int, schedule []int) (*node, error) {
	n := &node{able: able, sleep: sleep, before: before, spent: spent}
	if s.at < len(s.path) {
		n = s.path[s.at]
		s.at++
		return n, nil
	}
	n.pick = -1
	for i, who := range able {
		switch {
		case s.at < len(schedule) && schedule[s.at] == who, s.at >= len(schedule) && schedule != nil && n.pick < 0:
			n.pick = i
		case schedule == nil && !sleep[who] && s.may(n, who) && (n.pick < 0 || who == before):
			n.pick = i // who went on before goes on where it can: fewest preemptions first
		}
	}
	if n.pick < 0 {
		if schedule != nil {
			return nil, fmt.Errorf("the schedule does not fit at its place %d", s.at)
		}
		return nil, errPruned
	}
	s.path = append(s.path, n)
	s.at++
	return n, nil
}

// choose says which of n ways a goroutine goes.
func (s *search) choose(n int, schedule []int) int {
	if s.at < len(s.path) {
		s.at++
		return s.path[s.at-1].pick
	}
	c := &node{ways: n}
	if s.at < len(schedule) {
		c.pick = schedule[s.at]
	}
	s.path = append(s.path, c)
	s.at++
	return c.pick
}

// Touch says that a goroutine touches something which all that do touch through here.
func Touch(object any) { seam.Turn(nil, object) }

// Choose gives one of n ways; all of them are run.
func Choose(n int) int { return seam.Choose(n) }
