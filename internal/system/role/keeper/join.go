package keeper

import (
	"time"

	"granitewing/internal/system/agreement"
)

// RemovedError reports that a group has removed a keeper. The group state on that keeper's disk is invalid.
type RemovedError struct{ ID string }

func (e *RemovedError) Error() string { return "the group does without " + e.ID }

// LeavingError refuses a keeper that asks to join because its machine is being drained.
type LeavingError struct{ ID string }

func (e *LeavingError) Error() string { return "the machine of " + e.ID + " is being emptied" }

// JoinGroup admits a keeper to a group as a learner. Every keeper follows every group, so that the leader of the
// session group can give members the state of all groups, and any keeper that is needed as a voter has caught up.
// knows reports whether the joining keeper's disk holds state of the group already; then it was a member before, and
// gets a RemovedError once a majority confirms its removal.
func (c *Core) JoinGroup(now time.Duration, id int, member string, knows bool, done func(err error)) {
	c.now = now
	if id < 0 || id >= Groups || !c.groups[id].node.LeaderReady() {
		done(c.notLeader(min(max(id, 0), Groups-1)))
		return
	}
	node := c.groups[id].node
	switch {
	case node.Membership().Has(member):
		done(nil)
	case knows:
		c.confirmRemoval(id, member, done)
	case c.isLeaving(member) && !c.leavesAfterOtherGroups(id, member):
		done(&LeavingError{ID: member})
	default:
		done(node.ProposeMembership(now, node.Membership().With(member, agreement.Learner)))
	}
}

// confirmRemoval answers a member that is not in the group, after a majority has confirmed its removal. On a
// RemovedError the member discards its identity and all its stored state of the group, so the answer must be
// certain: a deposed leader, or one with an uncommitted membership change, may see a different membership than the
// current one.
func (c *Core) confirmRemoval(id int, member string, done func(err error)) {
	node := c.groups[id].node
	c.confirm(id, func(err error) {
		switch {
		case err != nil:
			done(err)
		case !node.MembershipStable():
			done(&agreement.ChangePendingError{})
		case node.Membership().Has(member):
			done(nil)
		default:
			done(&RemovedError{ID: member})
		}
	})
}

// JoinState returns this keeper's identity in a group, whether it knows the group's membership, and whether it should
// ask to join. It should while it knows no leader of the group.
func (c *Core) JoinState(now time.Duration, id int) (member string, knows, wanted bool) {
	node := c.groups[id].node
	group := node.Membership()
	knows = !group.Empty()
	return c.options.IDs[id], knows, node.Leader() == ""
}

// ResetGroup discards this keeper's state of a group that has removed it, and starts over under another identity.
func (c *Core) ResetGroup(now time.Duration, id int, identity string) {
	c.now = now
	c.options.IDs[id] = identity
	c.groups[id].failWaiters()
	c.groups[id].reset()
	c.groups[id] = c.newGroup(id, agreement.PersistentState{})
	for subscriber := range c.subscribers {
		c.subscribers[subscriber] = &subscription{} // is sent the whole table again
	}
}
