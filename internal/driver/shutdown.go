package driver

import (
	"time"

	"granitewing/logic"
)

// Timing of the platform's planned restart. SIGKILL follows SIGTERM no sooner than the longest deadline, capped at
// maxKillDelay, plus killMargin. A request that arrives within killMargin of SIGTERM may be unanswered when SIGKILL
// comes; a later one that is unanswered then counts as lost.
const (
	maxKillDelay      = 3 * time.Second
	killMargin        = 700 * time.Millisecond
	dismissBeforeKill = 800 * time.Millisecond // before SIGKILL: clients are asked to leave, so that their last requests can complete
	giveUpBeforeKill  = 300 * time.Millisecond // before SIGKILL: requests that would be lost are answered
	lostAfterTerm     = 500 * time.Millisecond // after SIGTERM: requests that arrive later are assumed to be lost at SIGKILL
)

// shutdownPlan gives the times after SIGTERM of a shutdown without a successor process. Until dismissAt service goes
// on as before: a client whose connection is closed might find no other dispatcher until this one is back, since the
// front end sends it no new connections. From dismissAt clients are asked to leave, and at giveUpAt requests that
// SIGKILL would lose are failed.
type shutdownPlan struct{ dismissAt, giveUpAt time.Duration }

func shutdownPlanFor(classes []logic.Class) shutdownPlan {
	longest := int64(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	kill := min(microsOr(longest, maxKillDelay), maxKillDelay) + killMargin
	return shutdownPlan{dismissAt: max(kill-dismissBeforeKill, idleLinger), giveUpAt: kill - giveUpBeforeKill}
}

// dismissingClients reports whether answers close their connections and idle connections are closed.
func (d *Driver) dismissingClients() bool {
	return !d.quiescedAt.IsZero() || !d.stoppedAt.IsZero() && (d.listenerStopped || time.Since(d.stoppedAt) >= d.shutdownPlan.dismissAt)
}

// stop begins a graceful shutdown. If a successor process accepts new connections, clients are sent to it at once.
func (d *Driver) stop() {
	d.stoppedAt = time.Now()
	if d.successor.Load() {
		d.core.YieldSlowStartBudget()
		d.stopListener()
	}
	d.log.Info("stopping", "open", d.core.Open(), "successor", d.listenerStopped)
	d.updateServing()
	d.startShutdownCheck()
}

// quiesce begins a drain by the operators: /healthz fails, every answer closes its connection and idle ones are
// closed, as after SIGTERM, but the process stays.
func (d *Driver) quiesce() {
	if d.quiescedAt.IsZero() {
		d.quiescedAt = time.Now()
		d.log.Info("drain started by an operator", "open", d.core.Open())
	}
	d.updateServing()
	d.startShutdownCheck()
}

// resume ends a drain by the operators.
func (d *Driver) resume() {
	if !d.quiescedAt.IsZero() {
		d.log.Info("drain ended by an operator")
	}
	d.quiescedAt = time.Time{}
	d.updateServing()
}

func (d *Driver) startShutdownCheck() {
	if !d.shutdownChecking {
		d.shutdownChecking = true
		d.checkShutdown()
	}
}

// checkShutdown closes connections that have been idle long enough, fails requests that cannot be kept, and makes Run
// check again whether shutdown is complete. It repeats until clients are accepted again.
func (d *Driver) checkShutdown() {
	if d.acceptingClients() {
		d.shutdownChecking = false
		return
	}
	since := d.quiescedAt
	if since.IsZero() {
		since = d.stoppedAt
	}
	if d.dismissingClients() && time.Since(since) > idleLinger {
		for n := range d.downstreams {
			if n.idle() && time.Since(n.idleSince) > idleLinger {
				n.requestIdleClose()
			}
		}
	}
	if !d.stoppedAt.IsZero() {
		if time.Since(d.stoppedAt) >= d.shutdownPlan.giveUpAt {
			d.expireLateArrivals()
		}
		if !d.listenerStopped && (len(d.downstreams) == 0 || d.dismissingClients()) && time.Since(d.stoppedAt) > lateArrivalWindow && time.Since(d.lastAccept) > lateArrivalWindow/2 {
			d.stopListener()
		}
	}
	d.postAfter(shutdownCheckInterval, d.checkShutdown)
}

// expireLateArrivals fails the requests that SIGKILL would lose. Requests that arrived earlier may stay: their clients
// lose nothing by waiting.
func (d *Driver) expireLateArrivals() {
	for id, n := range d.openRequests {
		if sinceStop := time.Since(d.stoppedAt) - time.Duration(d.now()-n.receivedAt)*time.Microsecond; sinceStop > lostAfterTerm {
			d.execute(d.core.Expire(d.now(), id))
		}
	}
}

// drained reports whether the listener is closed and nothing is outstanding. checkShutdown stops the listener: at once
// if a successor shares the address, otherwise after a time without new connections.
func (d *Driver) drained() bool {
	return d.acceptStopped && len(d.events) == 0 && len(d.downstreams) == 0 && d.core.Open() == 0 && (d.journal == nil || d.journal.flushed())
}

// closeBackends closes the remaining connections to discovery and to servers.
func (d *Driver) closeBackends() {
	d.watches.closeAll()
	for addr := range d.pool.servers {
		d.pool.closeIdle(addr)
	}
}
