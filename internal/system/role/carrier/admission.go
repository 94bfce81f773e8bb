package carrier

import (
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
)

// A message is accepted only if it can be kept in memory and is able to run in time. It uses memory for its body,
// its other fields and bookkeeping. It is refused if its service's backlog would take longer than a quarter of the
// message's retention to clear, since the 202 answer is a promise that expiry as a dead letter would break.
// Messages that will miss their target but can run within their retention are accepted: they are worth less than
// messages in time, but more than a refusal.
const (
	maxMemoryShare    = 0.30 // of the memory limit, for waiting messages; above it nothing is accepted
	keepBodiesShare   = 0.15 // of the memory limit, for bodies; above it bodies are left on the stores
	itemOverheadBytes = 700  // memory of a waiting message besides its header fields and its body
	maxWaitShare      = 0.25 // of a message's retention, that its service's backlog may take to clear
	rateWindow        = 2 * time.Second
	rateMaxAge        = 3 * rateWindow // a rate that was measured longer ago is not used
	minRetryAfter     = time.Second
	maxRetryAfter     = 30 * time.Second
)

// backlog counts a service's due messages that a carrier is responsible for, and measures how fast they complete
// while there are any.
type backlog struct {
	due            int
	running        int           // messages of the service with an attempt in flight
	completed      int           // messages completed in the current window
	windowStart    time.Duration // of the current window
	lastCompletion time.Duration
	rate           float64       // messages per second over the last full window; 0 before the first
	measuredAt     time.Duration // end of that window
}

// add counts a message that is due.
func (b *backlog) add(now time.Duration) {
	if b.due == 0 {
		b.windowStart, b.completed = now, 0
	}
	b.due++
}

// remove takes a message out of the backlog. completed reports whether the message completed, as opposed to having
// moved to another carrier. A window closes only when a message completes, since without completions the rate is
// unknown. A pause as long as a window, such as an outage, is not part of any window.
func (b *backlog) remove(now time.Duration, completed bool) {
	b.due--
	if !completed {
		return
	}
	paused := now-b.lastCompletion >= rateWindow
	b.lastCompletion = now
	if paused {
		b.windowStart, b.completed = now, 0
		return
	}
	b.completed++
	if lasted := now - b.windowStart; lasted >= rateWindow {
		b.rate = float64(b.completed) / lasted.Seconds()
		b.measuredAt, b.windowStart, b.completed = now, now, 0
	}
}

// wait estimates how long a message that arrives now waits before it runs, at the last measured rate; 0 if the
// rate is unknown.
func (b *backlog) wait(now time.Duration) time.Duration {
	if b.rate == 0 || now-b.measuredAt > rateMaxAge {
		return 0
	}
	waiting := max(0, b.due-b.running)
	return time.Duration(float64(waiting) / b.rate * float64(time.Second))
}

// count adds a message to its service's backlog once the message is due or waits behind others of its key.
func (c *Core) count(it *item) {
	if it.backlog != nil || it.completed || it.unit.dropped {
		return
	}
	table := c.session.View().Table
	if table == nil {
		return
	}
	if route := c.routeOf(table, it.message); route != nil {
		it.backlog = &c.queue(route.Service).backlog
		it.backlog.add(c.env.Now())
	}
}

// uncount removes a message from its service's backlog. completed reports whether it completed.
func (c *Core) uncount(it *item, completed bool) {
	if it.backlog != nil {
		it.backlog.remove(c.env.Now(), completed)
		it.backlog = nil
	}
}

// headBytes returns the memory that a message uses without its body.
func headBytes(m *message.Message) int64 {
	size := itemOverheadBytes + len(m.ID) + len(m.Target) + len(m.Key) + len(m.Callback)
	for _, header := range m.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return int64(size)
}

// memoryFull reports whether waiting messages use all the memory that they may.
func (c *Core) memoryFull() bool {
	return float64(c.bodyBytes+c.waitingBytes) > maxMemoryShare*c.memoryLimit()
}

// bodiesFull reports whether new bodies are left on the stores.
func (c *Core) bodiesFull() bool { return float64(c.bodyBytes) > keepBodiesShare*c.memoryLimit() }

func (c *Core) memoryLimit() float64 { return float64(c.settings.Limits.MemoryMB) * (1 << 20) }

// refuseBusy refuses a submission because of the backlog. It adds a random share to the pause, so that clients
// refused at the same time do not return at the same time.
func (c *Core) refuseBusy(answer func(Answer), pause time.Duration, reason string) {
	pause = max(minRetryAfter, pause)
	c.refuseFor(answer, pause+time.Duration(c.env.Random(int64(pause))), reason)
}

// serviceRetryAfter returns when a message of a route may be submitted again if the backlog of its service is too
// long; 0 if the message is accepted. It considers the backlog of this carrier and the latest report of the owner
// of the service's paced unit. The owners of messages in order report theirs when a sequence number is requested.
func (c *Core) serviceRetryAfter(service *configuration.Service, route *configuration.Route, inOrder bool) time.Duration {
	now := c.env.Now()
	if until := c.ownerBusyUntil[ownership.ServiceUnit(service.Name)]; until > now {
		return until - now
	}
	if inOrder || service.Rate > 0 || service.Static != "" {
		return 0
	}
	return c.retryAfter(service.Name, route.Retention)
}

// ownerRetryAfter returns the same for a message of a unit that this carrier owns.
func (c *Core) ownerRetryAfter(m *message.Message) time.Duration {
	table := c.session.View().Table
	if table == nil {
		return 0
	}
	route := c.routeOf(table, m)
	if route == nil {
		return 0
	}
	return c.retryAfter(route.Service, m.Retention)
}

// retryAfter returns the time until the service's backlog will have fallen to half of what a message with the
// given retention tolerates; 0 if such a message is accepted now.
func (c *Core) retryAfter(service string, retention time.Duration) time.Duration {
	q := c.queues[service]
	if q == nil {
		return 0
	}
	maxWait := time.Duration(maxWaitShare * float64(retention))
	wait := q.backlog.wait(c.env.Now())
	if wait <= maxWait {
		return 0
	}
	return min(wait-maxWait/2, maxRetryAfter)
}

// setOwnerBusy records for how long the owner of a paced unit wants no more messages; a pause of 0 clears it.
func (c *Core) setOwnerBusy(unit string, pause time.Duration) {
	if pause <= 0 {
		delete(c.ownerBusyUntil, unit)
		return
	}
	c.ownerBusyUntil[unit] = c.env.Now() + pause
}
