package driver

import (
	"fmt"
	"os"
	"syscall"
)

// The next version of the program starts beside this one with the same configuration and shares the clients' address
// by SO_REUSEPORT; the platform sends SIGTERM to the old process once the new one says yes. Each process tells of its
// start in a file in $TMPDIR, so that the old one knows at SIGTERM that another takes its clients: it then closes its
// listener at once, and every connection that arrives after goes to the new process, where otherwise it would wait in
// the old one's queue and be reset when that is closed.

// start is what a process tells of its start: its number, which is greater than that of the one before. It is the wall
// clock's time in nanoseconds where that is greater, as it is unless the clock was stepped back.
type start struct {
	pid    int
	number int64
}

// Announce tells of this process's start, once it listens and before it says so. A failure is logged and tried again
// (announceAgain); until then an upgrade ends as a plain SIGTERM does. To be called before Run.
func (d *Driver) Announce() {
	d.StartNumber()
	if err := d.writeStart(); err != nil {
		d.log.Error("start not told to an older process yet", "cause", err)
	}
}

// StartNumber is the number of this start: greater than that of every earlier one of this dispatcher that $TMPDIR tells of,
// however the wall clock was stepped between them. To be called before Run.
func (d *Driver) StartNumber() int64 {
	if d.number.Load() == 0 {
		d.former, _ = d.toldStart()
		d.number.Store(max(d.started.UnixNano(), d.former.number+1))
	}
	return d.number.Load()
}

// announceAgain tells of the start if that has failed so far, unless another process has told of its own since. It is
// called beside the owner.
func (d *Driver) announceAgain() {
	if d.announced.Load() {
		return
	}
	if last, _ := d.toldStart(); last == d.former {
		d.writeStart()
	}
}

func (d *Driver) writeStart() error {
	err := d.replaceFile(d.fileOf("start"), fmt.Appendf(nil, "%d %d\n", os.Getpid(), d.number.Load()))
	if err == nil {
		d.announced.Store(true)
	}
	return err
}

// Succeeded tells whether another process of this dispatcher started after this one, from its file in $TMPDIR. It reads
// the file, so it is called beside the owner, when SIGTERM comes; what it found is kept for the owner's stop.
func (d *Driver) Succeeded() bool {
	last, told := d.toldStart()
	later := told && last.number > d.number.Load()
	d.successor.Store(later)
	return later
}

// Former tells whether the process of this dispatcher that told of its start last still runs; to be called before Run.
func (d *Driver) Former() bool {
	last, told := d.toldStart()
	return told && last.pid > 0 && last.pid != os.Getpid() && syscall.Kill(last.pid, 0) == nil
}

// toldStart reads the start that was told last.
func (d *Driver) toldStart() (s start, told bool) {
	text, err := d.files.ReadFile(d.fileOf("start"))
	if err != nil {
		return start{}, false
	}
	if _, err := fmt.Sscan(string(text), &s.pid, &s.number); err != nil {
		return start{}, false
	}
	return s, true
}
