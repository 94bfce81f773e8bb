package driver

import "time"

// clock gives Unix time in microseconds that never goes back: the wall-clock time when it was started plus the
// monotonic time since. Later steps of the wall clock do not affect it.
type clock struct {
	start   time.Time
	wall    func() time.Time     // wall clock
	elapsed func() time.Duration // monotonic time since start
}

// newClock returns a clock that starts at the current wall-clock time.
func newClock() clock {
	start := time.Now()
	return clock{start: start, wall: time.Now, elapsed: func() time.Duration { return time.Since(start) }}
}

// now returns the current time in Unix microseconds.
func (c clock) now() int64 { return c.start.UnixMicro() + c.elapsed().Microseconds() }
