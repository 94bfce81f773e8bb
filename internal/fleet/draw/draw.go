// Package draw gives numbers that all members of a fleet draw alike.
package draw

import "hash/fnv"

// Of is the number of two texts.
func Of(a, b string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	x := h.Sum64()
	x ^= x >> 31 // the low bits of names that differ in their last byte are alike
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}
