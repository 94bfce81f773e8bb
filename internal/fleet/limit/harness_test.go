package limit

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"

	"granitewing/internal/fleet/limit/cover"
	"granitewing/internal/fleet/limit/lease"
)

var faultRuns = flag.Int("plays", 5, "number of random fault schedules that TestFaults runs")

const (
	sec     = int64(1_000_000)
	leaseUs = 2 * sec
	round   = sec / 10
)

// event is an action at a true time.
type event struct {
	at  int64
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// node is a simulated process; its clock has its own offset and speed.
type node struct {
	name        string
	part        *Part
	incarnation uint64
	offset      int64
	clockRate   float64
	down        bool
	paused      bool
	inbox       []*Message // received while paused
	ended       []Places   // jobs that ended while paused
	load        float64    // jobs a second
}

func (n *node) now(at int64) int64 { return n.offset + int64(float64(at)*n.clockRate) }

// Rules that a run can remove.
const (
	ruleNewKeeperKnowsNothing = "a keeper that has just started knows no cover"
	ruleConfirmOnlyStored     = "a keeper confirms a cover only once it has stored it"
)

// harness simulates many parts over faulty links in virtual time.
type harness struct {
	rng         *rand.Rand
	queue       events
	seq         int
	at          int64
	nodes       []*node
	limits      []Limit
	keepers     []string
	loss        float64
	duplicate   float64
	delay       int64
	jitter      int64
	cut         func(from, to int) bool
	extraDelay  func(from, to int) int64 // added to the delay of all links; nil: none
	maxJobTime  int64                    // longest run time of a job
	removedRule string                   // the rule that this run goes without
	room        int                      // slots of a host that may be held together

	wanted, admitted  int
	over, rate, burst float64 // over is by how many jobs admissions exceed the rate now; burst is the maximum so far
	open, maxOpen     int
	messages          int
	last              int64
}

func newHarness(seed uint64, n int, limits []Limit) *harness {
	s := &harness{rng: rand.New(rand.NewPCG(seed, 7)), limits: limits, delay: sec / 200, jitter: sec / 50, maxJobTime: sec, keepers: []string{"n0", "n1", "n2"}}
	s.addNodes(n)
	return s
}

func (s *harness) addNodes(n int) {
	for i := range n {
		w := &node{name: fmt.Sprint("n", i), offset: s.rng.Int64N(1000 * sec), clockRate: 1 + (s.rng.Float64()-0.5)*0.04}
		s.nodes = append(s.nodes, w)
		s.start(w)
		s.after(s.rng.Int64N(round), func() { s.scheduleRounds(i) })
	}
}

func (s *harness) start(n *node) {
	if n.incarnation++; s.removedRule == "a later process has a higher incarnation" {
		n.incarnation = 1
	}
	n.down, n.paused, n.inbox, n.ended = false, false, nil, nil
	keep, since := s.keepers, n.now(s.at)
	switch s.removedRule {
	case "a majority of keepers":
		keep = s.keepers[:1]
		if len(s.nodes) > 0 && n != s.nodes[0] {
			keep = s.keepers[1:2]
		}
	case "a new keeper promises nothing for a lease":
		since -= leaseUs
	}
	n.part = New(since, Options{Self: lease.Owner{Name: n.name, Incarnation: n.incarnation}, Keepers: keep, Lease: leaseUs, Limits: s.limits, SlotsPerHost: s.room})
	if s.removedRule == ruleNewKeeperKnowsNothing {
		empty := &cover.Replica{}
		empty.Put(0, 0, 1, nil)
		n.part.coverStores[limitHash(s.limits[0].Name)] = empty
	}
}

func (s *harness) after(us int64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.at + us, s.seq, do})
}

func (s *harness) run(until int64) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.at = e.at
		e.do()
	}
	s.at = until
}

func (s *harness) scheduleRounds(i int) {
	s.after(round, func() { s.scheduleRounds(i) })
	if n := s.nodes[i]; !n.down && !n.paused {
		s.send(i, n.part.Round(n.now(s.at))...)
	}
}

// send encodes messages and delivers them subject to the faults of the link.
func (s *harness) send(from int, out ...*Message) {
	for _, m := range out {
		s.messages++
		to := -1
		fmt.Sscanf(m.To.Name, "n%d", &to)
		if to < 0 || to >= len(s.nodes) || s.cut != nil && s.cut(from, to) || s.rng.Float64() < s.loss {
			continue
		}
		b := Append(nil, m)
		for copies := 1; copies > 0; copies-- {
			if copies == 1 && s.rng.Float64() < s.duplicate {
				copies++
			}
			late := s.delay + s.rng.Int64N(s.jitter)
			if s.extraDelay != nil {
				late += s.extraDelay(from, to)
			}
			s.after(late, func() {
				got, err := Parse(b)
				if err != nil {
					panic(err)
				}
				s.deliver(to, got)
			})
		}
	}
}

func (s *harness) deliver(to int, m *Message) {
	switch {
	case s.removedRule == "rights count from when they were asked for" && m.Kind == Grant:
		m.Number = s.nodes[to].now(s.at)
	case s.removedRule == ruleConfirmOnlyStored && m.Kind == CoverPut && s.nodes[to].part.coverStores[m.Cover.Limit] != nil:
		if _, stored := s.nodes[to].part.coverStores[m.Cover.Limit].Look(); stored {
			has := s.nodes[to].part.newMessage(CoverStored, m.From, m.Number)
			has.Cover = m.Cover
			s.send(to, has)
			return
		}
	}
	switch n := s.nodes[to]; {
	case n.down:
	case n.paused:
		n.inbox = append(n.inbox, m)
	default:
		if answer := n.part.Receive(n.now(s.at), m); answer != nil {
			s.send(to, answer)
		}
	}
}

// pause stops a process for a time. Afterwards it handles the messages that arrived meanwhile in random order.
func (s *harness) pause(i int, us int64) {
	n := s.nodes[i]
	if n.down || n.paused {
		return
	}
	n.paused = true
	inc := n.incarnation
	s.after(us, func() {
		if n.incarnation != inc || n.down {
			return
		}
		n.paused = false
		inbox := n.inbox
		n.inbox = nil
		s.rng.Shuffle(len(inbox), func(a, b int) { inbox[a], inbox[b] = inbox[b], inbox[a] })
		s.offerJob(n) // a client comes first
		for _, m := range inbox {
			s.deliver(i, m)
		}
		for _, p := range n.ended {
			n.part.Done(n.now(s.at), p)
		}
		n.ended = nil
	})
}

func (s *harness) kill(i int, us int64) {
	n := s.nodes[i]
	n.down = true
	inc := n.incarnation
	s.after(us, func() {
		if n.incarnation == inc && n.down {
			s.start(n)
		}
	})
}

// leave ends a process in order and restarts it later.
func (s *harness) leave(i int, us int64) {
	if n := s.nodes[i]; !n.down && !n.paused {
		s.send(i, n.part.Leave(n.now(s.at))...)
	}
	s.kill(i, us)
}

// scheduleArrivals lets jobs arrive at a node at its load.
func (s *harness) scheduleArrivals(i int) {
	n := s.nodes[i]
	if n.load <= 0 {
		return
	}
	s.after(int64(s.rng.ExpFloat64()/n.load*1e6), func() {
		s.scheduleArrivals(i)
		if !n.down && !n.paused {
			s.offerJob(n)
		}
	})
}

func (s *harness) offerJob(n *node) {
	s.wanted++
	v, places := n.part.Admit(n.now(s.at), 0, 0)
	if v != Inside {
		return
	}
	s.admitted++
	s.recordAdmission()
	s.open++
	s.maxOpen = max(s.maxOpen, s.open)
	inc := n.incarnation
	s.after(int64(s.rng.Float64()*float64(s.maxJobTime)), func() {
		s.open--
		switch {
		case n.incarnation != inc || n.down:
		case n.paused:
			n.ended = append(n.ended, places)
		default:
			n.part.Done(n.now(s.at), places)
		}
	})
}

// recordAdmission updates by how many jobs admissions exceed the rate, over the worst period that ends now.
func (s *harness) recordAdmission() {
	s.over = max(s.over-s.rate*float64(s.at-s.last)/1e6, 0) + 1
	s.last = s.at
	s.burst = max(s.burst, s.over)
}
