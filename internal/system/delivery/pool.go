package delivery

import (
	"time"

	"granitewing/internal/system/catalog"
)

// class is what the policy knows of a route.
type class struct {
	rate     float64 // share of the pool's arrivals, as a decayed count
	deadline float64 // seconds from due to the wanted start
}

// pool is the workers of a service.
type pool struct {
	workers  map[string]*Worker
	order    []*Worker
	mean     float64           // seconds a run over all workers
	classes  map[string]*class // by route
	listed   []*class          // the same, in the order in which they came: sums of them come out alike
	arrivals float64           // decayed count
	seen     time.Duration
	maxConns int
}

func (p *Policy) pool(service string) *pool {
	found := p.pools[service]
	if found == nil {
		found = &pool{workers: map[string]*Worker{}, classes: map[string]*class{}}
		p.pools[service] = found
	}
	return found
}

// SetService tells a service's bound on connections, and its static endpoint where it has one. One that it had before and has
// no more gets nothing.
func (p *Policy) SetService(now time.Duration, service string, maxConns int, static string) {
	pool := p.pool(service)
	pool.maxConns = maxConns
	if static == "" {
		pool.leaveStatic()
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

func (p *pool) leaveStatic() {
	for id, worker := range p.workers {
		if worker.Static {
			worker.gone = true
			delete(p.workers, id)
		}
	}
	p.reorder()
}

// KeepServices forgets the services that the configuration does not have; their listed workers are known until the list
// loses them.
func (p *Policy) KeepServices(has func(service string) bool) {
	for service, pool := range p.pools {
		if has(service) {
			continue
		}
		pool.maxConns = 0
		pool.leaveStatic()
		if len(pool.workers) == 0 {
			delete(p.pools, service)
		}
	}
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
		if pool.isStatic() {
			continue
		}
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

// isStatic tells whether the service has one endpoint, whatever the platform lists.
func (p *pool) isStatic() bool {
	for _, worker := range p.workers {
		if worker.Static {
			return true
		}
	}
	return false
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
		pool.listed = append(pool.listed, known)
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
	for _, c := range p.listed {
		c.rate *= factor
	}
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
