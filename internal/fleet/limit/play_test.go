package limit

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"

	"granitewing/internal/fleet/limit/cover"
	"granitewing/internal/fleet/limit/lease"
)

var plays = flag.Int("plays", 5, "drawn schedules of faults that TestFaults plays")

const (
	sec     = int64(1_000_000)
	leaseUs = 2 * sec
	round   = sec / 10
)

// event is something that happens at a true time.
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

// node is a process of the play; its clock has an offset and a pace of its own.
type node struct {
	name    string
	part    *Part
	inc     uint64
	offset  int64
	pace    float64
	down    bool
	stopped bool
	inbox   []*Message // while it is stopped
	ended   []Places   // jobs that ended meanwhile
	load    float64    // jobs a second
}

func (n *node) now(at int64) int64 { return n.offset + int64(float64(at)*n.pace) }

// Rules that a play can go without.
const (
	knows = "a keeper that has just started knows of no cover"
	keeps = "a keeper says that it has a cover once it has it"
)

// stage plays many parts over links that fail, in virtual time.
type stage struct {
	rng    *rand.Rand
	queue  events
	seq    int
	at     int64
	nodes  []*node
	limits []Limit
	keep   []string
	loss   float64
	twice  float64
	delay  int64
	spread int64
	cut    func(from, to int) bool
	late   func(from, to int) int64 // beyond the delay of all links; nil: none
	hold   int64                    // how long a job runs at most
	broken string                   // the rule that this play goes without
	room   int                      // slots of a host that may be held together

	wanted, in        int
	over, rate, burst float64 // how far admissions are beyond the rate; the most so far is burst
	open, most        int
	messages          int
	last              int64
}

func newStage(seed uint64, n int, limits []Limit) *stage {
	s := &stage{rng: rand.New(rand.NewPCG(seed, 7)), limits: limits, delay: sec / 200, spread: sec / 50, hold: sec, keep: []string{"n0", "n1", "n2"}}
	s.people(n)
	return s
}

func (s *stage) people(n int) {
	for i := range n {
		w := &node{name: fmt.Sprint("n", i), offset: s.rng.Int64N(1000 * sec), pace: 1 + (s.rng.Float64()-0.5)*0.04}
		s.nodes = append(s.nodes, w)
		s.start(w)
		s.after(s.rng.Int64N(round), func() { s.rounds(i) })
	}
}

func (s *stage) start(n *node) {
	if n.inc++; s.broken == "a later process has a higher incarnation" {
		n.inc = 1
	}
	n.down, n.stopped, n.inbox, n.ended = false, false, nil, nil
	keep, since := s.keep, n.now(s.at)
	switch s.broken {
	case "a majority of keepers":
		keep = s.keep[:1]
		if len(s.nodes) > 0 && n != s.nodes[0] {
			keep = s.keep[1:2]
		}
	case "a new keeper promises nothing for a lease":
		since -= leaseUs
	}
	n.part = New(since, Options{Self: lease.Owner{Name: n.name, Incarnation: n.inc}, Keepers: keep, Lease: leaseUs, Limits: s.limits, Room: s.room})
	if s.broken == knows {
		empty := &cover.Shelf{}
		empty.Put(0, 0, 1, nil)
		n.part.coverStores[limitHash(s.limits[0].Name)] = empty
	}
}

func (s *stage) after(us int64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.at + us, s.seq, do})
}

func (s *stage) run(until int64) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.at = e.at
		e.do()
	}
	s.at = until
}

func (s *stage) rounds(i int) {
	s.after(round, func() { s.rounds(i) })
	if n := s.nodes[i]; !n.down && !n.stopped {
		s.send(i, n.part.Round(n.now(s.at))...)
	}
}

// send carries messages as their bytes, over the link that the faults leave.
func (s *stage) send(from int, out ...*Message) {
	for _, m := range out {
		s.messages++
		to := -1
		fmt.Sscanf(m.To.Name, "n%d", &to)
		if to < 0 || to >= len(s.nodes) || s.cut != nil && s.cut(from, to) || s.rng.Float64() < s.loss {
			continue
		}
		b := Append(nil, m)
		for copies := 1; copies > 0; copies-- {
			if copies == 1 && s.rng.Float64() < s.twice {
				copies++
			}
			late := s.delay + s.rng.Int64N(s.spread)
			if s.late != nil {
				late += s.late(from, to)
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

func (s *stage) deliver(to int, m *Message) {
	switch {
	case s.broken == "rights count from when they were asked for" && m.Kind == Grant:
		m.Number = s.nodes[to].now(s.at)
	case s.broken == keeps && m.Kind == CoverPut && s.nodes[to].part.coverStores[m.Cover.Limit] != nil:
		if _, some := s.nodes[to].part.coverStores[m.Cover.Limit].Look(); some {
			has := s.nodes[to].part.newMessage(CoverHas, m.From, m.Number)
			has.Cover = m.Cover
			s.send(to, has)
			return
		}
	}
	switch n := s.nodes[to]; {
	case n.down:
	case n.stopped:
		n.inbox = append(n.inbox, m)
	default:
		if answer := n.part.Hear(n.now(s.at), m); answer != nil {
			s.send(to, answer)
		}
	}
}

// stop has a process stand still; go on, and it takes what has come meanwhile in any order.
func (s *stage) stop(i int, us int64) {
	n := s.nodes[i]
	if n.down || n.stopped {
		return
	}
	n.stopped = true
	inc := n.inc
	s.after(us, func() {
		if n.inc != inc || n.down {
			return
		}
		n.stopped = false
		inbox := n.inbox
		n.inbox = nil
		s.rng.Shuffle(len(inbox), func(a, b int) { inbox[a], inbox[b] = inbox[b], inbox[a] })
		s.enter(n) // a client was first
		for _, m := range inbox {
			s.deliver(i, m)
		}
		for _, p := range n.ended {
			n.part.Done(n.now(s.at), p)
		}
		n.ended = nil
	})
}

func (s *stage) kill(i int, us int64) {
	n := s.nodes[i]
	n.down = true
	inc := n.inc
	s.after(us, func() {
		if n.inc == inc && n.down {
			s.start(n)
		}
	})
}

// resign has a process end in order, and start anew later.
func (s *stage) resign(i int, us int64) {
	if n := s.nodes[i]; !n.down && !n.stopped {
		s.send(i, n.part.Leave(n.now(s.at))...)
	}
	s.kill(i, us)
}

// arrivals has jobs come to a node at its load.
func (s *stage) arrivals(i int) {
	n := s.nodes[i]
	if n.load <= 0 {
		return
	}
	s.after(int64(s.rng.ExpFloat64()/n.load*1e6), func() {
		s.arrivals(i)
		if !n.down && !n.stopped {
			s.enter(n)
		}
	})
}

func (s *stage) enter(n *node) {
	s.wanted++
	v, places := n.part.Enter(n.now(s.at), 0, 0)
	if v != Inside {
		return
	}
	s.in++
	s.rated()
	s.open++
	s.most = max(s.most, s.open)
	inc := n.inc
	s.after(int64(s.rng.Float64()*float64(s.hold)), func() {
		s.open--
		switch {
		case n.inc != inc || n.down:
		case n.stopped:
			n.ended = append(n.ended, places)
		default:
			n.part.Done(n.now(s.at), places)
		}
	})
}

// rated keeps how far admissions are beyond the rate, over the worst window that ends now.
func (s *stage) rated() {
	s.over = max(s.over-s.rate*float64(s.at-s.last)/1e6, 0) + 1
	s.last = s.at
	s.burst = max(s.burst, s.over)
}
