package session

import (
	"slices"

	"granitewing/internal/system/ordered"
)

// Retirement is how far the emptying of a machine is.
type Retirement uint8

// The stages.
const (
	UnknownMachine Retirement = iota
	Staying
	Running
	Emptied
)

// Retirement tells how far the emptying of a machine's disks is.
func (s *State) Retirement(node string) Retirement {
	switch _, known := s.retirements[node]; {
	case known && slices.Contains(s.retired, node):
		return Emptied
	case known:
		return Running
	}
	for _, disk := range s.disks {
		if disk.Member.Node == node {
			return Staying
		}
	}
	return UnknownMachine
}

// Staying is the number of counted disks that would be left without a machine's.
func (s *State) Staying(without string) int {
	count := 0
	for _, disk := range s.disks {
		if disk.Counted && !disk.Leaving && disk.Member.Node != without {
			count++
		}
	}
	return count
}

// retirement is what is known of a machine that is being emptied, or was.
type retirement struct {
	Address string // of its store
	Left    []int  // control groups that do without it
}

// LeavingAddresses gives the addresses of the stores whose machines are being emptied, or were.
func (s *State) LeavingAddresses() []string {
	var addresses []string
	for _, entry := range s.retirements {
		addresses = append(addresses, entry.Address)
	}
	for _, member := range s.members {
		if member.Role == Store && slices.Contains(s.retired, member.Node) {
			addresses = append(addresses, member.Address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// NotLeft gives the machines that are being emptied, or were, and of which it is not known that a control group does
// without them: by name, with the addresses of their stores.
func (s *State) NotLeft(group int) map[string]string {
	machines := map[string]string{}
	for node, entry := range s.retirements {
		if !slices.Contains(entry.Left, group) {
			machines[node] = entry.Address
		}
	}
	return machines
}

// HasLeft tells whether some control groups are known to do without a machine that is being emptied, or was.
func (s *State) HasLeft(node string, groups int) bool {
	entry, known := s.retirements[node]
	return known && len(entry.Left) >= groups
}

func (s *State) groupLeft(node string, group int) {
	entry, known := s.retirements[node]
	if !known || slices.Contains(entry.Left, group) {
		return
	}
	entry.Left = append(slices.Clone(entry.Left), group)
	s.retirements[node] = entry
}

func (s *State) retire(node string) {
	for id, disk := range ordered.Map(s.disks) {
		if disk.Member.Node != node || disk.Leaving {
			continue
		}
		disk.Leaving = true
		s.disks[id] = disk
		s.retirements[node] = retirement{Address: disk.Member.Address}
		s.epoch++
	}
}

// emptied takes a leaving disk out of the roster, once all that lies on it lies on enough others. While another disk that
// counts has no live store, what lies on the leaving one may be a copy that is needed: it stays.
func (s *State) emptied(id string) {
	disk, known := s.disks[id]
	if !known || !disk.Leaving || s.Missing(disk.Member.Node) {
		return
	}
	s.remove(id)
	s.epoch++
	if !disk.Spare {
		s.needSpare()
	}
	s.retired = append(s.retired, disk.Member.Node)
	for len(s.retired) > maxReplaced {
		delete(s.retirements, s.retired[0])
		s.retired = slices.Clone(s.retired[1:])
	}
}

// Missing tells whether a disk that counts and stays, of another machine than one, has no live store.
func (s *State) Missing(besides string) bool {
	for id, disk := range s.disks {
		if disk.Counted && !disk.Leaving && !s.live(id) && disk.Member.Node != besides {
			return true
		}
	}
	return false
}

// returned forgets that a machine was emptied: another of its name has come, at another address.
func (s *State) returned(node string) {
	s.retired = slices.DeleteFunc(slices.Clone(s.retired), func(other string) bool { return other == node })
	delete(s.retirements, node)
}
