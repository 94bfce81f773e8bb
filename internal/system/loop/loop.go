// Package loop is what a role is given instead of clocks and sockets: the time, timers and calls to peers. All callbacks
// of one role come one after the other, so that a role needs no locks. A driver implements it on a real machine, the
// simulation on simulated time.
package loop

import (
	"time"

	"granitewing/internal/system/wire"
)

// Loop runs one role.
type Loop interface {
	// Now is the monotonic clock.
	Now() time.Duration
	// Wall is the time of day, in milliseconds since 1970.
	Wall() int64
	// After calls do once, after a while.
	After(wait time.Duration, do func())
	// Random returns a number from 0 up to n, exclusive.
	Random(n int64) int64
}

// Peers reaches other processes of the system.
type Peers interface {
	// Call calls a peer; done is called once, never within Call itself.
	Call(address string, kind wire.Kind, payload []byte, timeout time.Duration, done func(payload []byte, err error))
	// Up tells whether there is a connection to a peer.
	Up(address string) bool
	// Break gives up the present connection to a peer that has gone silent; another is tried at once.
	Break(address string)
	// Connect names the peers to keep connections to; others are given up.
	Connect(addresses []string)
}

// TimeoutError answers a call that was not answered in time: it may or may not have been carried out.
type TimeoutError struct{ Peer string }

func (e *TimeoutError) Error() string { return "no answer from " + e.Peer + " in time" }
