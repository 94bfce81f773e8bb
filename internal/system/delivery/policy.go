// Package delivery decides where a due message goes: one policy-improvement step over the load-equalising random split
// of an M/D/1 queue with deadlines, by the value function of package value (equation 16, in its multi-class form).
//
// The paper's server works on one job at a time; a worker here works on several. A worker with c slots counts as one
// server that takes d/c for a message: its backlog u is the work of all that it holds, divided by c.
package delivery

import (
	"time"

	"granitewing/internal/system/catalog"
)

// Numbers of the policy.
const (
	utilisationCap  = 0.99
	firstGuess      = 100 * time.Millisecond // of a run time while none was seen
	learningWeight  = 0.15                   // of a new run time in a worker's mean
	rateMemory      = 4 * time.Second        // of the arrival rate
	otherZoneCost   = 0.02                   // of a message that crosses zones, against 1 for one that misses its aim
	tie             = 1e-4                   // costs that differ by less are alike: the least backlog is taken
	waitingCost     = 0.15                   // of a message that waits at a worker for all the time that it has left
	reportMemory    = 300 * time.Millisecond // how long a worker's report of its load is believed
	queueAllowance  = 1.0                    // messages that a worker may hold waiting, for each of its slots
	leastPart       = 2                      // messages that a carrier may have at a worker at once, at least
	coldSlowdown    = 1.6
	avoidAfterShed  = 40 * time.Millisecond
	badInRow        = 2 // silences or resets in a row that open a worker's breaker
	breakerFirst    = 300 * time.Millisecond
	breakerMost     = 2500 * time.Millisecond
	maxClasses      = 64
	failureCost     = 0.8             // of an attempt that fails, against 1 for a message that misses its aim
	failureWeight   = 0.12            // of the latest attempt in a worker's share of failures
	failureMemory   = 3 * time.Second // in which that share halves while nothing is sent there
	shedFailure     = 0.25            // of a failure is a message that a worker did not run
	staticShare     = 0.45            // of a static endpoint's connections that its owner uses; a former owner's may still rest there
	connectionShare = 0.85            // of a worker's connections that the fleet's carriers use together
)

// Worker is one start of a worker, or a static endpoint, as this carrier sees it.
type Worker struct {
	catalog.Instance
	Static bool

	held       int     // messages of ours that it has
	work       float64 // of these, in seconds
	mean       float64 // seconds a run, learned; 0 before the first
	coldUntil  time.Duration
	reported   int // held by others when it last reported
	reportedAt time.Duration
	badRow     int
	openUntil  time.Duration // breaker: nothing is sent before
	openFor    time.Duration
	probing    bool
	avoidUntil time.Duration
	gone       bool

	failures   float64 // share of its latest attempts that failed, as of failuresAt
	failuresAt time.Duration
}

// Held is the number of our messages that the worker has.
func (w *Worker) Held() int { return w.held }

// Usable tells whether the breaker lets something through.
func (w *Worker) Usable(now time.Duration) bool {
	if w.gone || w.Draining || now < w.openUntil {
		return false
	}
	return w.badRow < badInRow || !w.probing
}

// Policy picks workers.
type Policy struct {
	pools    map[string]*pool
	zone     string
	carriers int
}

// NewPolicy makes a policy for a carrier in a zone.
func NewPolicy(zone string) *Policy {
	return &Policy{pools: map[string]*pool{}, zone: zone, carriers: 1}
}

// SetCarriers tells how many carriers share the workers' connections.
func (p *Policy) SetCarriers(count int) { p.carriers = max(count, 1) }

// slots is the number of messages a worker works on at once.
func (w *Worker) slots() float64 { return float64(max(w.Capacity, 1)) }

// limit is how many of our messages a worker may have at once.
func (p *Policy) limit(pool *pool, worker *Worker) int {
	connections := pool.maxConns
	if worker.Static {
		// One carrier, its owner, calls a static endpoint; some connections are left to a former owner.
		return max(1, int(float64(connections)*staticShare))
	}
	// What all carriers together may send at once fits the worker's slots and a short queue, so that they don't crowd one
	// that has just come back; each may send a little more than its part, since shares are uneven.
	part := max(leastPart, int(worker.slots()*(1+queueAllowance))/p.carriers+1)
	if connections <= 0 {
		return part
	}
	return min(part, max(1, int(float64(connections)*connectionShare)/p.carriers))
}

// others is how many messages of other carriers a worker is thought to hold.
func (w *Worker) others(now time.Duration) float64 {
	age := now - w.reportedAt
	if w.reported == 0 || age > reportMemory {
		return 0
	}
	return float64(w.reported) * (1 - age.Seconds()/reportMemory.Seconds())
}

// Pick is the worker of least cost for a message of a route that should start within left, or nil where none may be sent
// anything now. Workers in exclude were tried for it and are taken only where there is no other.
func (p *Policy) Pick(now time.Duration, service, route string, left time.Duration, exclude string) *Worker {
	pool := p.pools[service]
	if pool == nil {
		return nil
	}
	pool.decay(now)
	var best, fallback *Worker
	bestCost, bestBacklog := 0.0, 0.0
	moment := pool.moment(now, left)
	for _, worker := range pool.order {
		if !worker.Usable(now) || now < worker.avoidUntil || worker.held >= p.limit(pool, worker) {
			continue
		}
		held := float64(worker.held) + worker.others(now)
		if !worker.Static && held >= worker.slots()*(1+queueAllowance) {
			continue
		}
		if worker.ID == exclude {
			fallback = worker
			continue
		}
		if worker.Static {
			return worker
		}
		cost, backlog := p.cost(pool, worker, held, &moment)
		if best == nil || cost < bestCost-tie || cost < bestCost+tie && backlog < bestBacklog {
			best, bestCost, bestBacklog = worker, cost, backlog
		}
	}
	if best == nil {
		return fallback
	}
	return best
}
