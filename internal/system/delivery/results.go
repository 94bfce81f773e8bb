package delivery

import (
	"math"
	"sort"
	"time"
)

// Result is the outcome of an attempt as far as it concerns the worker's state.
type Result uint8

// The results of an attempt.
const (
	Completed        Result = iota + 1 // the run's own response: success or refusal
	Failed                             // a response that this attempt failed
	NotRun                             // a response that the worker did not run the message
	ConnectionFailed                   // the connection was reset or closed, or the response was unusable
	TimedOut                           // no response by the deadline
	NotSent                            // nothing was sent: no connection could be made
)

// Load is a worker's own report of the messages that it holds, from all carriers.
type Load struct {
	Known            bool // false if the response had no report
	Running, Waiting int
}

func sortByID(workers []*Worker) {
	sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
}

// RecordStart records that a message was sent to a worker. Each RecordStart is followed by one RecordResult.
func (p *Policy) RecordStart(now time.Duration, worker *Worker) {
	worker.inFlight++
	if worker.consecutiveFailures >= breakerThreshold {
		worker.probing = true
	}
	if pool := p.pools[worker.Service]; pool != nil {
		worker.inFlightWork += pool.runTime(now, worker)
	}
}

// RecordResult records the result of an attempt, its duration and the load that the worker reported with it.
func (p *Policy) RecordResult(now time.Duration, worker *Worker, result Result, took time.Duration, load Load) {
	if worker.inFlight > 0 {
		worker.inFlightWork -= worker.inFlightWork / float64(worker.inFlight)
		worker.inFlight--
	}
	worker.probing = false
	worker.updateFailureShare(now, result)
	switch result {
	case Completed:
		worker.consecutiveFailures, worker.openDuration = 0, 0
		p.recordRunTime(worker, took)
	case Failed:
		// The worker responds, so its breaker closes. The duration of a failed attempt does not predict that of
		// other runs.
		worker.consecutiveFailures, worker.openDuration = 0, 0
	case NotRun:
		worker.consecutiveFailures, worker.openDuration = 0, 0
		worker.avoidUntil = now + notRunBackoff
	default:
		p.recordBreakerFailure(now, worker)
	}
	if load.Known {
		worker.reportedOthers = max(0, load.Running+load.Waiting-worker.inFlight-1)
		worker.reportedAt = now
	}
}

// updateFailureShare adds a result to the worker's moving average of failures.
func (w *Worker) updateFailureShare(now time.Duration, result Result) {
	outcome := 0.0
	switch result {
	case Failed, ConnectionFailed, TimedOut, NotSent:
		outcome = 1
	case NotRun:
		outcome = notRunFailure
	}
	share := w.currentFailureShare(now)
	w.failureShare = share + failureWeight*(outcome-share)
	w.failureShareAt = now
}

// currentFailureShare returns the moving average of failed attempts at a worker. It decays while nothing is sent to the
// worker, so that a worker that is avoided is tried again from time to time.
func (w *Worker) currentFailureShare(now time.Duration) float64 {
	if w.failureShare == 0 {
		return 0
	}
	return w.failureShare * math.Exp2(-float64(now-w.failureShareAt)/float64(failureHalfLife))
}

// recordRunTime adds a run time to the averages of the worker and, with a quarter of the weight, of its pool.
func (p *Policy) recordRunTime(worker *Worker, took time.Duration) {
	seconds := max(took.Seconds(), 0.001)
	smoothed := func(mean float64, weight float64) float64 {
		if mean == 0 {
			return seconds
		}
		return mean + weight*(seconds-mean)
	}
	worker.meanRunTime = smoothed(worker.meanRunTime, runTimeWeight)
	if pool := p.pools[worker.Service]; pool != nil {
		pool.meanRunTime = smoothed(pool.meanRunTime, runTimeWeight/4)
	}
}

// recordBreakerFailure counts a failure and opens the breaker at breakerThreshold consecutive ones, for twice as long
// each time up to breakerMaxOpen.
func (p *Policy) recordBreakerFailure(now time.Duration, worker *Worker) {
	worker.consecutiveFailures++
	if worker.consecutiveFailures < breakerThreshold {
		return
	}
	worker.openDuration = min(max(2*worker.openDuration, breakerMinOpen), breakerMaxOpen)
	worker.openUntil = now + worker.openDuration
}

// NextAvailable returns the earliest time at which a breaker of the service lets a probe through or the pause after a
// NotRun ends. It returns false if no worker of the service is waiting for either.
func (p *Policy) NextAvailable(now time.Duration, service string) (time.Duration, bool) {
	pool := p.pools[service]
	if pool == nil {
		return 0, false
	}
	var next time.Duration
	for _, worker := range pool.sorted {
		at := max(worker.openUntil, worker.avoidUntil)
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	return next, next > 0
}

// Workers returns the workers of a service, sorted by ID. The caller must not change the slice.
func (p *Policy) Workers(service string) []*Worker {
	if pool := p.pools[service]; pool != nil {
		return pool.sorted
	}
	return nil
}
