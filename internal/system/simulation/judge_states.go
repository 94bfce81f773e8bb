package simulation

import (
	"fmt"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/role/carrier"
)

// Times of asking for states, and of the rules about them.
const (
	askInterval    = 450 * time.Millisecond
	knownAfter     = 2 * time.Second  // after it was accepted, a message is known everywhere
	stuckAfter     = 6 * time.Second  // that no worker has had a message whose time has come
	silentAfter    = 3 * time.Second  // that no other message has succeeded, and no call-back has come
	doneLongBefore = 10 * time.Second // of messages whose call-backs are missed
	missedMost     = 2                // call-backs
	drainMost      = 4 * time.Second  // after SIGTERM a machine is not ready any more
)

// askStates asks, all day, some carrier for the state of some message, and of one that nobody sent.
func (d *day) askStates() {
	d.world.after(askInterval, d.askStates)
	host := d.anyCarrierByLot()
	if host == nil {
		return
	}
	host.run(func() {
		host.core.Find("nobody-sent-this", false, func(state carrier.State) {
			if state.Known {
				d.checker.breakRule(d.world.now, "MIXED", "a state is shown for a message that nobody sent")
			}
		})
	})
	accepted := d.checker.accepted()
	if len(accepted) == 0 {
		return
	}
	r := accepted[d.world.random.IntN(len(accepted))]
	asked := d.world.now
	host.run(func() {
		host.core.Find(r.id, false, func(state carrier.State) { d.stateTold(host, r, asked, state) })
	})
}

// stateTold judges a state that was told during the day.
func (d *day) stateTold(host *carrierHost, r *record, asked time.Duration, state carrier.State) {
	now := d.world.now
	switch {
	case state.Unclear:
	case !state.Known && asked > r.answered+knownAfter && d.checker.calm(now):
		d.checker.breakRule(now, "LOST", fmt.Sprintf("%s was accepted and is not known at %s", r.id, host.machine.name))
	case !state.Known:
	case state.Phase == message.Succeeded && !r.stamps[state.Stamp]:
		d.checker.breakRule(now, "MIXED", r.id+" is told as succeeded with a stamp of no run")
	case state.Phase == message.DeadLetter && !r.ended() && !d.checker.expired(now, r) && !d.checker.routeDropped(r):
		d.checker.breakRule(now, "MIXED", r.id+" is told as dead and has not ended")
	}
}

func (d *day) anyCarrierByLot() *carrierHost {
	var live []*carrierHost
	for _, name := range sortedKeys(d.carriers) {
		if host := d.carriers[name]; host.alive && !host.machine.frozen && !host.machine.dark {
			live = append(live, host)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[d.world.random.IntN(len(live))]
}

// judgeWaiting sees, at the end, that nothing waits that could run, and that no call-backs are missed.
func (d *day) judgeWaiting() {
	now := d.world.now
	if !d.checker.calm(now - stuckAfter) {
		return
	}
	latest, missed := time.Duration(0), 0
	for _, r := range d.checker.records {
		latest = max(latest, r.endedAt)
	}
	for _, r := range d.checker.accepted() {
		if r.callback && r.ended() && r.calledBack == 0 && now-r.endedAt > doneLongBefore {
			missed++
		}
		if r.ended() || d.checker.routeDropped(r) || now < r.sent+r.delay+stuckAfter || now-latest < silentAfter || r.waitsFor(d.checker) {
			continue
		}
		if last := len(r.runs) - 1; last < 0 || now-r.runs[last].at > stuckAfter {
			d.checker.breakRule(now, "LOST", r.id+" waits though its time has come and nothing else runs")
		}
	}
	if missed > missedMost && !d.platform.deaf && now-d.checker.lastCallback > silentAfter {
		d.checker.breakRule(now, "LOST", fmt.Sprintf("%d call-backs have not come", missed))
	}
}

// waitsFor tells whether a message of the same key that has failed is ahead of this one.
func (r *record) waitsFor(c *checker) bool {
	if r.failures > 0 {
		return true
	}
	for _, other := range c.keys[r.key] {
		if r.key != "" && other != r && other.failures > 0 && !other.ended() {
			return true
		}
	}
	return false
}

// watchDrain sees that a carrier that is asked to stop does not go on being ready.
func (d *day) watchDrain(m *machine) {
	host := d.carriers[m.name]
	if host == nil || !host.alive {
		return
	}
	d.world.after(drainMost, func() {
		if host.alive && !host.machine.frozen && host.core.Ready() {
			d.checker.breakRule(d.world.now, "DRAIN", m.name+" still counts as ready after SIGTERM")
		}
	})
}
