package simulation

import (
	"slices"
	"strings"
	"time"

	"granitewing/internal/system/role/keeper"
)

// storageMachines gives the storage machines that are there.
func (d *day) storageMachines() []*machine {
	var found []*machine
	for _, name := range d.world.names {
		if m := d.world.machines[name]; strings.HasPrefix(name, storagePrefix) && !m.removed {
			found = append(found, m)
		}
	}
	return found
}

// oldest is the storage machine whose disk has lasted longest.
func (d *day) oldest() []*machine {
	machines := d.storageMachines()
	if len(machines) == 0 {
		return nil
	}
	return []*machine{slices.MinFunc(machines, func(a, b *machine) int { return int(a.diskSince - b.diskSince) })}
}

// leads is the machine that leads a group, or the first one where nobody does.
func (d *day) leads(group int) []*machine {
	machines := d.storageMachines()
	for _, m := range machines {
		host := d.keepers[m.name]
		if host == nil || !host.alive {
			continue
		}
		if _, self := host.core.Leader(group); self {
			return []*machine{m}
		}
	}
	return machines[:min(1, len(machines))]
}

func others(machines []*machine, without ...*machine) []*machine {
	return slices.DeleteFunc(slices.Clone(machines), func(m *machine) bool { return slices.Contains(without, m) })
}

// split cuts the storage machines into two halves; all other machines reach both.
func (d *day) split(length time.Duration) {
	machines := d.storageMachines()
	d.world.random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	half := len(machines) / 2
	d.cut(machines[:half], machines[half:], false, length)
}

// leaveBehind has a machine miss changes while it is cut off; then one of the others loses its disk and the rest lose their
// power, and when the cut heals the one that is behind is alone for a while.
func (d *day) leaveBehind(h *happening) {
	behind := d.named(h.name)
	rest := others(d.storageMachines(), behind...)
	d.cut(behind, rest, false, h.lasts)
	d.changes(h.lasts)
	d.world.after(h.lasts, func() {
		for i, m := range rest {
			d.powerOff(m, darkAfterCut, i == 0)
		}
		d.checker.unplanned(d.world.now, darkAfterCut)
	})
}

// Times of composed troubles.
const (
	darkAfterCut   = 700 * time.Millisecond
	changeInterval = 400 * time.Millisecond
	planDelay      = time.Second     // of the second step of planned work
	newcomerTime   = 6 * time.Second // that a new machine has before the one that it replaces is stopped
)

// changes has the configuration changed again and again for a while.
func (d *day) changes(length time.Duration) {
	for at := changeInterval; at < length; at += changeInterval {
		d.world.after(at, func() { d.configure(1) })
	}
}

// relieve cuts a machine off while changes are made; just after the cut has healed the processes of the others are killed.
func (d *day) relieve(h *happening) {
	away := d.named(h.name)
	rest := others(d.storageMachines(), away...)
	d.cut(away, rest, false, h.lasts)
	d.changes(h.lasts)
	d.world.after(h.lasts+20*time.Millisecond, func() {
		d.checker.unplanned(d.world.now, restartPause)
		for _, m := range rest {
			d.kill(m, restartPause)
		}
	})
}

// misseed cuts a machine off, has new settings name it first, and restarts some of the others.
func (d *day) misseed(h *happening) {
	away := d.named(h.name)
	d.cut(away, others(d.named("all"), away...), false, h.lasts)
	for _, m := range away {
		d.firstSeed = m.name
	}
	d.turnOverSeeds()
	d.world.after(planDelay, func() {
		for _, m := range d.named("edge-1") {
			d.kill(m, restartPause)
		}
	})
	d.world.after(h.lasts, func() { d.firstSeed = "" })
}

// restartBoth cuts a machine off, restarts it, and then the others that have a disk.
func (d *day) restartBoth(h *happening) {
	away := d.named(h.name)
	rest := others(d.storageMachines(), away...)
	d.cut(away, rest, false, h.lasts)
	d.world.after(h.lasts/3, func() {
		for _, m := range away {
			d.kill(m, restartPause)
		}
	})
	d.world.after(2*h.lasts/3, func() {
		d.checker.unplanned(d.world.now, restartPause)
		for _, m := range rest {
			d.kill(m, restartPause)
		}
	})
}

// lure cuts a machine off from the other storage machines while workers leave, and has it be the first seed.
func (d *day) lure(h *happening) {
	away := d.named(h.name)
	d.cut(away, others(d.storageMachines(), away...), false, h.lasts)
	for _, m := range away {
		d.firstSeed = m.name
	}
	d.turnOverSeeds()
	d.release(archive)
	d.release(alert)
	d.world.after(h.lasts, func() {
		d.firstSeed = ""
		d.configure(1)
	})
}

// evict has a machine emptied, and another lose its disk right after.
func (d *day) evict(h *happening) {
	leaving := d.named(h.name)
	if len(leaving) == 0 {
		return
	}
	d.retire(leaving[0].name)
	rest := others(d.storageMachines(), leaving...)
	victim := rest[d.world.random.IntN(len(rest))]
	d.world.after(time.Duration(5+d.world.random.IntN(400))*time.Millisecond, func() {
		d.checker.unplanned(d.world.now, h.lasts)
		d.powerOff(victim, h.lasts, true)
	})
}

// renew replaces a machine as planned: the new one first, then the old one is stopped and taken away.
func (d *day) renew(h *happening) {
	machines := d.named(h.name)
	if len(machines) == 0 {
		return
	}
	old := machines[0]
	d.addMachine(old.zone)
	d.world.after(newcomerTime, func() {
		d.stop(old, func() {
			d.checker.unplanned(d.world.now, 0)
			d.remove(old)
		})
	})
}

// resetConnections breaks all connections of a machine's processes, at both ends.
func (d *day) resetConnections(m *machine) {
	for _, name := range d.world.names {
		for _, p := range d.world.machines[name].processes {
			for _, address := range sortedKeys(p.links) {
				c := p.links[address]
				if c.peer != nil && (c.peer.machine == m || p.machine == m) {
					p.run(func() { p.breakLink(address, c) })
				}
			}
		}
	}
}

// keeperOn is the keeper of a machine, nil where none is alive.
func (d *day) keeperOn(name string) *keeperHost {
	host := d.keepers[name]
	if host == nil || !host.alive || host.machine.dark {
		return nil
	}
	return host
}

var groupNames = [keeper.Groups]string{"configuration", "sessions", "owners-0", "owners-1"}
