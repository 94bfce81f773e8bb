package keeper

import (
	"maps"
	"slices"
)

// maxKnown bounds the addresses of keepers that are remembered.
const maxKnown = 64

// noteKeepers gathers the addresses of all that belong to a group, and tells them to members.
func (c *Core) noteKeepers() {
	keepers := map[string]bool{c.options.Address: true}
	for _, g := range c.groups {
		group := g.node.Group()
		for _, member := range append(slices.Clone(group.Voters), group.Learners...) {
			keepers[AddressOf(member)] = true
			c.hear(AddressOf(member))
		}
	}
	c.keepers = keepers
	values := map[string][]byte{}
	for address := range keepers {
		values[PrefixKeeper+address] = []byte{1}
	}
	c.replace(PrefixKeeper, values)
}

// hear remembers the address of a keeper: of a member of a group, of one that sent a message, or of a leader that another
// named. So a keeper whose seeds name only machines that are gone still finds the others, or is found by them.
func (c *Core) hear(address string) {
	if address == "" || address == c.options.Address || len(c.known) > 0 && c.known[len(c.known)-1] == address {
		return
	}
	known := slices.DeleteFunc(c.known, func(other string) bool { return other == address })
	known = append(known, address)
	c.known = known[max(0, len(known)-maxKnown):]
}

// Heard remembers the address of a keeper that another named as a leader.
func (c *Core) Heard(address string) { c.hear(address) }

// Keepers gives the addresses of the keepers that connections are wanted to, sorted: of all that belong to a group, and
// while some group has no leader that this one hears, of all that it remembers.
func (c *Core) Keepers() []string {
	addresses := slices.Sorted(maps.Keys(c.keepers))
	if slices.ContainsFunc(c.groups[:], func(g *group) bool { return g.node.Leader() == "" }) {
		addresses = append(addresses, c.known...)
		slices.Sort(addresses)
	}
	return slices.Compact(addresses)
}
