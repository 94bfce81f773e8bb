package simulation

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
)

// kill ends a machine's processes; they start again after a while.
func (d *day) kill(m *machine, down time.Duration) {
	for len(m.processes) > 0 {
		m.processes[0].end()
	}
	d.world.after(down, func() { d.boot(m, false) })
}

// powerOff takes a machine's power away for a while.
func (d *day) powerOff(m *machine, down time.Duration, wipe bool) {
	m.dark = true
	for len(m.processes) > 0 {
		m.processes[0].end()
	}
	for _, name := range sortedKeys(m.disks) {
		m.disks[name].losePower()
	}
	if wipe {
		m.disks = map[string]*simulatedDisk{}
		m.diskSince = d.world.now
		m.identities = [keeper.Groups]string{}
	}
	d.world.after(down, func() {
		m.dark = false
		d.boot(m, false)
	})
}

// replace takes a machine away for good; an empty one comes at another address.
func (d *day) replace(m *machine, after time.Duration) {
	d.remove(m)
	d.world.after(after, func() { d.addMachine(m.zone) })
}

// remove takes a machine away for good, with its disk.
func (d *day) remove(m *machine) {
	d.powerOff(m, time.Hour, true)
	m.removed = true
	d.see()
}

// addMachine adds an empty storage machine in a zone.
func (d *day) addMachine(zone string) {
	added := d.world.add(fmt.Sprintf("storage-%d", len(d.world.names)+1), d.nextIP(), zone)
	added.diskSince = d.world.now
	d.see()
	d.boot(added, false)
}

func (d *day) freeze(m *machine, length time.Duration) {
	m.frozen = true
	d.world.after(length, func() {
		m.frozen = false
		for _, p := range append([]*process(nil), m.processes...) {
			p.thaw()
		}
	})
}

// term stops a machine's processes in order; they start again.
func (d *day) term(m *machine) {
	d.watchDrain(m)
	d.stop(m, func() { d.world.after(restartPause, func() { d.boot(m, false) }) })
}

// stop asks a machine's processes to stop, and ends those of them that have not within the grace. Others that start meanwhile were not asked, and go on.
func (d *day) stop(m *machine, stopped func()) {
	stopping := slices.Clone(m.processes)
	for _, p := range stopping {
		if p.stop != nil {
			p.run(p.stop)
		} else {
			d.world.after(20*time.Millisecond, p.end)
		}
	}
	stopBy := d.world.now + grace
	var look func()
	look = func() {
		stopping = slices.DeleteFunc(stopping, func(p *process) bool { return !p.alive })
		if len(stopping) == 0 || d.world.now >= stopBy {
			for _, p := range stopping {
				p.end()
			}
			stopped()
			return
		}
		d.world.after(50*time.Millisecond, look)
	}
	d.world.after(50*time.Millisecond, look)
}

// cut closes the ways between machines for a while.
func (d *day) cut(from, to []*machine, oneWay bool, length time.Duration) {
	var pairs [][2]string
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			pairs = append(pairs, [2]string{a.name, b.name})
			if !oneWay {
				pairs = append(pairs, [2]string{b.name, a.name})
			}
		}
	}
	for _, pair := range pairs {
		d.world.cuts[pair] = true
	}
	d.world.after(length, func() {
		for _, pair := range pairs {
			delete(d.world.cuts, pair)
		}
	})
}

// retire has a machine emptied; it is removed with its disk as soon as it is told as empty.
func (d *day) retire(name string) {
	again := func() { d.world.after(operatorPause, func() { d.retire(name) }) }
	if m := d.world.machines[name]; m == nil || m.removed {
		return
	}
	start := func(host *keeperHost, answer func(err error)) { host.core.RetireMachine(host.Now(), name, answer) }
	d.call(start, func(err error) {
		switch {
		case err == nil:
			d.awaitRetirement(name)
		case !retirementRefused(err):
			again()
		}
	})
}

func (d *day) awaitRetirement(name string) {
	retired := false
	get := func(host *keeperHost, answer func(err error)) {
		host.core.Retired(host.Now(), name, func(emptied bool, err error) {
			retired = emptied
			answer(err)
		})
	}
	d.call(get, func(err error) {
		m := d.world.machines[name]
		switch {
		case m.removed:
		case err == nil && retired:
			d.takeAway(m)
		case retirementRefused(err):
			d.checker.breakRule(d.world.now, "LOST", "the emptying of "+name+" was acknowledged, and is not known")
		default:
			d.world.after(operatorPause, func() { d.awaitRetirement(name) })
		}
	})
}

// retirementRefused tells whether a keeper has refused to empty a machine.
func retirementRefused(err error) bool {
	var unknown *session.UnknownMachineError
	var tooFew *session.TooFewError
	return errors.As(err, &unknown) || errors.As(err, &tooFew)
}

// takeAway removes a machine that was emptied, with its disk.
func (d *day) takeAway(m *machine) {
	if m.removed {
		return
	}
	d.remove(m)
	d.retired++
}

// release replaces a worker of a service: the new one first, then the old one drains and ends.
func (d *day) release(service string) {
	for _, id := range d.platform.names() {
		old := d.platform.workers[id]
		if old.service.name != service || old.draining || old.service.static != "" {
			continue
		}
		d.platform.addWorker(service, old.zone)
		old.draining = true
		d.world.after(3500*time.Millisecond, func() {
			old.gone = true
			delete(d.platform.workers, old.id)
		})
		return
	}
}

// affected gives a part of a service's workers, or its only one.
func (d *day) affected(service string) []*worker {
	var found []*worker
	for i, id := range d.platform.names() {
		if w := d.platform.workers[id]; w.service.name == service && !w.gone && (i%2 == 0 || w.service.static != "") {
			found = append(found, w)
		}
	}
	return found
}

// sicken has a part of a service's workers do something wrong for a while.
func (d *day) sicken(service string, fault workerFault, length time.Duration) {
	for _, w := range d.affected(service) {
		w.fault = fault
		d.world.after(length, func() { w.fault = noFault })
	}
}

// slow has a part of a service's workers take longer for a while.
func (d *day) slow(service string, times int, length time.Duration) {
	for _, w := range d.affected(service) {
		w.slow = times
		d.world.after(length, func() { w.slow = 0 })
	}
}

// crash ends a part of a service's workers; others start in their places after a while, a single endpoint at its own.
func (d *day) crash(service string, length time.Duration) {
	for _, w := range d.affected(service) {
		w.gone = true
		d.world.after(length, func() {
			if w.service.static == "" {
				delete(d.platform.workers, w.id)
				d.platform.addWorker(service, w.zone)
				return
			}
			w.gone = false
		})
	}
}

// dark silences a service's workers for a while.
func (d *day) darken(service string, length time.Duration) {
	for _, id := range d.platform.names() {
		if w := d.platform.workers[id]; w.service.name == service {
			w.dark = true
			d.world.after(length, func() { w.dark = false })
		}
	}
}
