package store

import "time"

// clockInterval is how often the log's clock is written while messages wait and nothing else is.
const clockInterval = time.Second

// logClock is the time for which a log has been written: the monotonic time of all lives of its store, one behind the
// other. What passes while the store is down is not counted, since only the time of day could tell it, and that may have
// been stepped. So the age of a message by this clock is never more than the true one: nothing ends or begins early by it,
// and whoever asks several stores takes the greatest of their ages.
type logClock struct {
	began   time.Duration // of the process's monotonic clock, when the log was opened
	resumed time.Duration // of the log's clock, then
	written time.Duration // the time in the latest record
}

// loaded takes the time of a record that a former life wrote.
func (c *logClock) loaded(at time.Duration) {
	c.resumed = max(c.resumed, at)
	c.written = c.resumed
}

// read gives the log's time at a time of the process's clock.
func (c *logClock) read(now time.Duration) time.Duration { return c.resumed + now - c.began }
