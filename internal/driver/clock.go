package driver

import "time"

// Clock tells Unix time in microseconds that never goes back: the system's time at its start and the
// monotonic time since, so that it compares with the times at which hosts started.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the present time.
func (c Clock) Now() int64 { return c.start.UnixMicro() + time.Since(c.start).Microseconds() }
