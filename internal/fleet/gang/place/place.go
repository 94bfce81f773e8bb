// Package place finds hosts for the parts of a gang, which run all at once and are slow when an exchange crosses racks. A
// placement is scored as a whole, in worth as the settings count it: its lateness is that of the part that starts
// last on the host that is slowest, its running time has the exchanges in it, and what it keeps others from counts too.
package place

import (
	"math"

	"granitewing/internal/fleet/gang/pattern"
	"granitewing/internal/fleet/gang/topology"
	"granitewing/logic"
)

// Host is one that can take a part. Times are seconds.
type Host struct {
	ID uint32
	topology.Spot
	Backlog float64 // to drain
	Room    float64 // backlog with which a part still starts at once
	After   float64 // until another gang gives its slot up; 0: none has it
	Pace    float64 // running time for a second of work
	Push    float64 // worth that a slot-second taken here costs those that come after
}

// Wait is how long a part waits there for its start, in the mean of the module's law.
func (h *Host) Wait() float64 {
	if h.Backlog <= 0 {
		return 0
	}
	z := 2 * max(h.Room, 0) / h.Backlog
	return h.Backlog / 2 * (2 + z) * math.Exp(-z)
}

// Job is a gang to be placed. Times are seconds.
type Job struct {
	Parts, Least int
	Work         float64 // of each part where there are all; fewer have more each
	Steps        float64
	Bytes        float64 // that a part sends in a step
	Pattern      pattern.Pattern
	Slack        float64 // until it is late
	Stretch      float64 // seconds by which that is later for each second of work more than is told
	Worth        float64
	LateWorth    float64 // share that it still earns late
	Price        float64 // worth of a slot-second that the fleet has no room for
	Crowd        float64 // share of the slots for gangs that are taken: so likely this one keeps a like one waiting
}

// Weights of what a placement costs beside lateness.
type Weights struct {
	Pieces float64 // share of the worth for a rack of whose hosts all but one stay free: the next gang has to cross its border
	Fails  float64 // a rack's failures a second
}

// Why is the score of a placement by its terms, in worth, and what it rests on.
type Why struct {
	Late, Push, Price, Crowd, Pieces, Risk float64

	Chance  float64 // of being late
	Run     float64 // seconds from the last start to the end
	Step    float64 // seconds that an exchange takes
	Start   float64 // seconds until the last part starts, expected
	Crosses float64 // share of the bytes that leave a rack
}

// Total is the score: the lower the better.
func (w *Why) Total() float64 { return w.Late + w.Push + w.Price + w.Crowd + w.Pieces + w.Risk }

// Placement is hosts by rank.
type Placement struct {
	Hosts []Host
	Why
	Leaves, Zoned []float64 // bytes a second of each rank beyond its rack, and beyond its zone
}

// sooner is the share of its worth that a gang which takes all of its slack is worth less: of two that are in time the one that
// is over first is better.
const durationWeight = 0.001

// guesses are what the work may be, as multiples of what is told, each as likely.
var workFactors = [...]float64{0.75, 1, 1.3}

// grid is how many times the law of a start is kept at.
const gridPoints = 12

// search is one search, with its scratch.
type search struct {
	hosts           []Host
	job             Job
	topo            *topology.Topology
	others          *topology.Loads
	weights         Weights
	times           [gridPoints]float64
	startLaws       [][gridPoints]float64 // log P(started by), of the hosts that were looked at
	lawOf           []int32               // of each host: its place in laws, from 1 on
	racks           []rack
	rackOf          []int32    // of each host: its place in racks
	costs           []float64  // what each costs alone
	contentionPrice float64    // worth of a slot-second to other gangs
	subsets         [][]subset // racks by their hosts up to some cost alone

	k         int
	edges     []pattern.Edge
	orders    [][]int
	traffic   topology.Traffic
	spots     []topology.Spot
	evaluated int // placements scored
	best      Why
	chosen    []int32 // that it is of
}

// rack is the hosts of one, best first.
type rack struct {
	zone  int
	free  int // hosts at which a part would start at once
	hosts []int32
}

// floor is the logarithm that stands for no chance at all.
const minLogChance = -60

// law is the law of a host's start: the module's own of a backlog that is known to a factor (logic.LateChance).
func (s *search) startLaw(i int32) *[gridPoints]float64 {
	if s.lawOf[i] == 0 {
		var l [gridPoints]float64
		for g, t := range s.times {
			l[g] = max(math.Log1p(-s.lateChance(&s.hosts[i], t)), minLogChance)
		}
		s.startLaws = append(s.startLaws, l)
		s.lawOf[i] = int32(len(s.startLaws))
	}
	return &s.startLaws[s.lawOf[i]-1]
}

// late is the chance that a part has not started by a time.
func (s *search) lateChance(h *Host, t float64) float64 {
	if t < h.After {
		return 1
	}
	return min(logic.LateChance(t-h.After+h.Room, h.Backlog), 1)
}

// size sets how many parts are placed.
func (s *search) setParts(k int) {
	s.k, s.edges, s.orders = k, s.job.Pattern.Edges(k), s.job.Pattern.Orders(k)
}

// work is what each of k parts has to do.
func (s *search) workPerPart() float64 { return s.job.Work * float64(s.job.Parts) / float64(s.k) }

// step finds the order of the ranks on hosts that lie rack by rack, and gives it with the time of an exchange and the share of
// the bytes that leave a rack.
func (s *search) exchangeTime(chosen []int32) (best, crosses float64, order []int) {
	best = math.Inf(1)
	for _, o := range s.orders {
		s.spots = s.spots[:0]
		for range chosen {
			s.spots = append(s.spots, topology.Spot{})
		}
		for at, rank := range o {
			s.spots[rank] = s.hosts[chosen[at]].Spot
		}
		s.traffic.Count(s.edges, s.job.Bytes, s.spots)
		if t := s.topo.Step(&s.traffic, s.others); t < best {
			best, order = t, o
			crosses = s.traffic.Crosses / max(s.traffic.Total, 1)
		}
	}
	if s.job.Steps == 0 || len(s.edges) == 0 {
		best = 0
	}
	return best, crosses, order
}

// score scores hosts, which lie rack by rack.
func (s *search) score(chosen []int32) (w Why) {
	pace, push := 0.0, 0.0
	var sum [gridPoints]float64
	for _, i := range chosen {
		h := &s.hosts[i]
		pace = max(pace, h.Pace)
		push += h.Push
		l := s.startLaw(i)
		for g := range sum {
			sum[g] += l[g]
		}
	}
	w.Step, w.Crosses, _ = s.exchangeTime(chosen)
	w.Run = s.workPerPart()*pace + s.job.Steps*w.Step
	// The mean of the last start, as far as the grid goes.
	for g := 1; g < gridPoints; g++ {
		w.Start += (s.times[g] - s.times[g-1]) * (1 - (math.Exp(sum[g-1])+math.Exp(sum[g]))/2)
	}
	// The work that is told is a guess: what a gang has more of it takes longer, and is late later.
	for _, e := range workFactors {
		more := (e - 1) * s.workPerPart()
		w.Chance += (1 - math.Exp(s.interpolate(&sum, s.job.Slack-w.Run+(s.job.Stretch*float64(s.k)/float64(s.job.Parts)-pace)*more))) / float64(len(workFactors))
	}
	w.Late = s.job.Worth * ((1-s.job.LateWorth)*w.Chance + durationWeight*(w.Start+w.Run)/max(s.job.Slack, 1e-3))
	// A slot is taken from its own start to the end of all: who starts first waits for the last.
	own := 0.0
	for _, i := range chosen {
		own += min(s.hosts[i].Wait()+s.hosts[i].After, w.Start)
	}
	idle := max(w.Start-own/float64(s.k), 0)
	w.Push = push * (w.Run + idle)
	w.Price = s.job.Price * float64(s.k) * (w.Run + idle)
	w.Crowd = s.contentionPrice * float64(s.k) * (w.Run + idle)
	racks := 0
	for at := 0; at < len(chosen); {
		r, n := s.rackOf[chosen[at]], 0
		for ; at < len(chosen) && s.rackOf[chosen[at]] == r; at++ {
			n++
		}
		racks++
		if left := s.racks[r].free - n; left > 0 {
			w.Pieces += s.job.Worth * s.weights.Pieces * float64(left) / float64(len(s.racks[r].hosts))
		}
	}
	w.Risk = s.job.Worth * s.weights.Fails * float64(racks) * w.Run
	return w
}

// at reads a law between its times; before the first there is no chance.
func (s *search) interpolate(l *[gridPoints]float64, t float64) float64 {
	if t < s.times[0] {
		return minLogChance
	}
	for g := 1; g < gridPoints; g++ {
		if t <= s.times[g] {
			f := (t - s.times[g-1]) / (s.times[g] - s.times[g-1])
			return l[g-1] + f*(l[g]-l[g-1])
		}
	}
	return l[gridPoints-1]
}
