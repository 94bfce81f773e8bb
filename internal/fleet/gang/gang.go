// Package gang runs messages of some classes as gangs: a gang has parts at several hosts that run at the same
// time, all or none (gang scheduling).
//
// Package place chooses the hosts and limit/hold reserves their slots together. The type Part is one process's side of
// gang scheduling (not one of the parts of a gang): it takes each gang from its arrival to its end. The caller passes
// events to the Part, calls Round regularly, and carries out the actions
// that both return. Pattern and topology describe how the parts communicate and what that costs.
//
// The package does no I/O and reads no clock; times are microseconds on the caller's clock unless stated
// otherwise.
package gang

import (
	"granitewing/internal/dispatch"
	"granitewing/internal/fleet/gang/pattern"
	"granitewing/internal/fleet/gang/place"
	"granitewing/internal/fleet/gang/topology"
	"granitewing/internal/fleet/limit/hold"
	"granitewing/logic"
)

// Kind is the settings of a class whose messages are gangs.
type Kind struct {
	Class        int
	Parts, Least int // number of parts, and the least number with which a gang may run
	Pattern      pattern.Pattern
	Bytes, Steps float64 // bytes that a part sends in each step, and the number of steps
	Within       int64   // all parts must begin within this time of being sent, or the gang is given up
	Wait         int64   // longest time that a gang waits for its slots
}

// Weights are the costs of a placement other than a missed deadline.
type Weights = place.Weights

// Options are the settings by which a process places gangs.
type Options struct {
	Kinds    []Kind
	Topology topology.Topology
	Weights  Weights
	Room     int // slots of a host that gangs may have at once

	// Choose finds a placement; nil means place.Search. Other functions are for comparison. Blind says that Choose
	// does not score placements, so a waiting gang is placed anew only when its placement becomes unusable.
	Blind  bool
	Choose func([]place.Host, place.Job, *topology.Topology, *topology.Loads, Weights) (place.Placement, bool)
}

// Hosts passes the hosts to tell that may be sent a part with that work in seconds.
type Hosts func(now int64, work float64, tell func(logic.WorkerView))

// Counts are totals of gangs by outcome.
type Counts struct {
	Arrived, Started, Served int
	// Gangs given up: no placement worth it; no slots in time; not all parts began in time; a part failed.
	NoPlacement, Waited, IncompleteStart, Failed int
	Crosses                                      float64 // sum of the shares of bytes that leave a rack, of all gangs started
	Late, Push, Price, Pieces                    float64 // sums of the score terms (place.Score) of all placements that were started
}

// state is the progress of a gang.
type state uint8

const (
	stateWaiting state = iota // waits for its slots
	stateSent
	stateRunning // all parts have begun
)

// gang is a gang that has not ended.
type gang struct {
	dispatch.GangJob
	kind       *Kind
	state      state
	holdID     uint64 // ID of its set of slots; a new placement has a new ID
	placement  place.Placement
	giveUpAt   int64 // when its parts must have been sent, or once sent, must all have begun
	placedAt   int64 // when it was last placed or its placement checked
	endsAt     int64 // expected
	arrivedAt  int64
	sentAt     int64
	waitFactor float64 // factor applied to the hosts' backlogs in the placement
	began      []bool
	served     []bool
}

// Part is one process's side of gang scheduling. It implements dispatch.Gangs and is not safe for concurrent use.
type Part struct {
	options     Options
	hosts       Hosts
	holder      *hold.Holder
	lease       int64
	kinds       map[int]*Kind
	gangs       map[dispatch.ID]*gang
	order       []dispatch.ID // oldest first; may contain ended gangs until removeEnded
	lastHold    uint64
	rackNumbers map[[2]int]int
	actions     []dispatch.GangAction
	counts      Counts
	closed      bool

	observedWait, expectedWait float64 // decayed sums of seconds that parts waited at hosts, observed and predicted
}

// New returns the Part of a process. Its slots are reserved through holder, for a lease in microseconds.
func New(o Options, holder *hold.Holder, lease int64, hosts Hosts) *Part {
	p := &Part{options: o, hosts: hosts, holder: holder, lease: lease, kinds: map[int]*Kind{}, gangs: map[dispatch.ID]*gang{}, rackNumbers: map[[2]int]int{}}
	for i := range o.Kinds {
		p.kinds[o.Kinds[i].Class] = &o.Kinds[i]
	}
	return p
}

// Takes reports whether messages of a class are gangs.
func (p *Part) Takes(class int) bool { return p.kinds[class] != nil }

// Parts returns the maximum number of parts of a class's gangs.
func (p *Part) Parts(class int) int { return p.kinds[class].Parts }

// Counts returns the totals so far.
func (p *Part) Counts() Counts { return p.counts }

// Open counts the gangs that wait for slots, those whose parts were sent but have not all begun, and those that
// run.
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

// The methods that return actions return them in the order in which they have to be carried out. The slice is valid
// until the next call.

// Arrive takes a new message. It is given up at once if no placement is worth its work.
func (p *Part) Arrive(now int64, j dispatch.GangJob) []dispatch.GangAction {
	p.actions = p.actions[:0]
	g := &gang{GangJob: j, kind: p.kinds[j.Class]}
	p.counts.Arrived++
	p.gangs[j.ID] = g
	p.order = append(p.order, j.ID)
	g.giveUpAt, g.arrivedAt = now+g.kind.Wait, now
	if _, at := p.holder.Busy(); now-at > p.lease/freshDivisor {
		// With an old list of others' slots most gangs would ask for slots that are taken. The new list arrives with the
		// next rounds.
		p.holder.Look()
	} else if !p.tryPlace(now, g) {
		p.giveUp(now, g, &p.counts.NoPlacement)
	}
	return p.actions
}

// Close stops the start of further gangs: this process leaves the fleet and can't get slots any more. Running
// gangs go on.
func (p *Part) Close() { p.closed = true }

// Round advances all gangs, after the holder has handled what it received. Gangs are started, and given up for
// lack of time, only here, so the interval of rounds must not exceed the delay that a gang tolerates.
func (p *Part) Round(now int64) []dispatch.GangAction {
	p.actions = p.actions[:0]
	for _, id := range p.order {
		g := p.gangs[id]
		if g == nil {
			continue
		}
		_, listedAt := p.holder.Busy()
		switch {
		case g.holdID == 0 && listedAt <= g.arrivedAt && now < g.arrivedAt+p.lease/newsTimeoutDivisor && !p.closed:
			// The requested list of others' slots has not arrived.
		case g.holdID == 0 && !p.tryPlace(now, g):
			p.giveUp(now, g, &p.counts.NoPlacement)
		case g.state == stateWaiting && p.holder.Has(now+p.lease/sendMarginDivisor, g.holdID) && p.hostsAvailable(now, g):
			p.start(now, g)
		case g.state == stateWaiting && now >= g.giveUpAt:
			p.giveUp(now, g, &p.counts.Waited)
		case g.state == stateWaiting && (p.closed || now-g.placedAt >= rescoreInterval || p.conflictsSincePlacement(g)) && !p.tryPlace(now, g):
			p.giveUp(now, g, &p.counts.NoPlacement)
		case g.state == stateSent && (now >= g.giveUpAt || !p.holder.Has(now, g.holdID)):
			p.giveUp(now, g, &p.counts.IncompleteStart)
		}
	}
	p.removeEnded()
	return p.actions
}

const (
	freshDivisor       = 8         // the list of others' slots is recent for this part of a lease
	newsTimeoutDivisor = 4         // a gang is placed without a recent list after this part of a lease
	sendMarginDivisor  = 4         // a gang is sent only while at least this part of its lease is left
	rescoreInterval    = 1_000_000 // interval in which the placement of a waiting gang is checked, microseconds
)

// Parts that have begun show how long a backlog really keeps a part waiting. waitDecay is applied to both sums
// with each part.
const (
	waitDecay     = 0.99
	waitPrior     = 3.0 // seconds added to both sums: the weight of the model against what was observed
	maxWaitFactor = 4.0 // limit of the factor, in both directions
)

// waitFactor returns the ratio of the observed waits of parts at their hosts to the expected ones (place.Host.Wait, by
// the start-time model of package logic). That model serves to compare hosts, for which an error by a common factor
// does not matter. Here the absolute time is needed at which the last of many parts starts, so the factor is corrected.
func (p *Part) waitFactor() float64 {
	return min(max((p.observedWait+waitPrior)/(p.expectedWait+waitPrior), 1/maxWaitFactor), maxWaitFactor)
}

// start sends the parts of a gang.
func (p *Part) start(now int64, g *gang) {
	n := len(g.placement.Hosts)
	g.sentAt = now
	g.state, g.giveUpAt, g.endsAt = stateSent, now+g.kind.Within, now+int64((g.placement.Start+g.placement.Run)*1e6)
	g.began, g.served = make([]bool, n), make([]bool, n)
	a := dispatch.GangAction{Kind: dispatch.GangStart, ID: g.ID, Within: g.kind.Within, Run: g.placement.Run}
	for _, h := range g.placement.Hosts {
		a.Hosts = append(a.Hosts, logic.WorkerID(h.ID))
	}
	c := &p.counts
	c.Started++
	c.Crosses, c.Late, c.Push, c.Price, c.Pieces = c.Crosses+g.placement.Crosses, c.Late+g.placement.Late, c.Push+g.placement.Push, c.Price+g.placement.Price, c.Pieces+g.placement.Pieces
	p.actions = append(p.actions, a)
}

// giveUp ends a gang and counts the cause.
func (p *Part) giveUp(now int64, g *gang, cause *int) {
	*cause++
	p.actions = append(p.actions, dispatch.GangAction{Kind: dispatch.GangGiveUp, ID: g.ID, After: p.retryAfter(now, g)})
	p.drop(g)
}

// drop removes a gang. Its slots are returned with the next round.
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

// May reports whether a part may still be sent: the slots may no longer be its gang's.
func (p *Part) May(now int64, id dispatch.ID) bool {
	g := p.gangs[id]
	return g != nil && g.state != stateWaiting && (g.state == stateRunning || p.holder.Has(now, g.holdID))
}

// Began handles the report that a part has begun.
func (p *Part) Began(now int64, id dispatch.ID, rank int) {
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

// Ended handles the end of a part. A part that fails ends the gang.
func (p *Part) Ended(now int64, id dispatch.ID, rank int, served bool) []dispatch.GangAction {
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
	p.actions = append(p.actions, dispatch.GangAction{Kind: dispatch.GangServe, ID: id})
	p.drop(g)
	return p.actions
}

// Left handles the report that no client waits for a gang any more.
func (p *Part) Left(id dispatch.ID) {
	if g := p.gangs[id]; g != nil {
		p.drop(g)
	}
}
