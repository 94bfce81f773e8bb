package keeper

import (
	"fmt"
	"net"
	"slices"
	"time"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/session"
)

// UnknownMachineError answers an order about a machine that has no disk in the roster.
type UnknownMachineError struct{ Node string }

func (e *UnknownMachineError) Error() string { return "no store is known at machine " + e.Node }

// TooFewError answers an order to empty a machine that can't be spared.
type TooFewError struct{ Left, Needed int }

func (e *TooFewError) Error() string {
	return fmt.Sprintf("%d disks would be left, %d are needed", e.Left, e.Needed)
}

// RetireMachine has a machine's disks emptied. A repeat is acknowledged again. A refusal stands on a majority's word, as
// the state that it speaks of may be old.
func (c *Core) RetireMachine(now time.Duration, node string, done func(err error)) {
	c.now = now
	c.confirm(SessionGroup, func(err error) {
		if err != nil {
			done(err)
			return
		}
		c.beginRetirement(node, done)
	})
}

func (c *Core) beginRetirement(node string, done func(err error)) {
	switch c.sessions.Retirement(node) {
	case session.UnknownMachine:
		done(&UnknownMachineError{Node: node})
		return
	case session.Running, session.Emptied:
		done(nil)
		return
	}
	// As many stay as there are voters: messages then find their copies, and one more may be lost.
	if left := c.sessions.Staying(node); left < c.options.Tolerance.Voters() {
		done(&TooFewError{Left: left, Needed: c.options.Tolerance.Voters()})
		return
	}
	c.proposeSession(session.Command{Kind: session.Retire, Node: node}, done)
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
			done(false, &UnknownMachineError{Node: node})
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

// DiskEmptied notes that all that lies on a leaving disk lies on enough others.
func (c *Core) DiskEmptied(now time.Duration, disk string, done func(err error)) {
	c.now = now
	if c.sessions.Missing(c.sessions.Disks()[disk].Member.Node) {
		done(&MissingDiskError{Disk: disk})
		return
	}
	c.proposeSession(session.Command{Kind: session.DiskEmptied, Disk: disk}, done)
}
