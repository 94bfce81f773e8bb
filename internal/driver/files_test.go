package driver

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"granitewing/internal/memory"
	"granitewing/logic"
)

// faultyFiles are the system's files with an error in one call, which may have done half of its work.
type faultyFiles struct {
	systemFiles
	call string // that fails
	err  error
}

func (f *faultyFiles) fails(call string) bool { return f.err != nil && f.call == call }

func (f *faultyFiles) ReadFile(path string) ([]byte, error) {
	if f.fails("read") {
		return nil, &os.PathError{Op: "read", Path: path, Err: f.err}
	}
	return f.systemFiles.ReadFile(path)
}

func (f *faultyFiles) WriteFile(path string, text []byte, mode os.FileMode) error {
	if f.fails("write") {
		f.systemFiles.WriteFile(path, text[:len(text)/2], mode)
		return &os.PathError{Op: "write", Path: path, Err: f.err}
	}
	return f.systemFiles.WriteFile(path, text, mode)
}

func (f *faultyFiles) Rename(from, to string) error {
	if f.fails("rename") {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: f.err}
	}
	return f.systemFiles.Rename(from, to)
}

func (f *faultyFiles) Stat(path string) (os.FileInfo, error) {
	if f.fails("stat") {
		return nil, &os.PathError{Op: "stat", Path: path, Err: f.err}
	}
	return f.systemFiles.Stat(path)
}

// files in $TMPDIR, without the driver's own name for them.
func leftBehind(t *testing.T) (names []string) {
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

// A cordon that was taken on is owed to the next process: a write that fails is made again, and what stood in the file
// before stays whole meanwhile.
func TestCordonsAreWrittenOnceTheyCanBe(t *testing.T) {
	for _, call := range []string{"write", "rename"} {
		for _, errno := range fileErrors {
			t.Setenv("TMPDIR", t.TempDir())
			d := testDriver(t)
			faulty := &faultyFiles{}
			d.files = faulty
			k := &cordonKeeper{d: d, path: d.cordonFile()}
			k.unsaved = []byte("s-0a\n")
			k.save()
			faulty.call, faulty.err = call, errno
			k.unsaved = []byte("s-0a\ns-0b\n")
			k.save()
			if text, _ := os.ReadFile(k.path); string(text) != "s-0a\n" {
				t.Errorf("%s %v: the file holds %q after a write that failed", call, errno, text)
			}
			if names := leftBehind(t); len(names) != 1 {
				t.Errorf("%s %v: left behind: %v", call, errno, names)
			}
			k.look() // still failing
			faulty.err = nil
			k.look()
			if text, _ := os.ReadFile(k.path); string(text) != "s-0a\ns-0b\n" {
				t.Errorf("%s %v: the file holds %q once it can be written", call, errno, text)
			}
		}
	}
}

// Cordons that can't be read at the start are read once they can be.
func TestCordonsAreReadOnceTheyCanBe(t *testing.T) {
	for _, call := range []string{"stat", "read"} {
		t.Setenv("TMPDIR", t.TempDir())
		d := testDriver(t)
		d.core.Inventory(d.now(), logic.ListFull, []memory.Host{{Name: "s-0a", Addr: "a", Phase: logic.Ready}})
		if err := os.WriteFile(d.cordonFile(), []byte("s-0a\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		faulty := &faultyFiles{call: call, err: syscall.EIO}
		d.files = faulty
		k := &cordonKeeper{d: d, path: d.cordonFile()}
		if _, changed := k.read(); changed {
			t.Fatalf("%s: something was read", call)
		}
		faulty.err = nil
		k.look()
		(<-d.events)()
		if got := d.core.Cordons(); !slices.Equal(got, []string{"s-0a"}) {
			t.Errorf("%s: cordons %v", call, got)
		}
	}
}

// A change within the same tick of the file system's clock is seen: another file stands in its place.
func TestCordonsChangedWithinATick(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	d := testDriver(t)
	k := &cordonKeeper{d: d, path: d.cordonFile()}
	k.unsaved = []byte("s-0a\n")
	k.save()
	at := k.seen.ModTime()
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

// startOf is a process of the dispatcher that starts when the wall clock says so.
func startOf(t *testing.T, wall time.Time) *Driver {
	d := testDriver(t)
	d.started = wall
	d.Announce()
	return d
}

// A process knows its successor and is none of its own, however the wall clock was stepped between their starts.
func TestSuccessorOverSteps(t *testing.T) {
	for _, step := range []time.Duration{0, time.Millisecond, -time.Second, time.Hour, -time.Hour} {
		t.Setenv("TMPDIR", t.TempDir())
		now := time.Now()
		first := startOf(t, now)
		if first.Succeeded() {
			t.Errorf("step %v: one alone has a successor", step)
		}
		second := startOf(t, now.Add(step))
		if !first.Succeeded() || second.Succeeded() {
			t.Errorf("step %v: the first has a successor %t, the second %t", step, first.Succeeded(), second.Succeeded())
		}
	}
}

// A start that could not be told is told later, but never over that of a process that started since.
func TestStartIsToldOnceItCanBe(t *testing.T) {
	for _, call := range []string{"write", "rename"} {
		for _, errno := range fileErrors {
			t.Setenv("TMPDIR", t.TempDir())
			first := startOf(t, time.Now())
			second := testDriver(t)
			faulty := &faultyFiles{call: call, err: errno}
			second.files = faulty
			second.Announce()
			if first.Succeeded() {
				t.Fatalf("%s %v: a start was told by half", call, errno)
			}
			faulty.err = nil
			second.announceAgain()
			if !first.Succeeded() || second.Succeeded() {
				t.Errorf("%s %v: the first has a successor %t, the second %t", call, errno, first.Succeeded(), second.Succeeded())
			}
		}
	}
	t.Setenv("TMPDIR", t.TempDir())
	late := testDriver(t)
	late.files = &faultyFiles{call: "write", err: syscall.ENOSPC}
	late.Announce()
	next := startOf(t, time.Now().Add(time.Second))
	late.files = systemFiles{}
	late.announceAgain()
	if next.Succeeded() || !late.Succeeded() {
		t.Errorf("the later one has a successor %t, the earlier one %t", next.Succeeded(), late.Succeeded())
	}
}

// A file of a start that was cut off, or is none, is no successor and no reason not to start.
func TestTornStart(t *testing.T) {
	for _, text := range []string{"", "12", "12 ", "no start\n", strings.Repeat("9", 40) + " 1\n"} {
		t.Setenv("TMPDIR", t.TempDir())
		d := testDriver(t)
		if err := os.WriteFile(filepath.Join(os.TempDir(), filepath.Base(d.fileOf("start"))), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if d.Former() {
			t.Errorf("%q: a former process runs", text)
		}
		d.Announce()
		if d.Succeeded() {
			t.Errorf("%q: a successor", text)
		}
	}
}

// A server that has just started counts as such after a step of the wall clock, and its age grows with real time.
func TestSlowStartOverAStep(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
		for _, others := range []time.Duration{0, step} { // whose clocks were stepped
			d := testDriver(t)
			d.clock.wall = func() time.Time { return time.Now().Add(step) }
			now := d.now()
			up := now - 2_000_000 + others.Microseconds()
			d.takeHosts(logic.ListFull, []memory.Host{{Name: "s-0a", Addr: "a", Phase: logic.Ready, UpSince: up}})
			d.takeHosts(logic.ListDelta, []memory.Host{{Name: "s-0a", Addr: "a", Phase: logic.Ready, UpSince: up}})
			d.core.Hosts(func(_ logic.WorkerID, h memory.Host) {
				if age := now - h.UpSince; age > 2_100_000 || age < -100_000 {
					t.Errorf("stepped by %v, the server's clock by %v: counts as %d us old, is 2 s", step, others, age)
				}
			})
		}
	}
}
