package simulation

import (
	"fmt"
	"time"
)

// maxDueLag is how much later than its true due time a carrier may take a waiting message to be due, besides the time
// in which a loss of all carriers may leave no process that knows its age.
const maxDueLag = time.Second

// measureUnknownAges adds to unknownAges the time from a loss of all carriers until no unplanned disruption is in
// progress: the stores that hold a message may be away meanwhile, and do not know for how long. It is called every
// checkInterval.
func (sim *simulation) measureUnknownAges() {
	anyCarrier := false
	for _, host := range sim.carriers {
		anyCarrier = anyCarrier || host.alive
	}
	if !anyCarrier {
		sim.carriersLost = true
	}
	if sim.carriersLost {
		sim.unknownAges += checkInterval
	}
	if anyCarrier && !sim.checker.inDisruption(sim.world.now) {
		sim.carriersLost = false
	}
}

// checkWaitingMessages checks at the end that each accepted message that has not completed waits at exactly one live
// carrier, which knows when it is due. It checks nothing shortly after an unplanned fault.
func (sim *simulation) checkWaitingMessages() {
	now := sim.world.now
	if !sim.checker.undisturbed(now - stuckTime) {
		return
	}
	waitingAt := map[string][]time.Duration{} // by message ID: due times at the carriers that have it
	for _, name := range sortedKeys(sim.carriers) {
		host := sim.carriers[name]
		if !host.alive {
			continue
		}
		for id, untilDue := range host.core.Waiting() {
			waitingAt[id] = append(waitingAt[id], now+untilDue)
		}
	}
	for _, r := range sim.checker.accepted() {
		if r.completed() || sim.checker.routeDropped(r) || sim.checker.retentionPassed(now, r) {
			continue
		}
		sim.checkWaitingMessage(r, waitingAt[r.id])
	}
}

// checkWaitingMessage checks one message that has not completed. due holds its due times at the carriers that have it.
func (sim *simulation) checkWaitingMessage(r *messageRecord, due []time.Duration) {
	now := sim.world.now
	if len(due) != 1 {
		sim.checker.reportViolation(now, "LOST", fmt.Sprintf("%s has not completed and waits at %d carriers", r.id, len(due)))
		return
	}
	if lag := due[0] - (r.sentAt + r.delay); lag > maxDueLag+sim.unknownAges {
		sim.checker.reportViolation(now, "LOST", fmt.Sprintf("%s waits %s longer than its delay", r.id, lag))
	}
}
