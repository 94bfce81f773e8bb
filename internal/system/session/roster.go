package session

import (
	"slices"

	"granitewing/internal/system/ordered"
)

// Disk is one disk of the roster. It is identified by the identity stored on it, not by its machine or address.
type Disk struct {
	_msgpack struct{} `msgpack:",as_array"`
	Member   Member   // the latest incarnation of its store
	// Counted disks count toward the write and read quorums. A message lies on one more of them than may be lost at one
	// time, and a reader queries all of them except as many as may be lost. A disk that isn't counted is being backfilled.
	Counted bool
	// Spare disks began to count while no counted disk was missing, so each is one counted disk more than needed. A spare
	// takes the place of a disk that is lost later.
	Spare bool
	// Leaving disks are being drained: they accept no new messages, and other disks copy the ones they hold.
	Leaving bool
}

// maxReplaced bounds the removed disks that are remembered, so that one that returns isn't taken for a bootstrap
// disk. It also bounds the drained machines that are remembered.
const maxReplaced = 1024

// joinDisk adds the disk of a store that joins to the roster, or updates its member. A bootstrap disk counts at
// once, unless it was removed before.
func (s *State) joinDisk(member Member) {
	disk, known := s.disks[member.Disk]
	if !known && slices.Contains(s.retiredMachines, member.Node) {
		if s.retirements[member.Node].Address == member.Address || slices.Contains(s.replacedDisks, member.Disk) {
			return // the machine was drained and stays out, even with an empty disk
		}
		s.forgetRetired(member.Node)
	}
	disk.Member = member
	if !known && member.BootstrapDisk && !slices.Contains(s.replacedDisks, member.Disk) {
		disk.Counted = true
		s.epoch++
	}
	s.disks[member.Disk] = disk
}

// countDisk lets a backfilled disk count. If a counted disk is lost, the backfilled one takes its place: the other
// replicas of the messages on the lost disk are on the disks from which this one was backfilled.
func (s *State) countDisk(id string) {
	disk, known := s.disks[id]
	lost := s.lostDisk(disk.Member.Node)
	if !known || disk.Counted && (!disk.Spare || lost == "") {
		return
	}
	disk.Counted, disk.Spare = true, lost == ""
	// A machine that lost its disk while it was being drained is drained again. Without a tolerance that starts at
	// once, otherwise reconcileRetirements starts it when enough other disks remain.
	disk.Leaving = s.tolerance == nil && s.Retirement(disk.Member.Node) == Draining
	s.disks[id] = disk
	s.epoch++
	if lost == "" {
		return
	}
	s.removeDisk(lost)
}

// removeDisk removes a disk from the roster permanently.
func (s *State) removeDisk(id string) {
	delete(s.disks, id)
	s.replacedDisks = append(s.replacedDisks, id)
	if len(s.replacedDisks) > maxReplaced {
		s.replacedDisks = slices.Clone(s.replacedDisks[1:])
	}
}

// lostDisk returns a counted disk without a live store, preferably one of the given machine, or an empty string.
func (s *State) lostDisk(node string) string {
	lost := ""
	for id, disk := range ordered.Map(s.disks) {
		if !disk.Counted || s.hasLiveStore(id) {
			continue
		}
		if disk.Member.Node == node {
			return id
		}
		if lost == "" || id < lost {
			lost = id
		}
	}
	return lost
}

// reassignSpare makes a live counted disk the spare in place of one that has lost its store. Only a live disk can
// take the place of a lost one, and the lost disk may be the spare itself.
func (s *State) reassignSpare(lost string) {
	disk, known := s.disks[lost]
	if !known || !disk.Counted || !disk.Spare {
		return
	}
	for id, successor := range ordered.Map(s.disks) {
		if successor.Counted && !successor.Spare && !successor.Leaving && s.hasLiveStore(id) {
			disk.Spare, successor.Spare = false, true
			s.disks[lost], s.disks[id] = disk, successor
			return
		}
	}
}

// consumeSpare turns a spare disk into a regular one, in place of a disk that was drained.
func (s *State) consumeSpare() {
	for id, disk := range ordered.Map(s.disks) {
		if disk.Counted && disk.Spare && !disk.Leaving {
			disk.Spare = false
			s.disks[id] = disk
			return
		}
	}
}

// hasLiveStore reports whether a disk has a store with an open session.
func (s *State) hasLiveStore(id string) bool {
	for _, member := range s.members {
		if member.Disk == id {
			return true
		}
	}
	return false
}
