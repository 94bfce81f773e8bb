package session

import (
	"slices"

	"granitewing/internal/system/ordered"
)

// Retirement is the stage that the retirement of a machine has reached. A retirement is the operator's order to remove a
// machine. The drain is the part in which other disks copy what the machine's disks hold; the disks are marked as
// Leaving in the roster meanwhile. Texts for operators call the drain emptying.
type Retirement uint8

// The stages of a retirement.
const (
	UnknownMachine Retirement = iota // no disk of the machine is in the roster
	NotRetiring                      // no retirement was ordered
	Draining                         // the drain waits to start, or is in progress
	Drained                          // all disks are drained
)

// Retirement returns the stage that the drain of a machine's disks has reached.
func (s *State) Retirement(node string) Retirement {
	switch _, known := s.retirements[node]; {
	case known && slices.Contains(s.retiredMachines, node):
		return Drained
	case known:
		return Draining
	}
	for _, disk := range s.disks {
		if disk.Member.Node == node {
			return NotRetiring
		}
	}
	return UnknownMachine
}

// retirement describes a machine that is being retired or was retired.
type retirement struct {
	Address string // address of its store
	Left    []int  // control groups that have removed its keeper
	Turn    uint64 // position among all retirements ever ordered
}

// LeavingAddresses returns the sorted store addresses of the machines that are being retired or were retired.
func (s *State) LeavingAddresses() []string {
	var addresses []string
	for _, entry := range s.retirements {
		addresses = append(addresses, entry.Address)
	}
	for _, member := range s.members {
		if member.Role == Store && slices.Contains(s.retiredMachines, member.Node) {
			addresses = append(addresses, member.Address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// MachinesNotRemoved returns the machines that are being retired or were retired and that a control group is not known
// to have removed. It maps their names to the addresses of their stores.
func (s *State) MachinesNotRemoved(group int) map[string]string {
	machines := map[string]string{}
	for node, entry := range s.retirements {
		if !slices.Contains(entry.Left, group) {
			machines[node] = entry.Address
		}
	}
	return machines
}

// HasLeft reports whether a machine is being retired or was retired, and at least the given number of control groups
// are known to have removed its keeper.
func (s *State) HasLeft(node string, groups int) bool {
	entry, known := s.retirements[node]
	return known && len(entry.Left) >= groups
}

// groupLeft records that a control group has removed the keeper of a machine.
func (s *State) groupLeft(node string, group int) {
	entry, known := s.retirements[node]
	if !known || slices.Contains(entry.Left, group) {
		return
	}
	entry.Left = append(slices.Clone(entry.Left), group)
	s.retirements[node] = entry
}

// removeDrainedDisk removes a leaving disk from the roster, once all its messages have enough replicas elsewhere.
// The disk stays while another counted disk has no live store, as it may hold replicas that are still needed. It
// also stays if the roster has changed since its store checked: another disk that holds the messages may be leaving
// now, or this disk may have accepted messages meanwhile. Epoch 0 is that of commands from earlier versions, which
// sent none, and skips this check.
func (s *State) removeDrainedDisk(id string, epoch uint64) {
	disk, known := s.disks[id]
	if !known || !disk.Leaving || s.HasMissingStore(disk.Member.Node) || epoch != 0 && epoch != s.epoch {
		return
	}
	s.removeDisk(id)
	s.epoch++
	if !disk.Spare {
		s.consumeSpare()
	}
	s.markRetired(disk.Member.Node)
}

// markRetired records that all disks of a machine are drained.
func (s *State) markRetired(node string) {
	s.retiredMachines = append(s.retiredMachines, node)
	for len(s.retiredMachines) > maxReplaced {
		delete(s.retirements, s.retiredMachines[0])
		s.retiredMachines = slices.Clone(s.retiredMachines[1:])
	}
}

// HasMissingStore reports whether a counted disk that isn't leaving, on another machine than except, has no live store.
func (s *State) HasMissingStore(except string) bool { return s.nodeMissingStore(except) != "" }

// nodeMissingStore returns the machine of a counted disk that isn't leaving, is on another machine than except, and
// has no live store. It returns an empty string if there is none.
func (s *State) nodeMissingStore(except string) string {
	for id, disk := range ordered.Map(s.disks) {
		if disk.Counted && !disk.Leaving && !s.hasLiveStore(id) && disk.Member.Node != except {
			return disk.Member.Node
		}
	}
	return ""
}

// forgetRetired forgets that a machine was drained, when a store joins under the same machine name at another
// address.
func (s *State) forgetRetired(node string) {
	s.retiredMachines = slices.DeleteFunc(slices.Clone(s.retiredMachines), func(other string) bool { return other == node })
	delete(s.retirements, node)
}
