package session

import (
	"slices"

	"granitewing/internal/system/ordered"
)

// Disk is one disk of the roster: a store by the identity drawn on it, not by its machine or address.
type Disk struct {
	_msgpack struct{} `msgpack:",as_array"`
	Member   Member   // its latest life
	// Counted disks hold messages: a message lies on one more of them than may be lost, and whoever reads asks all of
	// them but as many. One that isn't counted is being filled.
	Counted bool
	// Spare disks began to count while none was missing; one takes the place of a disk that is lost later.
	Spare bool
	// Leaving disks take no messages any more, and have others copy what lies on them.
	Leaving bool
}

// maxReplaced bounds the replaced disks that are remembered, lest one that returns passes for a founder's.
const maxReplaced = 1024

func (s *State) joinDisk(member Member) {
	disk, known := s.disks[member.Disk]
	if !known && slices.Contains(s.retired, member.Node) {
		if s.retirements[member.Node].Address == member.Address || slices.Contains(s.replaced, member.Disk) {
			return // it was emptied, and stays out, with an empty disk too
		}
		s.returned(member.Node)
	}
	disk.Member = member
	if !known && member.Founder && !slices.Contains(s.replaced, member.Disk) {
		disk.Counted = true
		s.epoch++
	}
	s.disks[member.Disk] = disk
}

// count lets a filled disk count. Where a counted disk is gone, the filled one takes its place: what lay on the lost one
// has its other copies on the disks that this one was filled from.
func (s *State) count(id string) {
	disk, known := s.disks[id]
	lost := s.lostDisk(disk.Member.Node)
	if !known || disk.Counted && (!disk.Spare || lost == "") {
		return
	}
	disk.Counted, disk.Spare = true, lost == ""
	// A machine that lost its disk while it was being emptied is emptied again, once it can be spared.
	disk.Leaving = s.tolerance == nil && s.Retirement(disk.Member.Node) == Running
	s.disks[id] = disk
	s.epoch++
	if lost == "" {
		return
	}
	s.remove(lost)
}

// remove takes a disk out of the roster for good.
func (s *State) remove(id string) {
	delete(s.disks, id)
	s.replaced = append(s.replaced, id)
	if len(s.replaced) > maxReplaced {
		s.replaced = slices.Clone(s.replaced[1:])
	}
}

// lostDisk is a counted disk without a live store, one of the same machine first; empty where there is none.
func (s *State) lostDisk(node string) string {
	lost := ""
	for id, disk := range ordered.Map(s.disks) {
		if !disk.Counted || s.live(id) {
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

// passSpare has another disk be spare instead of one whose store has gone: only a live one can take the place of a lost
// disk, and the lost one may be the spare itself.
func (s *State) passSpare(gone string) {
	disk, known := s.disks[gone]
	if !known || !disk.Counted || !disk.Spare {
		return
	}
	for id, heir := range ordered.Map(s.disks) {
		if heir.Counted && !heir.Spare && !heir.Leaving && s.live(id) {
			disk.Spare, heir.Spare = false, true
			s.disks[gone], s.disks[id] = disk, heir
			return
		}
	}
}

// needSpare has a spare disk be none any more: it has the place of one that was emptied.
func (s *State) needSpare() {
	for id, disk := range ordered.Map(s.disks) {
		if disk.Counted && disk.Spare && !disk.Leaving {
			disk.Spare = false
			s.disks[id] = disk
			return
		}
	}
}

// live tells whether a disk has a live store.
func (s *State) live(id string) bool {
	for _, member := range s.members {
		if member.Disk == id {
			return true
		}
	}
	return false
}
