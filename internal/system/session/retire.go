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

// retirement is what is known of a machine that is being emptied, or was.
type retirement struct {
	Address string // of its store
	Left    []int  // control groups that do without it
	Turn    uint64 // its place among all that were asked for
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

// emptied takes a leaving disk out of the roster, once all that lies on it lies on enough others. While another disk that
// counts has no live store, what lies on the leaving one may be a copy that is needed: it stays. It stays, too, where the roster
// has changed since its store looked: another of the disks that hold its messages may be leaving now, or it may have taken some itself
// meanwhile. Epoch 0 is that of commands of earlier versions, which told none.
func (s *State) emptied(id string, epoch uint64) {
	disk, known := s.disks[id]
	if !known || !disk.Leaving || s.Missing(disk.Member.Node) || epoch != 0 && epoch != s.epoch {
		return
	}
	s.remove(id)
	s.epoch++
	if !disk.Spare {
		s.needSpare()
	}
	s.noteRetired(disk.Member.Node)
}

// noteRetired remembers that a machine holds nothing any more.
func (s *State) noteRetired(node string) {
	s.retired = append(s.retired, node)
	for len(s.retired) > maxReplaced {
		delete(s.retirements, s.retired[0])
		s.retired = slices.Clone(s.retired[1:])
	}
}

// Missing tells whether a disk that counts and stays, of another machine than one, has no live store.
func (s *State) Missing(besides string) bool { return s.missingNode(besides) != "" }

// missingNode is the machine of such a disk, empty where there is none.
func (s *State) missingNode(besides string) string {
	for id, disk := range ordered.Map(s.disks) {
		if disk.Counted && !disk.Leaving && !s.live(id) && disk.Member.Node != besides {
			return disk.Member.Node
		}
	}
	return ""
}

// returned forgets that a machine was emptied: another of its name has come, at another address.
func (s *State) returned(node string) {
	s.retired = slices.DeleteFunc(slices.Clone(s.retired), func(other string) bool { return other == node })
	delete(s.retirements, node)
}
