package driver

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/logic"
)

// faultyFileSystem is the real file system with an error in one call, which may have done half of its work.
type faultyFileSystem struct {
	osFileSystem
	call string // the call that fails
	err  error
}

func (f *faultyFileSystem) fails(call string) bool { return f.err != nil && f.call == call }

func (f *faultyFileSystem) ReadFile(path string) ([]byte, error) {
	if f.fails("read") {
		return nil, &os.PathError{Op: "read", Path: path, Err: f.err}
	}
	return f.osFileSystem.ReadFile(path)
}

func (f *faultyFileSystem) WriteFile(path string, text []byte, mode os.FileMode) error {
	if f.fails("write") {
		f.osFileSystem.WriteFile(path, text[:len(text)/2], mode)
		return &os.PathError{Op: "write", Path: path, Err: f.err}
	}
	return f.osFileSystem.WriteFile(path, text, mode)
}

func (f *faultyFileSystem) Rename(from, to string) error {
	if f.fails("rename") {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: f.err}
	}
	return f.osFileSystem.Rename(from, to)
}

func (f *faultyFileSystem) Stat(path string) (os.FileInfo, error) {
	if f.fails("stat") {
		return nil, &os.PathError{Op: "stat", Path: path, Err: f.err}
	}
	return f.osFileSystem.Stat(path)
}

// tempFiles returns the names of the files in $TMPDIR.
func tempFiles(t *testing.T) (names []string) {
	t.Helper()
	entries, err := os.ReadDir(os.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

var fileErrors = []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.EROFS}

// A failed write of the cordon file is retried, since the next process depends on it. Meanwhile the previous content
// stays intact.
func TestCordonWriteIsRetried(t *testing.T) {
	for _, call := range []string{"write", "rename"} {
		for _, errno := range fileErrors {
			t.Setenv("TMPDIR", t.TempDir())
			d := testDriver(t)
			faulty := &faultyFileSystem{}
			d.files = faulty
			k := &cordonSyncer{d: d, path: d.cordonFile()}
			k.unsaved = []byte("s-0a\n")
			k.save()
			faulty.call, faulty.err = call, errno
			k.unsaved = []byte("s-0a\ns-0b\n")
			k.save()
			if text, _ := os.ReadFile(k.path); string(text) != "s-0a\n" {
				t.Errorf("%s %v: the file holds %q after a write that failed", call, errno, text)
			}
			if names := tempFiles(t); len(names) != 1 {
				t.Errorf("%s %v: files left: %v", call, errno, names)
			}
			k.poll() // still failing
			faulty.err = nil
			k.poll()
			if text, _ := os.ReadFile(k.path); string(text) != "s-0a\ns-0b\n" {
				t.Errorf("%s %v: the file holds %q once it can be written", call, errno, text)
			}
		}
	}
}

// A cordon file that cannot be read at the start is read later.
func TestCordonReadIsRetried(t *testing.T) {
	for _, call := range []string{"stat", "read"} {
		t.Setenv("TMPDIR", t.TempDir())
		d := testDriver(t)
		d.core.Inventory(d.now(), logic.ListFull, []dispatch.Host{{Name: "s-0a", Addr: "a", Phase: logic.Ready}})
		if err := os.WriteFile(d.cordonFile(), []byte("s-0a\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		faulty := &faultyFileSystem{call: call, err: syscall.EIO}
		d.files = faulty
		k := &cordonSyncer{d: d, path: d.cordonFile()}
		if _, changed := k.read(); changed {
			t.Fatalf("%s: something was read", call)
		}
		faulty.err = nil
		k.poll()
		(<-d.events)()
		if got := d.core.Cordons(); !slices.Equal(got, []string{"s-0a"}) {
			t.Errorf("%s: cordons %v", call, got)
		}
	}
}

// A change within one tick of the file system's clock is noticed, since the file is replaced by another one.
func TestCordonChangeWithinOneClockTick(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	d := testDriver(t)
	k := &cordonSyncer{d: d, path: d.cordonFile()}
	k.unsaved = []byte("s-0a\n")
	k.save()
	at := k.lastInfo.ModTime()
	if err := d.replaceFile(k.path, []byte("s-0b\n")); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(k.path, at, at); err != nil {
		t.Fatal(err)
	}
	if want, changed := k.read(); !changed || !want["s-0b"] {
		t.Errorf("read %v, changed %t", want, changed)
	}
}

// announcedDriver returns a driver that started and announced itself at a given wall-clock time.
func announcedDriver(t *testing.T, wall time.Time) *Driver {
	d := testDriver(t)
	d.startedAt = wall
	d.Announce()
	return d
}

// A process detects its successor and is not its own, however the wall clock was stepped between their starts.
func TestSuccessorAcrossClockSteps(t *testing.T) {
	for _, step := range []time.Duration{0, time.Millisecond, -time.Second, time.Hour, -time.Hour} {
		t.Setenv("TMPDIR", t.TempDir())
		now := time.Now()
		first := announcedDriver(t, now)
		if first.HasSuccessor() {
			t.Errorf("step %v: a single process has a successor", step)
		}
		second := announcedDriver(t, now.Add(step))
		if !first.HasSuccessor() || second.HasSuccessor() {
			t.Errorf("step %v: the first has a successor %t, the second %t", step, first.HasSuccessor(), second.HasSuccessor())
		}
	}
}

// A start announcement that failed is retried, but never replaces that of a process that started later.
func TestStartAnnouncementIsRetried(t *testing.T) {
	for _, call := range []string{"write", "rename"} {
		for _, errno := range fileErrors {
			t.Setenv("TMPDIR", t.TempDir())
			first := announcedDriver(t, time.Now())
			second := testDriver(t)
			faulty := &faultyFileSystem{call: call, err: errno}
			second.files = faulty
			second.Announce()
			if first.HasSuccessor() {
				t.Fatalf("%s %v: a partial announcement was visible", call, errno)
			}
			faulty.err = nil
			second.retryAnnounce()
			if !first.HasSuccessor() || second.HasSuccessor() {
				t.Errorf("%s %v: the first has a successor %t, the second %t", call, errno, first.HasSuccessor(), second.HasSuccessor())
			}
		}
	}
	t.Setenv("TMPDIR", t.TempDir())
	late := testDriver(t)
	late.files = &faultyFileSystem{call: "write", err: syscall.ENOSPC}
	late.Announce()
	next := announcedDriver(t, time.Now().Add(time.Second))
	late.files = osFileSystem{}
	late.retryAnnounce()
	if next.HasSuccessor() || !late.HasSuccessor() {
		t.Errorf("the later one has a successor %t, the earlier one %t", next.HasSuccessor(), late.HasSuccessor())
	}
}

// A start file that is truncated or invalid is not taken for a successor and does not prevent a start.
func TestInvalidStartFile(t *testing.T) {
	for _, text := range []string{"", "12", "12 ", "no start\n", strings.Repeat("9", 40) + " 1\n"} {
		t.Setenv("TMPDIR", t.TempDir())
		d := testDriver(t)
		if err := os.WriteFile(filepath.Join(os.TempDir(), filepath.Base(d.stateFile("start"))), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if d.PredecessorRunning() {
			t.Errorf("%q: reports a running former process", text)
		}
		d.Announce()
		if d.HasSuccessor() {
			t.Errorf("%q: reports a successor", text)
		}
	}
}

// A server that has just started is still treated as new after a step of the wall clock, and its age grows with real
// time.
func TestSlowStartAcrossClockStep(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
		for _, others := range []time.Duration{0, step} { // step of the servers' clocks
			d := testDriver(t)
			d.clock.wall = func() time.Time { return time.Now().Add(step) }
			now := d.now()
			up := now - 2_000_000 + others.Microseconds()
			d.applyHosts(logic.ListFull, []dispatch.Host{{Name: "s-0a", Addr: "a", Phase: logic.Ready, UpSince: up}})
			d.applyHosts(logic.ListDelta, []dispatch.Host{{Name: "s-0a", Addr: "a", Phase: logic.Ready, UpSince: up}})
			d.core.Hosts(func(_ logic.WorkerID, h dispatch.Host) {
				if age := now - h.UpSince; age > 2_100_000 || age < -100_000 {
					t.Errorf("clock stepped by %v, the server's by %v: age is %d us, want about 2 s", step, others, age)
				}
			})
		}
	}
}
