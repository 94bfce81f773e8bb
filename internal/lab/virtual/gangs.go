package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"granitewing/internal/dispatch"
	"granitewing/internal/fleet/gang"
	"granitewing/internal/fleet/gang/pattern"
	"granitewing/internal/fleet/gang/place"
	"granitewing/internal/fleet/gang/topology"
	"granitewing/internal/fleet/limit"
	"granitewing/internal/fleet/limit/lease"
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/world"
)

// This file runs gangs in virtual time, that is jobs whose parts run at several hosts at once. It uses the product's
// own packages for slot leases and gang placement; messages about slots have the delay and loss of the dispatchers'
// reports.

// gangLease is the duration of a slot lease in microseconds.
const gangLease = 2_000_000

// gangs is the gang state of one process of a dispatcher.
type gangs struct {
	leases   *limit.Part // leases of host slots
	part     *gang.Part
	received []*limit.Message // received and not yet processed
}

// gangOptions returns the options that the product's settings would give for a day. policy names the placement policy.
func gangOptions(day *world.Day, policy string, rng *rand.Rand) gang.Options {
	l := day.Fleet.Links.Model()
	o := gang.Options{Room: 1, Weights: gang.Weights{Fragmentation: 0.01, Fails: 1 / (30 * 86400.0)},
		Topology: topology.Topology{Host: l.Host, Rack: l.Rack, Zone: l.Zone}, Choose: policyByName(policy, rng), Blind: ignoresScore(policy)}
	for i, c := range day.Classes {
		if g := c.Gang; g != nil {
			p, _ := pattern.Parse(g.Exchange)
			k := gang.Kind{Class: i, Parts: g.Parts, Least: g.Least, Pattern: p, Bytes: float64(g.Bytes), Steps: g.Steps,
				Within: g.Within.Microseconds(), Wait: g.Wait.Microseconds()}
			if k.Least == 0 {
				k.Least = k.Parts
			}
			o.Kinds = append(o.Kinds, k)
		}
	}
	return o
}

// placementPolicy is a placement policy: it chooses the hosts of a gang's parts, and returns false if there are too
// few.
type placementPolicy = func([]place.Host, place.Job, *topology.Topology, *topology.Loads, gang.Weights) (place.Placement, bool)

// ignoresScore reports whether a policy places gangs without scoring them by their value.
func ignoresScore(policy string) bool {
	return slices.Contains([]string{"first", "random", "racks", "late"}, policy)
}

// withoutTerm returns the scored policy with one term of the score removed by change.
func withoutTerm(change func(j *place.Job, w *gang.Weights)) placementPolicy {
	return func(hosts []place.Host, j place.Job, t *topology.Topology, o *topology.Loads, w gang.Weights) (place.Placement, bool) {
		change(&j, &w)
		return place.Search(hosts, j, t, o, w)
	}
}

// policyByName returns a placement policy to compare with the scored one, or nil for the scored policy itself. "first"
// takes the first hosts that no gang has, "random" takes random ones, "racks" looks at racks and ignores how soon hosts
// are free, "late" avoids lateness: it takes the hosts that are free soonest and ignores racks. "no-crowd", "no-pieces"
// and "no-push" drop one term of the score.
func policyByName(policy string, rng *rand.Rand) placementPolicy {
	pick := func(hosts []place.Host, j place.Job, t *topology.Topology, o *topology.Loads, w gang.Weights, shuffle bool) (place.Placement, bool) {
		var free []place.Host
		for _, h := range hosts {
			if h.After == 0 {
				free = append(free, h)
			}
		}
		if len(free) < j.Parts {
			free = hosts
		}
		if len(free) < j.Parts {
			return place.Placement{}, false
		}
		if shuffle {
			rng.Shuffle(len(free), func(a, b int) { free[a], free[b] = free[b], free[a] })
		}
		return withEstimate(place.Fixed(free[:j.Parts], j, t, o, w), place.Score{}), true
	}
	switch policy {
	case "no-crowd":
		return withoutTerm(func(j *place.Job, _ *gang.Weights) { j.Crowd = 0 })
	case "no-pieces":
		return withoutTerm(func(_ *place.Job, w *gang.Weights) { w.Fragmentation = 0 })
	case "no-push":
		return func(hosts []place.Host, j place.Job, t *topology.Topology, o *topology.Loads, w gang.Weights) (place.Placement, bool) {
			free := slices.Clone(hosts)
			for i := range free {
				free[i].Push = 0
			}
			return place.Search(free, j, t, o, w)
		}
	case "first", "random":
		return func(hosts []place.Host, j place.Job, t *topology.Topology, o *topology.Loads, w gang.Weights) (place.Placement, bool) {
			return pick(hosts, j, t, o, w, policy == "random")
		}
	case "racks":
		return func(hosts []place.Host, j place.Job, t *topology.Topology, o *topology.Loads, w gang.Weights) (place.Placement, bool) {
			unloaded := make([]place.Host, len(hosts))
			for i, h := range hosts {
				h.Backlog, h.Push, h.Pace = 0, 0, 1
				unloaded[i] = h
			}
			j.Worth, j.Price = max(j.Worth, 1), 0
			return place.Search(unloaded, j, t, o, w)
		}
	case "late":
		return func(hosts []place.Host, j place.Job, t *topology.Topology, o *topology.Loads, w gang.Weights) (place.Placement, bool) {
			flat := make([]place.Host, len(hosts))
			for i, h := range hosts {
				h.Spot = topology.Spot{}
				flat[i] = h
			}
			p, ok := place.Search(flat, j, t, o, gang.Weights{})
			if !ok {
				return p, ok
			}
			real := map[uint32]place.Host{}
			for _, h := range hosts {
				real[h.ID] = h
			}
			for i, h := range p.Hosts {
				p.Hosts[i] = real[h.ID]
			}
			return withEstimate(place.Fixed(p.Hosts, j, t, o, w), p.Score), true
		}
	}
	return nil
}

// withEstimate returns a placement with the score as a less informed policy estimates it: that score decides the
// admission, while the run time stays the real one.
func withEstimate(p place.Placement, w place.Score) place.Placement {
	run := p.Run
	p.Score, p.Run = w, run
	return p
}

// startGangs sets up the gang state of a new process, if the variant has gangs.
func (d *dispatcher) startGangs() {
	sim, s := d.sim, d.sim.options.Variant.Share
	core, ok := d.core.(*dispatch.Core)
	if s == nil || s.Gangs == "" || !ok {
		return
	}
	o := gangOptions(sim.day, s.Gangs, d.rng)
	g := &gangs{leases: limit.New(sim.now, limit.Options{Self: lease.Owner{Name: d.name, Incarnation: uint64(d.generation)},
		Keepers: sim.leaseKeepers(), Lease: gangLease, SlotsPerHost: o.Room})}
	g.part = gang.New(o, g.leases.Holder(), gangLease, core.EachGangHost)
	core.Gang(g.part)
	d.gangs = g
}

// leaseKeepers returns the names of the dispatchers among which one grants the slot leases: the first three.
func (sim *simulation) leaseKeepers() (out []string) {
	for i := range min(sim.day.Dispatchers, 3) {
		out = append(out, fmt.Sprintf("n%d", i))
	}
	return out
}

// exchangeSlotMessages runs one round of a dispatcher's slot protocol: it processes the received messages, sends its
// own, and lets the core act on the leases it holds.
func (sim *simulation) exchangeSlotMessages(d *dispatcher, core *dispatch.Core, s *world.Share) {
	g := d.gangs
	var out []*limit.Message
	for _, m := range g.received {
		if answer := g.leases.Receive(sim.now, m); answer != nil {
			out = append(out, answer)
		}
	}
	g.received = nil
	for _, m := range append(out, g.leases.Round(sim.now)...) {
		b := limit.Append(nil, m)
		sim.traffic.Datagrams++
		sim.traffic.Bytes += len(b)
		to := sim.dispatchersByName[m.To.Name]
		latency := s.Late.Lo + world.Delay(d.rng.Float64()*float64(s.Late.Hi-s.Late.Lo))
		sim.after(latency.Microseconds(), func() {
			if got, err := limit.Parse(b); err == nil && sim.drawDelivery(d, to, s) && to.gangs != nil {
				to.gangs.received = append(to.gangs.received, got)
			}
		})
	}
	d.execute(d.callCore(func(now int64) []dispatch.Command { return core.ReconsiderGangs(now) }))
}

// drawDelivery draws whether a datagram of dispatcher d reaches dispatcher o.
func (sim *simulation) drawDelivery(d, o *dispatcher, s *world.Share) bool {
	lost := s.Loss > 0 && d.rng.Float64() < s.Loss
	partitioned := len(sim.partitions) > 0 && sim.partitions[[2]int{min(d.zone, o.zone), max(d.zone, o.zone)}]
	return !o.down && !lost && !partitioned
}

// advanceGangs ends the parts whose gangs have ended and schedules the next end of a gang.
func (sim *simulation) advanceGangs() {
	if sim.advancingGangs {
		return // called again from a part that ends in the loop below
	}
	sim.advancingGangs = true
	for {
		ends := sim.fabric.Advance(sim.now)
		if len(ends) == 0 {
			break
		}
		for _, e := range ends {
			h := sim.hostsByName[e.Host.Name]
			h.deliverNotes(h.model.Finish(sim.now, e.Attempt, e.OK))
		}
	}
	sim.advancingGangs = false
	next := sim.fabric.Next()
	if next == model.Never || next >= sim.gangEventAt && sim.gangEventAt > sim.now {
		return
	}
	sim.gangEventAt = next
	sim.schedule(next, func() {
		if sim.gangEventAt == next {
			sim.gangEventAt = 0
			sim.advanceGangs()
		}
	})
}

// gangPart returns the description of a gang part that a host gets with an attempt, or nil if the attempt is no gang
// part.
func (sim *simulation) gangPart(a *attempt) *model.Part {
	if a.gang == nil {
		return nil
	}
	return &model.Part{Name: a.request.name, Rank: a.gang.Rank, Parts: len(a.gang.Peers), By: sim.now + a.gang.Within, Gang: sim.day.Classes[a.request.job.Class].Gang.Model()}
}
