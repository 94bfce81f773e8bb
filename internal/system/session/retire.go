package session

import "slices"

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
	stage := UnknownMachine
	if slices.Contains(s.retired, node) {
		stage = Emptied
	}
	for _, disk := range s.disks {
		if disk.Member.Node != node {
			continue
		}
		if disk.Leaving {
			return Running
		}
		stage = Staying
	}
	return stage
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

// LeavingAddresses gives the addresses of the stores whose machines are being emptied, or were.
func (s *State) LeavingAddresses() []string {
	var addresses []string
	for _, disk := range s.disks {
		if disk.Leaving {
			addresses = append(addresses, disk.Member.Address)
		}
	}
	for _, member := range s.members {
		if member.Role == Store && slices.Contains(s.retired, member.Node) {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

func (s *State) retire(node string) {
	for id, disk := range s.disks {
		if disk.Member.Node != node || disk.Leaving {
			continue
		}
		disk.Leaving = true
		s.disks[id] = disk
		s.epoch++
	}
}

// emptied takes a leaving disk out of the roster, once all that lies on it lies on enough others.
func (s *State) emptied(id string) {
	disk, known := s.disks[id]
	if !known || !disk.Leaving {
		return
	}
	s.remove(id)
	s.epoch++
	if s.retired = append(s.retired, disk.Member.Node); len(s.retired) > maxReplaced {
		s.retired = slices.Clone(s.retired[1:])
	}
}
