package keeper

import (
	"net"
	"slices"
	"strings"
	"time"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/feed"
)

// A member's identity in a group is its address, and for one that was not a founder a part drawn on its disk.
const identitySeparator = "#"

// AddressOf is the address in an identity.
func AddressOf(id string) string {
	address, _, _ := strings.Cut(id, identitySeparator)
	return address
}

// FreshIdentity is the identity of a member that starts on an empty disk and is no founder.
func FreshIdentity(address, drawn string) string { return address + identitySeparator + drawn }

// Times of the care for groups.
const (
	silentForPromotion = 1000 * time.Millisecond // of a voter, before a learner that has caught up takes a vote
	silentForRemoval   = 1400 * time.Millisecond // of a voter, while there are voters enough without it
	learnerGone        = 8 * time.Second
	learnerHeard       = 600 * time.Millisecond
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
		node.HandOver(c.now)
		return
	}
	group := node.Group()
	wanted := c.options.Tolerance.Voters()
	silentVoter, silence := longestSilence(node, group.Voters)
	leaving := c.leavingVoter(group)
	if len(group.Voters) > wanted {
		c.letGo(id, node, silentVoter, silence, leaving)
		return
	}
	goes := leaving
	if goes == "" && silence > silentForPromotion {
		goes = silentVoter
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

// letGo takes a voter out of a group that has one more than it needs: one that is leaving or silent, or one of a zone that
// has too many.
func (c *Core) letGo(id int, node *agreement.Node, silentVoter string, silence time.Duration, leaving string) {
	group := node.Group()
	goes := ""
	switch {
	case silence > silentForRemoval:
		goes = silentVoter
	case leaving != "":
		goes = leaving
	case !c.options.Tolerance.Survives(c.zonesOf(group.Voters, "")):
		goes = c.crowding(group.Voters)
	}
	if goes == "" {
		return
	}
	if goes == c.options.IDs[id] {
		node.HandOver(c.now) // its successor takes it out
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
		if !caughtUp || quiet >= learnerHeard || c.leaves(learner) {
			continue
		}
		any = learner
		with := append(slices.Clone(group.Voters), learner)
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
	host, _, err := net.SplitHostPort(AddressOf(id))
	if err != nil {
		return ""
	}
	for _, disk := range c.sessions.Disks() {
		if other, _, err := net.SplitHostPort(disk.Member.Address); err == nil && other == host {
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
			g.node.HandOver(now)
		}
	}
	return yielded
}

func longestSilence(node *agreement.Node, ids []string) (id string, silence time.Duration) {
	for _, other := range ids {
		if quiet, _ := node.Silence(other); quiet > silence {
			id, silence = other, quiet
		}
	}
	return id, silence
}

// changeGroup proposes a change; one that is under way is tried again at the next look.
func (c *Core) changeGroup(id int, group agreement.Membership) {
	_ = c.groups[id].node.ProposeGroup(c.now, group)
}

// RemovedError tells a keeper that its group does without it: what its disk holds of the group is void.
type RemovedError struct{ ID string }

func (e *RemovedError) Error() string { return "the group does without " + e.ID }

// LeavingError tells a newcomer that its machine is being emptied.
type LeavingError struct{ ID string }

func (e *LeavingError) Error() string { return "the machine of " + e.ID + " is being emptied" }

// JoinGroup lets a newcomer follow a group. Every keeper follows every group: whoever leads the sessions gives members all
// that the groups hold, and whoever is needed as a voter has caught up. knows tells whether its disk names a group already.
func (c *Core) JoinGroup(now time.Duration, id int, member string, knows bool) error {
	c.now = now
	if id < 0 || id >= Groups || !c.groups[id].node.Leading() {
		return c.notLeader(min(max(id, 0), Groups-1))
	}
	node := c.groups[id].node
	group := node.Group()
	if slices.Contains(group.Voters, member) || slices.Contains(group.Learners, member) {
		return nil
	}
	if knows {
		return &RemovedError{ID: member}
	}
	if c.leaves(member) {
		return &LeavingError{ID: member}
	}
	return node.ProposeGroup(now, group.With(member, agreement.AsLearner))
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
		c.subscribers[subscriber] = feed.Position{} // it gets the whole table
	}
}

// noteKeepers gathers the addresses of all that belong to a group.
func (c *Core) noteKeepers() {
	keepers := map[string]bool{c.options.Address: true}
	for _, g := range c.groups {
		group := g.node.Group()
		for _, member := range append(slices.Clone(group.Voters), group.Learners...) {
			keepers[AddressOf(member)] = true
		}
	}
	c.keepers = keepers
	values := map[string][]byte{}
	for address := range keepers {
		values[PrefixKeeper+address] = []byte{1}
	}
	c.replace(PrefixKeeper, values)
}

// Keepers gives the addresses of all keepers that this one knows, sorted.
func (c *Core) Keepers() []string {
	addresses := make([]string, 0, len(c.keepers))
	for address := range c.keepers {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
