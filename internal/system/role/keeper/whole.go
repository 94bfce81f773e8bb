package keeper

import (
	"slices"

	"granitewing/internal/system/agreement"
)

// live gives those of some members that hold all that is committed and were heard a moment ago, as their leader sees them.
func live(node *agreement.Node, members []string) []string {
	var found []string
	for _, id := range members {
		if quiet, caughtUp := node.Silence(id); caughtUp && quiet < memberHeard {
			found = append(found, id)
		}
	}
	return found
}

// whole tells whether voters of a group that this keeper leads keep a live majority through every loss that is tolerated.
// Where zones may be lost, one whose zone is not known may lie in any.
func (c *Core) whole(node *agreement.Node, voters []string) bool {
	tolerance := c.options.Tolerance
	zones := c.zonesOf(live(node, voters), "")
	if tolerance.Zones+tolerance.Regions > 0 && slices.Contains(zones, "") {
		return false
	}
	return tolerance.SurvivesWith(zones, len(voters))
}

// safeWithout tells whether a live member may leave a group: the voters that stay keep a live majority through every
// loss that is tolerated, or all of them are live, as many as there should be, where they lie too near each other for that.
func (c *Core) safeWithout(node *agreement.Node, member string) bool {
	return c.safeWith(node, slices.DeleteFunc(slices.Clone(node.Group().Voters), func(id string) bool { return id == member }))
}

// safeWith tells whether a group may do with some voters, as safeWithout says.
func (c *Core) safeWith(node *agreement.Node, staying []string) bool {
	if c.whole(node, staying) {
		return true
	}
	return len(staying) >= c.options.Tolerance.Voters() && len(live(node, staying)) == len(staying)
}

// Whole tells whether this keeper leads a group, and whether the group as it is now may lose what is tolerated.
func (c *Core) Whole(id int) (whole, leads bool) {
	node := c.groups[id].node
	if !node.Leading() || !node.Followed(ElectionTimeout) {
		return false, false
	}
	return node.GroupSettled() && c.whole(node, node.Group().Voters), true
}
