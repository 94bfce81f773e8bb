// Package ordered iterates over maps in ascending order of their keys. Go's map iteration order is random, and the
// behaviour of a role must not depend on it: a replicated table has to be the same at every replica, and a
// simulated run has to be the same each time its seed is run.
package ordered

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Map iterates over the entries of a map in ascending order of the keys. The map may change during the iteration:
// entries deleted before they are reached are skipped, and entries added are not visited.
func Map[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, key := range slices.Sorted(maps.Keys(m)) {
			value, there := m[key]
			if there && !yield(key, value) {
				return
			}
		}
	}
}
