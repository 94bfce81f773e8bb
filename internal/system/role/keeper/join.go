package keeper

import (
	"time"

	"granitewing/internal/system/agreement"
)

// RemovedError tells a keeper that its group does without it: what its disk holds of the group is void.
type RemovedError struct{ ID string }

func (e *RemovedError) Error() string { return "the group does without " + e.ID }

// LeavingError tells a newcomer that its machine is being emptied.
type LeavingError struct{ ID string }

func (e *LeavingError) Error() string { return "the machine of " + e.ID + " is being emptied" }

// JoinGroup lets a newcomer follow a group. Every keeper follows every group: whoever leads the sessions gives members all
// that the groups hold, and whoever is needed as a voter has caught up. knows tells whether its disk names a group already.
func (c *Core) JoinGroup(now time.Duration, id int, member string, knows bool, done func(err error)) {
	c.now = now
	if id < 0 || id >= Groups || !c.groups[id].node.Leading() {
		done(c.notLeader(min(max(id, 0), Groups-1)))
		return
	}
	node := c.groups[id].node
	switch {
	case node.Group().Has(member):
		done(nil)
	case knows:
		c.refuseRemoved(id, member, done)
	case c.leaves(member) && !c.leavesLater(id, member):
		done(&LeavingError{ID: member})
	default:
		done(node.ProposeGroup(now, node.Group().With(member, agreement.AsLearner)))
	}
}

// refuseRemoved tells a member that its group does without it, once a majority has confirmed that: on this word it gives up
// its identity and all that its disk holds of the group. A leader that was deposed, or a change that is not committed, may
// know of another group than the one that there is.
func (c *Core) refuseRemoved(id int, member string, done func(err error)) {
	node := c.groups[id].node
	c.confirm(id, func(err error) {
		switch {
		case err != nil:
			done(err)
		case !node.GroupSettled():
			done(&agreement.ChangePendingError{})
		case node.Group().Has(member):
			done(nil)
		default:
			done(&RemovedError{ID: member})
		}
	})
}

// Joining tells whether a group's member should ask to join: it knows of no group, or has heard no leader for long.
func (c *Core) Joining(now time.Duration, id int) (member string, knows, wanted bool) {
	node := c.groups[id].node
	group := node.Group()
	knows = !group.Empty()
	return c.options.IDs[id], knows, node.Leader() == ""
}

// ResetGroup begins a group's member anew, under another identity, after the group did without it.
func (c *Core) ResetGroup(now time.Duration, id int, identity string) {
	c.now = now
	c.options.IDs[id] = identity
	c.groups[id].abandon()
	c.groups[id].reset()
	c.groups[id] = c.newGroup(id, agreement.Stored{})
	for subscriber := range c.subscribers {
		c.subscribers[subscriber] = &subscription{} // it gets the whole table
	}
}
