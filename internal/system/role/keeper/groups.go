package keeper

import (
	"slices"
	"time"

	"granitewing/internal/system/agreement"
)

// Times that govern changes of group membership.
const (
	// voterRemovalTimeout is the silence after which a voter is considered lost and is replaced by a learner.
	voterRemovalTimeout   = 1200 * time.Millisecond
	learnerRemovalTimeout = 8 * time.Second        // the same for learners, which are removed
	memberLiveWindow      = 600 * time.Millisecond // a live member answered its leader within this time
	permanentSilence      = time.Hour              // used in place of the measured silence of a voter whose disk is known to be lost; above all timeouts
)

// reconcileGroups adjusts the membership of the groups that this keeper leads. A learner that has caught up is
// promoted if the group has too few voters, or replaces a voter that is lost, whose machine is being drained, or
// whose zone has too many voters.
func (c *Core) reconcileGroups() {
	for id, g := range c.groups {
		if g.node.LeaderReady() {
			c.reconcileGroup(id, g.node)
		}
	}
	c.publishKeepers()
}

// lacksSessions reports whether this keeper has no session table: the session group removed it, or it has not caught
// up yet. Without the table it can't tell which machines are being drained, in which zone a machine is, or which
// members are live, so it must not change group membership or assign owners.
func (c *Core) lacksSessions() bool { return c.groups[SessionGroup].node.Membership().Empty() }

// lacksGroup reports whether this keeper has no state of some group, so that the feed that it would give to members
// is incomplete.
func (c *Core) lacksGroup() bool {
	return slices.ContainsFunc(c.groups[:], func(g *group) bool { return g.node.Membership().Empty() })
}

// reconcileGroup changes the membership of a group that this keeper leads. It transfers leadership if this keeper
// should not lead: if it has no session table, or if it leads the session group and lacks another part of the feed.
// In the latter case it first changes the membership of the session group, as all of its voters may lack such a
// part.
func (c *Core) reconcileGroup(id int, node *agreement.Node) {
	if c.lacksSessions() {
		node.TransferLeadership(c.now, c.isLeaving)
		return
	}
	if node.Membership().Joint() {
		c.finishReplacement(id, node)
		return
	}
	if node.MembershipStable() && c.changeMembership(id, node) {
		return
	}
	if id == SessionGroup && c.lacksGroup() && node.MembershipStable() {
		node.TransferLeadership(c.now, c.isLeaving)
	}
}

// changeMembership makes the most urgent membership change of a group. It returns false if no change is needed or
// possible now.
func (c *Core) changeMembership(id int, node *agreement.Node) bool {
	group := node.Membership()
	silentVoter, silence := longestSilence(node, group)
	unreachable := ""
	if silence > voterRemovalTimeout {
		unreachable = silentVoter
	}
	leaving := c.leavingVoter(group)
	if len(group.Voters) > c.options.Tolerance.Voters() {
		return c.removeSurplusVoter(id, node, unreachable, leaving)
	}
	if len(group.Voters) < c.options.Tolerance.Voters() {
		if learner := c.learnerToPromote(node, group); learner != "" {
			return c.changeGroup(id, group.With(learner, agreement.Voter))
		}
	} else if voter, learner := c.chooseReplacement(node, group, unreachable, leaving); learner != "" {
		return c.replaceVoter(id, voter, learner, unreachable)
	}
	for _, learner := range group.Learners {
		if elapsed, _ := node.FollowerStatus(learner); elapsed > learnerRemovalTimeout || c.isLeaving(learner) && !c.leavesAfterOtherGroups(id, learner) {
			return c.changeGroup(id, group.With(learner, agreement.NotMember))
		}
	}
	return false
}

// leavesAfterOtherGroups reports whether a member of the session group on a machine that is being drained has to
// stay in that group for now. Until every other group has removed the machine, the member may lead one of them, and
// then needs the session table to know which machines are being drained.
func (c *Core) leavesAfterOtherGroups(id int, member string) bool {
	if id != SessionGroup {
		return false
	}
	for group := range Groups {
		if group == SessionGroup {
			continue
		}
		for _, store := range c.sessions.MachinesNotRemoved(group) {
			if sameHost(AddressOf(member), store) {
				return true
			}
		}
	}
	return false
}

// removeSurplusVoter removes a voter from a group that has more voters than needed: a lost one, else one on a
// machine that is being drained, else one in a zone that has too many. A lost voter holds nothing that the group
// could use, so it can always be removed. A live one stays until the others are live and caught up without it. The
// result reports whether a change was started.
func (c *Core) removeSurplusVoter(id int, node *agreement.Node, unreachable, leaving string) bool {
	group := node.Membership()
	target := unreachable
	if target == "" {
		target = leaving
	}
	if target == "" && !c.options.Tolerance.MajoritySurvives(c.zonesOf(group.Voters, "")) {
		target = c.redundantVoter(group.Voters)
	}
	if target == "" || target != unreachable && !c.safeWithout(node, target) {
		return false
	}
	if target == c.options.IDs[id] {
		return node.TransferLeadership(c.now, c.isLeaving) // the new leader removes this keeper
	}
	return c.changeGroup(id, group.With(target, c.roleAfterRemoval(id, target, unreachable)))
}

// replaceVoter replaces a voter by a learner in one joint change. With two separate changes, the group would for a
// while have two members in a place where one tolerated loss may strike both.
func (c *Core) replaceVoter(id int, replaced, learner, unreachable string) bool {
	node := c.groups[id].node
	if replaced == c.options.IDs[id] {
		return node.TransferLeadership(c.now, c.isLeaving) // the new leader replaces this keeper
	}
	return c.changeGroup(id, node.Membership().Replace(replaced, learner, c.roleAfterRemoval(id, replaced, unreachable)))
}

// finishReplacement completes a joint change once the new set of voters is safe, or the replaced voter is no longer
// live. It cancels the change if one of the other voters was lost meanwhile.
func (c *Core) finishReplacement(id int, node *agreement.Node) {
	group := node.Membership()
	if !slices.Contains(group.Voters, c.options.IDs[id]) && node.TransferLeadership(c.now, c.isLeaving) {
		return
	}
	replaced := slices.DeleteFunc(slices.Clone(group.Outgoing), func(id string) bool { return slices.Contains(group.Voters, id) })
	_, silence := longestSilence(node, group)
	switch {
	case len(liveMembers(node, replaced)) == 0 || c.safeWithVoters(node, group.Voters):
		_ = node.LeaveJoint(c.now, false) // if refused, the next reconciliation tries again
	case silence > voterRemovalTimeout:
		_ = node.LeaveJoint(c.now, true)
	}
}

// roleAfterRemoval returns what a voter becomes that loses its vote: a learner if it must still follow the session
// group, otherwise no member.
func (c *Core) roleAfterRemoval(id int, voter, unreachable string) agreement.MemberRole {
	if voter != unreachable && c.leavesAfterOtherGroups(id, voter) {
		return agreement.Learner
	}
	return agreement.NotMember
}

// redundantVoter returns a voter without which the others keep a majority through every tolerated loss, or an empty
// string.
func (c *Core) redundantVoter(voters []string) string {
	for _, voter := range voters {
		if c.options.Tolerance.MajoritySurvives(c.zonesOf(voters, voter)) {
			return voter
		}
	}
	return ""
}

// zonesOf returns the zones of the members in ids except without.
func (c *Core) zonesOf(ids []string, without string) []string {
	zones := make([]string, 0, len(ids))
	for _, id := range ids {
		if id != without {
			zones = append(zones, c.zoneOf(id))
		}
	}
	return zones
}

// learnerToPromote returns a learner to promote in a group that has too few voters: one that has caught up and with
// which the voters keep a majority through every tolerated loss, or else any that has caught up. It returns an empty
// string if there is none.
func (c *Core) learnerToPromote(node *agreement.Node, group agreement.Membership) string {
	fallback := ""
	for _, learner := range c.promotableLearners(node, group) {
		with := append(slices.Clone(group.Voters), learner)
		if 2*len(liveMembers(node, with)) <= len(with) {
			continue // with one more voter the group could commit nothing, not even this change
		}
		if c.options.Tolerance.MajoritySurvives(c.zonesOf(with, "")) {
			return learner
		}
		fallback = learner
	}
	return fallback
}

// chooseReplacement returns a voter to replace and a learner that has caught up and with which the voters keep a
// majority through every tolerated loss. A live voter is replaced only while the others are live. The learner is
// empty if there is no such pair.
func (c *Core) chooseReplacement(node *agreement.Node, group agreement.Membership, unreachable, leaving string) (voter, learner string) {
	for _, voter := range c.replaceableVoters(group, unreachable, leaving) {
		for _, learner := range c.promotableLearners(node, group) {
			after := group.Replace(voter, learner, agreement.NotMember).Voters
			fits := 2*len(liveMembers(node, after)) > len(after) && c.options.Tolerance.MajoritySurvives(c.zonesOf(after, ""))
			if fits && (voter == unreachable || c.safeWithVoters(node, after)) {
				return voter, learner
			}
		}
	}
	return "", ""
}

// replaceableVoters returns the voters that a group should replace: a lost one, else one on a machine that is being
// drained, else all voters if they don't survive every tolerated loss.
func (c *Core) replaceableVoters(group agreement.Membership, unreachable, leaving string) []string {
	switch {
	case unreachable != "":
		return []string{unreachable}
	case leaving != "":
		return []string{leaving}
	case !c.options.Tolerance.MajoritySurvives(c.zonesOf(group.Voters, "")):
		return group.Voters
	}
	return nil
}

// promotableLearners returns the learners that may become voters: they hold all committed entries, answered within
// memberLiveWindow, and are not on a machine that is being drained.
func (c *Core) promotableLearners(node *agreement.Node, group agreement.Membership) []string {
	return slices.DeleteFunc(liveMembers(node, group.Learners), c.isLeaving)
}

// zoneOf returns the zone of a member's machine, as reported by the store on that machine, or an empty string if
// unknown.
func (c *Core) zoneOf(id string) string {
	for _, disk := range c.sessions.Disks() {
		if sameHost(AddressOf(id), disk.Member.Address) {
			return disk.Member.Zone
		}
	}
	return ""
}

// TransferLeadership transfers the leadership of all groups that this keeper leads, before it shuts down. It returns
// true once this keeper leads no group.
func (c *Core) TransferLeadership(now time.Duration) bool {
	c.now = now
	yielded := true
	for _, g := range c.groups {
		if g.node.LeaderReady() {
			yielded = false
			g.node.TransferLeadership(now, c.isLeaving)
		}
	}
	return yielded
}

// longestSilence returns the voter that has not answered for the longest time. A voter whose address also belongs to
// a learner is lost for good: the learner's identity was created on an empty disk of the same machine.
func longestSilence(node *agreement.Node, group agreement.Membership) (id string, silence time.Duration) {
	for _, voter := range group.Voters {
		elapsed, _ := node.FollowerStatus(voter)
		if elapsed > memberLiveWindow && slices.ContainsFunc(group.Learners, func(learner string) bool { return AddressOf(learner) == AddressOf(voter) }) {
			elapsed = permanentSilence
		}
		if elapsed > silence {
			id, silence = voter, elapsed
		}
	}
	return id, silence
}

// changeGroup proposes a new membership and reports whether it was accepted. If another change is in progress, the
// next reconciliation tries again.
func (c *Core) changeGroup(id int, group agreement.Membership) bool {
	return c.groups[id].node.ProposeMembership(c.now, group) == nil
}
