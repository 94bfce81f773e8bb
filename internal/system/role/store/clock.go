package store

import "time"

// clockInterval is how often the log's clock is recorded while messages are pending and nothing else is written.
const clockInterval = time.Second

// logClock measures the time for which a log has been open, summed over all incarnations of its store, by the
// monotonic clock of each process. Downtime is not counted: only the wall clock could measure it, and that may have
// been stepped. So the age of a message by this clock never exceeds its true age: nothing expires early and no
// delay ends early. A caller that queries several stores takes the greatest of their ages, and the carrier that has a
// message raises the ages of the stores that lag (RaiseAges).
type logClock struct {
	openedAt    time.Duration // on the process's monotonic clock
	startTime   time.Duration // log time when the log was opened
	lastWritten time.Duration // log time in the latest record
}

// advanceTo applies the time of a record that an earlier incarnation wrote.
func (c *logClock) advanceTo(at time.Duration) {
	c.startTime = max(c.startTime, at)
	c.lastWritten = c.startTime
}

// timeAt converts a time of the process's clock to log time.
func (c *logClock) timeAt(now time.Duration) time.Duration { return c.startTime + now - c.openedAt }
