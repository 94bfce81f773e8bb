package simulation

import (
	"slices"
	"strings"
	"time"

	"granitewing/internal/system/role/keeper"
)

// storageMachines returns the storage machines that have not been removed.
func (sim *simulation) storageMachines() []*machine {
	var found []*machine
	for _, name := range sim.world.names {
		if m := sim.world.machines[name]; strings.HasPrefix(name, storagePrefix) && !m.removed {
			found = append(found, m)
		}
	}
	return found
}

// machineWithOldestDisk returns the storage machine whose disk has gone longest without being emptied.
func (sim *simulation) machineWithOldestDisk() []*machine {
	machines := sim.storageMachines()
	if len(machines) == 0 {
		return nil
	}
	return []*machine{slices.MinFunc(machines, func(a, b *machine) int { return int(a.diskEmptySince - b.diskEmptySince) })}
}

// groupLeader returns the machine that leads a group, or the first storage machine if none leads.
func (sim *simulation) groupLeader(group int) []*machine {
	machines := sim.storageMachines()
	for _, m := range machines {
		host := sim.keepers[m.name]
		if host == nil || !host.alive {
			continue
		}
		if _, self := host.core.Leader(group); self {
			return []*machine{m}
		}
	}
	return machines[:min(1, len(machines))]
}

// excluding returns the machines that are not in without.
func excluding(machines []*machine, without ...*machine) []*machine {
	return slices.DeleteFunc(slices.Clone(machines), func(m *machine) bool { return slices.Contains(without, m) })
}

// partitionStorage separates the storage machines into two random halves. All other machines reach both.
func (sim *simulation) partitionStorage(length time.Duration) {
	machines := sim.storageMachines()
	sim.world.random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	half := len(machines) / 2
	sim.partition(machines[:half], machines[half:], false, length)
}

// isolateThenLoseOthers isolates a machine, so that it misses configuration changes. When the partition heals, one of
// the other storage machines loses its disk and the rest lose their power, so that for a while the machine that lags
// behind is alone.
func (sim *simulation) isolateThenLoseOthers(args *eventArguments) {
	isolated := sim.machinesNamed(args.name)
	others := excluding(sim.storageMachines(), isolated...)
	sim.partition(isolated, others, false, args.duration)
	sim.changeRepeatedly(args.duration)
	sim.world.after(args.duration, func() {
		for i, m := range others {
			sim.powerOff(m, powerOffAfterPartition, i == 0)
		}
		sim.checker.addDisruption(sim.world.now, powerOffAfterPartition)
	})
}

// Timing of the composed faults.
const (
	powerOffAfterPartition = 700 * time.Millisecond
	changeInterval         = 400 * time.Millisecond
	restartAfterReseed     = time.Second     // after new seeds are read, until a machine restarts
	joinTime               = 6 * time.Second // that a new machine has before the one that it replaces is stopped
)

// changeRepeatedly changes the configuration every changeInterval for a while.
func (sim *simulation) changeRepeatedly(length time.Duration) {
	for at := changeInterval; at < length; at += changeInterval {
		sim.world.after(at, func() { sim.sendNewConfiguration(1) })
	}
}

// killOthersAfterPartition isolates a machine from the other storage machines while the configuration changes. Just
// after the partition heals, the processes of the other machines are killed.
func (sim *simulation) killOthersAfterPartition(args *eventArguments) {
	isolated := sim.machinesNamed(args.name)
	others := excluding(sim.storageMachines(), isolated...)
	sim.partition(isolated, others, false, args.duration)
	sim.changeRepeatedly(args.duration)
	sim.world.after(args.duration+20*time.Millisecond, func() {
		sim.checker.addDisruption(sim.world.now, restartDelay)
		for _, m := range others {
			sim.kill(m, restartDelay)
		}
	})
}

// seedWithUnreachable isolates a machine from all others, makes new seed lists name it first, and restarts edge-1.
func (sim *simulation) seedWithUnreachable(args *eventArguments) {
	isolated := sim.machinesNamed(args.name)
	sim.partition(isolated, excluding(sim.machinesNamed("all"), isolated...), false, args.duration)
	for _, m := range isolated {
		sim.firstSeed = m.name
	}
	sim.reloadSeeds()
	sim.world.after(restartAfterReseed, func() {
		for _, m := range sim.machinesNamed("edge-1") {
			sim.kill(m, restartDelay)
		}
	})
	sim.world.after(args.duration, func() { sim.firstSeed = "" })
}

// restartBothSides isolates a machine from the other storage machines and restarts it, and later restarts the others.
func (sim *simulation) restartBothSides(args *eventArguments) {
	isolated := sim.machinesNamed(args.name)
	others := excluding(sim.storageMachines(), isolated...)
	sim.partition(isolated, others, false, args.duration)
	sim.world.after(args.duration/3, func() {
		for _, m := range isolated {
			sim.kill(m, restartDelay)
		}
	})
	sim.world.after(2*args.duration/3, func() {
		sim.checker.addDisruption(sim.world.now, restartDelay)
		for _, m := range others {
			sim.kill(m, restartDelay)
		}
	})
}

// seedWithPartitioned isolates a machine from the other storage machines while workers are replaced, and makes new
// seed lists name it first.
func (sim *simulation) seedWithPartitioned(args *eventArguments) {
	isolated := sim.machinesNamed(args.name)
	sim.partition(isolated, excluding(sim.storageMachines(), isolated...), false, args.duration)
	for _, m := range isolated {
		sim.firstSeed = m.name
	}
	sim.reloadSeeds()
	sim.replaceWorker(archive)
	sim.replaceWorker(alert)
	sim.world.after(args.duration, func() {
		sim.firstSeed = ""
		sim.sendNewConfiguration(1)
	})
}

// retireThenLoseAnother asks for a machine to be retired, and makes another one lose its disk right after.
func (sim *simulation) retireThenLoseAnother(args *eventArguments) {
	retiring := sim.machinesNamed(args.name)
	if len(retiring) == 0 {
		return
	}
	sim.retire(retiring[0].name)
	others := excluding(sim.storageMachines(), retiring...)
	victim := others[sim.world.random.IntN(len(others))]
	sim.world.after(time.Duration(5+sim.world.random.IntN(400))*time.Millisecond, func() {
		sim.checker.addDisruption(sim.world.now, args.duration)
		sim.powerOff(victim, args.duration, true)
	})
}

// replacePlanned replaces a machine as a planned operation. The new one is added first; then the old one is shut down
// and removed.
func (sim *simulation) replacePlanned(args *eventArguments) {
	machines := sim.machinesNamed(args.name)
	if len(machines) == 0 {
		return
	}
	old := machines[0]
	sim.addMachine(old.zone)
	sim.world.after(joinTime, func() {
		sim.stopGracefully(old, func() {
			sim.checker.addDisruption(sim.world.now, 0)
			sim.remove(old)
		})
	})
}

// resetConnections breaks all connections from and to the processes of a machine.
func (sim *simulation) resetConnections(m *machine) {
	for _, name := range sim.world.names {
		for _, p := range sim.world.machines[name].processes {
			for _, address := range sortedKeys(p.connections) {
				c := p.connections[address]
				if c.peer != nil && (c.peer.machine == m || p.machine == m) {
					p.run(func() { p.breakConnection(address, c) })
				}
			}
		}
	}
}

// keeperOn returns the keeper on a machine, or nil if it has no running one.
func (sim *simulation) keeperOn(name string) *keeperHost {
	host := sim.keepers[name]
	if host == nil || !host.alive || host.machine.poweredOff {
		return nil
	}
	return host
}

var groupNames = [keeper.Groups]string{"configuration", "sessions", "owners-0", "owners-1"}
