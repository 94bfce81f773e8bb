package agreement

import (
	"cmp"
	"slices"
	"time"
)

// Group is the group as the member knows it.
func (n *Node) Group() Membership { return n.group }

// Member tells whether the member belongs to the group, as it knows it; a newcomer doesn't until a leader has told it.
func (n *Node) Member() bool { return n.group.Has(n.options.Self) }

func (n *Node) hasVote(id string) bool { return n.group.HasVote(id) }

// readGroup takes the latest membership of the log.
func (n *Node) readGroup() {
	n.group, n.groupIndex = n.log.membership(n.log.lastIndex())
	if n.role != Leader {
		return
	}
	for _, id := range n.others() {
		if n.followers[id] == nil {
			n.followers[id] = &progress{next: n.log.lastIndex() + 1, heard: n.now}
		}
	}
	for id := range n.followers {
		if !slices.Contains(n.others(), id) {
			delete(n.followers, id)
		}
	}
}

// others is all members of the group but this one.
func (n *Node) others() []string { return without(n.group.members(), n.options.Self) }

// ProposeGroup changes the group: one member moves, so that any majority before the change meets any majority after it, or a learner replaces a
// voter by a joint membership (Membership.Replace), which EndReplacement ends.
func (n *Node) ProposeGroup(now time.Duration, group Membership) error {
	n.now = now
	if !n.Leading() {
		return &NotLeaderError{Leader: n.leader}
	}
	if !n.GroupSettled() {
		return &ChangePendingError{}
	}
	n.appendGroup(group)
	return nil
}

func (n *Node) appendGroup(group Membership) {
	index := n.log.lastIndex() + 1
	n.log.entries = append(n.log.entries, Entry{Index: index, Term: n.term, Members: &group})
	n.readGroup()
	n.broadcast()
}

// EndReplacement ends a replacement whose joint membership is committed: the new voters decide alone from then on, or, where it is called off, those
// before it. Nothing is done where none is under way.
func (n *Node) EndReplacement(now time.Duration, calledOff bool) error {
	n.now = now
	switch {
	case !n.Leading():
		return &NotLeaderError{Leader: n.leader}
	case n.groupIndex > n.log.committed:
		return &ChangePendingError{}
	case !n.group.Joint():
		return nil
	case calledOff:
		n.appendGroup(n.group.before())
	default:
		n.appendGroup(n.group.after())
	}
	return nil
}

// GroupSettled tells whether the group as the member knows it is committed, and no change is under way.
func (n *Node) GroupSettled() bool { return n.groupIndex <= n.log.committed && !n.group.Joint() }

// majority is how many of a set of voters have to agree.
func majority(voters []string) int { return len(voters)/2 + 1 }

// agreed is the highest value that a majority of each electorate has reached; value tells how far a voter is, false where that is not known.
func agreed[V cmp.Ordered](n *Node, value func(id string) (V, bool)) V {
	var lowest V
	for i, voters := range n.group.electorates() {
		var reached []V
		for _, id := range voters {
			if of, known := value(id); known {
				reached = append(reached, of)
			}
		}
		var highest V
		if needed := majority(voters); len(reached) >= needed {
			slices.Sort(reached)
			highest = reached[len(reached)-needed]
		}
		if i == 0 || highest < lowest {
			lowest = highest
		}
	}
	return lowest
}
