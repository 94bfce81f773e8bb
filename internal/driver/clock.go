package driver

import "time"

// clock tells Unix time in microseconds that never goes back: the system's time at its start and the
// monotonic time since. A step of the system's time does not reach it.
type clock struct {
	start time.Time
	wall  func() time.Time // the system's time
}

// newClock starts a clock.
func newClock() clock { return clock{start: time.Now(), wall: time.Now} }

// now is the present time.
func (c clock) now() int64 { return c.start.UnixMicro() + time.Since(c.start).Microseconds() }
