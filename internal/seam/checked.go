//go:build check

// Package seam is where goroutines meet; this is its form for internal/check, in which each asks first whose turn it is.
package seam

import "sync"

// Turn waits until it is this goroutine's turn to touch some objects; ready tells whether it could go on then, and is nil where
// it always can. Choose gives one of n ways. Both are set while a check runs, and else nothing waits.
var (
	Turn   func(ready func() bool, objects ...any)
	Choose func(n int) int
)

func turn(ready func() bool, objects ...any) {
	if Turn != nil {
		Turn(ready, objects...)
	}
}

// Mutex is a lock.
type Mutex struct {
	real sync.Mutex
	held bool
}

// Lock waits until the lock is free, and takes it.
func (m *Mutex) Lock() {
	turn(func() bool { return !m.held }, m)
	m.real.Lock()
	m.held = true
}

// Unlock frees the lock.
func (m *Mutex) Unlock() {
	turn(nil, m)
	m.held = false
	m.real.Unlock()
}

// TrySend sends if there is room now.
func TrySend[T any](c chan T, v T) bool {
	turn(nil, c)
	return trySend(c, v)
}

// TryRecv receives if there is something now.
func TryRecv[T any](c chan T) (v T, ok bool) {
	turn(nil, c)
	return tryRecv(c)
}

func closed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Send sends, and waits for room until done is closed; false if it was. Where both could be it is either.
func Send[T any](c chan T, v T, done <-chan struct{}) bool {
	turn(func() bool { return len(c) < cap(c) || closed(done) }, c, done)
	if closed(done) && (Choose == nil || len(c) == cap(c) || Choose(2) == 1) {
		return false
	}
	c <- v
	return true
}

// Recv receives, and waits until done is closed; false if it was. Where both could be it is either.
func Recv[T any](c chan T, done <-chan struct{}) (v T, ok bool) {
	turn(func() bool { return len(c) > 0 || closed(done) }, c, done)
	if closed(done) && (Choose == nil || len(c) == 0 || Choose(2) == 1) {
		return v, false
	}
	v, ok = <-c
	return v, ok
}

// Close closes a channel that says that something is over.
func Close(done chan struct{}) {
	turn(nil, (<-chan struct{})(done))
	close(done)
}
