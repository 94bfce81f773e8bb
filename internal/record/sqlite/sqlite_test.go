package sqlite

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"granitewing/internal/record"
	"granitewing/internal/record/storetest"
)

var ctx = context.Background()

func open(t *testing.T, path, instance string) *Store {
	t.Helper()
	s, err := Open(ctx, Options{Path: path, Instance: instance, Busy: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// Every store's tests.
func TestStore(t *testing.T) {
	storetest.Run(t, func(t *testing.T) func(string) record.Store {
		path := filepath.Join(t.TempDir(), "a.db")
		return func(instance string) record.Store { return open(t, path, instance) }
	})
}

// An older start that writes on after a newer one has begun is refused. (The file's lock keeps both from one machine;
// what gets past it, such as a copied folder on a network disk, meets the epoch.)
func TestFenced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.db")
	s := open(t, path, "n0")
	if _, err := Open(ctx, Options{Path: path, Instance: "n1"}); err == nil || !strings.Contains(err.Error(), "in use by another dispatcher") {
		t.Errorf("a second dispatcher on the file: %v", err)
	}
	s.releaseLock()
	newer := open(t, path, "n0")
	if err := s.Write(ctx, []record.Record{storetest.Record(s, 1, 1, record.Open)}); !errors.Is(err, record.ErrFenced) {
		t.Errorf("the older start wrote: %v", err)
	}
	if err := newer.Write(ctx, []record.Record{storetest.Record(newer, 1, 1, record.Open)}); err != nil {
		t.Error(err)
	}
	if got := storetest.All(t, newer, record.Query{}); len(got) != 1 {
		t.Errorf("%d records", len(got))
	}
}

// A store that is restored from a backup an hour old: the next start fences off the one that still ran on what was
// replaced, its ids lie above all that the lost records had, and what the copy has open settles.
func TestRestoredBackup(t *testing.T) {
	dir := t.TempDir()
	path, backup := filepath.Join(dir, "a.db"), filepath.Join(dir, "backup.db")
	at := func(hours int) func() time.Time {
		return func() time.Time { return time.Date(2026, 12, 1, hours, 0, 0, 0, time.UTC) }
	}
	start := func(hours int) *Store {
		s, err := Open(ctx, Options{Path: path, Instance: "n0", Now: at(hours)})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := start(1)
	if err := s.Write(ctx, []record.Record{storetest.Record(s, 1, 1, record.Open)}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(backup, text, 0o600); err != nil {
		t.Fatal(err)
	}
	running := start(2)
	lost := storetest.Record(running, 7, 1, record.Open)
	if err := running.Write(ctx, []record.Record{lost}); err != nil {
		t.Fatal(err)
	}
	running.Close()
	for _, f := range []string{path + "-wal", path + "-shm"} {
		os.Remove(f)
	}
	if err := os.Rename(backup, path); err != nil {
		t.Fatal(err)
	}
	s = start(3)
	defer s.Close()
	if next := storetest.Record(s, 1, 1, record.Open); s.Epoch() <= running.Epoch() || next.ID <= lost.ID {
		t.Errorf("epoch %d after %d", s.Epoch(), running.Epoch())
	}
	j := record.New(nil, s.Epoch(), record.DefaultLimits, record.NewBreaker(1, 1, 1, 1))
	if r, err := record.Recover(ctx, s, j, nil, 1000); err != nil || r.Failed != 1 {
		t.Errorf("%+v, %v", r, err)
	}
}

// What can't be used is refused with a plain line.
func TestOpenErrors(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	newer := filepath.Join(dir, "newer.db")
	open(t, newer, "n0").Close()
	execStatement(t, newer, "PRAGMA user_version = 99")
	cut := filepath.Join(dir, "cut.db")
	s := open(t, cut, "n0")
	var many []record.Record
	for i := range uint64(2000) {
		many = append(many, storetest.Record(s, i+1, 1, record.Open))
	}
	if err := s.Write(ctx, many); err != nil {
		t.Fatal(err)
	}
	if err := s.Checkpoint(ctx); err != nil {
		t.Fatal(err)
	}
	s.Close()
	info, _ := os.Stat(cut)
	if err := os.Truncate(cut, info.Size()/2); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		file("text", "this is no database, however long it may be"+strings.Repeat(".", 5000)): "corrupt or no store at all",
		newer:                                 "has schema 99, this build knows 3: it is from a newer granitewing",
		cut:                                   "corrupt",
		filepath.Join(dir, "nowhere", "a.db"): "check that the folder is there",
	} {
		if _, err := Open(ctx, Options{Path: path, Instance: "n0"}); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v; want %q", path, err, want)
		}
	}
	// One that another program holds a lock on.
	held := filepath.Join(dir, "held.db")
	s = open(t, held, "n0")
	other, err := sql.Open("sqlite", "file:"+held)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if _, err := other.Exec("BEGIN EXCLUSIVE"); err != nil {
		t.Fatal(err)
	}
	if err := s.Write(ctx, []record.Record{storetest.Record(s, 1, 1, record.Open)}); err == nil || !strings.Contains(err.Error(), "locked by another program") {
		t.Errorf("under another's lock: %v", err)
	}
}

func execStatement(t *testing.T, path, statement string) {
	t.Helper()
	db, err := sql.Open("sqlite", "file:"+path)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if _, err := db.Exec(statement); err != nil {
		t.Fatal(err)
	}
}

// Every earlier schema comes up to the present one with its records, and a migration that is cut off leaves the one
// before whole.
func TestMigrations(t *testing.T) {
	for v := range Version {
		path := filepath.Join(t.TempDir(), "a.db")
		s := &Store{options: Options{Path: path}}
		db, err := sql.Open("sqlite", "file:"+path)
		if err != nil {
			t.Fatal(err)
		}
		s.db = db
		for i := range v {
			if err := s.migrate(ctx, i); err != nil {
				t.Fatal(err)
			}
		}
		if v > 0 {
			if _, err := db.Exec(`INSERT INTO records VALUES ('n0', 4294967297, 1, 't', '', 'alert', 'before', 1, 2, 'null', 'open', 0, NULL, '')`); err != nil {
				t.Fatal(err)
			}
		}
		// Cut off: the statement after the schema's own fails, as a kill before the commit would have it.
		whole := migrations[v]
		migrations[v] = whole + "; INSERT INTO nowhere VALUES (1)"
		if err := s.migrate(ctx, v); err == nil {
			t.Error("a broken migration passed")
		}
		migrations[v] = whole
		var version int
		if err := db.QueryRow("PRAGMA user_version").Scan(&version); err != nil || version != v {
			t.Errorf("after a cut migration the schema is %d, want %d (%v)", version, v, err)
		}
		db.Close()
		up := open(t, path, "n0")
		if got := storetest.All(t, up, record.Query{}); len(got) != min(v, 1) {
			t.Errorf("from schema %d: %d records", v, len(got))
		}
	}
}

// A disk that is full in the middle of a batch fails the whole batch, and the store goes on when there is room.
func TestDiskFull(t *testing.T) {
	s := open(t, filepath.Join(t.TempDir(), "a.db"), "n0")
	s.db.SetMaxOpenConns(1) // the bound below is of one connection
	if _, err := s.db.Exec("PRAGMA max_page_count = 20"); err != nil {
		t.Fatal(err)
	}
	var many []record.Record
	for i := range uint64(3000) {
		many = append(many, storetest.Record(s, i+1, 1, record.Open))
	}
	if err := s.Write(ctx, many); err == nil || !strings.Contains(err.Error(), "no room left") {
		t.Fatalf("a full disk: %v", err)
	}
	if n, _ := s.Size(ctx); n != 0 {
		t.Errorf("%d records of a batch that failed", n)
	}
	if _, err := s.db.Exec("PRAGMA max_page_count = 100000"); err != nil {
		t.Fatal(err)
	}
	if err := s.Write(ctx, many); err != nil {
		t.Error(err)
	}
}

// BenchmarkWrite is what group commit gives: records a second by the size of a batch.
func BenchmarkWrite(b *testing.B) {
	for _, size := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s, err := Open(ctx, Options{Path: filepath.Join(b.TempDir(), "a.db"), Instance: "n0"})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			n := uint64(0)
			for b.Loop() {
				batch := make([]record.Record, size)
				for i := range batch {
					n++
					batch[i] = storetest.Record(s, n, 1, record.Served)
				}
				if err := s.Write(ctx, batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// BenchmarkStart is how long a start takes over a million records of which a thousand are open.
func BenchmarkStart(b *testing.B) {
	path := filepath.Join(b.TempDir(), "a.db")
	s, err := Open(ctx, Options{Path: path, Instance: "n0"})
	if err != nil {
		b.Fatal(err)
	}
	const all, size = 1_000_000, 20_000
	for n := uint64(0); n < all; {
		batch := make([]record.Record, size)
		for i := range batch {
			n++
			v := record.Served
			if n%1000 == 0 {
				v = record.Open
			}
			batch[i] = storetest.Record(s, n, 1, v)
		}
		if err := s.Write(ctx, batch); err != nil {
			b.Fatal(err)
		}
	}
	s.Close()
	for b.Loop() {
		s, err := Open(ctx, Options{Path: path, Instance: "n0"})
		if err != nil {
			b.Fatal(err)
		}
		j := record.New([]record.Class{{Name: "alert", Policy: record.Before, Window: 40_000_000}}, s.Epoch(), record.DefaultLimits, record.NewBreaker(1, 1, 1, 1))
		if _, err := record.Recover(ctx, s, j, []record.Class{{Name: "alert", Window: 40_000_000}}, time.Now().UnixMicro()); err != nil {
			b.Fatal(err)
		}
		s.Close()
	}
}
