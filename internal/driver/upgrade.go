package driver

import (
	"fmt"
	"os"
	"syscall"
)

// During an upgrade the next version of the program starts beside this one with the same configuration and shares the
// clients' address by SO_REUSEPORT. The platform sends SIGTERM to the old process once the new one is healthy. Each
// process announces its start in a file in $TMPDIR, so that the old one knows at SIGTERM that it has a successor. It
// then closes its listener at once, and later connections go to the new process; otherwise they would wait in the old
// process's queue and be reset when that is closed.

// startRecord is what a process announces about its start. Its number is greater than that of the previous start: it
// is the wall-clock time in nanoseconds if that is greater, which it is unless the clock was stepped back.
type startRecord struct {
	pid    int
	number int64
}

// Announce announces the start of this process, once it listens and before it reports healthy. A failure is logged and
// retried by retryAnnounce; until then an upgrade ends like a SIGTERM without a successor. It must be called before
// Run.
func (d *Driver) Announce() {
	d.StartNumber()
	if err := d.writeStart(); err != nil {
		d.log.Error("announcing the start to an older process failed, will retry", "cause", err)
	}
}

// StartNumber returns the number of this start. It is greater than that of every earlier start of this dispatcher that
// is recorded in $TMPDIR, even if the wall clock was stepped between them. It must first be called before Run.
func (d *Driver) StartNumber() int64 {
	if d.startNumber.Load() == 0 {
		d.previousStart, _ = d.readStart()
		d.startNumber.Store(max(d.startedAt.UnixNano(), d.previousStart.number+1))
	}
	return d.startNumber.Load()
}

// retryAnnounce announces the start if that has failed so far, unless another process has announced its own start
// since. It runs outside the owner goroutine.
func (d *Driver) retryAnnounce() {
	if d.announced.Load() {
		return
	}
	if last, _ := d.readStart(); last == d.previousStart {
		d.writeStart()
	}
}

func (d *Driver) writeStart() error {
	err := d.replaceFile(d.stateFile("start"), fmt.Appendf(nil, "%d %d\n", os.Getpid(), d.startNumber.Load()))
	if err == nil {
		d.announced.Store(true)
	}
	return err
}

// HasSuccessor reports whether another process of this dispatcher started after this one, according to the file in
// $TMPDIR. It reads the file, so it is called outside the owner goroutine when SIGTERM comes; the result is kept for
// the owner's stop.
func (d *Driver) HasSuccessor() bool {
	last, found := d.readStart()
	later := found && last.number > d.startNumber.Load()
	d.successor.Store(later)
	return later
}

// PredecessorRunning reports whether the process of this dispatcher that announced its start last is another one that
// still runs. It must be called before Run.
func (d *Driver) PredecessorRunning() bool {
	last, found := d.readStart()
	return found && last.pid > 0 && last.pid != os.Getpid() && syscall.Kill(last.pid, 0) == nil
}

// readStart reads the last announced start.
func (d *Driver) readStart() (s startRecord, found bool) {
	text, err := d.files.ReadFile(d.stateFile("start"))
	if err != nil {
		return startRecord{}, false
	}
	if _, err := fmt.Sscan(string(text), &s.pid, &s.number); err != nil {
		return startRecord{}, false
	}
	return s, true
}
