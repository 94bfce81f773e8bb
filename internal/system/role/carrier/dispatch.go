package carrier

import (
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/delivery"
	"granitewing/internal/system/message"
)

// Attempt is one delivery to a worker.
type Attempt struct {
	Message  *message.Message
	Address  string
	Instance string // the worker that is meant; empty for a static endpoint
	Deadline time.Duration
	Repeat   bool // an earlier attempt was sent, or may have been: an answer to it may still come
}

// OutcomeKind tells how an attempt ended.
type OutcomeKind uint8

// The kinds.
const (
	RunSucceeded OutcomeKind = iota + 1
	RunFailed                // this attempt failed
	RunRefused               // it can never be done
	NotRun                   // the worker said so
	RunUnknown               // it may have run
	NotSent                  // no byte of it left
)

// Outcome of an attempt.
type Outcome struct {
	Kind   OutcomeKind
	Stamp  string
	Silent bool // of RunUnknown: no answer came by the deadline
	Load   delivery.Load
	Took   time.Duration
}

// Pauses before a message is tried again.
const (
	pauseNotRun    = 25 * time.Millisecond
	pauseFailed    = 80 * time.Millisecond
	pauseUnknown   = 60 * time.Millisecond
	pauseMost      = 1500 * time.Millisecond
	wakeWhenFull   = 25 * time.Millisecond
	defaultTimeout = time.Second
	pacedRefused   = 60 * time.Millisecond
	// newerTablePause is how often a message is looked at that waits for a newer configuration.
	newerTablePause = 50 * time.Millisecond
)

// ready puts a message that may be sent into its service's queue, and looks again where a wait has an end of its own. What is held otherwise comes here
// again with what holds it: the outcome of an attempt, the end of the one ahead of it, the end of a handover, or its bytes.
func (c *Core) ready(it *item) {
	if it.queued {
		return
	}
	hold := c.holdOf(it)
	if hold.due() {
		c.count(it)
	}
	again := func(wait time.Duration) { c.env.After(wait, func() { c.ready(it) }) }
	switch hold {
	case mayBeSent:
		c.enqueue(it)
	case heldNotDue:
		again(it.due - c.env.Now())
	case heldNoTable:
		again(wakeWhenFull)
	case heldOlderTable:
		again(newerTablePause)
	}
}

// enqueue puts a message into its service's queue; one whose route is gone ends.
func (c *Core) enqueue(it *item) {
	route := c.routeOf(c.session.View().Table, it.message)
	if route == nil {
		c.end(it, message.DeadLetter, "")
		return
	}
	if it.tries == 0 {
		c.policy.Arrive(c.env.Now(), route.Service, route.Name, route.TargetStart)
	}
	q := c.queue(route.Service)
	q.join(it, it.takenDue && it.tries == 0)
	c.dispatch(q)
}

// leads tells whether it is the message's turn in its key's order.
func (c *Core) leads(it *item) bool {
	key := it.message.Key
	return key == "" || len(it.unit.keys[key]) > 0 && it.unit.keys[key][0] == it
}

// routeOf is the message's route under a configuration, nil where that has dropped it.
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

// dispatch sends what is due of a service, as long as workers take it.
func (c *Core) dispatch(q *queue) {
	table := c.session.View().Table
	if table == nil || c.paused {
		return
	}
	now := c.env.Now()
	aim := func(it *item) time.Duration {
		if route := c.routeOf(table, it.message); route != nil {
			return it.accepted + it.message.Delay + route.TargetStart
		}
		return now
	}
	for {
		it := q.next(now, aim)
		if it == nil {
			return
		}
		if !c.dispatchOne(now, q, table, it, aim(it)) {
			return
		}
	}
}

// dispatchOne sends one message; false where the queue has to wait.
func (c *Core) dispatchOne(now time.Duration, q *queue, table *configuration.Table, it *item, aim time.Duration) bool {
	route := c.routeOf(table, it.message)
	switch {
	case route == nil || now-it.accepted > it.message.Retention+it.message.Delay:
		q.take(it)
		c.end(it, message.DeadLetter, "")
		return true
	case route.Service != q.service:
		q.take(it)
		c.ready(it)
		return true
	case c.holdOf(it) != mayBeSent:
		q.take(it)
		c.ready(it)
		return true
	}
	service := table.Service(route)
	if service.Rate > 0 && !c.hasTurn(now, q) {
		return false
	}
	worker := c.policy.Pick(now, q.service, route.Name, aim-now, it.lastTry)
	if worker == nil {
		next, known := c.policy.Wake(now, q.service)
		if !known || next > now+wakeWhenFull {
			next = now + wakeWhenFull
		}
		c.wake(q, next)
		return false
	}
	if service.Rate > 0 {
		c.takeTurn(now, q)
	}
	q.take(it)
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

// send gives a message to a worker. Nothing else does, and only what may be sent comes here.
func (c *Core) send(it *item, route *configuration.Route, worker *delivery.Worker) {
	now := c.env.Now()
	it.flying = true
	it.tries++
	it.lastTry = worker.ID
	c.inFlight[it.message.ID] = it
	backlog := &c.queue(route.Service).backlog
	backlog.running++
	c.policy.Start(now, worker)
	c.figures.Delivered++
	attempt := Attempt{Message: it.message, Address: worker.Address, Deadline: route.Timeout, Repeat: it.tries > 1 || it.taken}
	if !worker.Static {
		attempt.Instance = worker.ID
	}
	c.env.Deliver(attempt, func(outcome Outcome) {
		backlog.running--
		c.finished(it, route, worker, outcome)
	})
}

func resultOf(outcome Outcome) delivery.Result {
	switch outcome.Kind {
	case RunSucceeded, RunRefused:
		return delivery.Ran
	case RunFailed:
		return delivery.Failed
	case NotRun:
		return delivery.NotRun
	case NotSent:
		return delivery.NoAnswer
	}
	if outcome.Silent {
		return delivery.Silent
	}
	return delivery.Broken
}

func (c *Core) finished(it *item, route *configuration.Route, worker *delivery.Worker, outcome Outcome) {
	now := c.env.Now()
	it.flying = false
	delete(c.inFlight, it.message.ID)
	c.policy.Finish(now, worker, resultOf(outcome), outcome.Took, outcome.Load)
	q := c.queue(route.Service)
	switch outcome.Kind {
	case RunSucceeded:
		c.end(it, message.Succeeded, outcome.Stamp)
	case RunRefused:
		c.end(it, message.DeadLetter, "")
	case RunFailed:
		c.figures.Failed++
		it.failures++
		if it.failures >= route.Retries {
			c.end(it, message.DeadLetter, "")
			break
		}
		c.again(it, pauseFailed)
	case NotRun:
		if worker.Static {
			q.pace.Hold(now + pacedRefused)
		}
		c.again(it, pauseNotRun)
	default:
		c.again(it, pauseUnknown)
	}
	c.dispatch(q)
}

// again puts a message back after a pause that grows and spreads.
func (c *Core) again(it *item, pause time.Duration) {
	if it.unit.dropped {
		c.forget(it)
		return
	}
	pause = min(pause<<min(it.tries-1, 5), pauseMost)
	pause = pause/2 + time.Duration(c.env.Random(int64(pause)))
	c.env.After(pause, func() { c.ready(it) })
}

// end ends a message, and has the stores record it.
func (c *Core) end(it *item, phase message.Phase, stamp string) {
	if it.ended {
		return
	}
	c.figures.Ended++
	c.conclude(it, message.End{ID: it.message.ID, Phase: phase, Stamp: stamp, CallbackOwed: it.message.Callback != ""})
}

// conclude has the stores record a message's end, and lets go of it.
func (c *Core) conclude(it *item, end message.End) {
	it.ended = true
	it.queued = false
	c.recent.add(c.env.Now(), end)
	c.stores.recordEnd(it.unit, it.holders, end)
	if end.CallbackOwed && it.message.Callback != "" {
		c.tell(it.unit, it.message.Callback, end, it.holders)
	}
	c.leave(it)
}
