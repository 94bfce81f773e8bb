package gang

import (
	"slices"

	"granitewing/internal/fleet/gang/place"
	"granitewing/internal/fleet/gang/topology"
	"granitewing/internal/fleet/limit/hold"
	"granitewing/logic"
)

// Placement of a gang by what is known: package logic's view of the hosts, the slots held by the gangs of all
// dispatchers, and their traffic on the uplinks.

// maxLateChance is the probability of a missed deadline above which a gang without value after its deadline is
// refused.
const maxLateChance = 0.95

// Bounds of Retry-After in microseconds.
const (
	minRetryAfter = 100_000
	maxRetryAfter = 5_000_000
)

// hostUse is what gangs hold at a host: its slots, and the traffic from them.
type hostUse struct {
	freeIn []int64 // microseconds until each slot is free
	hold.Spot
}

// occupied returns what gangs other than except hold at each host: the gangs of other processes by the dealer's last
// list, those of this process by its own state.
func (p *Part) occupied(now int64, except *gang) map[uint32]*hostUse {
	out := map[uint32]*hostUse{}
	add := func(s hold.Spot, left int64) {
		u := out[s.Host]
		if u == nil {
			u = &hostUse{Spot: hold.Spot{Host: s.Host}}
			out[s.Host] = u
		}
		u.freeIn = append(u.freeIn, max(left, 1))
		u.Rack, u.Zone = u.Rack+s.Rack, u.Zone+s.Zone
	}
	list, at := p.holder.Busy()
	for _, b := range list {
		if left := b.Left - (now - at); left > 0 || now-at < p.lease {
			add(b.Spot, left)
		}
	}
	for _, g := range p.gangs {
		if g == except || g.holdID == 0 {
			continue
		}
		ends := g.endsAt
		if g.state == stateWaiting {
			ends = now + int64((g.placement.Start+g.placement.Run)*1e6)
		}
		for _, s := range slotsOf(&g.placement) {
			add(s, ends-now)
		}
	}
	return out
}

// rackNumber returns a number for a rack that is unique in the fleet. Inventories may use the same cell number in
// several zones.
func (p *Part) rackNumber(zone, cell int) int {
	k := [2]int{zone, cell}
	n, known := p.rackNumbers[k]
	if !known {
		n = len(p.rackNumbers)
		p.rackNumbers[k] = n
	}
	return n
}

// gatherHosts returns the hosts for a gang, and the traffic of other gangs on the uplinks.
func (p *Part) gatherHosts(now int64, g *gang) ([]place.Host, *topology.Loads) {
	var out []place.Host
	others := &topology.Loads{}
	taken := p.occupied(now, g)
	if len(p.rackNumbers) > maxRacks {
		clear(p.rackNumbers) // they belong to replaced hosts
	}
	factor := p.waitFactor()
	p.hosts(now, g.Work, func(v logic.WorkerView) {
		h := place.Host{ID: uint32(v.ID), Spot: topology.Spot{Rack: p.rackNumber(v.Zone, v.Cell), Zone: v.Zone},
			Backlog: v.Backlog * factor, Room: v.Headroom, Pace: v.Slowdown, Push: v.CongestionCost}
		if u := taken[h.ID]; u != nil {
			others.Add(h.Spot, float64(u.Rack), float64(u.Zone))
			if over := len(u.freeIn) - p.options.Room; over >= 0 {
				slices.Sort(u.freeIn)
				h.After = float64(u.freeIn[over]) / 1e6
			}
		}
		out = append(out, h)
	})
	return out, others
}

// maxRacks bounds the racks that have numbers.
const maxRacks = 1 << 16

// minRunShare is the smallest share of its expected run time in which a gang may end, since its stated work is an
// estimate.
const minRunShare = 0.75

// minImprovement is the share of its worth that another placement must save a waiting gang, because each change
// needs a new ask.
const minImprovement = 0.02

// tryPlace places a gang, or checks its placement, and asks for the slots. It returns false if no placement is
// worth the work.
func (p *Part) tryPlace(now int64, g *gang) bool {
	if p.closed {
		return false
	}
	hosts, others := p.gatherHosts(now, g)
	k := g.kind
	job := place.Job{Parts: k.Parts, Least: k.Least, Work: g.Work, Steps: k.Steps, Bytes: k.Bytes, Pattern: k.Pattern,
		Slack: float64(g.Late-now) / 1e6, Stretch: g.Stretch, Worth: g.Worth, LateWorth: g.LateWorth, Price: g.Price, Crowd: p.occupiedShare(hosts)}
	var current *place.Placement
	if g.holdID != 0 {
		current = p.rescore(g, hosts, job, others)
	}
	g.placedAt = now
	if current != nil && p.options.Blind {
		return true
	}
	best, ok := p.findPlacement(hosts, job, others)
	if current != nil && (!ok || current.Total() <= best.Total()+minImprovement*g.Worth) {
		return !notWorthRunning(g, current)
	}
	if !ok || notWorthRunning(g, &best) {
		return false
	}
	// The new set of slots needs a new ID, so that an answer for the former set is not taken for it.
	p.holder.Drop(g.holdID)
	p.lastHold++
	g.placement, g.holdID, g.waitFactor = best, p.lastHold, p.waitFactor()
	// The dealer serves the earliest deadline first, and no gang waits for slots that it would get too late.
	last := g.Late
	if g.LateWorth > 0 {
		last = g.Deadline
	}
	g.giveUpAt = min(g.arrivedAt+g.kind.Wait, max(last-int64(best.Run*minRunShare*1e6), now+1))
	return p.holder.Want(g.holdID, slotsOf(&g.placement), g.giveUpAt, int64(best.Run*1e6))
}

func (p *Part) findPlacement(hosts []place.Host, j place.Job, others *topology.Loads) (place.Placement, bool) {
	if p.options.Choose != nil {
		return p.options.Choose(hosts, j, &p.options.Topology, others, p.options.Weights)
	}
	return place.Search(hosts, j, &p.options.Topology, others, p.options.Weights)
}

// notWorthRunning reports whether a gang is not worth its work with a placement.
func notWorthRunning(g *gang, p *place.Placement) bool {
	return p.Chance >= maxLateChance && g.LateWorth <= 0 || g.Worth-p.Late < p.Push+p.Price
}

// rescore scores a gang's placement by current knowledge. It returns nil if one of its hosts may not be sent parts
// any more or another gang got it first.
func (p *Part) rescore(g *gang, hosts []place.Host, j place.Job, others *topology.Loads) *place.Placement {
	at := map[uint32]int{}
	for i := range hosts {
		at[hosts[i].ID] = i
	}
	hostsByRank := make([]place.Host, len(g.placement.Hosts))
	for rank, h := range g.placement.Hosts {
		i, there := at[h.ID]
		if !there || hosts[i].After > h.After+maxExtraWait {
			return nil
		}
		hostsByRank[rank] = hosts[i]
	}
	fixed := place.Fixed(hostsByRank, j, &p.options.Topology, others, p.options.Weights)
	return &fixed
}

// maxExtraWait is how many seconds later than at placement a host's slot may become free before the placement is
// abandoned.
const maxExtraWait = 0.2

// occupiedShare returns the share of hosts whose slots for gangs are all taken.
func (p *Part) occupiedShare(hosts []place.Host) float64 {
	n := 0
	for i := range hosts {
		if hosts[i].After > 0 {
			n++
		}
	}
	return float64(n) / float64(max(len(hosts), 1))
}

// conflictsSincePlacement reports whether the dealer has listed, since the gang was placed, a host of it as taken
// by another.
func (p *Part) conflictsSincePlacement(g *gang) bool {
	list, at := p.holder.Busy()
	if at <= g.placedAt {
		return false
	}
	return slices.ContainsFunc(list, func(b hold.Busy) bool {
		return slices.ContainsFunc(g.placement.Hosts, func(h place.Host) bool { return h.ID == b.Host && h.After == 0 })
	})
}

// hostsAvailable reports whether all hosts of a placement may still be sent a part. If not, the gang becomes due
// for a new placement at once.
func (p *Part) hostsAvailable(now int64, g *gang) bool {
	may := map[uint32]bool{}
	p.hosts(now, g.Work, func(v logic.WorkerView) { may[uint32(v.ID)] = true })
	gone := slices.ContainsFunc(g.placement.Hosts, func(h place.Host) bool { return !may[h.ID] })
	if gone {
		g.placedAt = now - rescoreInterval
	}
	return !gone
}

// slotsOf returns the slots of a placement, with the traffic beyond their racks and zones.
func slotsOf(p *place.Placement) []hold.Spot {
	out := make([]hold.Spot, len(p.Hosts))
	for i, h := range p.Hosts {
		out[i] = hold.Spot{Host: h.ID, Rack: float32(p.Leaves[i]), Zone: float32(p.Zoned[i])}
	}
	return out
}

// retryAfter returns when the client of a gang that is given up may try again, in microseconds: once as many slots
// are free as the gang needs at least.
func (p *Part) retryAfter(now int64, g *gang) int64 {
	var left []int64
	for _, u := range p.occupied(now, g) {
		left = append(left, u.freeIn...)
	}
	slices.Sort(left)
	if n := min(g.kind.Least, len(left)); n > 0 {
		return min(max(left[n-1], minRetryAfter), maxRetryAfter)
	}
	return minRetryAfter
}
