package carrier

import "time"

// Shares of the grace period after which a stopping carrier takes its next step.
const (
	drainPollInterval = 50 * time.Millisecond
	pauseAtShare      = 0.50 // no delivery starts after it, and call-backs still pending then are left to the next owner
	abandonAtShare    = 0.85 // attempts still in flight are abandoned; outcomes that some disk lacks go to all disks
	closeAtShare      = 0.92 // the session is closed by then, even if some records are not written
)

// BeginShutdown makes Ready report false, so that the platform sends no more clients, and tells the keepers that this
// carrier is stopping.
func (c *Core) BeginShutdown() {
	c.draining = true
	c.session.Stopping()
}

// Shutdown shuts the carrier down gracefully. For a share of the grace period it keeps serving and makes its pending
// call-backs. Then it starts no more deliveries, waits for those in flight and for all outcomes to be recorded,
// and closes its session so that another carrier takes over. Units that it owns are handed over in the meantime.
// Shutdown calls done at the end. began is when the shutdown was requested.
func (c *Core) Shutdown(began time.Duration, done func()) {
	c.BeginShutdown()
	grace := c.settings.Bounds.Grace
	deadline := func(share float64) time.Duration { return began + time.Duration(share*float64(grace)) }
	now := c.env.Now()
	if now < deadline(pauseAtShare) && c.hasWork() {
		c.env.After(drainPollInterval, func() { c.Shutdown(began, done) })
		return
	}
	c.paused = true
	busy := len(c.inFlight) > 0 && now < deadline(abandonAtShare)
	if now >= deadline(abandonAtShare) {
		c.stores.spreadOutcomes()
	}
	unrecorded := c.stores.unrecorded() > 0 && now < deadline(closeAtShare)
	if busy || unrecorded {
		c.env.After(drainPollInterval, func() { c.Shutdown(began, done) })
		return
	}
	c.session.Close(func(err error) {
		if err != nil {
			c.env.LogWarning("cannot close the session", err)
		}
		done()
	})
}

// hasWork reports whether any message waits or is in flight, or any call-back is pending.
func (c *Core) hasWork() bool {
	for _, q := range c.queues {
		if q.len() > 0 {
			return true
		}
	}
	return len(c.inFlight) > 0 || c.hasCallbacks()
}
