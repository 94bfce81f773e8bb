package place

import (
	"cmp"
	"math"
	"slices"

	"granitewing/internal/fleet/gang/topology"
)

// Bounds of a search.
const (
	exactMost = 3000 // placements up to which all are scored
	racksMost = 6    // racks scored that can take the whole alone
	passes    = 2    // of exchanging one host for another
	sizesMost = 3    // numbers of parts that are tried
)

// Search finds a placement of the lowest score that it can; ok is false where there are not hosts for the least number of parts.
// Others is what other gangs have on the uplinks.
func Search(hosts []Host, j Job, t *topology.Topology, others *topology.Loads, w Weights) (best Placement, ok bool) {
	s := newSearch(hosts, j, t, others, w)
	for _, k := range s.sizes() {
		s.size(k)
		s.best, s.chosen = Why{Late: math.Inf(1)}, s.chosen[:0]
		if few(len(hosts), k) {
			s.all()
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
	s.size(len(hosts))
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
	for n := range sizesMost {
		if k := most - (most-least)*n/(sizesMost-1); most >= least && !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}

func newSearch(hosts []Host, j Job, t *topology.Topology, others *topology.Loads, w Weights) *search {
	n := len(hosts)
	s := &search{hosts: hosts, job: j, topo: t, others: others, w: w, lawOf: make([]int32, n),
		rackOf: make([]int32, n), keys: make([]float64, n)}
	for g := range s.times {
		// Closer together near the beginning, where laws change most.
		x := float64(g) / (grid - 1)
		s.times[g] = max(j.Slack, 1e-3) * x * x
	}
	s.crowd = j.Worth * j.Crowd / s.least()
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
		s.keys[i] = j.Worth*(1-j.LateWorth)*s.late(h, j.Slack-run) + (h.Push+j.Price+s.crowd)*run + 1e-6*(h.Backlog+h.After)
	}
	for r := range s.racks {
		slices.SortFunc(s.racks[r].hosts, s.order)
	}
	return s
}

// least is the fewest slot-seconds that the whole takes.
func (s *search) least() float64 {
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
func (s *search) order(a, b int32) int {
	switch ka, kb := s.keys[a], s.keys[b]; {
	case ka < kb:
		return -1
	case ka > kb:
		return 1
	}
	return cmp.Compare(s.hosts[a].ID, s.hosts[b].ID)
}

// few tells whether there are so few ways to take k of n hosts that all can be scored.
func few(n, k int) bool {
	ways := 1.0
	for i := range min(k, n-k) {
		ways *= float64(n-i) / float64(i+1)
	}
	return ways <= exactMost
}

// all scores every choice of hosts.
func (s *search) all() {
	var chosen []int32
	// Rack by rack, as the orders of ranks want them.
	var hosts []int32
	for _, r := range s.racks {
		hosts = append(hosts, r.hosts...)
	}
	var choose func(from int)
	choose = func(from int) {
		if len(chosen) == s.k {
			s.try(chosen)
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
func (s *search) try(chosen []int32) bool {
	s.looks++
	w := s.score(chosen)
	if w.Total() >= s.best.Total() {
		return false
	}
	s.best, s.chosen = w, append(s.chosen[:0], chosen...)
	return true
}

// candidates scores choices of which one is near the best: the racks that can take the whole alone; the fewest racks of a zone,
// and of all, by hosts of several qualities; and the best hosts wherever they are.
func (s *search) candidates() {
	j := &s.job
	type sum struct {
		rack int
		cost float64
	}
	var alone []sum
	for r := range s.racks {
		if hosts := s.racks[r].hosts; len(hosts) >= s.k {
			c := 0.0
			for _, i := range hosts[:s.k] {
				c += s.keys[i]
			}
			alone = append(alone, sum{r, c + j.Worth*s.w.Pieces*float64(max(s.racks[r].free-s.k, 0))/float64(len(hosts))})
		}
	}
	slices.SortFunc(alone, func(a, b sum) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.rack, b.rack)) })
	for _, a := range alone[:min(len(alone), racksMost)] {
		s.try(s.racks[a.rack].hosts[:s.k])
	}
	var zones []int
	for _, r := range s.racks {
		if !slices.Contains(zones, r.zone) {
			zones = append(zones, r.zone)
		}
	}
	if s.parts == nil {
		for _, most := range s.qualities() {
			s.parts = append(s.parts, s.goodOnes(most))
		}
	}
	for _, parts := range s.parts {
		for _, z := range zones {
			s.fewest(parts, z, false)
		}
		if len(zones) > 1 {
			s.fewest(parts, 0, true)
		}
	}
	s.cheapest()
}

// qualities are costs of a host alone up to which it is looked at, from some of the hosts.
func (s *search) qualities() []float64 {
	var sample []float64
	for i := 0; i < len(s.keys); i += max(len(s.keys)/256, 1) {
		sample = append(sample, s.keys[i])
	}
	slices.Sort(sample)
	var out []float64
	for _, part := range []float64{0.15, 0.5, 1} {
		v := sample[int(part*float64(len(sample)-1))]
		if part == 1 {
			v = math.Inf(1)
		}
		if len(out) == 0 || v > out[len(out)-1] {
			out = append(out, v)
		}
	}
	return out
}

// part is some hosts of a rack, the best.
type part struct{ rack, n int }

// goodOnes counts the hosts of each rack up to a cost, the racks with most first.
func (s *search) goodOnes(most float64) (out []part) {
	for r := range s.racks {
		n := 0
		for _, i := range s.racks[r].hosts {
			if s.keys[i] > most {
				break
			}
			n++
		}
		if n > 0 {
			out = append(out, part{r, n})
		}
	}
	slices.SortFunc(out, func(a, b part) int {
		if a.n != b.n {
			return b.n - a.n
		}
		return s.order(s.racks[a.rack].hosts[0], s.racks[b.rack].hosts[0])
	})
	return out
}

// fewest takes whole racks, of a zone if one is named, those with most hosts first, and for the rest the rack that has just
// enough.
func (s *search) fewest(parts []part, zone int, any bool) {
	var chosen []int32
	for at := 0; at < len(parts) && len(chosen) < s.k; at++ {
		p := parts[at]
		if !any && s.racks[p.rack].zone != zone {
			continue
		}
		left := s.k - len(chosen)
		if p.n >= left {
			// Of those that have enough, the one that is left with least.
			for _, o := range parts[at+1:] {
				if o.n < left {
					break
				}
				if any || s.racks[o.rack].zone == zone {
					p = o
				}
			}
		}
		chosen = append(chosen, s.racks[p.rack].hosts[:min(p.n, left)]...)
	}
	if len(chosen) == s.k {
		s.try(chosen)
	}
}

// cheapest takes the best hosts wherever they are.
func (s *search) cheapest() {
	var chosen []int32
	heads := make([]int, len(s.racks))
	for range s.k {
		best := int32(-1)
		for r, at := range heads {
			if hosts := s.racks[r].hosts; at < len(hosts) && (best < 0 || s.order(hosts[at], best) < 0) {
				best = hosts[at]
			}
		}
		chosen = append(chosen, best)
		heads[s.rackOf[best]]++
	}
	s.byRack(chosen)
	s.try(chosen)
}

func (s *search) byRack(chosen []int32) {
	slices.SortFunc(chosen, func(a, b int32) int {
		ra, rb := s.rackOf[a], s.rackOf[b]
		return cmp.Or(cmp.Compare(s.racks[ra].zone, s.racks[rb].zone), cmp.Compare(ra, rb), s.order(a, b))
	})
}

// improve exchanges the worst hosts of the best choice for others of its racks, and of the rack beside that is cheapest.
func (s *search) improve() {
	if len(s.chosen) < s.k {
		return
	}
	for range passes {
		better := false
		worst := slices.Clone(s.chosen)
		slices.SortFunc(worst, func(a, b int32) int { return s.order(b, a) })
		for _, out := range worst[:min(len(worst), 16)] {
			if !slices.Contains(s.chosen, out) {
				continue
			}
			for _, in := range s.spare(out) {
				chosen := slices.Clone(s.chosen)
				chosen[slices.Index(chosen, out)] = in
				s.byRack(chosen)
				if s.try(chosen) {
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
func (s *search) spare(out int32) []int32 {
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
	step, _, order := s.step(s.chosen)
	for at, rank := range order {
		p.Hosts[rank] = s.hosts[s.chosen[at]]
	}
	p.Leaves, p.Zoned = make([]float64, s.k), make([]float64, s.k)
	if step > 0 && p.Run > 0 {
		s.traffic.Count(s.edges, s.job.Bytes, spots(p.Hosts))
		// Over the whole run, not while it exchanges alone: that is what others find on the links.
		for rank := range p.Hosts {
			p.Leaves[rank] = s.traffic.Leaves[rank] * s.job.Steps / p.Run
			p.Zoned[rank] = s.traffic.Zoned[rank] * s.job.Steps / p.Run
		}
	}
	return p
}

func spots(hosts []Host) []topology.Spot {
	out := make([]topology.Spot, len(hosts))
	for i, h := range hosts {
		out[i] = h.Spot
	}
	return out
}

// Bound is a score that no placement of the job can be under: each term at its least by itself, whatever the others need.
func Bound(hosts []Host, j Job, t *topology.Topology, w Weights) float64 {
	s := newSearch(hosts, j, t, &topology.Loads{}, w)
	least := math.Inf(1)
	for _, k := range s.sizes() {
		s.size(k)
		paces, pushes, laws := make([]float64, 0, len(hosts)), make([]float64, 0, len(hosts)), make([]float64, 0, len(hosts))
		for i := range hosts {
			paces, pushes = append(paces, hosts[i].Pace), append(pushes, hosts[i].Push)
		}
		slices.Sort(paces)
		slices.Sort(pushes)
		step := 0.0
		if j.Steps > 0 && len(s.edges) > 0 {
			step = t.Alone(s.edges, j.Bytes, k)
		}
		run := s.work()*paces[k-1] + j.Steps*step
		slack := 0.0 // of the guess that has most
		for _, e := range guesses {
			slack = max(slack, j.Slack-run+max(j.Stretch*float64(k)/float64(j.Parts)*(e-1)*s.work(), 0)-min((e-1)*s.work()*paces[0], 0))
		}
		for i := range hosts {
			laws = append(laws, s.at(s.law(int32(i)), slack))
		}
		slices.SortFunc(laws, func(a, b float64) int { return cmp.Compare(b, a) })
		sum, push := 0.0, 0.0
		for n := range k {
			sum += laws[n]
			push += pushes[n]
		}
		least = min(least, j.Worth*(1-j.LateWorth)*(1-math.Exp(sum))+(push+(j.Price+s.crowd)*float64(k))*run+j.Worth*w.Fails*run)
	}
	return least
}
