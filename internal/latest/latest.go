// Package latest passes values between goroutines when only the latest value matters. A Place holds at most one value:
// Put never blocks and replaces a value that nobody has taken yet.
package latest

import "granitewing/internal/seam"

// Place holds at most one value. One goroutine puts values; any goroutine may take them.
type Place[T any] struct{ c chan T }

// New returns an empty place.
func New[T any]() Place[T] { return Place[T]{make(chan T, 1)} }

// Put stores a value, replacing one that is still there. It never blocks.
func (p Place[T]) Put(v T) {
	for !seam.TrySend(p.c, v) {
		seam.TryRecv(p.c)
	}
}

// C returns the channel from which to receive the value, for use in a select.
func (p Place[T]) C() <-chan T { return p.c }

// Take removes and returns the value; false if there is none.
func (p Place[T]) Take() (T, bool) { return seam.TryRecv(p.c) }
