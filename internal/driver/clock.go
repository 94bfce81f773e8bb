package driver

import "time"

// clock tells Unix time in microseconds that never goes back: the system's time at its start and the
// monotonic time since, so that it compares with the times at which hosts started.
type clock struct{ start time.Time }

// newClock starts a clock.
func newClock() clock { return clock{time.Now()} }

// now is the present time.
func (c clock) now() int64 { return c.start.UnixMicro() + time.Since(c.start).Microseconds() }
