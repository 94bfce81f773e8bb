package experiment

import (
	"log/slog"
	"time"
)

// revive starts another process of a dispatcher's name at its address.
func (t *theatre) revive(i int) {
	t.mu.Lock()
	known := t.addrs[i] != "" && t.running[i] == nil && !t.over
	t.mu.Unlock()
	if !known {
		return
	}
	if err := t.startAgain(i); err != nil {
		slog.Error("a dispatcher did not come back", "dispatcher", i, "cause", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if from, killed := t.dead[i]; killed && !t.over {
		t.log.Killed(i, from, time.Since(t.fleet.Start()).Microseconds())
		delete(t.dead, i)
	}
}

// Starts of a process that ends at its start, since what it needs (its store of record) is in trouble.
const (
	startTries = 20
	startPause = 200 * time.Millisecond
)

// startAgain starts a process as a platform does: one that ends at its start is started again after a short delay.
func (t *theatre) startAgain(i int) error {
	for try := 1; ; try++ {
		err := t.start(i)
		t.mu.Lock()
		over := t.over
		t.mu.Unlock()
		if err == nil || over || try == startTries {
			return err
		}
		slog.Warn("a dispatcher ended at its start", "dispatcher", i, "cause", err)
		time.Sleep(startPause)
	}
}
