package keeper

import "strings"

// A member's identity in a group is its address, and for one that was not a founder a part drawn on its disk.
const identitySeparator = "#"

// AddressOf is the address in an identity.
func AddressOf(id string) string {
	address, _, _ := strings.Cut(id, identitySeparator)
	return address
}

// FreshIdentity is the identity of a member that starts on an empty disk and is no founder.
func FreshIdentity(address, drawn string) string { return address + identitySeparator + drawn }
