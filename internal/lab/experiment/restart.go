package experiment

import (
	"log/slog"
	"time"
)

// restartDispatcher starts a new process for dispatcher i, with the same name and address, if none is running.
func (c *cluster) restartDispatcher(i int) {
	c.mu.Lock()
	startable := c.addrs[i] != "" && c.running[i] == nil && !c.closed
	c.mu.Unlock()
	if !startable {
		return
	}
	if err := c.startWithRetry(i); err != nil {
		slog.Error("dispatcher did not restart", "dispatcher", i, "cause", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if from, killed := c.deadSince[i]; killed && !c.closed {
		c.log.Killed(i, from, time.Since(c.fleet.StartTime()).Microseconds())
		delete(c.deadSince, i)
	}
}

// Retries of a process that exits during its start because something it needs, such as its store of record, is
// failing.
const (
	maxStartAttempts = 20
	startRetryDelay  = 200 * time.Millisecond
)

// startWithRetry starts a process as a platform would: if it exits during its start, it is started again after a
// short delay.
func (c *cluster) startWithRetry(i int) error {
	for try := 1; ; try++ {
		err := c.start(i)
		c.mu.Lock()
		closed := c.closed
		c.mu.Unlock()
		if err == nil || closed || try == maxStartAttempts {
			return err
		}
		slog.Warn("dispatcher exited during its start", "dispatcher", i, "cause", err)
		time.Sleep(startRetryDelay)
	}
}
