// Package delivery decides where a due message goes: one policy-improvement step over the load-equalising random split
// of an M/D/1 queue with deadlines, by the value function of package value (equation 16, in its multi-class form).
//
// The paper's server works on one job at a time; a worker here works on several. A worker with c slots counts as one
// server that takes d/c for a message: its backlog u is the work of all that it holds, divided by c.
package delivery

import (
	"time"

	"granitewing/internal/system/catalog"
	"granitewing/logic/value"
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

// class is what the policy knows of a route.
type class struct {
	rate     float64 // share of the pool's arrivals, as a decayed count
	deadline float64 // seconds from due to the wanted start
}

// pool is the workers of a service.
type pool struct {
	workers  map[string]*Worker
	order    []*Worker
	mean     float64 // seconds a run over all workers
	classes  map[string]*class
	arrivals float64 // decayed count
	seen     time.Duration
	maxConns int
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

func (p *Policy) pool(service string) *pool {
	found := p.pools[service]
	if found == nil {
		found = &pool{workers: map[string]*Worker{}, classes: map[string]*class{}}
		p.pools[service] = found
	}
	return found
}

// SetService tells a service's bound on connections, and its static endpoint where it has one.
func (p *Policy) SetService(now time.Duration, service string, maxConns int, static string) {
	pool := p.pool(service)
	pool.maxConns = maxConns
	if static == "" {
		return
	}
	if old := pool.workers[static]; old != nil {
		return
	}
	for _, old := range pool.order {
		old.gone = true
	}
	pool.workers = map[string]*Worker{}
	p.add(now, pool, &Worker{Static: true, Instance: catalog.Instance{ID: static, Service: service, Address: static}})
}

// SetInstances tells the platform's list of workers.
func (p *Policy) SetInstances(now time.Duration, instances map[string]catalog.Instance) {
	for service, pool := range p.pools {
		for id, worker := range pool.workers {
			listed, still := instances[id]
			if worker.Static || still && listed.Service == service {
				continue
			}
			worker.gone = true
			delete(pool.workers, id)
		}
	}
	for id, instance := range instances {
		pool := p.pool(instance.Service)
		if known := pool.workers[id]; known != nil {
			known.Draining = instance.Draining
			known.Capacity = instance.Capacity
			continue
		}
		p.add(now, pool, &Worker{Instance: instance, coldUntil: now + instance.Cold})
	}
	for service, pool := range p.pools {
		pool.reorder()
		if len(pool.workers) == 0 && pool.maxConns == 0 {
			delete(p.pools, service)
		}
	}
}

func (p *Policy) add(_ time.Duration, pool *pool, worker *Worker) {
	pool.workers[worker.ID] = worker
	pool.reorder()
}

func (p *pool) reorder() {
	p.order = p.order[:0:0]
	for _, worker := range p.workers {
		p.order = append(p.order, worker)
	}
	sortWorkers(p.order)
}

// Arrive counts an arrival of a route at a service, wanted to start within a time.
func (p *Policy) Arrive(now time.Duration, service, route string, aim time.Duration) {
	pool := p.pool(service)
	pool.decay(now)
	pool.arrivals++
	known := pool.classes[route]
	if known == nil {
		if len(pool.classes) >= maxClasses {
			return
		}
		known = &class{}
		pool.classes[route] = known
	}
	known.rate++
	known.deadline = aim.Seconds()
}

func (p *pool) decay(now time.Duration) {
	elapsed := now - p.seen
	if elapsed < 50*time.Millisecond {
		return
	}
	p.seen = now
	factor := 1 - min(1, elapsed.Seconds()/rateMemory.Seconds())
	p.arrivals *= factor
	for _, c := range p.classes {
		c.rate *= factor
	}
}

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

// runTime is the worker's mean run time as far as it is known, in seconds.
func (p *pool) runTime(now time.Duration, worker *Worker) float64 {
	mean := worker.mean
	if mean == 0 {
		mean = p.mean
	}
	if mean == 0 {
		mean = firstGuess.Seconds()
	}
	if now < worker.coldUntil {
		mean *= coldSlowdown
	}
	return mean
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

// moment is what the costs of all workers of a pool have in common at one pick.
type moment struct {
	now   time.Duration
	left  float64 // seconds until the message should start
	table *value.Table
	terms []term
	// failing is the share of attempts that fail at a worker of the pool, in the mean: what is due to the messages, or to
	// all workers alike, is held against none.
	failing float64
}

func (p *pool) moment(now, left time.Duration) moment {
	m := moment{now: now, left: left.Seconds(), table: value.For(p.utilisation(now)), terms: p.terms(now)}
	for _, worker := range p.order {
		m.failing += worker.failing(now) / float64(len(p.order))
	}
	return m
}

// term is one class in the value function: its part of the arrivals and its deadline.
type term struct {
	share    float64
	deadline float64
}

func (p *pool) terms(now time.Duration) []term {
	if p.arrivals <= 0 {
		return nil
	}
	terms := make([]term, 0, len(p.classes))
	for _, c := range p.classes {
		terms = append(terms, term{share: c.rate / p.arrivals, deadline: c.deadline})
	}
	return terms
}

// utilisation is that of each worker under the load-equalising random split.
func (p *pool) utilisation(now time.Duration) float64 {
	capacity := 0.0
	for _, worker := range p.order {
		if worker.Usable(now) {
			capacity += worker.slots() / p.runTime(now, worker)
		}
	}
	return min(p.arrivals/rateMemory.Seconds()/max(capacity, 1e-9), utilisationCap)
}

// cost is the admission cost of a message: whether it misses its own aim, and the increase of the value function.
// A worker at which more attempts fail than at the others costs what a failed attempt costs, by that share.
func (p *Policy) cost(pool *pool, worker *Worker, held float64, m *moment) (cost, backlog float64) {
	slots := worker.slots()
	run := pool.runTime(m.now, worker)
	service := run / slots
	backlog = held * service
	waiting := max(0, held-(slots-1)) * service
	if waiting >= m.left {
		cost++
	} else {
		cost += waitingCost * waiting / m.left
	}
	for _, t := range m.terms {
		cost += t.share * (valueAt(m.table, t.deadline, backlog+service, service) - valueAt(m.table, t.deadline, backlog, service))
	}
	cost += failureCost * max(0, worker.failing(m.now)-m.failing)
	if worker.Zone != p.zone && worker.Zone != "" {
		cost += otherZoneCost
	}
	return cost, backlog + service
}

// valueAt is v(u)-v(tau) of equation (16), in units of d.
func valueAt(table *value.Table, deadline, backlog, service float64) float64 {
	left := (deadline - backlog) / service
	return table.At(left) - table.Slope(deadline/service)*left
}
