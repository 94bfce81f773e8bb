package delivery

import (
	"math"
	"sort"
	"time"
)

// Result is how an attempt ended, as far as the worker's state goes.
type Result uint8

// The results.
const (
	Ran      Result = iota + 1 // an answer of the run itself
	Failed                     // an answer that this attempt failed
	NotRun                     // the worker said that it did not run the message
	Broken                     // reset, closed, garbled
	Silent                     // no answer by the deadline
	NoAnswer                   // no connection came about
)

// Load is a worker's report: messages that run and wait at it.
type Load struct {
	Known            bool
	Running, Waiting int
}

func sortWorkers(workers []*Worker) {
	sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
}

// Start notes that a message was sent to a worker.
func (p *Policy) Start(now time.Duration, worker *Worker) {
	worker.held++
	if worker.badRow >= badInRow {
		worker.probing = true
	}
	if pool := p.pools[worker.Service]; pool != nil {
		worker.work += pool.runTime(now, worker)
	}
}

// Finish notes the end of an attempt that took a time.
func (p *Policy) Finish(now time.Duration, worker *Worker, result Result, took time.Duration, load Load) {
	if worker.held > 0 {
		worker.work -= worker.work / float64(worker.held)
		worker.held--
	}
	worker.probing = false
	worker.noteFailure(now, result)
	switch result {
	case Ran:
		worker.badRow, worker.openFor = 0, 0
		p.learn(worker, took)
	case Failed:
		// It answers; how long a failed attempt takes says nothing of the others.
		worker.badRow, worker.openFor = 0, 0
	case NotRun:
		worker.badRow, worker.openFor = 0, 0
		worker.avoidUntil = now + avoidAfterShed
	default:
		p.fail(now, worker)
	}
	if load.Known {
		worker.reported = max(0, load.Running+load.Waiting-worker.held-1)
		worker.reportedAt = now
	}
}

// noteFailure takes an outcome into the worker's share of failures.
func (w *Worker) noteFailure(now time.Duration, result Result) {
	outcome := 0.0
	switch result {
	case Failed, Broken, Silent, NoAnswer:
		outcome = 1
	case NotRun:
		outcome = shedFailure
	}
	share := w.failing(now)
	w.failures = share + failureWeight*(outcome-share)
	w.failuresAt = now
}

// failing is the share of the worker's latest attempts that failed. It fades while nothing is sent there, so that a worker
// that is avoided is tried again now and then.
func (w *Worker) failing(now time.Duration) float64 {
	if w.failures == 0 {
		return 0
	}
	return w.failures * math.Exp2(-float64(now-w.failuresAt)/float64(failureMemory))
}

func (p *Policy) learn(worker *Worker, took time.Duration) {
	seconds := max(took.Seconds(), 0.001)
	blend := func(mean float64, weight float64) float64 {
		if mean == 0 {
			return seconds
		}
		return mean + weight*(seconds-mean)
	}
	worker.mean = blend(worker.mean, learningWeight)
	if pool := p.pools[worker.Service]; pool != nil {
		pool.mean = blend(pool.mean, learningWeight/4)
	}
}

// fail opens the breaker after some failures in a row, longer each time.
func (p *Policy) fail(now time.Duration, worker *Worker) {
	worker.badRow++
	if worker.badRow < badInRow {
		return
	}
	worker.openFor = min(max(2*worker.openFor, breakerFirst), breakerMost)
	worker.openUntil = now + worker.openFor
}

// Wake is when a breaker of a service next lets a probe through, or a shedding worker is tried again; false where
// nothing is to be waited for.
func (p *Policy) Wake(now time.Duration, service string) (time.Duration, bool) {
	pool := p.pools[service]
	if pool == nil {
		return 0, false
	}
	var next time.Duration
	for _, worker := range pool.order {
		at := max(worker.openUntil, worker.avoidUntil)
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	return next, next > 0
}

// Workers gives the workers of a service.
func (p *Policy) Workers(service string) []*Worker {
	if pool := p.pools[service]; pool != nil {
		return pool.order
	}
	return nil
}
