package carrier

import (
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/delivery"
	"granitewing/internal/system/message"
)

// Attempt is one delivery of a message to a worker.
type Attempt struct {
	Message  *message.Message
	Address  string
	Instance string // the intended worker; empty for a static endpoint
	Deadline time.Duration
	Repeat   bool // an earlier attempt was sent, or may have been, and its answer may still arrive
}

// OutcomeKind classifies the outcome of an attempt.
type OutcomeKind uint8

// The kinds.
const (
	RunSucceeded OutcomeKind = iota + 1
	RunFailed                // this attempt failed
	RunRejected              // the worker refused the message for good
	NotRun                   // the worker reported that it did not run the message
	RunUnknown               // it may have run
	NotSent                  // no byte of the request was sent
)

// AttemptOutcome is the outcome of an attempt.
type AttemptOutcome struct {
	Kind     OutcomeKind
	Stamp    string
	TimedOut bool // with RunUnknown: no answer arrived by the deadline
	Load     delivery.Load
	Duration time.Duration
}

// Pauses before a message is attempted again.
const (
	backoffNotRun        = 25 * time.Millisecond
	backoffFailed        = 80 * time.Millisecond
	backoffUnknown       = 60 * time.Millisecond
	maxBackoff           = 1500 * time.Millisecond
	retryWhenFull        = 25 * time.Millisecond
	rateHoldAfterRefusal = 60 * time.Millisecond
	// newerConfigurationRetry is how often a message that waits for a newer configuration is checked.
	newerConfigurationRetry = 50 * time.Millisecond
)

// ready queues a message if it may be sent. If it is blocked for a time that is known or must be polled, ready
// checks again then. Every other block ends with an event that calls ready: the outcome of an attempt, the
// completion of the message ahead, the end of a handover, or the arrival of the body.
func (c *Core) ready(it *item) {
	if it.queued {
		return
	}
	block := c.blockOf(it)
	if block.countsAsDue() {
		c.count(it)
	}
	readyAfter := func(wait time.Duration) { c.env.After(wait, func() { c.ready(it) }) }
	switch block {
	case mayBeSent:
		c.enqueue(it)
	case blockedNotDue:
		readyAfter(it.due - c.env.Now())
	case blockedNoConfiguration:
		readyAfter(retryWhenFull)
	case blockedOlderConfiguration:
		readyAfter(newerConfigurationRetry)
	}
}

// enqueue adds a message to its service's queue. A message whose route no longer exists becomes a dead letter.
func (c *Core) enqueue(it *item) {
	route := c.routeOf(c.session.View().Table, it.message)
	if route == nil {
		c.complete(it, message.DeadLetter, "")
		return
	}
	if it.attempts == 0 {
		c.policy.RecordArrival(c.env.Now(), route.Service, route.Name, route.TargetStart)
	}
	q := c.queue(route.Service)
	q.add(it, it.takenOverDue && it.attempts == 0)
	c.dispatch(q)
}

// firstOfKey reports whether the message is first in the order of its key. A message without a key always is.
func (c *Core) firstOfKey(it *item) bool {
	key := it.message.Key
	return key == "" || len(it.unit.keys[key]) > 0 && it.unit.keys[key][0] == it
}

// routeOf returns the message's route in a configuration, or nil if the configuration no longer has it.
func (c *Core) routeOf(table *configuration.Table, m *message.Message) *configuration.Route {
	return table.Match(m.Host, pathOf(m.Target))
}

func pathOf(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// dispatch sends a service's due messages as long as workers accept them.
func (c *Core) dispatch(q *queue) {
	table := c.session.View().Table
	if table == nil || c.paused {
		return
	}
	now := c.env.Now()
	startBy := func(it *item) time.Duration {
		if route := c.routeOf(table, it.message); route != nil {
			return it.accepted + it.message.Delay + route.TargetStart
		}
		return now
	}
	for {
		it := q.next(now, startBy)
		if it == nil {
			return
		}
		if !c.dispatchOne(now, q, table, it, startBy(it)) {
			return
		}
	}
}

// dispatchOne sends one message. It returns false if the queue has to wait.
func (c *Core) dispatchOne(now time.Duration, q *queue, table *configuration.Table, it *item, startBy time.Duration) bool {
	route := c.routeOf(table, it.message)
	switch {
	case route == nil || now-it.accepted > it.message.Retention+it.message.Delay:
		q.remove(it)
		c.complete(it, message.DeadLetter, "")
		return true
	case route.Service != q.service:
		q.remove(it)
		c.ready(it)
		return true
	case c.blockOf(it) != mayBeSent:
		q.remove(it)
		c.ready(it)
		return true
	}
	service := table.Service(route)
	if service.Rate > 0 && !c.hasPermit(now, q) {
		return false
	}
	worker := c.policy.Pick(now, q.service, route.Name, startBy-now, it.lastWorker)
	if worker == nil {
		next, known := c.policy.NextAvailable(now, q.service)
		if !known || next > now+retryWhenFull {
			next = now + retryWhenFull
		}
		c.wake(q, next)
		return false
	}
	if service.Rate > 0 {
		c.usePermit(now, q)
	}
	q.remove(it)
	c.send(it, route, worker)
	return true
}

func (c *Core) wake(q *queue, at time.Duration) {
	now := c.env.Now()
	if q.wakeAt > now && q.wakeAt <= at {
		return
	}
	q.wakeAt = at
	c.env.After(max(0, at-now), func() {
		if q.wakeAt == at {
			q.wakeAt = 0
			c.dispatch(q)
		}
	})
}

// send delivers a message to a worker. It is the only place that does so, and its caller has checked that the
// message may be sent.
func (c *Core) send(it *item, route *configuration.Route, worker *delivery.Worker) {
	now := c.env.Now()
	it.inFlight = true
	it.attempts++
	it.lastWorker = worker.ID
	c.inFlight[it.message.ID] = it
	backlog := &c.queue(route.Service).backlog
	backlog.running++
	c.policy.RecordStart(now, worker)
	c.figures.Delivered++
	attempt := Attempt{Message: it.message, Address: worker.Address, Deadline: route.Timeout, Repeat: it.attempts > 1 || it.takenOver}
	if !worker.Static {
		attempt.Instance = worker.ID
	}
	c.env.Deliver(attempt, func(outcome AttemptOutcome) {
		backlog.running--
		c.attemptFinished(it, route, worker, outcome)
	})
}

func resultOf(outcome AttemptOutcome) delivery.Result {
	switch outcome.Kind {
	case RunSucceeded, RunRejected:
		return delivery.Completed
	case RunFailed:
		return delivery.Failed
	case NotRun:
		return delivery.NotRun
	case NotSent:
		return delivery.NotSent
	}
	if outcome.TimedOut {
		return delivery.TimedOut
	}
	return delivery.ConnectionFailed
}

func (c *Core) attemptFinished(it *item, route *configuration.Route, worker *delivery.Worker, outcome AttemptOutcome) {
	now := c.env.Now()
	it.inFlight, it.idleSince = false, now
	delete(c.inFlight, it.message.ID)
	c.policy.RecordResult(now, worker, resultOf(outcome), outcome.Duration, outcome.Load)
	q := c.queue(route.Service)
	switch outcome.Kind {
	case RunSucceeded:
		c.complete(it, message.Succeeded, outcome.Stamp)
	case RunRejected:
		c.complete(it, message.DeadLetter, "")
	case RunFailed:
		c.figures.Failed++
		it.failures++
		if it.failures >= route.Retries {
			c.complete(it, message.DeadLetter, "")
			break
		}
		c.retryLater(it, backoffFailed)
	case NotRun:
		if worker.Static {
			q.pace.BlockUntil(now + rateHoldAfterRefusal)
		}
		c.retryLater(it, backoffNotRun)
	default:
		c.retryLater(it, backoffUnknown)
	}
	c.dispatch(q)
}

// retryLater makes a message ready again after a random pause that grows with the number of attempts.
func (c *Core) retryLater(it *item, pause time.Duration) {
	if it.unit.dropped {
		c.releaseMemory(it)
		return
	}
	pause = min(pause<<min(it.attempts-1, 5), maxBackoff)
	pause = pause/2 + time.Duration(c.env.Random(int64(pause)))
	c.env.After(pause, func() { c.ready(it) })
}

// complete completes a message and has the stores record its outcome.
func (c *Core) complete(it *item, phase message.Phase, stamp string) {
	if it.completed {
		return
	}
	c.figures.Completed++
	c.recordOutcome(it, message.Outcome{ID: it.message.ID, Phase: phase, Stamp: stamp, CallbackOwed: it.message.Callback != ""})
}

// recordOutcome has the stores record a message's outcome, queues its call-back and removes the message.
func (c *Core) recordOutcome(it *item, outcome message.Outcome) {
	it.completed = true
	it.queued = false
	c.recent.add(c.env.Now(), outcome)
	c.stores.recordOutcome(it.unit, it.holders, outcome)
	if outcome.CallbackOwed && it.message.Callback != "" {
		c.queueCallback(it.unit, it.message.Callback, outcome, it.holders)
	}
	c.removeItem(it)
}
