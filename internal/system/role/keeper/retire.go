package keeper

import (
	"net"
	"reflect"
	"slices"
	"time"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/session"
)

// RetireMachine has a machine's disks emptied. A repeat is acknowledged again. The order is judged where it is applied, so that a refusal
// stands on a majority's word and on all orders before it.
func (c *Core) RetireMachine(now time.Duration, node string, done func(err error)) {
	c.now = now
	c.orderRetirement(session.Command{Kind: session.Retire, Node: node}, done)
}

// CancelRetirement has a machine stay that is being emptied, or waits for it.
func (c *Core) CancelRetirement(now time.Duration, node string, done func(err error)) {
	c.now = now
	c.orderRetirement(session.Command{Kind: session.CancelRetire, Node: node}, done)
}

func (c *Core) orderRetirement(command session.Command, done func(err error)) {
	if c.sessions.Tolerance() == nil {
		done(c.notLeader(SessionGroup)) // how many disks must stay is not known yet
		return
	}
	c.proposeSession(command, done)
}

// tellTolerance has the table of sessions know what may be lost, as this keeper's settings have it.
func (c *Core) tellTolerance() {
	if !c.groups[SessionGroup].node.Leading() || c.now < c.toleranceTold || reflect.DeepEqual(c.sessions.Tolerance(), c.options.Tolerance) {
		return
	}
	c.toleranceTold = c.now + orderWait
	c.proposeSession(session.Command{Kind: session.Tolerate, Tolerance: c.options.Tolerance}, func(error) { c.toleranceTold = 0 })
}

// Retired tells whether a machine holds nothing any more: no message that would lie on too few disks without it, and no
// place in a group. A majority has confirmed what is told.
func (c *Core) Retired(now time.Duration, node string, done func(retired bool, err error)) {
	c.now = now
	c.confirm(SessionGroup, func(err error) {
		if err != nil {
			done(false, err)
			return
		}
		switch c.sessions.Retirement(node) {
		case session.UnknownMachine, session.Staying:
			done(false, &session.UnknownMachineError{Node: node})
		case session.Running:
			done(false, nil)
		default:
			done(c.sessions.HasLeft(node, Groups), nil)
		}
	})
}

// GroupLeft notes the word of a group's leader that the group does without a machine that is being emptied.
func (c *Core) GroupLeft(now time.Duration, node string, group int, done func(err error)) {
	c.now = now
	c.proposeSession(session.Command{Kind: session.GroupLeft, Node: node, Group: group}, done)
}

// Departure is a machine that is being emptied and that a group does without.
type Departure struct {
	Node  string
	Group int
}

// Departures gives what this keeper has to tell the leader of the sessions: of the groups that it leads, those that do
// without a machine that is being emptied, by a committed change, and have their live voters without it.
func (c *Core) Departures(now time.Duration) []Departure {
	c.now = now
	var departures []Departure
	if c.blind() {
		return nil
	}
	for id, g := range c.groups {
		if !g.node.Leading() || !g.node.GroupSettled() || !g.node.Followed(ElectionTimeout) || !c.safeWithout(g.node, "") {
			continue
		}
		for node, address := range ordered.Map(c.sessions.NotLeft(id)) {
			if !holdsPlace(g.node.Group(), address) {
				departures = append(departures, Departure{Node: node, Group: id})
			}
		}
	}
	return departures
}

// holdsPlace tells whether the machine of a store has a keeper in a group.
func holdsPlace(group agreement.Membership, store string) bool {
	return slices.ContainsFunc(append(slices.Clone(group.Voters), group.Learners...), func(id string) bool { return sameHost(AddressOf(id), store) })
}

// sameHost tells whether two addresses are of one machine.
func sameHost(one, other string) bool {
	host, _, err := net.SplitHostPort(one)
	if err != nil {
		return false
	}
	another, _, err := net.SplitHostPort(other)
	return err == nil && host == another
}

// leaves tells whether a member's machine is being emptied.
func (c *Core) leaves(id string) bool {
	return slices.ContainsFunc(c.sessions.LeavingAddresses(), func(store string) bool { return sameHost(AddressOf(id), store) })
}

// leavingVoter is a voter whose machine is being emptied, or empty.
func (c *Core) leavingVoter(group agreement.Membership) string {
	for _, id := range group.Voters {
		if c.leaves(id) {
			return id
		}
	}
	return ""
}

// MissingDiskError answers the word that a disk is empty while another is missing, of whose messages it may hold the only
// copies that are left.
type MissingDiskError struct{ Disk string }

func (e *MissingDiskError) Error() string {
	return "disk " + e.Disk + " stays while another that counts has no live store"
}

// DiskEmptied notes that all that lies on a leaving disk lies on enough others, by the roster of an epoch.
func (c *Core) DiskEmptied(now time.Duration, disk string, epoch uint64, done func(err error)) {
	c.now = now
	if c.sessions.Missing(c.sessions.Disks()[disk].Member.Node) {
		done(&MissingDiskError{Disk: disk})
		return
	}
	c.proposeSession(session.Command{Kind: session.DiskEmptied, Disk: disk, Epoch: epoch}, done)
}
