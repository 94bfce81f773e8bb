package session

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"granitewing/internal/system/ordered"
	"granitewing/internal/system/tolerance"
)

// The rules in this file decide which machines may be drained. They run where commands are applied, so that each order
// is judged by the roster that all earlier orders have left. A machine with an ordered drain waits until the other
// disks are sufficient without it. A drain that has started is reversed if too few disks are left that accept messages.

// UnknownMachineError refuses an order about a machine that has no disk in the roster.
type UnknownMachineError struct{ Node string }

func (e *UnknownMachineError) Error() string { return "no store is known at machine " + e.Node }

// TooFewDisksError refuses an order to drain a machine without which too few disks would remain for messages.
type TooFewDisksError struct {
	Left, Needed int      // numbers of disks
	Leaving      []string // machines whose drain was ordered before
}

func (e *TooFewDisksError) Error() string {
	text := fmt.Sprintf("%d disks would be left, %d are needed", e.Left, e.Needed)
	if len(e.Leaving) > 0 {
		text += fmt.Sprintf(" (being emptied: %s)", strings.Join(e.Leaving, ", "))
	}
	return text + "; add a machine with a disk first, or cancel another emptying"
}

// AlreadyDrainedError refuses an order to keep a machine whose disks are drained.
type AlreadyDrainedError struct{ Node string }

func (e *AlreadyDrainedError) Error() string { return "machine " + e.Node + " is empty already" }

// Tolerance returns the recorded tolerance: what may be lost at one time. It is nil until the keepers have recorded
// it.
func (s *State) Tolerance() *tolerance.Tolerance { return s.tolerance }

// retire orders the drain of a machine. It is refused if too few disks would remain even after all lost disks have
// returned and all disks that are being backfilled count. A repeated order succeeds and changes nothing.
func (s *State) retire(node string) error {
	switch s.Retirement(node) {
	case UnknownMachine:
		return &UnknownMachineError{Node: node}
	case Draining, Drained:
		return nil
	}
	if s.tolerance != nil {
		if expected := s.expectedDisksWithout(node); !s.sufficient(expected) {
			return &TooFewDisksError{Left: len(expected), Needed: s.tolerance.Voters(), Leaving: s.Retiring()}
		}
	}
	for _, disk := range ordered.Map(s.disks) {
		if disk.Member.Node == node {
			s.retirementCount++
			s.retirements[node] = retirement{Address: disk.Member.Address, Turn: s.retirementCount}
		}
	}
	if s.tolerance == nil {
		s.startDrain(node)
	}
	return nil
}

// cancelRetirement cancels the drain of a machine that is being drained or waits for it.
func (s *State) cancelRetirement(node string) error {
	switch s.Retirement(node) {
	case UnknownMachine:
		return &UnknownMachineError{Node: node}
	case Drained:
		return &AlreadyDrainedError{Node: node}
	}
	delete(s.retirements, node)
	for id, disk := range ordered.Map(s.disks) {
		if disk.Member.Node == node && disk.Leaving {
			s.reclaimDisk(id)
		}
	}
	return nil
}

// Retiring returns the machines whose drain was ordered and is not complete, in the order in which they were
// ordered.
func (s *State) Retiring() []string {
	var nodes []string
	for node := range s.retirements {
		if !slices.Contains(s.retiredMachines, node) {
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(a, b string) int {
		if order := cmp.Compare(s.retirements[a].Turn, s.retirements[b].Turn); order != 0 {
			return order
		}
		return strings.Compare(a, b)
	})
	return nodes
}

// reconcileRetirements completes drains, reverses those whose disks are needed again, and starts those that the
// roster allows now. It does nothing until the tolerance is recorded.
func (s *State) reconcileRetirements() {
	if s.tolerance == nil || len(s.retirements) == len(s.retiredMachines) {
		return
	}
	s.finishRetirements()
	s.reclaimDisks()
	for _, node := range s.Retiring() {
		if s.waitsForCapacity(node) && s.sufficient(s.writableDisksWithout(node)) {
			s.startDrain(node)
		}
	}
}

// finishRetirements marks the machines as drained that have no counted disk: another disk has taken the place of
// theirs, or theirs was still being backfilled.
func (s *State) finishRetirements() {
	for _, node := range s.Retiring() {
		disks := s.disksOf(node)
		if slices.ContainsFunc(disks, func(id string) bool { return s.disks[id].Counted }) {
			continue
		}
		for _, id := range disks {
			s.removeDisk(id)
		}
		s.markRetired(node)
	}
}

// reclaimDisks lets leaving disks accept messages again if the others are too few for that. It reclaims no more than
// needed, those of the latest orders first. If all disks together are too few, reclaiming would not help and none is
// reclaimed.
func (s *State) reclaimDisks() {
	working := s.zones(s.writableDisksWithout(""))
	if s.tolerance.SufficientReplicas(working) {
		return
	}
	var leaving, zones []string
	nodes := s.Retiring()
	slices.Reverse(nodes)
	for _, node := range nodes {
		for _, id := range s.disksOf(node) {
			if disk := s.disks[id]; disk.Counted && disk.Leaving && s.hasLiveStore(id) {
				leaving, zones = append(leaving, id), append(zones, disk.Member.Zone)
			}
		}
	}
	if !s.tolerance.SufficientReplicas(append(slices.Clone(working), zones...)) {
		return
	}
	for _, pick := range s.tolerance.ChooseReplicas(working, zones) {
		s.reclaimDisk(leaving[pick])
	}
}

// reclaimDisk lets a leaving disk accept messages again.
func (s *State) reclaimDisk(id string) {
	disk := s.disks[id]
	disk.Leaving = false
	s.disks[id] = disk
	s.epoch++
}

// startDrain marks all disks of a machine as leaving.
func (s *State) startDrain(node string) {
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

// waitsForCapacity reports whether a machine whose drain was ordered still has a counted disk that accepts messages.
func (s *State) waitsForCapacity(node string) bool {
	return slices.ContainsFunc(s.disksOf(node), func(id string) bool { return s.disks[id].Counted && !s.disks[id].Leaving })
}

// sufficient reports whether the given disks are as many, and in as many zones, as should stay, so that messages
// find enough disks even after the next loss.
func (s *State) sufficient(disks []string) bool {
	zones := s.zones(disks)
	return len(zones) >= s.tolerance.Voters() && s.tolerance.SufficientAfterLoss(zones)
}

// writableDisksWithout returns the disks that accept messages, except those of the given machine: counted disks with
// a live store that aren't leaving.
func (s *State) writableDisksWithout(node string) []string {
	var found []string
	for id, disk := range ordered.Map(s.disks) {
		if disk.Counted && !disk.Leaving && disk.Member.Node != node && s.hasLiveStore(id) {
			found = append(found, id)
		}
	}
	return found
}

// expectedDisksWithout returns the disks that accept messages now or are expected to, except those of the given
// machine: all disks but those of machines that are being retired.
func (s *State) expectedDisksWithout(node string) []string {
	var found []string
	for id, disk := range ordered.Map(s.disks) {
		if _, leaves := s.retirements[disk.Member.Node]; !leaves && disk.Member.Node != node {
			found = append(found, id)
		}
	}
	return found
}

// disksOf returns the disks of a machine.
func (s *State) disksOf(node string) []string {
	var found []string
	for id, disk := range ordered.Map(s.disks) {
		if disk.Member.Node == node {
			found = append(found, id)
		}
	}
	return found
}

// zones returns the zones of the given disks.
func (s *State) zones(disks []string) []string {
	zones := make([]string, 0, len(disks))
	for _, id := range disks {
		zones = append(zones, s.disks[id].Member.Zone)
	}
	return zones
}
