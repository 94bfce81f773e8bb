package simulation

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
)

// kill ends the processes of a machine at once; they start again after a while.
func (sim *simulation) kill(m *machine, down time.Duration) {
	for len(m.processes) > 0 {
		m.processes[0].terminate()
	}
	sim.world.after(down, func() { sim.boot(m, false) })
}

// powerOff takes the power from a machine for a while. If wipe is set, its disks are lost too.
func (sim *simulation) powerOff(m *machine, down time.Duration, wipe bool) {
	m.poweredOff = true
	for len(m.processes) > 0 {
		m.processes[0].terminate()
	}
	for _, name := range sortedKeys(m.disks) {
		m.disks[name].losePower()
	}
	if wipe {
		m.disks = map[string]*simulatedDisk{}
		m.diskEmptySince = sim.world.now
		m.identities = [keeper.Groups]string{}
	}
	sim.world.after(down, func() {
		m.poweredOff = false
		sim.boot(m, false)
	})
}

// replace removes a machine permanently; after a while an empty one is added at another address.
func (sim *simulation) replace(m *machine, after time.Duration) {
	sim.remove(m)
	sim.world.after(after, func() { sim.addMachine(m.zone) })
}

// remove removes a machine permanently, with its disks.
func (sim *simulation) remove(m *machine) {
	sim.powerOff(m, time.Hour, true)
	m.removed = true
	sim.recordMachineList()
}

// addMachine adds an empty storage machine in a zone.
func (sim *simulation) addMachine(zone string) {
	added := sim.world.add(fmt.Sprintf("storage-%d", len(sim.world.names)+1), sim.nextIP(), zone)
	added.diskEmptySince = sim.world.now
	sim.recordMachineList()
	sim.boot(added, false)
}

func (sim *simulation) freeze(m *machine, length time.Duration) {
	m.frozen = true
	sim.world.after(length, func() {
		m.frozen = false
		for _, p := range append([]*process(nil), m.processes...) {
			p.resume()
		}
	})
}

// restartGracefully sends SIGTERM to the processes of a machine and starts them again after they have stopped.
func (sim *simulation) restartGracefully(m *machine) {
	sim.checkStopsReady(m)
	sim.stopGracefully(m, func() { sim.world.after(restartDelay, func() { sim.boot(m, false) }) })
}

// stopGracefully asks the processes of a machine to shut down, and ends those that have not done so within the grace
// period. Processes that start meanwhile are not affected.
func (sim *simulation) stopGracefully(m *machine, stopped func()) {
	stopping := slices.Clone(m.processes)
	for _, p := range stopping {
		if p.shutDown != nil {
			p.run(p.shutDown)
		} else {
			sim.world.after(20*time.Millisecond, p.terminate)
		}
	}
	stopBy := sim.world.now + grace
	var check func()
	check = func() {
		stopping = slices.DeleteFunc(stopping, func(p *process) bool { return !p.alive })
		if len(stopping) == 0 || sim.world.now >= stopBy {
			for _, p := range stopping {
				p.terminate()
			}
			stopped()
			return
		}
		sim.world.after(50*time.Millisecond, check)
	}
	sim.world.after(50*time.Millisecond, check)
}

// partition blocks the links between two sets of machines for a while.
func (sim *simulation) partition(from, to []*machine, oneWay bool, length time.Duration) {
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
		sim.world.blockedLinks[pair] = true
	}
	sim.world.after(length, func() {
		for _, pair := range pairs {
			delete(sim.world.blockedLinks, pair)
		}
	})
}

// retire asks the keepers to retire a machine. The machine is removed with its disks as soon as a keeper reports that
// it is drained.
func (sim *simulation) retire(name string) {
	again := func() { sim.world.after(operatorRetryDelay, func() { sim.retire(name) }) }
	if m := sim.world.machines[name]; m == nil || m.removed {
		return
	}
	start := func(host *keeperHost, answer func(err error)) { host.core.RetireMachine(host.Now(), name, answer) }
	sim.callKeeper(start, func(err error) {
		switch {
		case err == nil:
			sim.awaitRetirement(name)
		case !retirementRefused(err):
			again()
		}
	})
}

func (sim *simulation) awaitRetirement(name string) {
	retired := false
	get := func(host *keeperHost, answer func(err error)) {
		host.core.Retired(host.Now(), name, func(emptied bool, err error) {
			retired = emptied
			answer(err)
		})
	}
	sim.callKeeper(get, func(err error) {
		m := sim.world.machines[name]
		switch {
		case m.removed:
		case err == nil && retired:
			sim.removeRetired(m)
		case retirementRefused(err):
			sim.checker.reportViolation(sim.world.now, "LOST", "the retirement of "+name+" was acknowledged but is unknown")
		default:
			sim.world.after(operatorRetryDelay, func() { sim.awaitRetirement(name) })
		}
	})
}

// retirementRefused reports whether a keeper has refused to retire a machine.
func retirementRefused(err error) bool {
	var unknown *session.UnknownMachineError
	var tooFew *session.TooFewDisksError
	return errors.As(err, &unknown) || errors.As(err, &tooFew)
}

// removeRetired removes a machine that was drained, with its disks.
func (sim *simulation) removeRetired(m *machine) {
	if m.removed {
		return
	}
	sim.remove(m)
	sim.retiredMachines++
}

// replaceWorker replaces one worker of a service. The new worker starts first; then the old one drains and stops.
func (sim *simulation) replaceWorker(service string) {
	for _, id := range sim.platform.workerIDs() {
		old := sim.platform.workers[id]
		if old.service.name != service || old.draining || old.service.static != "" {
			continue
		}
		sim.platform.addWorker(service, old.zone)
		old.draining = true
		sim.world.after(3500*time.Millisecond, func() {
			old.stopped = true
			delete(sim.platform.workers, old.id)
		})
		return
	}
}

// affectedWorkers returns every other worker of a service, or its only endpoint. Faults of workers strike these.
func (sim *simulation) affectedWorkers(service string) []*worker {
	var found []*worker
	for i, id := range sim.platform.workerIDs() {
		if w := sim.platform.workers[id]; w.service.name == service && !w.stopped && (i%2 == 0 || w.service.static != "") {
			found = append(found, w)
		}
	}
	return found
}

// injectWorkerFault gives some workers of a service a fault for a while.
func (sim *simulation) injectWorkerFault(service string, fault workerFault, length time.Duration) {
	for _, w := range sim.affectedWorkers(service) {
		w.fault = fault
		sim.world.after(length, func() { w.fault = noFault })
	}
}

// slowWorkers makes some workers of a service slower by a factor for a while.
func (sim *simulation) slowWorkers(service string, times int, length time.Duration) {
	for _, w := range sim.affectedWorkers(service) {
		w.slowdown = times
		sim.world.after(length, func() { w.slowdown = 0 })
	}
}

// crashWorkers stops some workers of a service. After a while others start in their place; a single endpoint starts
// again at its own address.
func (sim *simulation) crashWorkers(service string, length time.Duration) {
	for _, w := range sim.affectedWorkers(service) {
		w.stopped = true
		sim.world.after(length, func() {
			if w.service.static == "" {
				delete(sim.platform.workers, w.id)
				sim.platform.addWorker(service, w.zone)
				return
			}
			w.stopped = false
		})
	}
}

// silenceWorkers makes all workers of a service unresponsive for a while.
func (sim *simulation) silenceWorkers(service string, length time.Duration) {
	for _, id := range sim.platform.workerIDs() {
		if w := sim.platform.workers[id]; w.service.name == service {
			w.silent = true
			sim.world.after(length, func() { w.silent = false })
		}
	}
}
