package carrier

import "time"

// Parts of the grace that a stopping carrier has.
const (
	drainPollInterval = 50 * time.Millisecond
	pauseAtPart       = 0.50 // of the grace: no delivery begins after it, and call-backs that are owed by then are left
	closeAtPart       = 0.85 // attempts that are out by then are left; ends that some disk lacks go to all
	flushAtPart       = 0.92 // the session is given up by then
)

// StopReady has the platform send no more clients.
func (c *Core) StopReady() {
	c.draining = true
	c.session.Stopping()
}

// Drain ends the carrier's work in order: it serves on and makes the call-backs that it owes for a part of the grace, begins no more deliveries, lets
// those that are out end, has all ends recorded, and gives up its session so that another carries on. What it owns for
// the fleet is handed over meanwhile. done is called at its end.
// began is when the stop was asked for.
func (c *Core) Drain(began time.Duration, done func()) {
	c.StopReady()
	grace := c.settings.Bounds.Grace
	part := func(share float64) time.Duration { return began + time.Duration(share*float64(grace)) }
	now := c.env.Now()
	if now < part(pauseAtPart) && c.work() {
		c.env.After(drainPollInterval, func() { c.Drain(began, done) })
		return
	}
	c.paused = true
	busy := len(c.inFlight) > 0 && now < part(closeAtPart)
	if now >= part(closeAtPart) {
		c.stores.spreadEnds()
	}
	unwritten := c.stores.unwritten() > 0 && now < part(flushAtPart)
	if busy || unwritten {
		c.env.After(drainPollInterval, func() { c.Drain(began, done) })
		return
	}
	c.session.Close(func(err error) {
		if err != nil {
			c.env.Report("the session could not be closed", err)
		}
		done()
	})
}

// work tells whether anything waits to be delivered, or told, soon.
func (c *Core) work() bool {
	for _, q := range c.queues {
		if q.len() > 0 {
			return true
		}
	}
	return len(c.inFlight) > 0 || c.callbacksWait()
}
