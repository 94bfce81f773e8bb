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

// tendGroups changes the groups that this keeper leads, one member at a time: a newcomer that has caught up gets a vote
// when a voter is missing, and a voter that is gone loses its place once there are enough without it.
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

func (c *Core) tendGroup(id int, node *agreement.Node) {
	if c.blind() || id == SessionGroup && c.lacking() {
		node.HandOver(c.now, c.leaves)
		return
	}
	group := node.Group()
	silentVoter, silence := longestSilence(node, group)
	gone := ""
	if silence > silentForRemoval {
		gone = silentVoter
	}
	leaving := c.leavingVoter(group)
	if len(group.Voters) > c.options.Tolerance.Voters() {
		c.letGo(id, node, gone, leaving)
		return
	}
	goes := gone
	if goes == "" {
		goes = leaving
	}
	if learner := c.nextVoter(node, group, goes); learner != "" {
		c.changeGroup(id, group.With(learner, agreement.AsVoter))
		return
	}
	for _, learner := range group.Learners {
		if quiet, _ := node.Silence(learner); quiet > learnerGone || c.leaves(learner) {
			c.changeGroup(id, group.With(learner, agreement.Out))
			return
		}
	}
}

// letGo takes a voter out of a group that has one more than it needs: one that is gone, one that is leaving, or one of a
// zone that has too many. One that is gone holds nothing that the group could use, so that is always right; a live one
// stays until the others are live and caught up without it.
func (c *Core) letGo(id int, node *agreement.Node, gone, leaving string) {
	group := node.Group()
	goes := gone
	if goes == "" {
		goes = leaving
	}
	if goes == "" && !c.options.Tolerance.Survives(c.zonesOf(group.Voters, "")) {
		goes = c.crowding(group.Voters)
	}
	if goes == "" || goes != gone && !c.safeWithout(node, goes) {
		return
	}
	if goes == c.options.IDs[id] {
		node.HandOver(c.now, c.leaves) // its successor takes it out
		return
	}
	c.changeGroup(id, group.With(goes, agreement.Out))
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

// nextVoter is a learner that has caught up and should have a vote: since the group has too few, or instead of a voter that
// goes, or instead of one of a zone that has too many. Empty where there is none, or none with whom the voters would keep
// a majority through every tolerated loss; but a group that has too few takes whom it gets.
func (c *Core) nextVoter(node *agreement.Node, group agreement.Membership, goes string) string {
	tolerance := c.options.Tolerance
	lacking := len(group.Voters) < tolerance.Voters()
	survives := tolerance.Survives(c.zonesOf(group.Voters, ""))
	if !lacking && goes == "" && survives {
		return ""
	}
	any := ""
	for _, learner := range group.Learners {
		quiet, caughtUp := node.Silence(learner)
		if !caughtUp || quiet >= memberHeard || c.leaves(learner) {
			continue
		}
		with := append(slices.Clone(group.Voters), learner)
		if 2*len(live(node, with)) <= len(with) {
			continue // the group could commit nothing with one voter more, the change itself among it
		}
		any = learner
		switch {
		case lacking && tolerance.Survives(c.zonesOf(with, "")):
			return learner
		case goes != "" && tolerance.Survives(c.zonesOf(with, goes)):
			return learner
		case goes == "" && !survives && c.crowding(with) != "":
			return learner
		}
	}
	if lacking {
		return any
	}
	return ""
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
func (c *Core) changeGroup(id int, group agreement.Membership) {
	_ = c.groups[id].node.ProposeGroup(c.now, group)
}
