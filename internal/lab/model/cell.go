package model

// Store is the storage that all hosts fetch data sets from. It serves Room fetches at full speed and shares its
// capacity among more. A fetch keeps the speed it started with, so that a fetch of one host does not change the events
// of another.
type Store struct {
	Room          float64 // concurrent fetches at full speed
	activeFetches int     // fetches in progress
}

// Cell is a rack of hosts that share the keys of idempotent jobs: a repeat of a job that one of them runs or has run is
// not run again.
type Cell struct {
	Window    int64 // microseconds for which a key is remembered
	states    map[string]keyState
	keysByAge []string // keys of states, the oldest first
}

// keyState is the state of a job with an idempotency key.
type keyState struct {
	seenAt int64
	done   bool
}

// NewCell makes a cell that remembers keys for window microseconds.
func NewCell(window int64) *Cell { return &Cell{Window: window, states: map[string]keyState{}} }

// expire removes the keys that are older than the window.
func (c *Cell) expire(now int64) {
	for len(c.keysByAge) > 0 {
		k, known := c.states[c.keysByAge[0]]
		if known && now-k.seenAt < c.Window {
			return
		}
		delete(c.states, c.keysByAge[0])
		c.keysByAge = c.keysByAge[1:]
	}
}
