package simulation

import (
	"fmt"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/wire"
)

// finish lets everything be well, waits, and judges what was accepted.
func (d *day) finish() {
	d.world.runUntil(d.world.now + settleTime)
	d.judgeStates()
	d.judgeCopies()
	d.judgeCallbacks()
	d.judgeWhole()
	d.checker.judgeService()
	d.judgeWaiting()
	d.judgeConfiguration()
	if !d.history.linearizable() {
		d.checker.breakRule(d.world.now, "CONFIG", "no order of the operator's calls explains their answers")
	}
	for _, name := range sortedKeys(d.platform.services) {
		d.checker.ceiling(d.platform.services[name])
	}
}

func (d *day) judgeConfiguration() {
	answered := false
	for at := time.Duration(0); at < contact-operatorWait; at += operatorPause {
		d.world.after(at, func() {
			d.readOnce(func(raw []byte) {
				if raw != nil {
					answered = true
					d.readBack(raw)
				}
			})
		})
	}
	d.world.runUntil(d.world.now + contact)
	if !answered {
		d.checker.breakRule(d.world.now, "CONFIG", "the configuration can't be read back")
	}
}

func (d *day) judgeStates() {
	for _, r := range d.checker.accepted() {
		d.judgeState(r)
	}
	d.world.runUntil(d.world.now + 4*time.Second)
}

func (d *day) judgeState(r *record) {
	host := d.anyCarrier()
	if host == nil {
		d.checker.breakRule(d.world.now, "LOST", "no carrier is there at the end")
		return
	}
	host.core.Find(r.id, false, func(state carrier.State) {
		now := d.world.now
		switch {
		case !state.Known:
			d.checker.breakRule(now, "LOST", r.id+" was accepted and is not known")
		case state.Phase == message.Succeeded && !r.stamps[state.Stamp]:
			d.checker.breakRule(now, "MIXED", r.id+" is told as succeeded with a stamp of no run")
		case state.Phase == message.DeadLetter && !r.ended() && d.checker.routeDropped(r):
		case state.Phase == message.DeadLetter && !r.ended() && d.checker.expired(now, r):
			d.expired++
		case state.Phase == message.DeadLetter && !r.ended():
			d.checker.breakRule(now, "LOST", r.id+" is told as dead and has not ended")
		case state.Phase == message.Pending && !r.ended():
			d.judgeBody(host, r)
		}
	})
}

func (d *day) judgeBody(host *carrierHost, r *record) {
	host.core.Find(r.id, true, func(state carrier.State) {
		if string(state.Body) != "body of "+r.id {
			d.checker.breakRule(d.world.now, "LOST", r.id+" has not ended and its bytes don't come back")
		}
	})
}

func (d *day) anyCarrier() *carrierHost {
	for _, name := range sortedKeys(d.carriers) {
		if host := d.carriers[name]; host.alive && !host.machine.frozen {
			return host
		}
	}
	return nil
}

// pendingAtEnd counts what has been accepted and has not ended.
func (d *day) pendingAtEnd() int {
	count := 0
	for _, r := range d.checker.accepted() {
		if !r.ended() {
			count++
		}
	}
	return count
}

// spread is by how many units more of ordering keys one carrier owns than another, as the keepers have it.
func (d *day) spread() int {
	host := d.sessionLeader()
	if host == nil {
		return ownership.KeyBuckets
	}
	owned := map[string]int{}
	for _, carrierHost := range d.carriers {
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

// judgeCopies sees that what was accepted lies on as many disks as outlive every tolerated loss, now that all is well.
func (d *day) judgeCopies() {
	zonesOf := map[string][]string{}
	for _, name := range sortedKeys(d.stores) {
		host := d.stores[name]
		disk, known := host.session.View().Disks[host.core.Disk()]
		if !host.alive || !known || !disk.Counted || disk.Leaving {
			continue
		}
		for body, more := (wire.HeldBody{}), true; more; {
			held := host.core.Held(body)
			for _, id := range held.IDs {
				zonesOf[id] = append(zonesOf[id], host.machine.zone)
			}
			body.After, more = held.Next, held.More
		}
	}
	for _, r := range d.checker.accepted() {
		if zones := zonesOf[r.id]; !d.tolerance.Enough(zones) {
			d.checker.breakRule(d.world.now, "COPIES", fmt.Sprintf("%s lies on %d disks at the end", r.id, len(zones)))
		}
	}
}
