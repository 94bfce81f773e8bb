// Package place chooses the hosts for the parts of a gang. The parts run all at once, and their exchanges are slow
// when they cross racks.
//
// A placement is scored as a whole, in the units of worth of the settings. Its deadline risk is that of the part
// that starts last, on the host that is slowest; its run time includes the exchanges; and it pays for the capacity
// that it takes from others. Search returns the best placement found, Fixed scores a given one, and Bound gives a
// lower bound of all scores.
package place

import (
	"math"

	"granitewing/internal/fleet/gang/pattern"
	"granitewing/internal/fleet/gang/topology"
	"granitewing/logic"
)

// Host is a host that can take a part. Times are seconds.
type Host struct {
	ID uint32
	topology.Spot
	Backlog float64 // work that is queued there
	Room    float64 // headroom: backlog with which a part still starts at once
	After   float64 // time until another gang's slot is free; 0: no other gang has it
	Pace    float64 // run time for a second of work
	Push    float64 // worth that a slot-second taken here costs later messages
}

// Wait returns how long a part is expected to wait for its start, by the start-time model of package logic
// (logic.ViolationProbability): the backlog has a gamma distribution of shape 2 with mean Backlog, and the wait is the
// expected excess of the backlog over Room.
func (h *Host) Wait() float64 {
	if h.Backlog <= 0 {
		return 0
	}
	z := 2 * max(h.Room, 0) / h.Backlog
	return h.Backlog / 2 * (2 + z) * math.Exp(-z)
}

// Job is a gang to be placed. Times are seconds.
type Job struct {
	Parts, Least int     // number of parts, and the least number with which the gang may run
	Work         float64 // of each part if all are placed; fewer parts have more each
	Steps        float64 // number of exchanges
	Bytes        float64 // that a part sends in a step
	Pattern      pattern.Pattern
	Slack        float64 // time until the deadline
	Stretch      float64 // seconds added to the deadline for each second of work beyond the stated work
	Worth        float64 // value if it completes in time
	LateWorth    float64 // share of the worth that is still earned after the deadline
	Price        float64 // worth of a slot-second for which the fleet has no capacity
	Crowd        float64 // share of the slots for gangs that are taken, as the probability of delaying another gang
}

// Weights are the costs of a placement other than a missed deadline.
type Weights struct {
	// Fragmentation is the share of the worth lost for a rack of which all hosts but one stay free: the next gang has
	// to cross its border.
	Fragmentation float64
	Fails         float64 // failures of a rack a second
}

// Score is the score of a placement by its terms, in units of worth, and the figures behind them.
type Score struct {
	// The terms:
	//   - Late: worth that the gang is expected to lose by a missed deadline, and a little for its duration.
	//   - Push: worth that later messages lose because of the slots taken (Host.Push).
	//   - Price: price of the slots taken, where the fleet lacks capacity (Job.Price).
	//   - Crowd: worth that other gangs lose by a delay, because the slots for gangs are scarce (Job.Crowd).
	//   - Pieces: cost of racks that are left partly free (Weights.Fragmentation).
	//   - Risk: worth that the gang is expected to lose by a failure of one of its racks (Weights.Fails).
	Late, Push, Price, Crowd, Pieces, Risk float64

	Chance  float64 // probability of a missed deadline
	Run     float64 // seconds from the last start to the end
	Step    float64 // seconds of one exchange
	Start   float64 // expected seconds until the last part starts
	Crosses float64 // share of the bytes that leave a rack
}

// Total returns the score; lower is better.
func (w *Score) Total() float64 { return w.Late + w.Push + w.Price + w.Crowd + w.Pieces + w.Risk }

// Placement is a list of hosts by rank, with its score.
type Placement struct {
	Hosts []Host
	Score
	Leaves, Zoned []float64 // bytes a second of each rank beyond its rack, and beyond its zone
}

// durationWeight breaks ties: of two placements in time, the one that ends first is better. It is the share of its
// worth that a gang is charged if it takes all of its slack.
const durationWeight = 0.001

// workFactors are possible true amounts of work, as multiples of the stated work, equally likely.
var workFactors = [...]float64{0.75, 1, 1.3}

// gridPoints is the number of times for which a host's start-time distribution is stored.
const gridPoints = 12

// search is the state of one search and its buffers.
type search struct {
	hosts           []Host
	job             Job
	topo            *topology.Topology
	others          *topology.Loads
	weights         Weights
	times           [gridPoints]float64
	startLaws       [][gridPoints]float64 // logarithm of the probability of a start by each of times, for hosts that were looked at
	lawOf           []int32               // per host: index into startLaws plus 1; 0: not computed
	racks           []rack
	rackOf          []int32    // per host: index into racks
	costs           []float64  // per host: its cost alone
	contentionPrice float64    // worth of a slot-second to other gangs
	subsets         [][]subset // racks with their hosts up to some cost alone

	k         int
	edges     []pattern.Edge
	orders    [][]int
	traffic   topology.Traffic
	spots     []topology.Spot
	evaluated int // placements scored
	best      Score
	chosen    []int32 // the choice with that score
}

// rack is the hosts of one rack, lowest cost first.
type rack struct {
	zone  int
	free  int // hosts at which a part would start at once
	hosts []int32
}

// minLogChance stands for the logarithm of a probability of zero.
const minLogChance = -60

// startLaw returns the start-time distribution of a host: for each of s.times, the logarithm of the probability that a
// part has started by then. It is the distribution of package logic for a backlog of which only an estimate is known
// (logic.ViolationProbability).
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

// lateChance returns the probability that a part has not started by time t.
func (s *search) lateChance(h *Host, t float64) float64 {
	if t < h.After {
		return 1
	}
	return min(logic.ViolationProbability(t-h.After+h.Room, h.Backlog), 1)
}

// setParts sets the number of parts to place.
func (s *search) setParts(k int) {
	s.k, s.edges, s.orders = k, s.job.Pattern.Edges(k), s.job.Pattern.Orders(k)
}

// workPerPart returns the work of each of k parts.
func (s *search) workPerPart() float64 { return s.job.Work * float64(s.job.Parts) / float64(s.k) }

// exchangeTime finds the best order of ranks on hosts that are sorted by rack. It returns the time of one
// exchange, the share of bytes that leave a rack, and that order.
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

// score scores a choice of hosts that are sorted by rack.
func (s *search) score(chosen []int32) (w Score) {
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
	// The expected last start, as far as the grid reaches.
	for g := 1; g < gridPoints; g++ {
		w.Start += (s.times[g] - s.times[g-1]) * (1 - (math.Exp(sum[g-1])+math.Exp(sum[g]))/2)
	}
	// The stated work is an estimate. With more work a gang runs longer, and its deadline moves by Stretch.
	for _, e := range workFactors {
		more := (e - 1) * s.workPerPart()
		w.Chance += (1 - math.Exp(s.interpolate(&sum, s.job.Slack-w.Run+(s.job.Stretch*float64(s.k)/float64(s.job.Parts)-pace)*more))) / float64(len(workFactors))
	}
	w.Late = s.job.Worth * ((1-s.job.LateWorth)*w.Chance + durationWeight*(w.Start+w.Run)/max(s.job.Slack, 1e-3))
	// A slot is taken from its own start until all parts end: those that start first wait for the last.
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
			w.Pieces += s.job.Worth * s.weights.Fragmentation * float64(left) / float64(len(s.racks[r].hosts))
		}
	}
	w.Risk = s.job.Worth * s.weights.Fails * float64(racks) * w.Run
	return w
}

// interpolate reads a distribution between the grid's times; before the first it returns minLogChance.
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
