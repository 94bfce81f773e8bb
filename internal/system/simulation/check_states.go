package simulation

import (
	"fmt"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/role/carrier"
)

// Times of the state queries and bounds of the rules about them.
const (
	stateQueryInterval  = 450 * time.Millisecond
	maxPropagationTime  = 2 * time.Second  // after its acceptance, until every carrier knows a message
	stuckTime           = 6 * time.Second  // a due message that no worker has received for this long is stuck
	idleTime            = 3 * time.Second  // with no completed message and no call-back in this time, nothing else is in progress
	callbackOverdueTime = 10 * time.Second // after completion, until a missing call-back counts as missed
	maxMissedCallbacks  = 2                // number of missed call-backs that are tolerated
	maxReadyAfterTerm   = 4 * time.Second  // after SIGTERM, until a machine must not be ready any more
)

// queryStates queries, throughout the run, a random carrier for the state of a random message, and of one that nobody
// sent.
func (sim *simulation) queryStates() {
	sim.world.after(stateQueryInterval, sim.queryStates)
	host := sim.randomCarrier()
	if host == nil {
		return
	}
	host.run(func() {
		host.core.QueryState("nobody-sent-this", false, func(state carrier.State) {
			if state.Known {
				sim.checker.reportViolation(sim.world.now, "MIXED", "a state is returned for a message that nobody sent")
			}
		})
	})
	accepted := sim.checker.accepted()
	if len(accepted) == 0 {
		return
	}
	r := accepted[sim.world.random.IntN(len(accepted))]
	queriedAt := sim.world.now
	host.run(func() {
		host.core.QueryState(r.id, false, func(state carrier.State) { sim.checkQueriedState(host, r, queriedAt, state) })
	})
}

// checkQueriedState checks a state that a carrier returned during the run.
func (sim *simulation) checkQueriedState(host *carrierHost, r *messageRecord, queriedAt time.Duration, state carrier.State) {
	now := sim.world.now
	switch {
	case state.Indeterminate:
	case !state.Known && queriedAt > r.answeredAt+maxPropagationTime && sim.checker.undisturbed(now):
		sim.checker.reportViolation(now, "LOST", fmt.Sprintf("%s was accepted but is unknown to %s", r.id, host.machine.name))
	case !state.Known:
	case state.Phase == message.Succeeded && !r.stamps[state.Stamp]:
		sim.checker.reportViolation(now, "MIXED", r.id+" is reported as succeeded with a stamp that no run returned")
	case state.Phase == message.DeadLetter && !r.completed() && !sim.checker.retentionPassed(now, r) && !sim.checker.routeDropped(r):
		sim.checker.reportViolation(now, "MIXED", r.id+" is reported as a dead letter but has not completed")
	}
}

func (sim *simulation) randomCarrier() *carrierHost {
	var live []*carrierHost
	for _, name := range sortedKeys(sim.carriers) {
		if host := sim.carriers[name]; host.alive && !host.machine.frozen && !host.machine.poweredOff {
			live = append(live, host)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[sim.world.random.IntN(len(live))]
}

// checkStuckMessages checks at the end that no message waits that could run, and that no call-backs are missed. It
// checks nothing shortly after an unplanned fault.
func (sim *simulation) checkStuckMessages() {
	now := sim.world.now
	if !sim.checker.undisturbed(now - stuckTime) {
		return
	}
	latest, missed := time.Duration(0), 0
	for _, r := range sim.checker.records {
		latest = max(latest, r.completedAt)
	}
	for _, r := range sim.checker.accepted() {
		if r.callback && r.completed() && r.callbackCount == 0 && !sim.checker.maybeFallback(now, r) && now-r.completedAt > callbackOverdueTime {
			missed++
		}
		if r.completed() || sim.checker.routeDropped(r) || now < r.sentAt+r.delay+stuckTime || now-latest < idleTime || r.blockedByFailure(sim.checker) {
			continue
		}
		if last := len(r.runs) - 1; last < 0 || now-r.runs[last].at > stuckTime {
			sim.checker.reportViolation(now, "LOST", r.id+" is due but does not run although nothing else is in progress")
		}
	}
	if missed > maxMissedCallbacks && !sim.platform.receiversFail && now-sim.checker.lastCallback > idleTime {
		sim.checker.reportViolation(now, "LOST", fmt.Sprintf("%d call-backs are overdue", missed))
	}
}

// blockedByFailure reports whether this message, or an incomplete one of the same key, has failed before.
func (r *messageRecord) blockedByFailure(c *checker) bool {
	if r.failures > 0 {
		return true
	}
	for _, other := range c.recordsByKey[r.key] {
		if r.ordered && other != r && other.failures > 0 && !other.completed() {
			return true
		}
	}
	return false
}

// checkStopsReady checks that a carrier stops being ready within maxReadyAfterTerm after SIGTERM.
func (sim *simulation) checkStopsReady(m *machine) {
	host := sim.carriers[m.name]
	if host == nil || !host.alive {
		return
	}
	sim.world.after(maxReadyAfterTerm, func() {
		if host.alive && !host.machine.frozen && host.core.Ready() {
			sim.checker.reportViolation(sim.world.now, "DRAIN", m.name+" is still ready long after SIGTERM")
		}
	})
}
