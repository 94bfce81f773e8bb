package place

import (
	"cmp"
	"math"
	"slices"

	"granitewing/internal/fleet/gang/topology"
)

// Bounds of a search.
const (
	maxExact       = 3000 // placements up to which all are scored
	maxSingleRacks = 6    // racks scored that can take the whole alone
	exchangePasses = 2    // of exchanging one host for another
	maxSizes       = 3    // numbers of parts that are tried
)

// Search finds a placement of the lowest score that it can; ok is false where there are not hosts for the least number of parts.
// Others is what other gangs have on the uplinks.
func Search(hosts []Host, j Job, t *topology.Topology, others *topology.Loads, w Weights) (best Placement, ok bool) {
	s := newSearch(hosts, j, t, others, w)
	for _, k := range s.sizes() {
		s.setParts(k)
		s.best, s.chosen = Why{Late: math.Inf(1)}, s.chosen[:0]
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

// Fixed is the placement of hosts that were chosen by rank in another way.
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

// sizes are the numbers of parts worth a look: all, the least, and one between.
func (s *search) sizes() (out []int) {
	most, least := min(s.job.Parts, len(s.hosts)), max(s.job.Least, 1)
	for n := range maxSizes {
		if k := most - (most-least)*n/(maxSizes-1); most >= least && !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}

func newSearch(hosts []Host, j Job, t *topology.Topology, others *topology.Loads, w Weights) *search {
	n := len(hosts)
	s := &search{hosts: hosts, job: j, topo: t, others: others, weights: w, lawOf: make([]int32, n),
		rackOf: make([]int32, n), costs: make([]float64, n)}
	for g := range s.times {
		// Closer together near the beginning, where laws change most.
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

// least is the fewest slot-seconds that the whole takes.
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

// order puts hosts by what each would cost alone.
func (s *search) compareHosts(a, b int32) int {
	switch ka, kb := s.costs[a], s.costs[b]; {
	case ka < kb:
		return -1
	case ka > kb:
		return 1
	}
	return cmp.Compare(s.hosts[a].ID, s.hosts[b].ID)
}

// few tells whether there are so few ways to take k of n hosts that all can be scored.
func fewPlacements(n, k int) bool {
	ways := 1.0
	for i := range min(k, n-k) {
		ways *= float64(n-i) / float64(i+1)
	}
	return ways <= maxExact
}

// all scores every choice of hosts.
func (s *search) exhaustive() {
	var chosen []int32
	// Rack by rack, as the orders of ranks want them.
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

// try scores a choice and keeps it where it is the best.
func (s *search) evaluate(chosen []int32) bool {
	s.evaluated++
	w := s.score(chosen)
	if w.Total() >= s.best.Total() {
		return false
	}
	s.best, s.chosen = w, append(s.chosen[:0], chosen...)
	return true
}

// improve exchanges the worst hosts of the best choice for others of its racks, and of the rack beside that is cheapest.
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

// spare lists hosts that could stand in for one: the best that is not taken, of its own rack and of the racks that are in use.
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

// placement is the best choice, with its ranks.
func (s *search) placement() Placement {
	p := Placement{Why: s.best, Hosts: make([]Host, s.k)}
	step, _, order := s.exchangeTime(s.chosen)
	for at, rank := range order {
		p.Hosts[rank] = s.hosts[s.chosen[at]]
	}
	p.Leaves, p.Zoned = make([]float64, s.k), make([]float64, s.k)
	if step > 0 && p.Run > 0 {
		s.traffic.Count(s.edges, s.job.Bytes, hostSpots(p.Hosts))
		// Over the whole run, not while it exchanges alone: that is what others find on the links.
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
