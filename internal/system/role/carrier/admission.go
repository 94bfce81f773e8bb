package carrier

import (
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
)

// A message is taken only if it can be kept and can still run. What it costs is memory, on top of its bytes and head; and
// one whose service's backlog would take longer than a quarter of the message's retention to clear is refused, since a 202 would
// be a promise that its dead letter breaks. Late messages that can run within their retention are taken: they are worth
// less than those in time, and more than a refusal.
const (
	maxMemoryShare  = 0.30 // of the memory limit, for what waits; past it nothing is taken
	keepBodiesShare = 0.15 // past it bodies are left on the stores
	itemBytes       = 700  // of memory that a waiting message takes without its head and bytes
	maxWaitShare    = 0.25 // of a message's retention, that its service's backlog may last
	drainWindow     = 2 * time.Second
	drainFresh      = 3 * drainWindow // a pace that was measured longer ago tells nothing
	leastRetryAfter = time.Second
	mostRetryAfter  = 30 * time.Second
)

// backlog is the due messages of a service that a carrier is responsible for, and how fast they end while there are any.
type backlog struct {
	owed     int
	running  int           // of all messages of the service: those with an attempt out
	ends     int           // in the running window
	begun    time.Duration // of the running window
	lastEnd  time.Duration
	pace     float64       // messages a second, over the last whole window; 0 before the first
	measured time.Duration // end of that window
}

// add counts a message that is due.
func (b *backlog) add(now time.Duration) {
	if b.owed == 0 {
		b.begun, b.ends = now, 0
	}
	b.owed++
}

// remove takes a message away; ended tells whether it has ended, and has not only gone to another carrier. A window
// closes with an end: while none ends, nothing is known of the pace, and a pause as long as a window, such as an outage, is
// no part of one.
func (b *backlog) remove(now time.Duration, ended bool) {
	b.owed--
	if !ended {
		return
	}
	paused := now-b.lastEnd >= drainWindow
	b.lastEnd = now
	if paused {
		b.begun, b.ends = now, 0
		return
	}
	b.ends++
	if lasted := now - b.begun; lasted >= drainWindow {
		b.pace = float64(b.ends) / lasted.Seconds()
		b.measured, b.begun, b.ends = now, now, 0
	}
}

// wait is how long a message that comes now waits at the latest pace, before it runs; 0 where that is not known.
func (b *backlog) wait(now time.Duration) time.Duration {
	if b.pace == 0 || now-b.measured > drainFresh {
		return 0
	}
	waiting := max(0, b.owed-b.running)
	return time.Duration(float64(waiting) / b.pace * float64(time.Second))
}

// count counts a message into its service's backlog once it is due, or waits behind others of its key.
func (c *Core) count(it *item) {
	if it.counted != nil || it.ended || it.unit.dropped {
		return
	}
	table := c.session.View().Table
	if table == nil {
		return
	}
	if route := c.routeOf(table, it.message); route != nil {
		it.counted = &c.queue(route.Service).backlog
		it.counted.add(c.env.Now())
	}
}

// uncount takes it out again.
func (c *Core) uncount(it *item, ended bool) {
	if it.counted != nil {
		it.counted.remove(c.env.Now(), ended)
		it.counted = nil
	}
}

// headBytes is the memory that a message takes without its body.
func headBytes(m *message.Message) int64 {
	size := itemBytes + len(m.ID) + len(m.Target) + len(m.Key) + len(m.Callback)
	for _, header := range m.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return int64(size)
}

// memoryFull tells whether what waits takes all memory that it may.
func (c *Core) memoryFull() bool {
	return float64(c.bodyBytes+c.waitingBytes) > maxMemoryShare*c.memoryLimit()
}

// bodiesFull tells whether bodies are left on the stores.
func (c *Core) bodiesFull() bool { return float64(c.bodyBytes) > keepBodiesShare*c.memoryLimit() }

func (c *Core) memoryLimit() float64 { return float64(c.settings.Limits.MemoryMB) * (1 << 20) }

// refuseBusy refuses a submission because too much waits, for a pause and a random share of it: those who are refused
// together don't return together.
func (c *Core) refuseBusy(answer func(Answer), pause time.Duration, reason string) {
	pause = max(leastRetryAfter, pause)
	c.refuseFor(answer, pause+time.Duration(c.env.Random(int64(pause))), reason)
}

// overloaded tells when a message of a route may be sent again where too much waits for its service: here, or at the owner
// of the service's one unit as far as that has told; 0 where it is taken. Owners of ordered units tell when they are asked
// for a place.
func (c *Core) overloaded(service *configuration.Service, route *configuration.Route) time.Duration {
	now := c.env.Now()
	if until := c.fullUntil[ownership.PacedUnit(service.Name)]; until > now {
		return until - now
	}
	if route.Ordered || service.Rate > 0 || service.Static != "" {
		return 0
	}
	return c.retryAfter(service.Name, route.Retention)
}

// ownerOverloaded tells the same of a message of a unit that this carrier owns.
func (c *Core) ownerOverloaded(m *message.Message) time.Duration {
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

// retryAfter is when the backlog of a service will have fallen to half of what a message with some retention bears; 0 where
// such a message is taken.
func (c *Core) retryAfter(service string, retention time.Duration) time.Duration {
	q := c.queues[service]
	if q == nil {
		return 0
	}
	most := time.Duration(maxWaitShare * float64(retention))
	wait := q.backlog.wait(c.env.Now())
	if wait <= most {
		return 0
	}
	return min(wait-most/2, mostRetryAfter)
}

// ownerTold keeps for how long the owner of a paced unit would rather have no more messages.
func (c *Core) ownerTold(unit string, pause time.Duration) {
	if pause <= 0 {
		delete(c.fullUntil, unit)
		return
	}
	c.fullUntil[unit] = c.env.Now() + pause
}
