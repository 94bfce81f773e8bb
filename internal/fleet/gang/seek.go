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
const hopeless = 0.95

// Retry-After lies between these, in microseconds.
const (
	afterLeast = 100_000
	afterMost  = 5_000_000
)

// uses is what gangs have at a host.
type uses struct {
	left []int64 // until each slot is free
	hold.Spot
}

// taken lists what gangs have at hosts: others by the dealer's word, this process's own by what it knows.
func (p *Part) taken(now int64, but *gang) map[uint32]*uses {
	out := map[uint32]*uses{}
	add := func(s hold.Spot, left int64) {
		u := out[s.Host]
		if u == nil {
			u = &uses{Spot: hold.Spot{Host: s.Host}}
			out[s.Host] = u
		}
		u.left = append(u.left, max(left, 1))
		u.Rack, u.Zone = u.Rack+s.Rack, u.Zone+s.Zone
	}
	list, at := p.holder.Busy()
	for _, b := range list {
		if left := b.Left - (now - at); left > 0 || now-at < p.lease {
			add(b.Spot, left)
		}
	}
	for _, g := range p.gangs {
		if g == but || g.hold == 0 {
			continue
		}
		ends := g.ends
		if g.at == waits {
			ends = g.by + int64(g.p.Run*1e6)
		}
		for _, s := range spotsOf(&g.p) {
			add(s, ends-now)
		}
	}
	return out
}

// rack numbers racks: a list may use the same numbers in every zone.
func (p *Part) rack(zone, cell int) int {
	k := [2]int{zone, cell}
	n, known := p.racks[k]
	if !known {
		n = len(p.racks)
		p.racks[k] = n
	}
	return n
}

// look gathers the hosts for a gang and what others have on the links.
func (p *Part) look(now int64, g *gang) ([]place.Host, *topology.Loads) {
	var out []place.Host
	others := &topology.Loads{}
	taken := p.taken(now, g)
	if len(p.racks) > racksMost {
		clear(p.racks) // of hosts long replaced
	}
	p.hosts(now, g.Work, func(v logic.View) {
		h := place.Host{ID: uint32(v.ID), Spot: topology.Spot{Rack: p.rack(v.Zone, v.Cell), Zone: v.Zone},
			Backlog: v.Backlog, Room: v.Room, Pace: v.Pace, Push: v.Push}
		if u := taken[h.ID]; u != nil {
			others.Add(h.Spot, float64(u.Rack), float64(u.Zone))
			if over := len(u.left) - p.o.Room; over >= 0 {
				slices.Sort(u.left)
				h.After = float64(u.left[over]) / 1e6
			}
		}
		out = append(out, h)
	})
	return out, others
}

// racksMost bounds the racks that are numbered.
const racksMost = 1 << 16

// seek places a gang, anew where it has a placement, and asks for its slots; false where there is none worth its work.
func (p *Part) seek(now int64, g *gang) bool {
	if p.closed {
		return false
	}
	hosts, others := p.look(now, g)
	k := g.kind
	job := place.Job{Parts: k.Parts, Least: k.Least, Work: g.Work, Steps: k.Steps, Bytes: k.Bytes, Pattern: k.Pattern,
		Slack: float64(g.Late-now) / 1e6, Worth: g.Worth, LateWorth: g.LateWorth, Price: g.Price}
	best, ok := place.Search(hosts, job, &p.o.Topology, others, p.o.Weights)
	g.looked = now
	if !ok || best.Chance >= hopeless && g.LateWorth <= 0 || g.Worth-best.Late < best.Push+best.Price {
		return false
	}
	if g.hold != 0 && same(best.Hosts, g.p.Hosts) {
		return true
	}
	// What it waits for is another set now, and the dealer's word on the former one must not be taken for it.
	p.holder.Drop(g.hold)
	p.last++
	g.p, g.hold = best, p.last
	g.by = min(g.by, max(g.Deadline-int64(best.Run*1e6), now+1))
	return p.holder.Want(g.hold, spotsOf(&g.p), g.by)
}

// stands tells whether all hosts of a placement may still be sent a part. Where one may not, the gang is placed anew at once.
func (p *Part) stands(now int64, g *gang) bool {
	may := map[uint32]bool{}
	p.hosts(now, g.Work, func(v logic.View) { may[uint32(v.ID)] = true })
	gone := slices.ContainsFunc(g.p.Hosts, func(h place.Host) bool { return !may[h.ID] })
	if gone {
		g.looked = now - lookAgain
	}
	return !gone
}

func same(a, b []place.Host) bool {
	return slices.EqualFunc(a, b, func(x, y place.Host) bool { return x.ID == y.ID })
}

// spotsOf is what a placement takes, with what it sends beyond racks and zones.
func spotsOf(p *place.Placement) []hold.Spot {
	out := make([]hold.Spot, len(p.Hosts))
	for i, h := range p.Hosts {
		out[i] = hold.Spot{Host: h.ID, Rack: float32(p.Leaves[i]), Zone: float32(p.Zoned[i])}
	}
	return out
}

// after is when the client of a gang that is given up may come back: when as many slots are free as it needs at least.
func (p *Part) after(now int64, g *gang) int64 {
	var left []int64
	for _, u := range p.taken(now, g) {
		left = append(left, u.left...)
	}
	slices.Sort(left)
	if n := min(g.kind.Least, len(left)); n > 0 {
		return min(max(left[n-1], afterLeast), afterMost)
	}
	return afterLeast
}
