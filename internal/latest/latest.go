// Package latest is a place for one thing, of which only the latest matters: who puts one there never waits, and takes away
// what nobody has taken yet.
package latest

import "granitewing/internal/seam"

// Place is the place. One goroutine puts, any may take.
type Place[T any] struct{ c chan T }

// New makes an empty place.
func New[T any]() Place[T] { return Place[T]{make(chan T, 1)} }

// Put leaves a thing there, instead of one that is there still.
func (p Place[T]) Put(v T) {
	for !seam.TrySend(p.c, v) {
		seam.TryRecv(p.c)
	}
}

// C is where to take it.
func (p Place[T]) C() <-chan T { return p.c }

// Take takes it if it is there.
func (p Place[T]) Take() (T, bool) { return seam.TryRecv(p.c) }
