package simulation

import (
	"fmt"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/wire"
)

// runChecks waits until the system has settled without faults, and then runs the final checks.
func (sim *simulation) runChecks() {
	sim.world.runUntil(sim.world.now + settleTime)
	sim.checkFinalStates()
	sim.checkReplicas()
	sim.checkCallbacks()
	sim.checkGroupsAtEnd()
	sim.checker.checkAvailability()
	sim.checkStuckMessages()
	sim.checkWaitingMessages()
	sim.checkFinalConfiguration()
	if !sim.history.linearizable() {
		sim.checker.reportViolation(sim.world.now, "CONFIG", "the operator's calls and their answers are not linearizable")
	}
	for _, name := range sortedKeys(sim.platform.services) {
		sim.checker.checkCeiling(sim.platform.services[name])
	}
}

// checkFinalConfiguration checks that the configuration can be read back within contactTime.
func (sim *simulation) checkFinalConfiguration() {
	answered := false
	for at := time.Duration(0); at < contactTime-operatorTimeout; at += operatorRetryDelay {
		sim.world.after(at, func() {
			sim.readOnce(func(raw []byte) {
				if raw != nil {
					answered = true
					sim.checkRead(raw)
				}
			})
		})
	}
	sim.world.runUntil(sim.world.now + contactTime)
	if !answered {
		sim.checker.reportViolation(sim.world.now, "CONFIG", "the configuration can't be read at the end")
	}
}

func (sim *simulation) checkFinalStates() {
	for _, r := range sim.checker.accepted() {
		sim.checkFinalState(r)
	}
	sim.world.runUntil(sim.world.now + 4*time.Second)
}

// checkFinalState checks the state that a carrier returns for an accepted message at the end.
func (sim *simulation) checkFinalState(r *messageRecord) {
	host := sim.anyCarrier()
	if host == nil {
		sim.checker.reportViolation(sim.world.now, "LOST", "no carrier runs at the end")
		return
	}
	host.core.QueryState(r.id, false, func(state carrier.State) {
		now := sim.world.now
		switch {
		case !state.Known:
			sim.checker.reportViolation(now, "LOST", r.id+" was accepted but is unknown")
		case state.Phase == message.Succeeded && !r.stamps[state.Stamp]:
			sim.checker.reportViolation(now, "MIXED", r.id+" is reported as succeeded with a stamp that no run returned")
		case state.Phase == message.DeadLetter && !r.completed() && sim.checker.routeDropped(r):
		case state.Phase == message.DeadLetter && !r.completed() && sim.checker.retentionPassed(now, r):
			sim.expiredMessages++
		case state.Phase == message.DeadLetter && !r.completed():
			sim.checker.reportViolation(now, "LOST", r.id+" is reported as a dead letter but has not completed")
		case state.Phase == message.Pending && !r.completed():
			sim.checkBody(host, r)
		}
	})
}

func (sim *simulation) checkBody(host *carrierHost, r *messageRecord) {
	host.core.QueryState(r.id, true, func(state carrier.State) {
		if string(state.Body) != "body of "+r.id {
			sim.checker.reportViolation(sim.world.now, "LOST", r.id+" has not completed and its body can't be read back")
		}
	})
}

func (sim *simulation) anyCarrier() *carrierHost {
	for _, name := range sortedKeys(sim.carriers) {
		if host := sim.carriers[name]; host.alive && !host.machine.frozen {
			return host
		}
	}
	return nil
}

// pendingCount returns the number of accepted messages that have not completed.
func (sim *simulation) pendingCount() int {
	count := 0
	for _, r := range sim.checker.accepted() {
		if !r.completed() {
			count++
		}
	}
	return count
}

// ownershipSpread returns the largest difference between carriers in the number of ordering-key units that they own,
// according to the leader of the session group.
func (sim *simulation) ownershipSpread() int {
	host := sim.sessionLeader()
	if host == nil {
		return ownership.KeyBuckets
	}
	owned := map[string]int{}
	for _, carrierHost := range sim.carriers {
		if carrierHost.alive {
			owned[carrierHost.core.Incarnation()] = 0
		}
	}
	for _, unit := range ownership.KeyUnits() {
		owned[host.core.Owner(unit).Incarnation]++
	}
	least, most := ownership.KeyBuckets, 0
	for _, count := range owned {
		least, most = min(least, count), max(most, count)
	}
	return most - least
}

// checkReplicas checks at the end, without faults, that each accepted message is on enough disks to survive every
// tolerated loss.
func (sim *simulation) checkReplicas() {
	zonesOf := map[string][]string{}
	for _, name := range sortedKeys(sim.stores) {
		host := sim.stores[name]
		disk, known := host.session.View().Disks[host.core.DiskID()]
		if !host.alive || !known || !disk.Counted || disk.Leaving {
			continue
		}
		for body, more := (wire.HeldBody{}), true; more; {
			held := host.core.ListHeld(body)
			for _, id := range held.IDs {
				zonesOf[id] = append(zonesOf[id], host.machine.zone)
			}
			body.After, more = held.Next, held.More
		}
	}
	for _, r := range sim.checker.accepted() {
		if zones := zonesOf[r.id]; !sim.tolerance.SufficientReplicas(zones) {
			sim.checker.reportViolation(sim.world.now, "COPIES", fmt.Sprintf("%s is on %d disks at the end, too few to survive every tolerated loss", r.id, len(zones)))
		}
	}
}
