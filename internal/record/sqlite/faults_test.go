package sqlite

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
	"unsafe"

	"modernc.org/libc"
	sqlite3 "modernc.org/sqlite/lib"

	"granitewing/internal/record"
	"granitewing/internal/record/storetest"
)

// faultyDisk is a layer between SQLite and the operating system. It makes writes and syncs fail, and tracks for
// each file what would remain after a power failure. Data that was written but not synced survives only in part.
// Data that was written before a failed sync is lost: it can still be read until the power failure, but no later
// sync makes it durable.
type faultyDisk struct {
	mu        sync.Mutex
	store     string // path of the database that has faults
	files     map[string]*diskFile
	countdown map[string]int // number of calls of a kind until the next fault
	faults    int            // number of consecutive calls that fail then
	code      int32          // error code that they return
	injected  int            // faults injected so far
	original  struct {
		write    func(*libc.TLS, uintptr, uintptr, int32, int64) int32
		sync     func(*libc.TLS, uintptr, int32) int32
		truncate func(*libc.TLS, uintptr, int64) int32
	}
}

type diskFile struct {
	durable []byte
	pending []diskChange
}

// diskChange is a write, or a truncation if data is nil.
type diskChange struct {
	at   int64
	data []byte
}

func (c diskChange) apply(b []byte) []byte {
	if c.data == nil {
		return b[:min(c.at, int64(len(b)))]
	}
	if grow := c.at + int64(len(c.data)) - int64(len(b)); grow > 0 {
		b = append(b, make([]byte, grow)...)
	}
	copy(b[c.at:], c.data)
	return b
}

// funcToPointer converts a function to the representation in SQLite's method tables.
func funcToPointer[F any](f F) uintptr {
	return *(*uintptr)(unsafe.Pointer(&struct{ f F }{f}))
}

// pointerToFunc converts an entry of such a table to a function.
func pointerToFunc[F any](p uintptr) F {
	return *(*F)(unsafe.Pointer(&struct{ p uintptr }{p}))
}

// memoryAt returns the value at an address of SQLite's own memory, which the garbage collector does not manage.
func memoryAt[T any](address uintptr) *T {
	return *(**T)(unsafe.Pointer(&address))
}

// installFaultyDisk puts a faultyDisk under every file that SQLite opens in this process, until the end of the
// test.
func installFaultyDisk(t *testing.T) *faultyDisk {
	t.Helper()
	tls := libc.NewTLS()
	defer tls.Close()
	name, err := libc.CString(filepath.Join(t.TempDir(), "methods.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer libc.Xfree(tls, name)
	out := libc.Xcalloc(tls, 2, 8)
	defer libc.Xfree(tls, out)
	if rc := sqlite3.Xsqlite3_open_v2(tls, name, out, sqlite3.SQLITE_OPEN_READWRITE|sqlite3.SQLITE_OPEN_CREATE, 0); rc != 0 {
		t.Fatalf("open: %d", rc)
	}
	db := *memoryAt[uintptr](out)
	defer sqlite3.Xsqlite3_close(tls, db)
	if rc := sqlite3.Xsqlite3_file_control(tls, db, 0, sqlite3.SQLITE_FCNTL_FILE_POINTER, out+8); rc != 0 {
		t.Fatalf("file pointer: %d", rc)
	}
	main := memoryAt[sqlite3.Tsqlite3_file](*memoryAt[uintptr](out + 8)).FpMethods
	// The write-ahead log has a method table of its own, since SQLite opens it as a file without locks.
	statement, err := libc.CString("PRAGMA journal_mode = WAL; CREATE TABLE t (a)")
	if err != nil {
		t.Fatal(err)
	}
	defer libc.Xfree(tls, statement)
	if rc := sqlite3.Xsqlite3_exec(tls, db, statement, 0, 0, 0); rc != 0 {
		t.Fatalf("write: %d", rc)
	}
	if rc := sqlite3.Xsqlite3_file_control(tls, db, 0, sqlite3.SQLITE_FCNTL_JOURNAL_POINTER, out+8); rc != 0 {
		t.Fatalf("journal pointer: %d", rc)
	}
	wal := memoryAt[sqlite3.Tsqlite3_file](*memoryAt[uintptr](out + 8)).FpMethods
	d := &faultyDisk{files: map[string]*diskFile{}, countdown: map[string]int{}}
	methods := memoryAt[sqlite3.Tsqlite3_io_methods](main)
	d.original.write = pointerToFunc[func(*libc.TLS, uintptr, uintptr, int32, int64) int32](methods.FxWrite)
	d.original.sync = pointerToFunc[func(*libc.TLS, uintptr, int32) int32](methods.FxSync)
	d.original.truncate = pointerToFunc[func(*libc.TLS, uintptr, int64) int32](methods.FxTruncate)
	write, sync, truncate := d.write, d.sync, d.truncate
	for _, table := range []uintptr{main, wal} {
		methods := memoryAt[sqlite3.Tsqlite3_io_methods](table)
		saved := *methods
		methods.FxWrite, methods.FxSync, methods.FxTruncate = funcToPointer(write), funcToPointer(sync), funcToPointer(truncate)
		t.Cleanup(func() { *methods = saved })
	}
	t.Cleanup(func() { runtime.KeepAlive([]any{write, sync, truncate}) }) // SQLite's tables do not keep them alive
	return d
}

func pathOf(file uintptr) string { return libc.GoString(memoryAt[sqlite3.TunixFile](file).FzPath) }

func (d *faultyDisk) file(file uintptr) *diskFile {
	path := pathOf(file)
	f := d.files[path]
	if f == nil {
		f = &diskFile{}
		d.files[path] = f
	}
	return f
}

// shouldFail reports whether a call of a kind on a file is to fail.
func (d *faultyDisk) shouldFail(kind string, file uintptr) bool {
	left, armed := d.countdown[kind]
	if !armed || !strings.HasPrefix(pathOf(file), d.store) {
		return false
	}
	d.countdown[kind] = left - 1
	if left > 1 {
		return false
	}
	if left <= 1-d.faults {
		delete(d.countdown, kind)
		return false
	}
	d.injected++
	return true
}

func (d *faultyDisk) write(tls *libc.TLS, file, data uintptr, size int32, offset int64) int32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	bytes := append([]byte{}, unsafe.Slice(memoryAt[byte](data), size)...)
	if d.shouldFail("write", file) {
		// A part of the write may have reached the disk.
		half := size / 2
		d.original.write(tls, file, data, half, offset)
		f := d.file(file)
		f.pending = append(f.pending, diskChange{offset, bytes[:half]})
		return d.code
	}
	rc := d.original.write(tls, file, data, size, offset)
	if rc == 0 {
		f := d.file(file)
		f.pending = append(f.pending, diskChange{offset, bytes})
	}
	return rc
}

func (d *faultyDisk) sync(tls *libc.TLS, file uintptr, flags int32) int32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.file(file)
	if d.shouldFail("sync", file) {
		f.pending = nil
		return d.code
	}
	for _, c := range f.pending {
		f.durable = c.apply(f.durable)
	}
	f.pending = nil
	return d.original.sync(tls, file, flags)
}

func (d *faultyDisk) truncate(tls *libc.TLS, file uintptr, size int64) int32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	rc := d.original.truncate(tls, file, size)
	if rc == 0 {
		f := d.file(file)
		f.pending = append(f.pending, diskChange{at: size})
	}
	return rc
}

// powerCut copies what a power failure at this moment would leave of a database to another directory: a random
// number of the unsynced changes, the last of them in part.
func (d *faultyDisk) powerCut(t *testing.T, path string, r *rand.Rand) string {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	to := filepath.Join(t.TempDir(), "a.db")
	for _, ending := range []string{"", "-wal"} {
		f := d.files[path+ending]
		if f == nil {
			continue
		}
		b := append([]byte{}, f.durable...)
		kept := r.IntN(len(f.pending) + 1)
		for i, c := range f.pending[:kept] {
			if i == kept-1 && c.data != nil {
				c.data = c.data[:r.IntN(len(c.data)+1)]
			}
			b = c.apply(b)
		}
		if err := os.WriteFile(to+ending, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return to
}

// A record whose write succeeded is found after a power failure at any time, regardless of how many writes and
// syncs failed before. A failed write can be repeated, and counts as durable only if the repetition itself made it
// durable.
func TestNothingDurableIsLost(t *testing.T) {
	codes := map[string][]int32{
		"write": {sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR_WRITE},
		"sync":  {sqlite3.SQLITE_IOERR_FSYNC},
	}
	for kind, list := range codes {
		for _, code := range list {
			for nth := 1; nth <= 14; nth++ {
				t.Run(fmt.Sprintf("%s %d at %d", kind, code, nth), func(t *testing.T) { runFaults(t, kind, code, nth) })
			}
		}
	}
}

func runFaults(t *testing.T, kind string, code int32, nth int) {
	r := rand.New(rand.NewPCG(uint64(nth), uint64(code)))
	d := installFaultyDisk(t)
	path := filepath.Join(t.TempDir(), "a.db")
	s, err := Open(ctx, Options{Path: path, Instance: "n0", Busy: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	// A small write-ahead log, so that checkpoints happen during the test.
	s.db.SetMaxOpenConns(1)
	if _, err := s.db.Exec("PRAGMA wal_autocheckpoint = 8"); err != nil {
		t.Fatal(err)
	}
	durable := map[uint64]bool{}
	next := uint64(0)
	write := func() {
		next++
		batch := []record.Record{storetest.Record(s, next, 1, record.Open)}
		for range 20 {
			if s.Write(ctx, batch) == nil {
				durable[batch[0].ID] = true
				return
			}
		}
		t.Fatal("the store did not recover")
	}
	for range 6 {
		write()
	}
	d.mu.Lock()
	d.store, d.code, d.faults, d.countdown[kind] = path, code, 1+nth%3, nth
	d.mu.Unlock()
	for i := range 12 {
		write()
		if i%2 == 0 {
			checkAfterPowerCut(t, d.powerCut(t, path, r), durable)
		}
	}
	if d.injected == 0 {
		t.Fatal("no fault was injected")
	}
}

// checkAfterPowerCut opens what a power failure has left and checks that it contains the durable records.
func checkAfterPowerCut(t *testing.T, path string, durable map[uint64]bool) {
	t.Helper()
	s, err := Open(ctx, Options{Path: path, Instance: "n0", Busy: 100 * time.Millisecond})
	if err != nil {
		t.Fatalf("after a power failure: %v", err)
	}
	defer s.Close()
	found := map[uint64]bool{}
	for _, r := range storetest.All(t, s, record.Query{}) {
		found[r.ID] = true
	}
	for id := range durable {
		if !found[id] {
			t.Errorf("record %d was durable and is lost", id&0xffffffff)
		}
	}
}
