package session

import (
	"fmt"
	"slices"
)

// Emptying is how far the emptying of a machine is, for people.
type Emptying struct {
	Node  string
	Begun bool   // its disks take no messages any more
	Waits string // for what it waits now
}

// Emptyings gives the machines that are to be emptied, or are empty and belong to a control group still, of so many groups.
func (s *State) Emptyings(groups int) []Emptying {
	var found []Emptying
	for _, node := range s.Retiring() {
		found = append(found, Emptying{Node: node, Begun: !s.waits(node), Waits: s.awaited(node)})
	}
	for _, node := range s.retired {
		if left := len(s.retirements[node].Left); left < groups {
			found = append(found, Emptying{Node: node, Begun: true, Waits: fmt.Sprintf("%d control groups to do without it", groups-left)})
		}
	}
	return found
}

// awaited tells what the emptying of a machine waits for that holds something still.
func (s *State) awaited(node string) string {
	if s.waits(node) {
		if s.tolerance == nil {
			return "what may be lost to be known"
		}
		return fmt.Sprintf("%d live disks to stay without it, in enough zones; there are %d", s.tolerance.Voters(), len(s.workingWithout(node)))
	}
	if !slices.ContainsFunc(s.disksOf(node), s.live) {
		return "its store, which is gone"
	}
	if missing := s.missingNode(node); missing != "" {
		return "the store of " + missing + ", which is gone: what lies here may be the last copy"
	}
	return "its disk to hand over what lies on too few others"
}
