package keeper

import (
	"slices"

	"granitewing/internal/system/agreement"
)

// liveMembers returns the members that hold all committed entries and answered within memberLiveWindow, as seen by
// the leader of their group.
func liveMembers(node *agreement.Node, members []string) []string {
	var found []string
	for _, id := range members {
		if silence, caughtUp := node.FollowerStatus(id); caughtUp && silence < memberLiveWindow {
			found = append(found, id)
		}
	}
	return found
}

// survivesLoss reports whether voters of a group that this keeper leads keep a live majority through every tolerated
// loss. If the loss of zones or regions is tolerated, a voter of unknown zone may be in any zone, so the result is
// false.
func (c *Core) survivesLoss(node *agreement.Node, voters []string) bool {
	tolerance := c.options.Tolerance
	zones := c.zonesOf(liveMembers(node, voters), "")
	if tolerance.Zones+tolerance.Regions > 0 && slices.Contains(zones, "") {
		return false
	}
	return tolerance.MajoritySurvivesWith(zones, len(voters))
}

// safeWithout reports whether a live member may leave a group. The remaining voters must keep a live majority
// through every tolerated loss. If they are too close together for that, all of them must be live and there must be
// as many as the tolerance requires.
func (c *Core) safeWithout(node *agreement.Node, member string) bool {
	return c.safeWithVoters(node, slices.DeleteFunc(slices.Clone(node.Membership().Voters), func(id string) bool { return id == member }))
}

// safeWithVoters reports whether the group is safe with only the given voters, by the rule of safeWithout.
func (c *Core) safeWithVoters(node *agreement.Node, staying []string) bool {
	if c.survivesLoss(node, staying) {
		return true
	}
	return len(staying) >= c.options.Tolerance.Voters() && len(liveMembers(node, staying)) == len(staying)
}

// SurvivesLoss reports whether this keeper leads a group, and whether the group with its current voters survives every
// tolerated loss.
func (c *Core) SurvivesLoss(id int) (whole, leads bool) {
	node := c.groups[id].node
	if !node.LeaderReady() || !node.QuorumActive(ElectionTimeout) {
		return false, false
	}
	return node.MembershipStable() && c.survivesLoss(node, node.Membership().Voters), true
}
