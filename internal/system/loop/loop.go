// Package loop defines what a role's core uses in place of clocks and sockets: Loop has the time, timers and random
// numbers, and Peers has calls to other processes. All callbacks of one role run one after the other, so a role needs
// no locks. A driver implements these interfaces on a real machine, and the simulation implements them on simulated
// time.
package loop

import (
	"time"

	"granitewing/internal/system/wire"
)

// Loop is the event loop of one role.
type Loop interface {
	// Now returns the monotonic time since an origin that the driver chooses.
	Now() time.Duration
	// WallMillis returns the time of day in milliseconds since 1970.
	WallMillis() int64
	// After calls do once, after a duration.
	After(wait time.Duration, do func())
	// Random returns a random number in [0, n).
	Random(n int64) int64
}

// Peers makes calls to other processes of the system.
type Peers interface {
	// Call calls a peer. done is called exactly once, and never before Call returns, unlike that of link.Client.Call. It
	// gets the answer or an error: a
	// *TimeoutError if there was no answer within timeout.
	Call(address string, kind wire.Kind, payload []byte, timeout time.Duration, done func(payload []byte, err error))
	// Connected reports whether there is a connection to a peer.
	Connected(address string) bool
	// Disconnect drops the current connection to a peer that does not respond; a new connection is tried at once.
	Disconnect(address string)
	// Connect sets the whole set of peers to keep connections to. Connections to other peers are dropped.
	Connect(addresses []string)
}

// TimeoutError reports a call that was not answered in time: it may or may not have been carried out.
type TimeoutError struct{ Peer string }

func (e *TimeoutError) Error() string { return "no answer from " + e.Peer + " in time" }
