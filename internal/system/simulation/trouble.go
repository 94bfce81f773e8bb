package simulation

import (
	"fmt"
	"time"
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
	}
	d.world.after(down, func() {
		m.dark = false
		d.boot(m, false)
	})
}

// replace takes a machine away for good; an empty one comes at another address.
func (d *day) replace(m *machine, after time.Duration) {
	d.powerOff(m, time.Hour, true)
	m.removed = true
	d.world.after(after, func() {
		d.boot(d.world.add(fmt.Sprintf("storage-%d", len(d.world.names)+1), d.nextIP(), m.zone), false)
	})
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
	for _, p := range append([]*process(nil), m.processes...) {
		if p.stop != nil {
			p.run(p.stop)
		} else {
			d.world.after(20*time.Millisecond, p.end)
		}
	}
	var restart func()
	stopBy := d.world.now + grace
	restart = func() {
		if len(m.processes) == 0 || d.world.now >= stopBy {
			d.kill(m, restartPause)
			return
		}
		d.world.after(50*time.Millisecond, restart)
	}
	d.world.after(50*time.Millisecond, restart)
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
	host := d.sessionLeader()
	if host == nil {
		again()
		return
	}
	host.core.RetireMachine(host.Now(), name, func(err error) {
		if err != nil {
			again()
			return
		}
		host.core.Retired(host.Now(), name, func(retired bool, err error) {
			if err != nil || !retired {
				again()
				return
			}
			d.takeAway(d.world.machines[name])
		})
	})
	host.goOn()
}

// takeAway removes a machine that was emptied, with its disk.
func (d *day) takeAway(m *machine) {
	if m.removed {
		return
	}
	d.powerOff(m, time.Hour, true)
	m.removed = true
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
