//go:build check

// Package check runs two to four goroutines of real code one at a time, over all interleavings of their accesses
// to shared objects. The code under test marks its accesses through package syncpoint; it needs the build tag check.
//
// Interleavings that differ only in the order of accesses to different objects are equivalent, and only one of
// them is run (sleep sets). Run searches; when it finds a failure, Result.Schedule describes the interleaving as a
// short list, which Replay runs again.
package check

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"granitewing/internal/syncpoint"
)

// Bounds limit a search.
type Bounds struct {
	Preemptions int // preemptions per interleaving, that is switches away from a goroutine that could continue; -1: unlimited
	Schedules   int // interleavings per search
	Steps       int // accesses per interleaving
}

// Default limits a search to a few seconds.
var Default = Bounds{Preemptions: -1, Schedules: 300_000, Steps: 2000}

// Result is the outcome of a search.
type Result struct {
	Schedules int   // interleavings that were run to their end
	Pruned    int   // interleavings skipped because an equivalent one was run
	Complete  bool  // all interleavings within the bound of preemptions were covered
	Schedule  []int // the failing one: for each decision the goroutine that ran, or the option that Choose returned
	Err       error // failure of Schedule; nil if no interleaving failed
}

// String summarizes the result in one line.
func (r *Result) String() string {
	s := fmt.Sprintf("%d interleavings run, %d pruned as equivalent, complete: %t", r.Schedules, r.Pruned, r.Complete)
	if r.Err != nil {
		s += fmt.Sprintf("; %v with schedule %s", r.Err, strings.Trim(fmt.Sprint(r.Schedule), "[]"))
	}
	return s
}

// Make creates the goroutines of one interleaving, and a check that must hold once all of them have ended; after
// may be nil. It is called again for each interleaving.
type Make func() (threads []func(), after func() error)

// errPruned ends an interleaving that is equivalent to one that was run.
var errPruned = errors.New("equivalent to an interleaving that was run")

// thread is one goroutine.
type thread struct {
	nextObjects []any // objects of its next access
	ready       func() bool
	resume      chan bool // false: abort
	done        bool
}

// decision is a point in an interleaving at which the search picks a goroutine or an option.
type decision struct {
	options     int // number of options of a Choose call; 0: a goroutine is picked
	picked      int
	enabled     []int        // goroutines that could continue
	sleepSet    map[int]bool // goroutines whose continuation would be equivalent to an interleaving that was run
	previous    int          // goroutine that ran before, -1 at the start
	preemptions int          // number of preemptions before this point
}

// search is one search. Only one runs at a time, since the hooks of package syncpoint are global.
type search struct {
	bounds   Bounds
	path     []*decision
	depth    int
	threads  []*thread
	yielded  chan int // goroutine that has reached its next access, or its end
	current  int
	failure  error
	steps    int
	aborting bool // the interleaving is over; goroutines that have not ended are aborted
}

var searchMutex sync.Mutex

// Run searches all interleavings within the bounds, until one fails.
func Run(b Bounds, m Make) *Result {
	searchMutex.Lock()
	defer searchMutex.Unlock()
	s := &search{bounds: b}
	r := &Result{}
	for {
		switch err := s.runSchedule(m, nil); {
		case errors.Is(err, errPruned):
			r.Pruned++
		case err != nil:
			r.Schedules++
			r.Err, r.Schedule = err, s.schedule()
			return r
		default:
			r.Schedules++
		}
		if !s.backtrack() {
			r.Complete = true
			return r
		}
		if r.Schedules+r.Pruned >= b.Schedules {
			return r
		}
	}
}

// Replay runs the interleaving of a Result's Schedule again and returns its failure.
func Replay(schedule []int, m Make) error {
	searchMutex.Lock()
	defer searchMutex.Unlock()
	s := &search{bounds: Default}
	return s.runSchedule(m, schedule)
}

// schedule returns the decisions of the interleaving that was run.
func (s *search) schedule() (out []int) {
	for _, n := range s.path {
		if n.options > 0 {
			out = append(out, n.picked)
		} else {
			out = append(out, n.enabled[n.picked])
		}
	}
	return out
}

// backtrack moves to the next interleaving: it changes the last decision that has an alternative, and reports
// whether there is one. The goroutine picked before enters the sleep set: until another goroutine accesses one of
// its objects, running it would lead to an interleaving equivalent to one that was run.
func (s *search) backtrack() bool {
	for len(s.path) > 0 {
		n := s.path[len(s.path)-1]
		if n.options > 0 {
			if n.picked++; n.picked < n.options {
				return true
			}
		} else {
			n.sleepSet[n.enabled[n.picked]] = true
			for i := range n.enabled {
				if !n.sleepSet[n.enabled[i]] && s.withinBound(n, n.enabled[i]) {
					n.picked = i
					return true
				}
			}
		}
		s.path = s.path[:len(s.path)-1]
	}
	return false
}

// withinBound reports whether the bound of preemptions allows a goroutine to run at a decision.
func (s *search) withinBound(n *decision, who int) bool {
	return s.bounds.Preemptions < 0 || !preempts(n, who) || n.preemptions < s.bounds.Preemptions
}

func preempts(n *decision, who int) bool {
	if n.previous < 0 || n.previous == who {
		return false
	}
	return slices.Contains(n.enabled, n.previous)
}

// runSchedule runs one interleaving: it follows the decisions of the path as far as it goes, or a schedule, and
// then picks the first goroutine that is allowed.
func (s *search) runSchedule(m Make, schedule []int) error {
	s.depth, s.failure, s.steps, s.current, s.aborting = 0, nil, 0, -1, false
	s.yielded = make(chan int)
	threads, after := m()
	s.threads = nil
	for range threads {
		s.threads = append(s.threads, &thread{resume: make(chan bool)})
	}
	syncpoint.WaitScheduled = func(ready func() bool, objects ...any) { s.yield(s.current, ready, objects) }
	syncpoint.Choose = func(n int) int { return s.choose(n, schedule) }
	defer func() { syncpoint.WaitScheduled, syncpoint.Choose = nil, nil }()
	for i, f := range threads {
		go s.runThread(i, f)
		<-s.yielded // the goroutine has reached its start
	}
	err := s.runThreads(schedule)
	s.aborting = true
	for i, t := range s.threads {
		if !t.done {
			s.current = i
			t.resume <- false
			<-s.yielded
		}
	}
	if err == nil {
		err = s.failure
	}
	if err == nil && after != nil {
		syncpoint.WaitScheduled, syncpoint.Choose = nil, nil
		err = after()
	}
	return err
}

// aborted is the panic value that ends a goroutine before its end.
type aborted struct{}

func (s *search) runThread(i int, f func()) {
	t := s.threads[i]
	defer func() {
		if r := recover(); r != nil && r != (any)(aborted{}) && s.failure == nil {
			s.failure = fmt.Errorf("goroutine %d: %v", i, r)
		}
		t.done = true
		s.yielded <- i
	}()
	s.yield(i, nil, nil)
	f()
}

// yield is called in a goroutine before an access. It announces the objects and waits until the search resumes the
// goroutine.
func (s *search) yield(i int, ready func() bool, objects []any) {
	if s.aborting {
		panic(aborted{})
	}
	t := s.threads[i]
	t.nextObjects, t.ready = objects, ready
	s.yielded <- i
	if !<-t.resume {
		panic(aborted{})
	}
}

// runThreads resumes one goroutine after the other until all have ended.
func (s *search) runThreads(schedule []int) error {
	sleepSet, previous, preemptions := map[int]bool{}, -1, 0
	for {
		var enabled []int
		allDone := true
		for i, t := range s.threads {
			if t.done {
				continue
			}
			allDone = false
			if t.ready == nil || t.ready() {
				enabled = append(enabled, i)
			}
		}
		switch {
		case s.failure != nil || allDone:
			return s.failure
		case len(enabled) == 0:
			return errors.New("deadlock: no goroutine can continue")
		case s.steps >= s.bounds.Steps:
			return fmt.Errorf("not finished after %d steps", s.steps)
		}
		s.steps++
		n, err := s.pickThread(enabled, sleepSet, previous, preemptions, schedule)
		if err != nil {
			return err
		}
		who := n.enabled[n.picked]
		if preempts(n, who) {
			preemptions++
		}
		t := s.threads[who]
		nextSleepSet := map[int]bool{}
		for i := range n.sleepSet {
			if i != who && independent(s.threads[i].nextObjects, t.nextObjects) {
				nextSleepSet[i] = true
			}
		}
		sleepSet, previous, s.current = nextSleepSet, who, who
		t.resume <- true
		<-s.yielded
	}
}

// independent reports whether two accesses can be made in either order.
func independent(a, b []any) bool {
	return !slices.ContainsFunc(a, func(x any) bool { return slices.Contains(b, x) })
}

// pickThread picks the goroutine that runs next.
func (s *search) pickThread(enabled []int, sleepSet map[int]bool, previous, preemptions int, schedule []int) (*decision, error) {
	n := &decision{enabled: enabled, sleepSet: sleepSet, previous: previous, preemptions: preemptions}
	if s.depth < len(s.path) {
		n = s.path[s.depth]
		s.depth++
		return n, nil
	}
	n.picked = -1
	for i, who := range enabled {
		switch {
		case s.depth < len(schedule) && schedule[s.depth] == who, s.depth >= len(schedule) && schedule != nil && n.picked < 0:
			n.picked = i
		case schedule == nil && !sleepSet[who] && s.withinBound(n, who) && (n.picked < 0 || who == previous):
			n.picked = i // prefer the goroutine that ran before: few preemptions come first
		}
	}
	if n.picked < 0 {
		if schedule != nil {
			return nil, fmt.Errorf("the schedule does not match at position %d", s.depth)
		}
		return nil, errPruned
	}
	s.path = append(s.path, n)
	s.depth++
	return n, nil
}

// choose picks one of n options.
func (s *search) choose(n int, schedule []int) int {
	if s.depth < len(s.path) {
		s.depth++
		return s.path[s.depth-1].picked
	}
	c := &decision{options: n}
	if s.depth < len(schedule) {
		c.picked = schedule[s.depth]
	}
	s.path = append(s.path, c)
	s.depth++
	return c.picked
}

// Touch marks an access to an object. All accesses that the search has to order must go through Touch or package
// syncpoint.
func Touch(object any) { syncpoint.WaitScheduled(nil, object) }

// Choose returns one of n options, 0 to n-1; the search tries all of them.
func Choose(n int) int { return syncpoint.Choose(n) }
