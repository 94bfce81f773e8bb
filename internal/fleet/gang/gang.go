// Package gang has messages of some classes run as gangs: parts at many hosts, all at once or not at all. Place finds the hosts,
// limit/hold takes their slots together; this package takes a gang from its arrival to its end. It does no I/O and reads no
// clock; times are microseconds on the caller's.
package gang

import (
	"granitewing/internal/fleet/gang/pattern"
	"granitewing/internal/fleet/gang/place"
	"granitewing/internal/fleet/gang/topology"
	"granitewing/internal/fleet/limit/hold"
	"granitewing/internal/memory"
	"granitewing/logic"
)

// Kind is a class whose messages are gangs.
type Kind struct {
	Class        int
	Parts, Least int
	Pattern      pattern.Pattern
	Bytes, Steps float64 // that a part sends in a step, and steps
	Within       int64   // all parts have to begin within that of being sent, or none goes on
	Wait         int64   // a gang waits for its slots at most so long
}

// Weights are what a placement costs beside lateness.
type Weights = place.Weights

// Options are what the gangs of a process are placed by.
type Options struct {
	Kinds    []Kind
	Topology topology.Topology
	Weights  Weights
	Room     int // slots of a host that gangs may have at once

	// Choose finds a placement; nil is place.Search. Another is for comparison, and Blind says that it scores nothing, so that a
	// gang which waits is placed anew only where it has to be.
	Blind  bool
	Choose func([]place.Host, place.Job, *topology.Topology, *topology.Loads, Weights) (place.Placement, bool)
}

// Hosts tells of those that may be sent a part of some work in seconds.
type Hosts func(now int64, work float64, tell func(logic.View))

// Counts is what became of gangs.
type Counts struct {
	Arrived, Started, Served      int
	Nowhere, Waited, Half, Failed int // given up: no placement worth it; no slots in time; not all parts began in time; a part failed
	Crosses                       float64
	Late, Push, Price, Pieces     float64 // terms of the placements that were started, summed
}

// state is how far a gang has come.
type state uint8

const (
	stateWaiting state = iota // for its slots
	stateSent
	stateRunning // all parts have begun
)

// gang is one under way.
type gang struct {
	memory.GangJob
	kind       *Kind
	state      state
	holdID     uint64 // its slots, under the present placement
	placement  place.Placement
	giveUpAt   int64 // its parts must have been sent, or all have begun
	placedAt   int64 // when it was placed last
	endsAt     int64 // expected
	arrivedAt  int64
	sentAt     int64
	waitFactor float64 // by which its hosts' backlogs were taken
	began      []bool
	served     []bool
}

// Part is one process's part in gangs. It must not be used by two goroutines at once.
type Part struct {
	options     Options
	hosts       Hosts
	holder      *hold.Holder
	lease       int64
	kinds       map[int]*Kind
	gangs       map[memory.ID]*gang
	order       []memory.ID // of gangs, the oldest first
	lastHold    uint64
	rackNumbers map[[2]int]int
	actions     []memory.GangAction
	counts      Counts
	closed      bool

	observedWait, expectedWait float64 // seconds that parts waited at their hosts, and were expected to
}

// New makes the part of a process; its slots are those of a holder with that lease.
func New(o Options, holder *hold.Holder, lease int64, hosts Hosts) *Part {
	p := &Part{options: o, hosts: hosts, holder: holder, lease: lease, kinds: map[int]*Kind{}, gangs: map[memory.ID]*gang{}, rackNumbers: map[[2]int]int{}}
	for i := range o.Kinds {
		p.kinds[o.Kinds[i].Class] = &o.Kinds[i]
	}
	return p
}

// Takes implements memory.Gangs, as the calls below do.
func (p *Part) Takes(class int) bool { return p.kinds[class] != nil }

// Parts is how many parts the gangs of a class have at most.
func (p *Part) Parts(class int) int { return p.kinds[class].Parts }

// Counts tells what became of gangs so far.
func (p *Part) Counts() Counts { return p.counts }

// Open counts the gangs that wait for slots, of which parts were sent, and that run.
func (p *Part) Open() (waiting, half, running int) {
	for _, g := range p.gangs {
		switch g.state {
		case stateWaiting:
			waiting++
		case stateSent:
			half++
		default:
			running++
		}
	}
	return waiting, half, running
}

// The calls below return what is to be done, in order, valid until the next call.

// Arrive takes a message. One that has no placement worth its work is given up at once.
func (p *Part) Arrive(now int64, j memory.GangJob) []memory.GangAction {
	p.actions = p.actions[:0]
	g := &gang{GangJob: j, kind: p.kinds[j.Class]}
	p.counts.Arrived++
	p.gangs[j.ID] = g
	p.order = append(p.order, j.ID)
	g.giveUpAt, g.arrivedAt = now+g.kind.Wait, now
	if _, at := p.holder.Busy(); now-at > p.lease/freshDivisor {
		// Placed by old news most would ask for slots that others have; the answer is there with the next rounds.
		p.holder.Look()
	} else if !p.tryPlace(now, g) {
		p.giveUp(now, g, &p.counts.Nowhere)
	}
	return p.actions
}

// Close has no more gangs started: this process leaves the fleet, and slots can't be had any more. Those that run go on.
func (p *Part) Close() { p.closed = true }

// Round goes on with all gangs, once the holder has heard what there was to hear. A gang is started, or given up, here alone, so a
// round comes at least as often as what a gang may be late by.
func (p *Part) Round(now int64) []memory.GangAction {
	p.actions = p.actions[:0]
	for _, id := range p.order {
		g := p.gangs[id]
		if g == nil {
			continue
		}
		_, heard := p.holder.Busy()
		switch {
		case g.holdID == 0 && heard <= g.arrivedAt && now < g.arrivedAt+p.lease/newsTimeoutDivisor && !p.closed:
			// It waits for the news that it has asked for.
		case g.holdID == 0 && !p.tryPlace(now, g):
			p.giveUp(now, g, &p.counts.Nowhere)
		case g.state == stateWaiting && p.holder.Has(now+p.lease/sendMarginDivisor, g.holdID) && p.hostsAvailable(now, g):
			p.start(now, g)
		case g.state == stateWaiting && now >= g.giveUpAt:
			p.giveUp(now, g, &p.counts.Waited)
		case g.state == stateWaiting && (p.closed || now-g.placedAt >= rescoreInterval || p.conflictsSincePlacement(g)) && !p.tryPlace(now, g):
			p.giveUp(now, g, &p.counts.Nowhere)
		case g.state == stateSent && (now >= g.giveUpAt || !p.holder.Has(now, g.holdID)):
			p.giveUp(now, g, &p.counts.Half)
		}
	}
	p.removeEnded()
	return p.actions
}

const (
	freshDivisor       = 8         // news of others' slots is new for that part of a lease
	newsTimeoutDivisor = 4         // a gang is placed without news after that part of a lease
	sendMarginDivisor  = 4         // a gang is sent while at least this part of its lease is left
	rescoreInterval    = 1_000_000 // a gang that waits is placed anew so often
)

// Parts that began teach how long a backlog really keeps one waiting.
const (
	waitDecay     = 0.99
	waitPrior     = 3.0 // seconds of waiting that weigh as much as what was seen
	maxWaitFactor = 4.0 // times
)

// truth is how long parts wait at their hosts, as a multiple of what the module's law says. The law is for choosing between hosts
// and may be wrong by a factor; of a gang the last of many starts counts, where a factor is the whole answer.
func (p *Part) waitFactor() float64 {
	return min(max((p.observedWait+waitPrior)/(p.expectedWait+waitPrior), 1/maxWaitFactor), maxWaitFactor)
}

// start has the parts sent.
func (p *Part) start(now int64, g *gang) {
	n := len(g.placement.Hosts)
	g.sentAt = now
	g.state, g.giveUpAt, g.endsAt = stateSent, now+g.kind.Within, now+int64((g.placement.Start+g.placement.Run)*1e6)
	g.began, g.served = make([]bool, n), make([]bool, n)
	a := memory.GangAction{Kind: memory.GangStart, ID: g.ID, Within: g.kind.Within, Run: g.placement.Run}
	for _, h := range g.placement.Hosts {
		a.Hosts = append(a.Hosts, logic.WorkerID(h.ID))
	}
	c := &p.counts
	c.Started++
	c.Crosses, c.Late, c.Push, c.Price, c.Pieces = c.Crosses+g.placement.Crosses, c.Late+g.placement.Late, c.Push+g.placement.Push, c.Price+g.placement.Price, c.Pieces+g.placement.Pieces
	p.actions = append(p.actions, a)
}

// giveUp ends a gang for a cause that is counted.
func (p *Part) giveUp(now int64, g *gang, cause *int) {
	*cause++
	p.actions = append(p.actions, memory.GangAction{Kind: memory.GangGiveUp, ID: g.ID, After: p.retryAfter(now, g)})
	p.drop(g)
}

// drop lets go of a gang. Its slots go back with the next round.
func (p *Part) drop(g *gang) {
	p.holder.Drop(g.holdID)
	delete(p.gangs, g.ID)
}

func (p *Part) removeEnded() {
	kept := p.order[:0]
	for _, id := range p.order {
		if p.gangs[id] != nil {
			kept = append(kept, id)
		}
	}
	p.order = kept
}

// May tells whether a part that was to be sent may still be: its slots may not be its gang's own any more.
func (p *Part) May(now int64, id memory.ID) bool {
	g := p.gangs[id]
	return g != nil && g.state != stateWaiting && (g.state == stateRunning || p.holder.Has(now, g.holdID))
}

// Began takes the news that a part has begun.
func (p *Part) Began(now int64, id memory.ID, rank int) {
	g := p.gangs[id]
	if g == nil || g.state != stateSent || rank >= len(g.began) {
		return
	}
	if h := g.placement.Hosts[rank]; !g.began[rank] && h.After == 0 {
		h.Backlog /= g.waitFactor
		p.observedWait, p.expectedWait = p.observedWait*waitDecay+float64(now-g.sentAt)/1e6, p.expectedWait*waitDecay+h.Wait()
	}
	g.began[rank] = true
	for _, b := range g.began {
		if !b {
			return
		}
	}
	g.state, g.endsAt = stateRunning, now+int64(g.placement.Run*1e6)
	p.holder.Begin(g.holdID, g.endsAt)
}

// Ended takes the end of a part. One that fails ends the gang.
func (p *Part) Ended(now int64, id memory.ID, rank int, served bool) []memory.GangAction {
	p.actions = p.actions[:0]
	g := p.gangs[id]
	if g == nil || g.state == stateWaiting || rank >= len(g.served) {
		return nil
	}
	if !served {
		p.giveUp(now, g, &p.counts.Failed)
		return p.actions
	}
	g.served[rank] = true
	for _, s := range g.served {
		if !s {
			return nil
		}
	}
	p.counts.Served++
	p.actions = append(p.actions, memory.GangAction{Kind: memory.GangServe, ID: id})
	p.drop(g)
	return p.actions
}

// Left takes the news that nobody waits for a gang any more.
func (p *Part) Left(id memory.ID) {
	if g := p.gangs[id]; g != nil {
		p.drop(g)
	}
}
