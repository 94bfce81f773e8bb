package simulation

import (
	"fmt"
	"net"
	"slices"
	"time"

	"granitewing/internal/system/role/keeper"
)

// judgeGroups sees, all day, that no control group has lost the disks of a majority of its voters, and that a group which
// says that it is whole may lose what is tolerated.
func (d *day) judgeGroups() {
	for group := range keeper.Groups {
		leader := d.leaderOf(group)
		if leader == nil {
			continue
		}
		members := leader.core.Members(group)
		d.judgeMajority(group, members.Outgoing)
		voters := members.Voters
		held := d.judgeMajority(group, voters)
		whole, leads := leader.core.Whole(group)
		if leads && whole && d.checker.quiet(d.world.now) && !d.tolerance.SurvivesWith(d.zonesOf(d.live(held)), len(voters)) {
			d.checker.breakRule(d.world.now, "CONTROL", fmt.Sprintf("%s says that it is whole, with voters %v of which %v are live", groupNames[group], voters, d.live(held)))
		}
	}
}

// judgeMajority sees that a majority of a group's voters have their disks, and gives those that have. While a joint change is under way it holds of the
// voters before it too, of whom there are none at other times.
func (d *day) judgeMajority(group int, voters []string) []string {
	held := d.identitiesOn(group, voters)
	if len(voters) > 0 && 2*len(held) <= len(voters) && !d.checker.doomed[group] {
		d.checker.doomed[group] = true
		d.checker.breakRule(d.world.now, "CONTROL", fmt.Sprintf("of the voters %v of %s only %v have their disks", voters, groupNames[group], held))
	}
	return held
}

// noticeTime is how long after a machine was struck a leader may still think that all is well.
const noticeTime = time.Second

// leaderOf is the keeper that leads a group in the highest term, nil where nobody does.
func (d *day) leaderOf(group int) *keeperHost {
	var best *keeperHost
	for _, name := range d.world.names {
		host := d.keeperOn(name)
		if host == nil || host.machine.frozen {
			continue
		}
		if _, self := host.core.Leader(group); self && (best == nil || host.core.Term(group) > best.core.Term(group)) {
			best = host
		}
	}
	return best
}

// identitiesOn gives those of some identities of a group that lie on a disk of a machine that is there.
func (d *day) identitiesOn(group int, identities []string) []string {
	var held []string
	for _, m := range d.storageMachines() {
		if id := m.identities[group]; slices.Contains(identities, id) {
			held = append(held, id)
		}
	}
	return held
}

// live gives those of some identities whose machines run.
func (d *day) live(identities []string) []string {
	return slices.DeleteFunc(slices.Clone(identities), func(id string) bool {
		m := d.machineOf(id)
		return m == nil || m.dark || m.frozen
	})
}

// machineOf is the machine that an identity's address is of, nil where it is gone.
func (d *day) machineOf(id string) *machine {
	for _, m := range d.storageMachines() {
		if host, _, err := net.SplitHostPort(keeper.AddressOf(id)); err == nil && host == m.ip {
			return m
		}
	}
	return nil
}

// zonesOf gives the zones of the machines that identities lie on.
func (d *day) zonesOf(identities []string) []string {
	var found []string
	for _, id := range identities {
		if m := d.machineOf(id); m != nil {
			found = append(found, m.zone)
		}
	}
	return found
}

// judgeWhole sees that every group is whole at the end, now that all is well.
func (d *day) judgeWhole() {
	if len(d.storageMachines()) < d.tolerance.Voters() {
		return
	}
	for group := range keeper.Groups {
		leader := d.leaderOf(group)
		if leader == nil {
			d.checker.breakRule(d.world.now, "CONTROL", groupNames[group]+" has no leader at the end")
			continue
		}
		if d.zonesSuffice() && !d.becomesWhole(group) {
			d.checker.breakRule(d.world.now, "CONTROL", fmt.Sprintf("%s is not whole at the end: %v", groupNames[group], leader.core.Members(group)))
		}
	}
}

// becomesWhole tells whether a group's leader says within a while that the group is whole: at any moment a voter may lack the
// entry that was just committed.
func (d *day) becomesWhole(group int) bool {
	const tries, pause = 20, 50 * time.Millisecond
	for range tries {
		if leader := d.leaderOf(group); leader != nil {
			if whole, _ := leader.core.Whole(group); whole {
				return true
			}
		}
		d.world.runUntil(d.world.now + pause)
	}
	return false
}

// zonesSuffice tells whether as many voters as there should be can be placed so that they survive what is tolerated.
func (d *day) zonesSuffice() bool {
	var places []string
	for _, m := range d.storageMachines() {
		places = append(places, m.zone)
	}
	return d.tolerance.Zones == 0 || len(slices.Compact(slices.Sorted(slices.Values(places)))) >= len(zones)
}
