package place

import (
	"cmp"
	"math"
	"slices"

	"granitewing/internal/fleet/gang/topology"
)

// Bound returns a score that no placement of the job can be below. Each term is minimized by itself, without regard to
// the others: the run time with the k fastest hosts and exchanges within one rack, the probability of a missed deadline
// with the k hosts that are the most likely to start in time, and the cost to later messages with the k hosts where it
// is lowest. At least one rack can fail; fragmentation and duration count as 0.
func Bound(hosts []Host, j Job, t *topology.Topology, w Weights) float64 {
	s := newSearch(hosts, j, t, &topology.Loads{}, w)
	least := math.Inf(1)
	for _, k := range s.sizes() {
		s.setParts(k)
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
		run := s.workPerPart()*paces[k-1] + j.Steps*step
		slack := 0.0 // the largest over the work factors
		for _, e := range workFactors {
			slack = max(slack, j.Slack-run+max(j.Stretch*float64(k)/float64(j.Parts)*(e-1)*s.workPerPart(), 0)-min((e-1)*s.workPerPart()*paces[0], 0))
		}
		for i := range hosts {
			laws = append(laws, s.interpolate(s.startLaw(int32(i)), slack))
		}
		slices.SortFunc(laws, func(a, b float64) int { return cmp.Compare(b, a) })
		sum, push := 0.0, 0.0
		for n := range k {
			sum += laws[n]
			push += pushes[n]
		}
		least = min(least, j.Worth*(1-j.LateWorth)*(1-math.Exp(sum))+(push+(j.Price+s.contentionPrice)*float64(k))*run+j.Worth*w.Fails*run)
	}
	return least
}
