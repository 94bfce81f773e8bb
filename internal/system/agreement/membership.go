package agreement

import (
	"cmp"
	"slices"
	"time"
)

// Membership returns the latest membership in the member's log, committed or not.
func (n *Node) Membership() Membership { return n.membership }

// IsMember reports whether this member is in the latest membership of its log. A new member is not until it has
// received the entry that adds it.
func (n *Node) IsMember() bool { return n.membership.Has(n.options.Self) }

// hasVote reports whether id is a voter in the latest membership of the log.
func (n *Node) hasVote(id string) bool { return n.membership.HasVote(id) }

// updateMembership adopts the latest membership of the log. A leader starts to track new members and drops removed
// ones.
func (n *Node) updateMembership() {
	n.membership, n.membershipIndex = n.log.membership(n.log.lastIndex())
	if n.role != Leader {
		return
	}
	for _, id := range n.peers() {
		if n.followers[id] == nil {
			n.followers[id] = &progress{next: n.log.lastIndex() + 1, ackedSendTime: n.now}
		}
	}
	for id := range n.followers {
		if !slices.Contains(n.peers(), id) {
			delete(n.followers, id)
		}
	}
}

// peers returns all members but this one.
func (n *Node) peers() []string { return without(n.membership.members(), n.options.Self) }

// ProposeMembership proposes a membership change on the leader. The new membership must differ by one member, so that
// any majority before the change overlaps any majority after it, or be the joint one of Membership.Replace, which
// LeaveJoint ends later. The error is a NotLeaderError, also while a new leader has not applied the entries of
// earlier leaders, or a ChangePendingError while an earlier change is not committed or still joint.
func (n *Node) ProposeMembership(now time.Duration, group Membership) error {
	n.now = now
	if !n.LeaderReady() {
		return &NotLeaderError{Leader: n.leader}
	}
	if !n.MembershipStable() {
		return &ChangePendingError{}
	}
	n.appendMembership(group)
	return nil
}

// appendMembership appends a membership change to the leader's log and adopts it at once.
func (n *Node) appendMembership(group Membership) {
	index := n.log.lastIndex() + 1
	n.log.entries = append(n.log.entries, Entry{Index: index, Term: n.term, Members: &group})
	n.updateMembership()
	n.broadcast()
}

// LeaveJoint ends a replacement whose joint membership is committed. From then on the new voters decide alone, or
// the previous ones if it is cancelled. Without a replacement in progress it does nothing. The error is a
// NotLeaderError, or a ChangePendingError while the latest membership is not committed.
func (n *Node) LeaveJoint(now time.Duration, cancelled bool) error {
	n.now = now
	switch {
	case !n.LeaderReady():
		return &NotLeaderError{Leader: n.leader}
	case n.membershipIndex > n.log.committed:
		return &ChangePendingError{}
	case !n.membership.Joint():
		return nil
	case cancelled:
		n.appendMembership(n.membership.cancelledReplacement())
	default:
		n.appendMembership(n.membership.finishedReplacement())
	}
	return nil
}

// MembershipStable reports whether the latest membership in the log is committed and not joint.
func (n *Node) MembershipStable() bool {
	return n.membershipIndex <= n.log.committed && !n.membership.Joint()
}

// majority returns the number of voters that form a majority of the set.
func majority(voters []string) int { return len(voters)/2 + 1 }

// quorumValue returns the highest value that a majority of every voter set has reached, or the zero value if a majority
// is not known. value returns the value that a voter has reached, and false if it is not known.
func quorumValue[V cmp.Ordered](n *Node, value func(id string) (V, bool)) V {
	var lowest V
	for i, voters := range n.membership.voterSets() {
		var reached []V
		for _, id := range voters {
			if reachedValue, known := value(id); known {
				reached = append(reached, reachedValue)
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
