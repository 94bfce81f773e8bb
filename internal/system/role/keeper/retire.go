package keeper

import (
	"fmt"
	"net"
	"slices"
	"time"

	"granitewing/internal/system/agreement"
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

// RetireMachine has a machine's disks emptied. A repeat is acknowledged again.
func (c *Core) RetireMachine(now time.Duration, node string, done func(err error)) {
	c.now = now
	if !c.groups[SessionGroup].node.Leading() {
		done(c.notLeader(SessionGroup))
		return
	}
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

// Retired tells whether a machine holds nothing any more: no message, and no place in a group.
func (c *Core) Retired(now time.Duration, node string) (retired bool, err error) {
	c.now = now
	if !c.groups[SessionGroup].node.Leading() {
		return false, c.notLeader(SessionGroup)
	}
	switch c.sessions.Retirement(node) {
	case session.UnknownMachine, session.Staying:
		return false, &UnknownMachineError{Node: node}
	case session.Running:
		return false, nil
	}
	return !c.holdsPlace(), nil
}

// holdsPlace tells whether a machine that is being emptied still has a place in a group.
func (c *Core) holdsPlace() bool {
	for _, g := range c.groups {
		group := g.node.Group()
		if !g.node.GroupSettled() {
			return true
		}
		for _, id := range append(slices.Clone(group.Voters), group.Learners...) {
			if c.leaves(id) {
				return true
			}
		}
	}
	return false
}

// leaves tells whether a member's machine is being emptied.
func (c *Core) leaves(id string) bool {
	host, _, err := net.SplitHostPort(AddressOf(id))
	if err != nil {
		return false
	}
	for _, address := range c.sessions.LeavingAddresses() {
		if other, _, err := net.SplitHostPort(address); err == nil && other == host {
			return true
		}
	}
	return false
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

// DiskEmptied notes that all that lies on a leaving disk lies on enough others.
func (c *Core) DiskEmptied(now time.Duration, disk string, done func(err error)) {
	c.now = now
	c.proposeSession(session.Command{Kind: session.DiskEmptied, Disk: disk}, done)
}
