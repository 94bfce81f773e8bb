package simulation

import (
	"fmt"
	"net"
	"slices"
	"time"

	"granitewing/internal/system/role/keeper"
)

// checkControlGroups checks throughout the run that no control group has lost the disks of a majority of its voters,
// and that a group whose leader says that it survives every tolerated loss really does.
func (sim *simulation) checkControlGroups() {
	for group := range keeper.Groups {
		leader := sim.leaderKeeper(group)
		if leader == nil {
			continue
		}
		members := leader.core.Members(group)
		sim.checkMajority(group, members.Outgoing)
		voters := members.Voters
		held := sim.checkMajority(group, voters)
		whole, leads := leader.core.SurvivesLoss(group)
		if leads && whole && sim.checker.leadersInformed(sim.world.now) && !sim.tolerance.MajoritySurvivesWith(sim.zonesOf(sim.runningIdentities(held)), len(voters)) {
			sim.checker.reportViolation(sim.world.now, "CONTROL", fmt.Sprintf("%s reports that it survives every tolerated loss, but of its voters %v only %v run", groupNames[group], voters, sim.runningIdentities(held)))
		}
	}
}

// checkMajority checks that a majority of a group's voters still have their disks, and returns these voters. During a
// joint membership change the rule holds for the outgoing voters as well; at other times there are none.
func (sim *simulation) checkMajority(group int, voters []string) []string {
	held := sim.identitiesOnDisk(group, voters)
	if len(voters) > 0 && 2*len(held) <= len(voters) && !sim.checker.majorityLost[group] {
		sim.checker.majorityLost[group] = true
		sim.checker.reportViolation(sim.world.now, "CONTROL", fmt.Sprintf("of the voters %v of %s only %v still have their disks", voters, groupNames[group], held))
	}
	return held
}

// leaderNoticeTime is how long after a fault of a machine a leader may still report that the group survives every
// tolerated loss.
const leaderNoticeTime = time.Second

// leaderKeeper returns the keeper that leads a group in the highest term, or nil if there is none.
func (sim *simulation) leaderKeeper(group int) *keeperHost {
	var best *keeperHost
	for _, name := range sim.world.names {
		host := sim.keeperOn(name)
		if host == nil || host.machine.frozen {
			continue
		}
		if _, self := host.core.Leader(group); self && (best == nil || host.core.Term(group) > best.core.Term(group)) {
			best = host
		}
	}
	return best
}

// identitiesOnDisk returns those identities of a group that are on the disk of a machine that still exists.
func (sim *simulation) identitiesOnDisk(group int, identities []string) []string {
	var held []string
	for _, m := range sim.storageMachines() {
		if id := m.identities[group]; slices.Contains(identities, id) {
			held = append(held, id)
		}
	}
	return held
}

// runningIdentities returns those identities whose machines run.
func (sim *simulation) runningIdentities(identities []string) []string {
	return slices.DeleteFunc(slices.Clone(identities), func(id string) bool {
		m := sim.machineOf(id)
		return m == nil || m.poweredOff || m.frozen
	})
}

// machineOf returns the machine with an identity's address, or nil if it is gone.
func (sim *simulation) machineOf(id string) *machine {
	for _, m := range sim.storageMachines() {
		if host, _, err := net.SplitHostPort(keeper.AddressOf(id)); err == nil && host == m.ip {
			return m
		}
	}
	return nil
}

// zonesOf returns the zones of the machines that hold the identities.
func (sim *simulation) zonesOf(identities []string) []string {
	var found []string
	for _, id := range identities {
		if m := sim.machineOf(id); m != nil {
			found = append(found, m.zone)
		}
	}
	return found
}

// checkGroupsAtEnd checks at the end, without faults, that every group has a leader and survives every tolerated
// loss.
func (sim *simulation) checkGroupsAtEnd() {
	if len(sim.storageMachines()) < sim.tolerance.Voters() {
		return
	}
	for group := range keeper.Groups {
		leader := sim.leaderKeeper(group)
		if leader == nil {
			sim.checker.reportViolation(sim.world.now, "CONTROL", groupNames[group]+" has no leader at the end")
			continue
		}
		if sim.enoughZones() && !sim.survivesLossSoon(group) {
			sim.checker.reportViolation(sim.world.now, "CONTROL", fmt.Sprintf("%s does not survive every tolerated loss at the end: %v", groupNames[group], leader.core.Members(group)))
		}
	}
}

// survivesLossSoon reports whether a group's leader says within a second that the group survives every tolerated
// loss. It asks more than once because at any moment a voter may lack the entry that was just committed.
func (sim *simulation) survivesLossSoon(group int) bool {
	const tries, pause = 20, 50 * time.Millisecond
	for range tries {
		if leader := sim.leaderKeeper(group); leader != nil {
			if whole, _ := leader.core.SurvivesLoss(group); whole {
				return true
			}
		}
		sim.world.runUntil(sim.world.now + pause)
	}
	return false
}

// enoughZones reports whether the required number of voters can be placed so that they survive every tolerated loss.
func (sim *simulation) enoughZones() bool {
	var places []string
	for _, m := range sim.storageMachines() {
		places = append(places, m.zone)
	}
	return sim.tolerance.Zones == 0 || len(slices.Compact(slices.Sorted(slices.Values(places)))) >= len(zones)
}
