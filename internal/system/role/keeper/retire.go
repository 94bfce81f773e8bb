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

// RetireMachine starts the retirement of a machine: its disks are drained and its keeper leaves all groups. A
// repeated order is acknowledged again. The order is checked when it is applied, so that a refusal is confirmed by a
// majority and takes all earlier orders into account.
func (c *Core) RetireMachine(now time.Duration, node string, done func(err error)) {
	c.now = now
	c.proposeRetirement(session.Command{Kind: session.Retire, Node: node}, done)
}

// CancelRetirement cancels the retirement of a machine that is being drained or waits for it. The order is checked
// when it is applied, as in RetireMachine.
func (c *Core) CancelRetirement(now time.Duration, node string, done func(err error)) {
	c.now = now
	c.proposeRetirement(session.Command{Kind: session.CancelRetire, Node: node}, done)
}

// proposeRetirement proposes a retirement command, unless the session table has no tolerance yet.
func (c *Core) proposeRetirement(command session.Command, done func(err error)) {
	if c.sessions.Tolerance() == nil {
		done(c.notLeader(SessionGroup)) // without the tolerance it is unknown how many disks must stay
		return
	}
	c.proposeSession(command, done)
}

// proposeTolerance records the tolerance from this keeper's settings in the session table, if it differs from the
// recorded one.
func (c *Core) proposeTolerance() {
	if !c.groups[SessionGroup].node.LeaderReady() || c.now < c.toleranceDeadline || reflect.DeepEqual(c.sessions.Tolerance(), c.options.Tolerance) {
		return
	}
	c.toleranceDeadline = c.now + proposalTimeout
	c.proposeSession(session.Command{Kind: session.SetTolerance, Tolerance: c.options.Tolerance}, func(error) { c.toleranceDeadline = 0 })
}

// Retired reports whether the retirement of a machine is complete: every message on its disks has enough replicas
// elsewhere, and its keeper belongs to no group. The answer is confirmed by a majority. done gets an
// UnknownMachineError for a machine that is unknown or not being retired.
func (c *Core) Retired(now time.Duration, node string, done func(retired bool, err error)) {
	c.now = now
	c.confirm(SessionGroup, func(err error) {
		if err != nil {
			done(false, err)
			return
		}
		switch c.sessions.Retirement(node) {
		case session.UnknownMachine, session.NotRetiring:
			done(false, &session.UnknownMachineError{Node: node})
		case session.Draining:
			done(false, nil)
		default:
			done(c.sessions.HasLeft(node, Groups), nil)
		}
	})
}

// GroupRemovedNode records that a group has removed the keeper on a machine that is being drained, as reported by the
// group's leader.
func (c *Core) GroupRemovedNode(now time.Duration, node string, group int, done func(err error)) {
	c.now = now
	c.proposeSession(session.Command{Kind: session.GroupRemovedNode, Node: node, Group: group}, done)
}

// Departure states that a group has removed the keeper on a machine that is being drained.
type Departure struct {
	Node  string
	Group int
}

// Departures returns the departures that this keeper should report to the leader of the session group. They cover
// the groups that it leads, if the removal is committed and the remaining voters are safe without the machine.
func (c *Core) Departures(now time.Duration) []Departure {
	c.now = now
	var departures []Departure
	if c.lacksSessions() {
		return nil
	}
	for id, g := range c.groups {
		if !g.node.LeaderReady() || !g.node.MembershipStable() || !g.node.QuorumActive(ElectionTimeout) || !c.safeWithout(g.node, "") {
			continue
		}
		for node, address := range ordered.Map(c.sessions.MachinesNotRemoved(id)) {
			if !hasMemberAt(g.node.Membership(), address) {
				departures = append(departures, Departure{Node: node, Group: id})
			}
		}
	}
	return departures
}

// hasMemberAt reports whether the keeper on a store's machine is a member of a group.
func hasMemberAt(group agreement.Membership, store string) bool {
	return slices.ContainsFunc(append(slices.Clone(group.Voters), group.Learners...), func(id string) bool { return sameHost(AddressOf(id), store) })
}

// sameHost reports whether two addresses are on the same machine.
func sameHost(a, b string) bool {
	hostA, _, err := net.SplitHostPort(a)
	if err != nil {
		return false
	}
	hostB, _, err := net.SplitHostPort(b)
	return err == nil && hostA == hostB
}

// isLeaving reports whether the machine of a group member is being drained or was drained.
func (c *Core) isLeaving(id string) bool {
	return slices.ContainsFunc(c.sessions.LeavingAddresses(), func(store string) bool { return sameHost(AddressOf(id), store) })
}

// leavingVoter returns a voter on a machine that is being drained, or an empty string.
func (c *Core) leavingVoter(group agreement.Membership) string {
	for _, id := range group.Voters {
		if c.isLeaving(id) {
			return id
		}
	}
	return ""
}

// MissingDiskError refuses the report that a disk is drained while another counted disk is missing: the drained disk
// may hold the last replicas of messages on the missing one.
type MissingDiskError struct{ Disk string }

func (e *MissingDiskError) Error() string {
	return "disk " + e.Disk + " stays while another that counts has no live store"
}

// DiskDrained records that a leaving disk is drained: all its messages have enough replicas on the other disks of
// the roster with the given epoch.
func (c *Core) DiskDrained(now time.Duration, disk string, epoch uint64, done func(err error)) {
	c.now = now
	if c.sessions.HasMissingStore(c.sessions.Disks()[disk].Member.Node) {
		done(&MissingDiskError{Disk: disk})
		return
	}
	c.proposeSession(session.Command{Kind: session.DiskDrained, Disk: disk, Epoch: epoch}, done)
}
