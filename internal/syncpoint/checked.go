//go:build check

// Package syncpoint holds the synchronisation operations of code that internal/check runs under all interleavings. In
// this build each operation first waits until the checker schedules its goroutine.
package syncpoint

import "sync"

// WaitScheduled blocks until the checker schedules this goroutine's next operation, which uses the given objects; ready
// reports whether the operation can proceed, and is nil where it always can. Choose returns one of the numbers 0 to
// n-1, to explore alternatives. Both are set only while a check runs; otherwise operations do not wait for a schedule.
var (
	WaitScheduled func(ready func() bool, objects ...any)
	Choose        func(n int) int
)

// waitScheduled calls WaitScheduled while a check runs.
func waitScheduled(ready func() bool, objects ...any) {
	if WaitScheduled != nil {
		WaitScheduled(ready, objects...)
	}
}

// Mutex is a mutual exclusion lock.
type Mutex struct {
	real sync.Mutex
	held bool
}

// Lock waits until the lock is free, and acquires it.
func (m *Mutex) Lock() {
	waitScheduled(func() bool { return !m.held }, m)
	m.real.Lock()
	m.held = true
}

// Unlock releases the lock.
func (m *Mutex) Unlock() {
	waitScheduled(nil, m)
	m.held = false
	m.real.Unlock()
}

// TrySend sends v without blocking and reports whether it did.
func TrySend[T any](c chan T, v T) bool {
	waitScheduled(nil, c)
	return trySend(c, v)
}

// TryRecv receives without blocking; ok reports whether a value was received.
func TryRecv[T any](c chan T) (v T, ok bool) {
	waitScheduled(nil, c)
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

// Send sends v, blocking until there is room or done is closed, and reports whether v was sent. Where both are
// possible, Choose decides.
func Send[T any](c chan T, v T, done <-chan struct{}) bool {
	waitScheduled(func() bool { return len(c) < cap(c) || closed(done) }, c, done)
	if closed(done) && (Choose == nil || len(c) == cap(c) || Choose(2) == 1) {
		return false
	}
	c <- v
	return true
}

// Recv receives, blocking until there is a value or done is closed, and reports whether a value was received. Where
// both are possible, Choose decides.
func Recv[T any](c chan T, done <-chan struct{}) (v T, ok bool) {
	waitScheduled(func() bool { return len(c) > 0 || closed(done) }, c, done)
	if closed(done) && (Choose == nil || len(c) == 0 || Choose(2) == 1) {
		return v, false
	}
	v, ok = <-c
	return v, ok
}

// Close closes a channel that signals completion.
func Close(done chan struct{}) {
	waitScheduled(nil, (<-chan struct{})(done))
	close(done)
}
