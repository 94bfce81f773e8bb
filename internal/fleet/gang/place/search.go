package place

import (
	"cmp"
	"math"
	"slices"

	"granitewing/internal/fleet/gang/topology"
)

// Bounds of a search.
const (
	maxExact       = 3000 // all placements are scored if there are no more than these
	maxSingleRacks = 6    // racks tried that can take the whole gang alone
	exchangePasses = 2    // passes of exchanging one host for another
	maxSizes       = 3    // numbers of parts tried
)

// Search returns the placement with the lowest score that it finds. ok is false if there are fewer hosts than the
// least number of parts. others is the traffic of other gangs on the uplinks.
func Search(hosts []Host, j Job, t *topology.Topology, others *topology.Loads, w Weights) (best Placement, ok bool) {
	s := newSearch(hosts, j, t, others, w)
	for _, k := range s.sizes() {
		s.setParts(k)
		s.best, s.chosen = Score{Late: math.Inf(1)}, s.chosen[:0]
		if fewPlacements(len(hosts), k) {
			s.exhaustive()
		} else {
			s.candidates()
			s.improve()
		}
		if !ok || s.best.Total() < best.Total() {
			best, ok = s.placement(), true
		}
	}
	return best, ok
}

// Fixed scores a placement of given hosts, listed by rank.
func Fixed(hosts []Host, j Job, t *topology.Topology, others *topology.Loads, w Weights) Placement {
	s := newSearch(hosts, j, t, others, w)
	s.setParts(len(hosts))
	s.orders = s.orders[:1]
	for i := range hosts {
		s.chosen = append(s.chosen, int32(i))
	}
	s.best = s.score(s.chosen)
	return s.placement()
}

// sizes returns the numbers of parts to try: all, the least, and one between.
func (s *search) sizes() (out []int) {
	most, least := min(s.job.Parts, len(s.hosts)), max(s.job.Least, 1)
	for n := range maxSizes {
		if k := most - (most-least)*n/(maxSizes-1); most >= least && !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}

// newSearch prepares a search: it groups the hosts by rack and computes what each costs alone.
func newSearch(hosts []Host, j Job, t *topology.Topology, others *topology.Loads, w Weights) *search {
	n := len(hosts)
	s := &search{hosts: hosts, job: j, topo: t, others: others, weights: w, lawOf: make([]int32, n),
		rackOf: make([]int32, n), costs: make([]float64, n)}
	for g := range s.times {
		// Closer together near the start, where the distributions change most.
		x := float64(g) / (gridPoints - 1)
		s.times[g] = max(j.Slack, 1e-3) * x * x
	}
	s.contentionPrice = j.Worth * j.Crowd / s.minSlotSeconds()
	numbers := map[int]int32{}
	for i := range hosts {
		h := &hosts[i]
		r, known := numbers[h.Spot.Rack]
		if !known {
			r = int32(len(s.racks))
			numbers[h.Spot.Rack] = r
			s.racks = append(s.racks, rack{zone: h.Zone})
		}
		s.rackOf[i] = r
		s.racks[r].hosts = append(s.racks[r].hosts, int32(i))
		if h.After <= 0 && h.Backlog <= h.Room {
			s.racks[r].free++
		}
		run := j.Work * h.Pace
		s.costs[i] = j.Worth*(1-j.LateWorth)*s.lateChance(h, j.Slack-run) + (h.Push+j.Price+s.contentionPrice)*run + 1e-6*(h.Backlog+h.After)
	}
	for r := range s.racks {
		slices.SortFunc(s.racks[r].hosts, s.compareHosts)
	}
	return s
}

// minSlotSeconds returns the fewest slot-seconds that the whole gang takes.
func (s *search) minSlotSeconds() float64 {
	pace := math.Inf(1)
	for i := range s.hosts {
		pace = min(pace, s.hosts[i].Pace)
	}
	step := 0.0
	if s.job.Steps > 0 && s.job.Bytes > 0 {
		step = s.topo.Alone(s.job.Pattern.Edges(s.job.Parts), s.job.Bytes, s.job.Parts)
	}
	return max(float64(s.job.Parts)*(s.job.Work*pace+s.job.Steps*step), 1e-6)
}

// compareHosts orders hosts by their cost alone, then by ID.
func (s *search) compareHosts(a, b int32) int {
	switch ka, kb := s.costs[a], s.costs[b]; {
	case ka < kb:
		return -1
	case ka > kb:
		return 1
	}
	return cmp.Compare(s.hosts[a].ID, s.hosts[b].ID)
}

// fewPlacements reports whether there are few enough ways to take k of n hosts to score them all.
func fewPlacements(n, k int) bool {
	ways := 1.0
	for i := range min(k, n-k) {
		ways *= float64(n-i) / float64(i+1)
	}
	return ways <= maxExact
}

// exhaustive scores every choice of hosts.
func (s *search) exhaustive() {
	var chosen []int32
	// Sorted by rack, as the orders of ranks need it.
	var hosts []int32
	for _, r := range s.racks {
		hosts = append(hosts, r.hosts...)
	}
	var choose func(from int)
	choose = func(from int) {
		if len(chosen) == s.k {
			s.evaluate(chosen)
			return
		}
		for i := from; i <= len(hosts)-(s.k-len(chosen)); i++ {
			chosen = append(chosen, hosts[i])
			choose(i + 1)
			chosen = chosen[:len(chosen)-1]
		}
	}
	choose(0)
}

// evaluate scores a choice and keeps it if it is the best. It reports whether it is.
func (s *search) evaluate(chosen []int32) bool {
	s.evaluated++
	w := s.score(chosen)
	if w.Total() >= s.best.Total() {
		return false
	}
	s.best, s.chosen = w, append(s.chosen[:0], chosen...)
	return true
}

// improve replaces hosts of the best choice by others of the racks in use where that lowers the score. It tries the 16
// most expensive hosts, in exchangePasses passes, and ends early after a pass without an improvement.
func (s *search) improve() {
	if len(s.chosen) < s.k {
		return
	}
	for range exchangePasses {
		better := false
		worst := slices.Clone(s.chosen)
		slices.SortFunc(worst, func(a, b int32) int { return s.compareHosts(b, a) })
		for _, out := range worst[:min(len(worst), 16)] {
			if !slices.Contains(s.chosen, out) {
				continue
			}
			for _, in := range s.replacements(out) {
				chosen := slices.Clone(s.chosen)
				chosen[slices.Index(chosen, out)] = in
				s.sortByRack(chosen)
				if s.evaluate(chosen) {
					better = true
					break
				}
			}
		}
		if !better {
			return
		}
	}
}

// replacements lists candidates to replace a host: the cheapest unused one of its own rack, and of up to three
// other racks in use.
func (s *search) replacements(out int32) []int32 {
	var spare []int32
	seen := map[int32]bool{}
	for _, c := range append([]int32{out}, s.chosen...) {
		r := s.rackOf[c]
		if seen[r] || len(spare) >= 4 {
			continue
		}
		seen[r] = true
		for _, i := range s.racks[r].hosts {
			if !slices.Contains(s.chosen, i) {
				spare = append(spare, i)
				break
			}
		}
	}
	return spare
}

// placement returns the best choice with its ranks assigned.
func (s *search) placement() Placement {
	p := Placement{Score: s.best, Hosts: make([]Host, s.k)}
	step, _, order := s.exchangeTime(s.chosen)
	for at, rank := range order {
		p.Hosts[rank] = s.hosts[s.chosen[at]]
	}
	p.Leaves, p.Zoned = make([]float64, s.k), make([]float64, s.k)
	if step > 0 && p.Run > 0 {
		s.traffic.Count(s.edges, s.job.Bytes, hostSpots(p.Hosts))
		// Averaged over the whole run and not just the exchanges, since that is the load that others find on the links.
		for rank := range p.Hosts {
			p.Leaves[rank] = s.traffic.Leaves[rank] * s.job.Steps / p.Run
			p.Zoned[rank] = s.traffic.Zoned[rank] * s.job.Steps / p.Run
		}
	}
	return p
}

func hostSpots(hosts []Host) []topology.Spot {
	out := make([]topology.Spot, len(hosts))
	for i, h := range hosts {
		out[i] = h.Spot
	}
	return out
}
