package driver

import "time"

// clock tells Unix time in microseconds that never goes back: the system's time at its start and the
// monotonic time since. A step of the system's time does not reach it.
type clock struct {
	start   time.Time
	wall    func() time.Time     // the system's time
	elapsed func() time.Duration // monotonic, since start
}

// newClock starts a clock.
func newClock() clock {
	start := time.Now()
	return clock{start: start, wall: time.Now, elapsed: func() time.Duration { return time.Since(start) }}
}

// now is the present time.
func (c clock) now() int64 { return c.start.UnixMicro() + c.elapsed().Microseconds() }
