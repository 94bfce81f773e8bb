package session

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"granitewing/internal/system/ordered"
	"granitewing/internal/system/tolerance"
)

// Which machines may be emptied is decided here, where the commands are applied, so that each order is judged by the roster that all orders
// before it have left. A machine that was ordered to be emptied waits until it can be spared; one that is being emptied is taken back
// where too few disks are left to take messages.

// UnknownMachineError answers an order about a machine that has no disk in the roster.
type UnknownMachineError struct{ Node string }

func (e *UnknownMachineError) Error() string { return "no store is known at machine " + e.Node }

// TooFewError answers an order to empty a machine without which messages would find too few disks.
type TooFewError struct {
	Left, Needed int      // disks
	Leaving      []string // machines that are ordered to be emptied already
}

func (e *TooFewError) Error() string {
	text := fmt.Sprintf("%d disks would be left, %d are needed", e.Left, e.Needed)
	if len(e.Leaving) > 0 {
		text += fmt.Sprintf(" (being emptied: %s)", strings.Join(e.Leaving, ", "))
	}
	return text + "; add a machine with a disk first, or cancel another emptying"
}

// AlreadyEmptiedError answers an order to keep a machine that holds nothing any more.
type AlreadyEmptiedError struct{ Node string }

func (e *AlreadyEmptiedError) Error() string { return "machine " + e.Node + " is empty already" }

// Tolerance is what may be lost at one time, as the table has it; nil before the keepers have told it.
func (s *State) Tolerance() *tolerance.Tolerance { return s.tolerance }

// retire takes an order to empty a machine. It is refused where too few disks would be left even once those that are gone have come back
// and those that are being filled count.
func (s *State) retire(node string) error {
	switch s.Retirement(node) {
	case UnknownMachine:
		return &UnknownMachineError{Node: node}
	case Running, Emptied:
		return nil
	}
	if s.tolerance != nil {
		if expected := s.expectedWithout(node); !s.sparable(expected) {
			return &TooFewError{Left: len(expected), Needed: s.tolerance.Voters(), Leaving: s.Retiring()}
		}
	}
	for _, disk := range ordered.Map(s.disks) {
		if disk.Member.Node == node {
			s.turns++
			s.retirements[node] = retirement{Address: disk.Member.Address, Turn: s.turns}
		}
	}
	if s.tolerance == nil {
		s.letGo(node)
	}
	return nil
}

// cancelRetirement has a machine stay that is being emptied, or waits for it.
func (s *State) cancelRetirement(node string) error {
	switch s.Retirement(node) {
	case UnknownMachine:
		return &UnknownMachineError{Node: node}
	case Emptied:
		return &AlreadyEmptiedError{Node: node}
	}
	delete(s.retirements, node)
	for id, disk := range ordered.Map(s.disks) {
		if disk.Member.Node == node && disk.Leaving {
			s.takeBack(id)
		}
	}
	return nil
}

// Retiring gives the machines that are ordered to be emptied and hold something still, those that were asked for first before the others.
func (s *State) Retiring() []string {
	var nodes []string
	for node := range s.retirements {
		if !slices.Contains(s.retired, node) {
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(one, other string) int {
		if turn := cmp.Compare(s.retirements[one].Turn, s.retirements[other].Turn); turn != 0 {
			return turn
		}
		return strings.Compare(one, other)
	})
	return nodes
}

// settleRetirements takes back what the roster can't spare any more, and begins what it can spare now.
func (s *State) settleRetirements() {
	if s.tolerance == nil || len(s.retirements) == len(s.retired) {
		return
	}
	s.endRetirements()
	s.takeBackNeeded()
	for _, node := range s.Retiring() {
		if s.waits(node) && s.sparable(s.workingWithout(node)) {
			s.letGo(node)
		}
	}
}

// endRetirements notes the machines that hold nothing that is counted on: another has taken their disk's place, or theirs was being
// filled still.
func (s *State) endRetirements() {
	for _, node := range s.Retiring() {
		disks := s.disksOf(node)
		if slices.ContainsFunc(disks, func(id string) bool { return s.disks[id].Counted }) {
			continue
		}
		for _, id := range disks {
			s.remove(id)
		}
		s.noteRetired(node)
	}
}

// takeBackNeeded has leaving disks take messages again where the others are too few for that, as few as are needed and those first that were
// asked for last. Where all together are too few, nothing is gained by it.
func (s *State) takeBackNeeded() {
	working := s.zones(s.workingWithout(""))
	if s.tolerance.Enough(working) {
		return
	}
	var leaving, zones []string
	nodes := s.Retiring()
	slices.Reverse(nodes)
	for _, node := range nodes {
		for _, id := range s.disksOf(node) {
			if disk := s.disks[id]; disk.Counted && disk.Leaving && s.live(id) {
				leaving, zones = append(leaving, id), append(zones, disk.Member.Zone)
			}
		}
	}
	if !s.tolerance.Enough(append(slices.Clone(working), zones...)) {
		return
	}
	for _, pick := range s.tolerance.Choose(working, zones) {
		s.takeBack(leaving[pick])
	}
}

func (s *State) takeBack(id string) {
	disk := s.disks[id]
	disk.Leaving = false
	s.disks[id] = disk
	s.epoch++
}

// letGo has a machine's disks begin to leave.
func (s *State) letGo(node string) {
	for _, id := range s.disksOf(node) {
		disk := s.disks[id]
		if disk.Leaving {
			continue
		}
		disk.Leaving = true
		s.disks[id] = disk
		s.epoch++
	}
}

// waits tells whether a machine that is to be emptied has a counted disk that takes messages still.
func (s *State) waits(node string) bool {
	return slices.ContainsFunc(s.disksOf(node), func(id string) bool { return s.disks[id].Counted && !s.disks[id].Leaving })
}

// sparable tells whether some disks are as many, and at as many places, as should stay: messages find enough of them through the next loss.
func (s *State) sparable(disks []string) bool {
	zones := s.zones(disks)
	return len(zones) >= s.tolerance.Voters() && s.tolerance.Spread(zones)
}

// workingWithout gives the disks that take messages, without those of a machine: they count, stay and have a live store.
func (s *State) workingWithout(node string) []string {
	var found []string
	for id, disk := range ordered.Map(s.disks) {
		if disk.Counted && !disk.Leaving && disk.Member.Node != node && s.live(id) {
			found = append(found, id)
		}
	}
	return found
}

// expectedWithout gives the disks that take messages or will, without those of a machine: all but those of machines that are to be emptied.
func (s *State) expectedWithout(node string) []string {
	var found []string
	for id, disk := range ordered.Map(s.disks) {
		if _, leaves := s.retirements[disk.Member.Node]; !leaves && disk.Member.Node != node {
			found = append(found, id)
		}
	}
	return found
}

// disksOf gives the disks of a machine.
func (s *State) disksOf(node string) []string {
	var found []string
	for id, disk := range ordered.Map(s.disks) {
		if disk.Member.Node == node {
			found = append(found, id)
		}
	}
	return found
}

// zones gives the zones of some disks.
func (s *State) zones(disks []string) []string {
	zones := make([]string, 0, len(disks))
	for _, id := range disks {
		zones = append(zones, s.disks[id].Member.Zone)
	}
	return zones
}
