package gang

import (
	"slices"

	"granitewing/internal/fleet/gang/place"
	"granitewing/internal/fleet/gang/topology"
	"granitewing/internal/fleet/limit/hold"
	"granitewing/logic"
)

// Placing a gang by what is known: the module's view of the hosts, the slots that gangs of all dispatchers have, and what these
// send over the uplinks.

// hopeless is the chance of being late beyond which a gang that is worth nothing late is not worth its work.
const maxLateChance = 0.95

// Retry-After lies between these, in microseconds.
const (
	minRetryAfter = 100_000
	maxRetryAfter = 5_000_000
)

// uses is what gangs have at a host.
type hostUse struct {
	freeIn []int64 // until each slot is free
	hold.Spot
}

// taken lists what gangs have at hosts: others by the dealer's word, this process's own by what it knows.
func (p *Part) occupied(now int64, but *gang) map[uint32]*hostUse {
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
		if g == but || g.holdID == 0 {
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

// rack numbers racks: a list may use the same numbers in every zone.
func (p *Part) rackNumber(zone, cell int) int {
	k := [2]int{zone, cell}
	n, known := p.rackNumbers[k]
	if !known {
		n = len(p.rackNumbers)
		p.rackNumbers[k] = n
	}
	return n
}

// look gathers the hosts for a gang and what others have on the links.
func (p *Part) gatherHosts(now int64, g *gang) ([]place.Host, *topology.Loads) {
	var out []place.Host
	others := &topology.Loads{}
	taken := p.occupied(now, g)
	if len(p.rackNumbers) > maxRacks {
		clear(p.rackNumbers) // of hosts long replaced
	}
	truth := p.waitFactor()
	p.hosts(now, g.Work, func(v logic.View) {
		h := place.Host{ID: uint32(v.ID), Spot: topology.Spot{Rack: p.rackNumber(v.Zone, v.Cell), Zone: v.Zone},
			Backlog: v.Backlog * truth, Room: v.Room, Pace: v.Pace, Push: v.Push}
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

// racksMost bounds the racks that are numbered.
const maxRacks = 1 << 16

// soonest is the share of its expected run that a gang may take, its work being told by a guess.
const minRunShare = 0.75

// better is the share of its worth that another placement must save a gang that waits: each change is asked for anew.
const minImprovement = 0.02

// seek places a gang, or looks whether its placement still does, and asks for the slots; false where there is none worth its work.
func (p *Part) tryPlace(now int64, g *gang) bool {
	if p.closed {
		return false
	}
	hosts, others := p.gatherHosts(now, g)
	k := g.kind
	job := place.Job{Parts: k.Parts, Least: k.Least, Work: g.Work, Steps: k.Steps, Bytes: k.Bytes, Pattern: k.Pattern,
		Slack: float64(g.Late-now) / 1e6, Stretch: g.Stretch, Worth: g.Worth, LateWorth: g.LateWorth, Price: g.Price, Crowd: p.occupiedShare(hosts)}
	var old *place.Placement
	if g.holdID != 0 {
		old = p.rescore(g, hosts, job, others)
	}
	g.placedAt = now
	if old != nil && p.options.Blind {
		return true
	}
	best, ok := p.findPlacement(hosts, job, others)
	if old != nil && (!ok || old.Total() <= best.Total()+minImprovement*g.Worth) {
		return !notWorthRunning(g, old)
	}
	if !ok || notWorthRunning(g, &best) {
		return false
	}
	// What it waits for is another set now, and the dealer's word on the former one must not be taken for it.
	p.holder.Drop(g.holdID)
	p.lastHold++
	g.placement, g.holdID, g.waitFactor = best, p.lastHold, p.waitFactor()
	// Whoever has least time left is served first, and nobody waits for what would be late.
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

// hopelessly tells whether a gang is not worth its work where it is placed.
func notWorthRunning(g *gang, p *place.Placement) bool {
	return p.Chance >= maxLateChance && g.LateWorth <= 0 || g.Worth-p.Late < p.Push+p.Price
}

// again scores a gang's placement by what is known now; nil where a host of it may not be sent to, or another gang got it first.
func (p *Part) rescore(g *gang, hosts []place.Host, j place.Job, others *topology.Loads) *place.Placement {
	at := map[uint32]int{}
	for i := range hosts {
		at[hosts[i].ID] = i
	}
	mine := make([]place.Host, len(g.placement.Hosts))
	for rank, h := range g.placement.Hosts {
		i, there := at[h.ID]
		if !there || hosts[i].After > h.After+maxExtraWait {
			return nil
		}
		mine[rank] = hosts[i]
	}
	fixed := place.Fixed(mine, j, &p.options.Topology, others, p.options.Weights)
	return &fixed
}

// afterMore is by how many seconds more than when a gang was placed another may have a host for the placement to stand.
const maxExtraWait = 0.2

// crowd is the share of the slots for gangs that are taken.
func (p *Part) occupiedShare(hosts []place.Host) float64 {
	n := 0
	for i := range hosts {
		if hosts[i].After > 0 {
			n++
		}
	}
	return float64(n) / float64(max(len(hosts), 1))
}

// conflicts tells whether the dealer has told since a gang was placed that another has one of its hosts.
func (p *Part) conflictsSincePlacement(g *gang) bool {
	list, at := p.holder.Busy()
	if at <= g.placedAt {
		return false
	}
	return slices.ContainsFunc(list, func(b hold.Busy) bool {
		return slices.ContainsFunc(g.placement.Hosts, func(h place.Host) bool { return h.ID == b.Host && h.After == 0 })
	})
}

// stands tells whether all hosts of a placement may still be sent a part. Where one may not, the gang is placed anew at once.
func (p *Part) hostsAvailable(now int64, g *gang) bool {
	may := map[uint32]bool{}
	p.hosts(now, g.Work, func(v logic.View) { may[uint32(v.ID)] = true })
	gone := slices.ContainsFunc(g.placement.Hosts, func(h place.Host) bool { return !may[h.ID] })
	if gone {
		g.placedAt = now - rescoreInterval
	}
	return !gone
}

// spotsOf is what a placement takes, with what it sends beyond racks and zones.
func slotsOf(p *place.Placement) []hold.Spot {
	out := make([]hold.Spot, len(p.Hosts))
	for i, h := range p.Hosts {
		out[i] = hold.Spot{Host: h.ID, Rack: float32(p.Leaves[i]), Zone: float32(p.Zoned[i])}
	}
	return out
}

// after is when the client of a gang that is given up may come back: when as many slots are free as it needs at least.
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
