// Package mailbox passes values between goroutines when only the latest value matters. A Mailbox holds at most one
// value: Put never blocks and replaces a value that nobody has taken yet.
package mailbox

import "granitewing/internal/syncpoint"

// Mailbox holds at most one value. One goroutine puts values; any goroutine may take them.
type Mailbox[T any] struct{ c chan T }

// New returns an empty mailbox.
func New[T any]() Mailbox[T] { return Mailbox[T]{make(chan T, 1)} }

// Put stores a value, replacing one that is still there. It never blocks.
func (p Mailbox[T]) Put(v T) {
	for !syncpoint.TrySend(p.c, v) {
		syncpoint.TryRecv(p.c)
	}
}

// C returns the channel from which to receive the value, for use in a select.
func (p Mailbox[T]) C() <-chan T { return p.c }

// Take removes and returns the value; false if there is none.
func (p Mailbox[T]) Take() (T, bool) { return syncpoint.TryRecv(p.c) }
