// Package ordered walks maps in the order of their keys. What a role does must not hang on the language's random order: a
// replicated table has to come out alike at every replica, and a simulated day alike in every play of its seed.
package ordered

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Map gives a map's entries, ascending by key. Entries may be deleted or added meanwhile: deleted ones are passed over, added
// ones do not come.
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
