//go:build !check

// Package syncpoint holds the synchronisation operations, channel sends and receives and locks, of code that
// internal/check runs under all interleavings of its goroutines. In normal builds they are the language's own
// operations, inlined. With the build tag check, each operation first waits until the checker schedules its goroutine.
package syncpoint

import "sync"

// Mutex is a mutual exclusion lock.
type Mutex = sync.Mutex

// TrySend sends v without blocking and reports whether it did.
func TrySend[T any](c chan T, v T) bool { return trySend(c, v) }

// TryRecv receives without blocking; ok reports whether a value was received.
func TryRecv[T any](c chan T) (v T, ok bool) { return tryRecv(c) }

// Send sends v, blocking until there is room or done is closed. It reports whether v was sent.
func Send[T any](c chan T, v T, done <-chan struct{}) bool {
	select {
	case c <- v:
		return true
	case <-done:
		return false
	}
}

// Recv receives, blocking until there is a value or done is closed. It reports whether a value was received.
func Recv[T any](c chan T, done <-chan struct{}) (v T, ok bool) {
	select {
	case v, ok = <-c:
		return v, ok
	case <-done:
		return v, false
	}
}

// Close closes a channel that signals completion.
func Close(done chan struct{}) { close(done) }
