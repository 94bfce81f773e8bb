package session

import (
	"fmt"
	"slices"
)

// Emptying describes the progress of the drain of a machine, for operators.
type Emptying struct {
	Node  string
	Begun bool   // its disks no longer accept messages
	Waits string // what the drain waits for, as text
}

// Emptyings returns the machines that are to be drained, and the drained ones that still belong to a control group.
// groups is the number of control groups.
func (s *State) Emptyings(groups int) []Emptying {
	var found []Emptying
	for _, node := range s.Retiring() {
		found = append(found, Emptying{Node: node, Begun: !s.waitsForCapacity(node), Waits: s.waitReason(node)})
	}
	for _, node := range s.retiredMachines {
		if left := len(s.retirements[node].Left); left < groups {
			found = append(found, Emptying{Node: node, Begun: true, Waits: fmt.Sprintf("%d control groups to do without it", groups-left)})
		}
	}
	return found
}

// waitReason describes what the drain of a machine that is not complete waits for.
func (s *State) waitReason(node string) string {
	if s.waitsForCapacity(node) {
		if s.tolerance == nil {
			return "what may be lost to be known"
		}
		return fmt.Sprintf("%d live disks to stay without it, in enough zones; there are %d", s.tolerance.Voters(), len(s.writableDisksWithout(node)))
	}
	if !slices.ContainsFunc(s.disksOf(node), s.hasLiveStore) {
		return "its store, which is gone"
	}
	if missing := s.nodeMissingStore(node); missing != "" {
		return "the store of " + missing + ", which is gone: what lies here may be the last copy"
	}
	return "its disk to hand over what lies on too few others"
}
