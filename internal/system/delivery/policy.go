// Package delivery chooses the worker that a due message is sent to, and limits the rate of a service's messages.
//
// Policy.Pick takes the worker with the lowest admission cost: the expected number of deadlines that are missed, by the
// message itself and by later ones, because the worker is given the message. The cost comes from a paper on deadline
// violations in the M/D/1 queue (Poisson arrivals, constant service time, one server). It is one policy-improvement
// step: it assumes that all later messages go to random workers, with probabilities that give all workers the same
// utilisation (the load-equalising random split).
//
// The cost uses the paper's equation 16, which package value evaluates. It gives v(u)-v(tau), where v(u) is the
// expected extra number of missed deadlines over all time if the worker starts with the backlog u, u is the work that
// the worker holds, and tau is the deadline, the longest wait that meets it. A message of service time d that is added
// to the backlog u costs v(u+d)-v(u). In the multi-class form each route is a class with a deadline of its own, and the
// cost is the mean over the classes, weighted by their shares of the arrivals.
//
// Costs for failing workers and for crossing zones are added. Each worker has a circuit breaker, and bounds on the
// messages that it may hold.
//
// The server of the M/D/1 model runs one job at a time, whereas a worker runs several. A worker with c slots counts
// as one server with a service time of d/c, where d is its run time. Its backlog u is the work of all messages that
// it holds, divided by c.
//
// A carrier declares services and workers with SetService and SetInstances, and counts arrivals with RecordArrival. It
// calls Pick for each due message, RecordStart when it sends the message and RecordResult when the attempt ends. Where
// Pick returns nil, the caller tries again when an attempt finishes, or at the time that NextAvailable returns.
// RateLimiter is the rate limiter of one service.
//
// All times are durations since an origin that the caller chooses; the package reads no clock. Its types are not
// safe for concurrent use.
package delivery

import (
	"time"

	"granitewing/internal/system/catalog"
)

// Parameters of the policy. Costs are relative to 1 for a message that misses its target start.
const (
	maxUtilisation        = 0.99                    // bound on the estimated utilisation
	defaultRunTime        = 100 * time.Millisecond  // run time that is assumed before one was measured
	runTimeWeight         = 0.15                    // weight of a new run time in a worker's moving average
	arrivalWindow         = 4 * time.Second         // time constant of the arrival rate's decay
	crossZoneCost         = 0.02                    // cost of sending a message to another zone
	costTolerance         = 1e-4                    // costs that differ by less count as equal; the smaller backlog decides
	waitingCost           = 0.15                    // cost of a wait as long as the slack; shorter waits in proportion
	reportMaxAge          = 300 * time.Millisecond  // age of a worker's load report at which its weight reaches 0
	queuePerSlot          = 1.0                     // messages that may wait at a worker, per slot
	minCarrierShare       = 2                       // least bound on one carrier's messages at a worker
	slowStartFactor       = 1.6                     // run time of a worker during slow start, relative to its usual one
	notRunBackoff         = 40 * time.Millisecond   // pause after a worker did not run a message
	breakerThreshold      = 2                       // consecutive timeouts, resets or failed dials that open a breaker
	breakerMinOpen        = 300 * time.Millisecond  // first open time; it doubles with each further failure
	breakerMaxOpen        = 2500 * time.Millisecond // bound on the open time
	maxClasses            = 64                      // routes per service in the value function
	failureCost           = 0.8                     // cost of a failed attempt
	failureWeight         = 0.12                    // weight of the latest attempt in a worker's share of failures
	failureHalfLife       = 3 * time.Second         // half-life of that share while nothing is sent to the worker
	notRunFailure         = 0.25                    // weight of an attempt that the worker did not run, relative to a failed one
	staticConnectionShare = 0.45                    // share of a static endpoint's connections for its owner (see maxInFlight)
	connectionShare       = 0.85                    // share of a worker's connections that all carriers use together
)

// Worker is the state that one carrier keeps of a worker instance or a static endpoint.
type Worker struct {
	catalog.Instance
	Static bool // a static endpoint of the configuration, not an instance that the platform lists

	inFlight            int           // messages that this carrier has sent to it and that have not finished
	inFlightWork        float64       // estimated run time of these, in seconds
	meanRunTime         float64       // moving average of the run time in seconds; 0 before the first run
	slowStartUntil      time.Duration // runs are slower before this time
	reportedOthers      int           // messages of other carriers at its last load report
	reportedAt          time.Duration // time of that report
	consecutiveFailures int           // as counted by the breaker
	openUntil           time.Duration // the breaker is open: nothing is sent before this time
	openDuration        time.Duration // latest open time of the breaker
	probing             bool          // a probe of the half-open breaker is in flight
	avoidUntil          time.Duration // nothing is sent before this time, since it did not run a message
	removed             bool          // no longer in the configuration or the platform's list

	failureShare   float64 // moving average of failed attempts, 0 to 1, as of failureShareAt
	failureShareAt time.Duration
}

// InFlight returns the number of this carrier's messages that are in flight at the worker.
func (w *Worker) InFlight() int { return w.inFlight }

// Usable reports whether a message may be sent to the worker: it is listed, it is not draining, and its breaker
// is closed or lets a probe through.
func (w *Worker) Usable(now time.Duration) bool {
	if w.removed || w.Draining || now < w.openUntil {
		return false
	}
	return w.consecutiveFailures < breakerThreshold || !w.probing
}

// Policy picks a worker for each message of a carrier, from the state of all workers that the carrier knows.
type Policy struct {
	pools    map[string]*pool
	zone     string
	carriers int
}

// NewPolicy returns a policy for a carrier in a zone. It assumes one carrier until SetCarriers is called.
func NewPolicy(zone string) *Policy {
	return &Policy{pools: map[string]*pool{}, zone: zone, carriers: 1}
}

// SetCarriers sets the number of carriers that share the workers' slots and connections; the least is 1.
func (p *Policy) SetCarriers(count int) { p.carriers = max(count, 1) }

// slots returns the number of messages that a worker runs concurrently; the least is 1.
func (w *Worker) slots() float64 { return float64(max(w.Capacity, 1)) }

// maxInFlight returns how many of this carrier's messages a worker may hold.
func (p *Policy) maxInFlight(pool *pool, worker *Worker) int {
	connections := pool.maxConns
	if worker.Static {
		// Only the carrier that owns the service calls a static endpoint. Some connections are left to a former owner,
		// which may still hold idle ones.
		return max(1, int(float64(connections)*staticConnectionShare))
	}
	// The bounds of all carriers together fit the worker's slots and a short queue, so that the carriers do not
	// overload a worker that has just returned. Each bound is slightly above an equal share, since the load is
	// uneven.
	share := max(minCarrierShare, int(worker.slots()*(1+queuePerSlot))/p.carriers+1)
	if connections <= 0 {
		return share
	}
	return min(share, max(1, int(float64(connections)*connectionShare)/p.carriers))
}

// estimatedOthers estimates how many messages of other carriers a worker holds: those of its last load report, with a
// weight that falls linearly to 0 at reportMaxAge.
func (w *Worker) estimatedOthers(now time.Duration) float64 {
	age := now - w.reportedAt
	if w.reportedOthers == 0 || age > reportMaxAge {
		return 0
	}
	return float64(w.reportedOthers) * (1 - age.Seconds()/reportMaxAge.Seconds())
}

// Pick returns the worker with the lowest cost for a message of a route that should start within slack. It returns nil
// if no worker of the service can take a message now. exclude is the ID of the worker that was tried last, or empty;
// that worker is returned only if there is no other. A static endpoint is returned whatever its cost. Pick does not
// count the message; call RecordStart when it is sent.
func (p *Policy) Pick(now time.Duration, service, route string, slack time.Duration, exclude string) *Worker {
	pool := p.pools[service]
	if pool == nil {
		return nil
	}
	pool.decay(now)
	var best, fallback *Worker
	bestCost, bestBacklog := 0.0, 0.0
	pick := pool.newPickContext(now, slack)
	for _, worker := range pool.sorted {
		if !worker.Usable(now) || now < worker.avoidUntil || worker.inFlight >= p.maxInFlight(pool, worker) {
			continue
		}
		inFlight := float64(worker.inFlight) + worker.estimatedOthers(now)
		if !worker.Static && inFlight >= worker.slots()*(1+queuePerSlot) {
			continue
		}
		if worker.ID == exclude {
			fallback = worker
			continue
		}
		if worker.Static {
			return worker
		}
		cost, backlog := p.cost(pool, worker, inFlight, &pick)
		if best == nil || cost < bestCost-costTolerance || cost < bestCost+costTolerance && backlog < bestBacklog {
			best, bestCost, bestBacklog = worker, cost, backlog
		}
	}
	if best == nil {
		return fallback
	}
	return best
}
