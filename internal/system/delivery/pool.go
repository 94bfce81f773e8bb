package delivery

import (
	"time"

	"granitewing/internal/system/catalog"
)

// class holds the arrivals and the deadline of one route, which is a class of the multi-class value function.
type class struct {
	arrivals float64 // decayed count
	deadline float64 // seconds from due to the target start
}

// pool holds the workers and the arrival statistics of one service.
type pool struct {
	workers     map[string]*Worker // by ID
	sorted      []*Worker          // the same, sorted by ID
	meanRunTime float64            // moving average of the run time over all workers, in seconds; 0 before the first run
	classes     map[string]*class  // by route
	classList   []*class           // the same, in order of first arrival: floating-point sums over them are reproducible
	arrivals    float64            // decayed count over all routes
	decayedAt   time.Duration      // time of the last decay of the counts
	maxConns    int                // bound on the connections to each worker; 0 if unknown
}

// pool returns the pool of a service, which it creates if there is none.
func (p *Policy) pool(service string) *pool {
	found := p.pools[service]
	if found == nil {
		found = &pool{workers: map[string]*Worker{}, classes: map[string]*class{}}
		p.pools[service] = found
	}
	return found
}

// SetService sets the bound on connections to each worker of a service, and its static endpoint (host:port), or
// empty if it has none. A static endpoint replaces all listed workers. A former static endpoint gets no more messages.
func (p *Policy) SetService(now time.Duration, service string, maxConns int, static string) {
	pool := p.pool(service)
	pool.maxConns = maxConns
	if static == "" {
		pool.removeStatic()
		return
	}
	if old := pool.workers[static]; old != nil {
		return
	}
	for _, old := range pool.sorted {
		old.removed = true
	}
	pool.workers = map[string]*Worker{}
	p.addWorker(now, pool, &Worker{Static: true, Instance: catalog.Instance{ID: static, Service: service, Address: static}})
}

func (p *pool) removeStatic() {
	for id, worker := range p.workers {
		if worker.Static {
			worker.removed = true
			delete(p.workers, id)
		}
	}
	p.rebuildSorted()
}

// RemoveServicesExcept removes the services that the configuration no longer has, and their static endpoints. Workers
// that the platform lists for such a service stay until SetInstances omits them.
func (p *Policy) RemoveServicesExcept(has func(service string) bool) {
	for service, pool := range p.pools {
		if has(service) {
			continue
		}
		pool.maxConns = 0
		pool.removeStatic()
		if len(pool.workers) == 0 {
			delete(p.pools, service)
		}
	}
}

// SetInstances sets the platform's list of worker instances, by ID, for all services. Workers that are not in the list
// are removed; it is ignored for services with a static endpoint.
func (p *Policy) SetInstances(now time.Duration, instances map[string]catalog.Instance) {
	for service, pool := range p.pools {
		for id, worker := range pool.workers {
			listed, present := instances[id]
			if worker.Static || present && listed.Service == service {
				continue
			}
			worker.removed = true
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
		p.addWorker(now, pool, &Worker{Instance: instance, slowStartUntil: now + instance.Cold})
	}
	for service, pool := range p.pools {
		pool.rebuildSorted()
		if len(pool.workers) == 0 && pool.maxConns == 0 {
			delete(p.pools, service)
		}
	}
}

// isStatic reports whether the service has a static endpoint, which takes precedence over the platform's list.
func (p *pool) isStatic() bool {
	for _, worker := range p.workers {
		if worker.Static {
			return true
		}
	}
	return false
}

func (p *Policy) addWorker(_ time.Duration, pool *pool, worker *Worker) {
	pool.workers[worker.ID] = worker
	pool.rebuildSorted()
}

func (p *pool) rebuildSorted() {
	p.sorted = p.sorted[:0:0]
	for _, worker := range p.workers {
		p.sorted = append(p.sorted, worker)
	}
	sortByID(p.sorted)
}

// RecordArrival counts the arrival of a message of a route at a service, with the route's target time until the
// start of the run.
func (p *Policy) RecordArrival(now time.Duration, service, route string, target time.Duration) {
	pool := p.pool(service)
	pool.decay(now)
	pool.arrivals++
	found := pool.classes[route]
	if found == nil {
		if len(pool.classes) >= maxClasses {
			// Arrivals of further routes count only in the pool's total.
			return
		}
		found = &class{}
		pool.classes[route] = found
		pool.classList = append(pool.classList, found)
	}
	found.arrivals++
	found.deadline = target.Seconds()
}

// decay reduces the arrival counts by the time since the last decay, relative to arrivalWindow.
func (p *pool) decay(now time.Duration) {
	elapsed := now - p.decayedAt
	if elapsed < 50*time.Millisecond {
		return
	}
	p.decayedAt = now
	factor := 1 - min(1, elapsed.Seconds()/arrivalWindow.Seconds())
	p.arrivals *= factor
	for _, c := range p.classList {
		c.arrivals *= factor
	}
}

// runTime returns the expected run time at a worker in seconds: its own average, else the pool's, else a default;
// longer during slow start.
func (p *pool) runTime(now time.Duration, worker *Worker) float64 {
	mean := worker.meanRunTime
	if mean == 0 {
		mean = p.meanRunTime
	}
	if mean == 0 {
		mean = defaultRunTime.Seconds()
	}
	if now < worker.slowStartUntil {
		mean *= slowStartFactor
	}
	return mean
}
