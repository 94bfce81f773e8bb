package driver

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// The next version of the program starts beside this one with the same configuration and shares the clients' address
// by SO_REUSEPORT; the platform sends SIGTERM to the old process once the new one says yes. Each process tells of its
// start in a file in $TMPDIR, so that the old one knows at SIGTERM that another takes its clients: it then closes its
// listener at once, and every connection that arrives after goes to the new process, where otherwise it would wait in
// the old one's queue and be reset when that is closed.

// fileOf names a file of this dispatcher in $TMPDIR; both processes of one dispatcher have its name.
func (d *Driver) fileOf(kind string) string {
	name := strings.Map(func(r rune) rune {
		if r == '/' || r == 0 || r == '\\' {
			return '_'
		}
		return r
	}, d.cfg.Name)
	return filepath.Join(os.TempDir(), "granitewing-"+name+"."+kind)
}

// announce tells of this process's start; a failure is logged, and an upgrade then ends as a plain SIGTERM does.
func (d *Driver) announce() {
	if err := os.WriteFile(d.fileOf("start"), fmt.Appendf(nil, "%d %d\n", os.Getpid(), d.started.UnixNano()), 0o600); err != nil {
		d.log.Error("start not told to an older process", "cause", err)
	}
}

// Succeeded tells whether another process of this dispatcher started after this one, from its file in $TMPDIR. It reads
// the file, so it is called beside the owner, when SIGTERM comes; what it found is kept for the owner's stop.
func (d *Driver) Succeeded() bool {
	later := d.succeeded()
	d.successor.Store(later)
	return later
}

func (d *Driver) succeeded() bool {
	pid, at, ok := d.told()
	return ok && pid != os.Getpid() && at > d.started.UnixNano()
}

// Former tells whether the process of this dispatcher that told of its start last still runs; to be called before Run.
func (d *Driver) Former() bool {
	pid, _, ok := d.told()
	return ok && pid > 0 && pid != os.Getpid() && syscall.Kill(pid, 0) == nil
}

// told reads the process that told of its start last, and when.
func (d *Driver) told() (pid int, at int64, ok bool) {
	text, err := os.ReadFile(d.fileOf("start"))
	if err != nil {
		return 0, 0, false
	}
	_, err = fmt.Sscan(string(text), &pid, &at)
	return pid, at, err == nil
}
