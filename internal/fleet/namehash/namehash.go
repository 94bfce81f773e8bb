// Package namehash hashes names into numbers that are the same at all members of a fleet, so that they make the same
// choice without communication.
package namehash

import "hash/fnv"

// Hash returns the hash of two strings.
func Hash(a, b string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	x := h.Sum64()
	x ^= x >> 31 // FNV leaves the low bits of names that differ only in the last byte similar
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}
