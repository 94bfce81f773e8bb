package agreement

import (
	"slices"
	"time"
)

// Group is the group as the member knows it.
func (n *Node) Group() Membership { return n.group }

// Member tells whether the member belongs to the group, as it knows it; a newcomer doesn't until a leader has told it.
func (n *Node) Member() bool { return n.group.Has(n.options.Self) }

func (n *Node) hasVote(id string) bool { return slices.Contains(n.group.Voters, id) }

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
func (n *Node) others() []string {
	return without(append(append([]string(nil), n.group.Voters...), n.group.Learners...), n.options.Self)
}

// ProposeGroup changes the group. One member at a time may change its place: any majority before the change then meets
// any majority after it.
func (n *Node) ProposeGroup(now time.Duration, group Membership) error {
	n.now = now
	if !n.Leading() {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.groupIndex > n.log.committed {
		return &ChangePendingError{}
	}
	index := n.log.lastIndex() + 1
	n.log.entries = append(n.log.entries, Entry{Index: index, Term: n.term, Members: &group})
	n.readGroup()
	n.broadcast()
	return nil
}

// GroupSettled tells whether the group as the member knows it is committed.
func (n *Node) GroupSettled() bool { return n.groupIndex <= n.log.committed }

func (n *Node) quorum() int { return len(n.group.Voters)/2 + 1 }
