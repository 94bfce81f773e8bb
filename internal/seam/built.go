//go:build !check

// Package seam is where goroutines meet: sending and receiving on channels, and locks, of code that internal/check runs
// over all interleavings. In the built program these are the language's own, inlined; with the build tag check each asks
// first whose turn it is.
package seam

import "sync"

// Mutex is a lock.
type Mutex = sync.Mutex

// TrySend sends if there is room now.
func TrySend[T any](c chan T, v T) bool { return trySend(c, v) }

// TryRecv receives if there is something now.
func TryRecv[T any](c chan T) (v T, ok bool) { return tryRecv(c) }

// Send sends, and waits for room until done is closed; false if it was.
func Send[T any](c chan T, v T, done <-chan struct{}) bool {
	select {
	case c <- v:
		return true
	case <-done:
		return false
	}
}

// Recv receives, and waits until done is closed; false if it was.
func Recv[T any](c chan T, done <-chan struct{}) (v T, ok bool) {
	select {
	case v, ok = <-c:
		return v, ok
	case <-done:
		return v, false
	}
}

// Close closes a channel that says that something is over.
func Close(done chan struct{}) { close(done) }
