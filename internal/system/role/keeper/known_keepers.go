package keeper

import (
	"maps"
	"slices"
)

// maxKnownAddresses bounds the number of keeper addresses that are remembered.
const maxKnownAddresses = 64

// publishKeepers collects the addresses of all members of any group and publishes them in the feed.
func (c *Core) publishKeepers() {
	keepers := map[string]bool{c.options.Address: true}
	for _, g := range c.groups {
		group := g.node.Membership()
		for _, member := range append(slices.Clone(group.Voters), group.Learners...) {
			keepers[AddressOf(member)] = true
			c.rememberAddress(AddressOf(member))
		}
	}
	c.groupAddresses = keepers
	values := map[string][]byte{}
	for address := range keepers {
		values[PrefixKeeper+address] = []byte{1}
	}
	c.replaceFeedKeys(PrefixKeeper, values)
}

// rememberAddress remembers the address of a keeper that is a member of a group, sent a message, or was named as
// leader by another keeper. A keeper whose seeds are all gone can then still find the others, or be found by them.
func (c *Core) rememberAddress(address string) {
	if address == "" || address == c.options.Address || len(c.knownAddresses) > 0 && c.knownAddresses[len(c.knownAddresses)-1] == address {
		return
	}
	known := slices.DeleteFunc(c.knownAddresses, func(other string) bool { return other == address })
	known = append(known, address)
	c.knownAddresses = known[max(0, len(known)-maxKnownAddresses):]
}

// RememberKeeper remembers the address of a keeper that another keeper named as leader.
func (c *Core) RememberKeeper(address string) { c.rememberAddress(address) }

// Keepers returns the sorted addresses of the keepers to connect to: the members of all groups and this keeper, and
// also all remembered addresses while the leader of some group is unknown.
func (c *Core) Keepers() []string {
	addresses := slices.Sorted(maps.Keys(c.groupAddresses))
	if slices.ContainsFunc(c.groups[:], func(g *group) bool { return g.node.Leader() == "" }) {
		addresses = append(addresses, c.knownAddresses...)
		slices.Sort(addresses)
	}
	return slices.Compact(addresses)
}
