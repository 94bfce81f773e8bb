package keeper

import "strings"

// identitySeparator separates a member's address from the random part of its identity. The identity of a bootstrap member
// is its address alone; any other member adds a part that was drawn at random and stored on its disk.
const identitySeparator = "#"

// AddressOf returns the address in a member's identity.
func AddressOf(id string) string {
	address, _, _ := strings.Cut(id, identitySeparator)
	return address
}

// FreshIdentity returns the identity of a member that starts on an empty disk and is not a bootstrap member. drawn
// is a random string that is unique to the disk.
func FreshIdentity(address, drawn string) string { return address + identitySeparator + drawn }
