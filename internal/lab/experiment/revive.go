package experiment

import (
	"log/slog"
	"time"
)

// revive starts another process of a dispatcher's name at its address.
func (t *cluster) restartDispatcher(i int) {
	t.mu.Lock()
	known := t.addrs[i] != "" && t.running[i] == nil && !t.closed
	t.mu.Unlock()
	if !known {
		return
	}
	if err := t.startWithRetry(i); err != nil {
		slog.Error("a dispatcher did not come back", "dispatcher", i, "cause", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if from, killed := t.deadSince[i]; killed && !t.closed {
		t.log.Killed(i, from, time.Since(t.fleet.Start()).Microseconds())
		delete(t.deadSince, i)
	}
}

// Starts of a process that ends at its start, since what it needs (its store of record) is in trouble.
const (
	maxStartAttempts = 20
	startRetryDelay  = 200 * time.Millisecond
)

// startAgain starts a process as a platform does: one that ends at its start is started again after a short delay.
func (t *cluster) startWithRetry(i int) error {
	for try := 1; ; try++ {
		err := t.start(i)
		t.mu.Lock()
		over := t.closed
		t.mu.Unlock()
		if err == nil || over || try == maxStartAttempts {
			return err
		}
		slog.Warn("a dispatcher ended at its start", "dispatcher", i, "cause", err)
		time.Sleep(startRetryDelay)
	}
}
