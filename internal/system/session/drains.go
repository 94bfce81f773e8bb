package session

import (
	"fmt"
	"slices"
)

// Drain describes the progress of the drain of a machine, for operators.
type Drain struct {
	Node     string
	Started  bool   // its disks no longer accept messages
	WaitsFor string // what the drain waits for, as text
}

// Drains returns the machines that are to be drained, and the drained ones that still belong to a control group.
// groups is the number of control groups.
func (s *State) Drains(groups int) []Drain {
	var found []Drain
	for _, node := range s.Retiring() {
		found = append(found, Drain{Node: node, Started: !s.waitsForCapacity(node), WaitsFor: s.waitReason(node)})
	}
	for _, node := range s.retiredMachines {
		if left := len(s.retirements[node].Left); left < groups {
			found = append(found, Drain{Node: node, Started: true, WaitsFor: fmt.Sprintf("%d control groups to do without it", groups-left)})
		}
	}
	return found
}

// waitReason describes what the drain of a machine that is not complete waits for: the tolerance, which is not recorded
// yet; enough live disks in enough zones; its own store, or the store of another machine, to return, since until then the
// disk may hold the last replicas; or the copying of messages that too few other disks hold.
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
