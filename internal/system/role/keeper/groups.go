package keeper

import (
	"slices"
	"time"

	"granitewing/internal/system/agreement"
)

// Times of the care for groups.
const (
	// A voter that was silent for so long is taken for gone: a learner gets its place.
	silentForRemoval = 1200 * time.Millisecond
	learnerGone      = 8 * time.Second
	memberHeard      = 600 * time.Millisecond // within it a member that is live was heard
	goneForGood      = time.Hour              // the silence of a voter whose disk is known to be lost
)

// tendGroups changes the groups that this keeper leads: a newcomer that has caught up gets a vote where there are too few, or takes the place of a
// voter that is gone, that leaves, or whose zone has too many.
func (c *Core) tendGroups() {
	for id, g := range c.groups {
		if g.node.Leading() {
			c.tendGroup(id, g.node)
		}
	}
	c.noteKeepers()
}

// blind tells whether this keeper knows no table of sessions: it was let go by the group that holds it, or has not caught
// up. It can't tell which machines leave, where they are or who is alive, so it must tend no group and name no owners.
func (c *Core) blind() bool { return c.groups[SessionGroup].node.Group().Empty() }

// lacking tells whether this keeper holds nothing of some group: the feed that it would give to members lacks a part.
func (c *Core) lacking() bool {
	return slices.ContainsFunc(c.groups[:], func(g *group) bool { return g.node.Group().Empty() })
}

// tendGroup changes a group, or hands it over where this keeper should not lead it: it knows no sessions, or it leads them and lacks a part of
// what members are given. One that leads the sessions changes their group first, as its voters may all be such that lack a part.
func (c *Core) tendGroup(id int, node *agreement.Node) {
	if c.blind() {
		node.HandOver(c.now, c.leaves)
		return
	}
	if node.Group().Joint() {
		c.endReplacement(id, node)
		return
	}
	if node.GroupSettled() && c.changeMembers(id, node) {
		return
	}
	if id == SessionGroup && c.lacking() && node.GroupSettled() {
		node.HandOver(c.now, c.leaves)
	}
}

// changeMembers makes the change that a group needs most; false where it needs none, or none can be made now.
func (c *Core) changeMembers(id int, node *agreement.Node) bool {
	group := node.Group()
	silentVoter, silence := longestSilence(node, group)
	gone := ""
	if silence > silentForRemoval {
		gone = silentVoter
	}
	leaving := c.leavingVoter(group)
	if len(group.Voters) > c.options.Tolerance.Voters() {
		return c.letGo(id, node, gone, leaving)
	}
	if len(group.Voters) < c.options.Tolerance.Voters() {
		if learner := c.anotherVoter(node, group); learner != "" {
			return c.changeGroup(id, group.With(learner, agreement.AsVoter))
		}
	} else if voter, learner := c.replacement(node, group, gone, leaving); learner != "" {
		return c.replaceVoter(id, voter, learner, gone)
	}
	for _, learner := range group.Learners {
		if quiet, _ := node.Silence(learner); quiet > learnerGone || c.leaves(learner) && !c.leavesLater(id, learner) {
			return c.changeGroup(id, group.With(learner, agreement.Out))
		}
	}
	return false
}

// leavesLater tells whether a member of the sessions' group, whose machine is being emptied, follows it still: as long as another group has not
// let the machine go it may lead that, and needs the table of sessions to know who leaves.
func (c *Core) leavesLater(id int, member string) bool {
	if id != SessionGroup {
		return false
	}
	for group := range Groups {
		if group == SessionGroup {
			continue
		}
		for _, store := range c.sessions.NotLeft(group) {
			if sameHost(AddressOf(member), store) {
				return true
			}
		}
	}
	return false
}

// letGo takes a voter out of a group that has one more than it needs: one that is gone, one that is leaving, or one of a
// zone that has too many. One that is gone holds nothing that the group could use, so that is always right; a live one
// stays until the others are live and caught up without it. It tells whether something was done.
func (c *Core) letGo(id int, node *agreement.Node, gone, leaving string) bool {
	group := node.Group()
	goes := gone
	if goes == "" {
		goes = leaving
	}
	if goes == "" && !c.options.Tolerance.Survives(c.zonesOf(group.Voters, "")) {
		goes = c.crowding(group.Voters)
	}
	if goes == "" || goes != gone && !c.safeWithout(node, goes) {
		return false
	}
	if goes == c.options.IDs[id] {
		return node.HandOver(c.now, c.leaves) // its successor takes it out
	}
	return c.changeGroup(id, group.With(goes, c.placeAfter(id, goes, gone)))
}

// replaceVoter has a learner take the place of a voter in one joint change. With one change after the other the group has two members where the tolerated
// loss may strike both.
func (c *Core) replaceVoter(id int, replaced, learner, gone string) bool {
	node := c.groups[id].node
	if replaced == c.options.IDs[id] {
		return node.HandOver(c.now, c.leaves) // its successor replaces it
	}
	return c.changeGroup(id, node.Group().Replace(replaced, learner, c.placeAfter(id, replaced, gone)))
}

// endReplacement ends the replacement of a voter once the voters with the learner are live, or the one that is replaced is not; it calls it off
// where one of the others has gone meanwhile.
func (c *Core) endReplacement(id int, node *agreement.Node) {
	group := node.Group()
	if !slices.Contains(group.Voters, c.options.IDs[id]) && node.HandOver(c.now, c.leaves) {
		return
	}
	replaced := slices.DeleteFunc(slices.Clone(group.Outgoing), func(id string) bool { return slices.Contains(group.Voters, id) })
	_, silence := longestSilence(node, group)
	switch {
	case len(live(node, replaced)) == 0 || c.safeWith(node, group.Voters):
		_ = node.EndReplacement(c.now, false) // one that is refused is tried again at the next look
	case silence > silentForRemoval:
		_ = node.EndReplacement(c.now, true)
	}
}

// placeAfter is where a voter goes that loses its vote.
func (c *Core) placeAfter(id int, voter, gone string) agreement.Place {
	if voter != gone && c.leavesLater(id, voter) {
		return agreement.AsLearner
	}
	return agreement.Out
}

// crowding is a voter without whom the others keep a majority through every tolerated loss; empty where there is none.
func (c *Core) crowding(voters []string) string {
	for _, voter := range voters {
		if c.options.Tolerance.Survives(c.zonesOf(voters, voter)) {
			return voter
		}
	}
	return ""
}

func (c *Core) zonesOf(ids []string, without string) []string {
	zones := make([]string, 0, len(ids))
	for _, id := range ids {
		if id != without {
			zones = append(zones, c.zoneOf(id))
		}
	}
	return zones
}

// anotherVoter is a learner that has caught up and that a group with too few voters gives a vote: one with whom the voters keep a majority through
// every tolerated loss, or else any. Empty where there is none.
func (c *Core) anotherVoter(node *agreement.Node, group agreement.Membership) string {
	any := ""
	for _, learner := range c.candidates(node, group) {
		with := append(slices.Clone(group.Voters), learner)
		if 2*len(live(node, with)) <= len(with) {
			continue // the group could commit nothing with one voter more, the change itself among it
		}
		if c.options.Tolerance.Survives(c.zonesOf(with, "")) {
			return learner
		}
		any = learner
	}
	return any
}

// replacement is a voter that a group should rather do without, and a learner that has caught up and with whom in its place the voters keep a majority
// through every tolerated loss. A live voter is replaced only while the others are live. The learner is empty where there is none.
func (c *Core) replacement(node *agreement.Node, group agreement.Membership, gone, leaving string) (voter, learner string) {
	for _, voter := range c.replaceable(group, gone, leaving) {
		for _, learner := range c.candidates(node, group) {
			after := group.Replace(voter, learner, agreement.Out).Voters
			fits := 2*len(live(node, after)) > len(after) && c.options.Tolerance.Survives(c.zonesOf(after, ""))
			if fits && (voter == gone || c.safeWith(node, after)) {
				return voter, learner
			}
		}
	}
	return "", ""
}

// replaceable gives the voters that a group should rather do without: one that is gone, else one that leaves, else any where a zone has too many.
func (c *Core) replaceable(group agreement.Membership, gone, leaving string) []string {
	switch {
	case gone != "":
		return []string{gone}
	case leaving != "":
		return []string{leaving}
	case !c.options.Tolerance.Survives(c.zonesOf(group.Voters, "")):
		return group.Voters
	}
	return nil
}

// candidates gives the learners that may get a vote: they hold all that is committed, were heard a moment ago and stay.
func (c *Core) candidates(node *agreement.Node, group agreement.Membership) []string {
	return slices.DeleteFunc(live(node, group.Learners), c.leaves)
}

// zoneOf is the zone of a member's machine, which its store tells; empty where that is not known.
func (c *Core) zoneOf(id string) string {
	for _, disk := range c.sessions.Disks() {
		if sameHost(AddressOf(id), disk.Member.Address) {
			return disk.Member.Zone
		}
	}
	return ""
}

// Yield has other keepers lead what this one leads, before it stops. The answer tells whether it leads nothing any more.
func (c *Core) Yield(now time.Duration) bool {
	c.now = now
	yielded := true
	for _, g := range c.groups {
		if g.node.Leading() {
			yielded = false
			g.node.HandOver(now, c.leaves)
		}
	}
	return yielded
}

// longestSilence is the voter that has not answered for longest. One whose address another member has is gone for good:
// that one was drawn on the empty disk of the same machine.
func longestSilence(node *agreement.Node, group agreement.Membership) (id string, silence time.Duration) {
	for _, voter := range group.Voters {
		quiet, _ := node.Silence(voter)
		if quiet > memberHeard && slices.ContainsFunc(group.Learners, func(learner string) bool { return AddressOf(learner) == AddressOf(voter) }) {
			quiet = goneForGood
		}
		if quiet > silence {
			id, silence = voter, quiet
		}
	}
	return id, silence
}

// changeGroup proposes a change; one that is under way is tried again at the next look.
func (c *Core) changeGroup(id int, group agreement.Membership) bool {
	return c.groups[id].node.ProposeGroup(c.now, group) == nil
}
