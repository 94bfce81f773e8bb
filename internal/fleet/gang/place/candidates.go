package place

import (
	"cmp"
	"math"
	"slices"
)

// The choices with which a search starts.

// candidates scores choices of which one is usually near the best: single racks that can take the whole gang; the
// fewest racks of one zone, and of all zones, from hosts up to several cost limits; and the cheapest hosts
// wherever they are.
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
				c += s.costs[i]
			}
			alone = append(alone, sum{r, c + j.Worth*s.weights.Fragmentation*float64(max(s.racks[r].free-s.k, 0))/float64(len(hosts))})
		}
	}
	slices.SortFunc(alone, func(a, b sum) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.rack, b.rack)) })
	for _, a := range alone[:min(len(alone), maxSingleRacks)] {
		s.evaluate(s.racks[a.rack].hosts[:s.k])
	}
	var zones []int
	for _, r := range s.racks {
		if !slices.Contains(zones, r.zone) {
			zones = append(zones, r.zone)
		}
	}
	if s.subsets == nil {
		for _, maxCost := range s.costLimits() {
			s.subsets = append(s.subsets, s.hostsUpTo(maxCost))
		}
	}
	for _, parts := range s.subsets {
		for _, z := range zones {
			s.fewestRacks(parts, z, false)
		}
		if len(zones) > 1 {
			s.fewestRacks(parts, 0, true)
		}
	}
	s.cheapestHosts()
}

// costLimits returns limits on the cost of a host alone, from quantiles of a sample of the hosts.
func (s *search) costLimits() []float64 {
	var sample []float64
	for i := 0; i < len(s.costs); i += max(len(s.costs)/256, 1) {
		sample = append(sample, s.costs[i])
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

// subset is the first n hosts of a rack, the cheapest.
type subset struct{ rack, n int }

// hostsUpTo counts the hosts of each rack up to a cost, and lists the racks with most such hosts first.
func (s *search) hostsUpTo(maxCost float64) (out []subset) {
	for r := range s.racks {
		n := 0
		for _, i := range s.racks[r].hosts {
			if s.costs[i] > maxCost {
				break
			}
			n++
		}
		if n > 0 {
			out = append(out, subset{r, n})
		}
	}
	slices.SortFunc(out, func(a, b subset) int {
		if a.n != b.n {
			return b.n - a.n
		}
		return s.compareHosts(s.racks[a.rack].hosts[0], s.racks[b.rack].hosts[0])
	})
	return out
}

// fewestRacks takes whole racks with most hosts first, of one zone or of any, and for the rest the rack with the
// fewest that suffice.
func (s *search) fewestRacks(parts []subset, zone int, any bool) {
	var chosen []int32
	for at := 0; at < len(parts) && len(chosen) < s.k; at++ {
		p := parts[at]
		if !any && s.racks[p.rack].zone != zone {
			continue
		}
		left := s.k - len(chosen)
		if p.n >= left {
			// Of the racks that have enough, the one with the fewest hosts left over.
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
		s.evaluate(chosen)
	}
}

// cheapestHosts takes the hosts with the lowest cost wherever they are.
func (s *search) cheapestHosts() {
	var chosen []int32
	heads := make([]int, len(s.racks))
	for range s.k {
		best := int32(-1)
		for r, at := range heads {
			if hosts := s.racks[r].hosts; at < len(hosts) && (best < 0 || s.compareHosts(hosts[at], best) < 0) {
				best = hosts[at]
			}
		}
		chosen = append(chosen, best)
		heads[s.rackOf[best]]++
	}
	s.sortByRack(chosen)
	s.evaluate(chosen)
}

// sortByRack sorts hosts by zone, rack and cost.
func (s *search) sortByRack(chosen []int32) {
	slices.SortFunc(chosen, func(a, b int32) int {
		ra, rb := s.rackOf[a], s.rackOf[b]
		return cmp.Or(cmp.Compare(s.racks[ra].zone, s.racks[rb].zone), cmp.Compare(ra, rb), s.compareHosts(a, b))
	})
}
