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

// The conformance tests for stores.
func TestStore(t *testing.T) {
	storetest.Run(t, func(t *testing.T) func(string) record.Store {
		path := filepath.Join(t.TempDir(), "a.db")
		return func(instance string) record.Store { return open(t, path, instance) }
	})
}

// A write of an older start is refused after a newer one has begun. The file lock prevents this on one machine;
// the epoch protects where the lock does not, for example on a copied directory on a network disk.
func TestFenced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.db")
	s := open(t, path, "n0")
	if _, err := Open(ctx, Options{Path: path, Instance: "n1"}); err == nil || !strings.Contains(err.Error(), "in use by another dispatcher") {
		t.Errorf("a second dispatcher on the file: %v", err)
	}
	s.releaseLock()
	newer := open(t, path, "n0")
	if err := s.Write(ctx, []record.Record{storetest.Record(s, 1, 1, record.Open)}); !errors.Is(err, record.ErrFenced) {
		t.Errorf("write of the older start: %v", err)
	}
	if err := newer.Write(ctx, []record.Record{storetest.Record(newer, 1, 1, record.Open)}); err != nil {
		t.Error(err)
	}
	if got := storetest.All(t, newer, record.Query{}); len(got) != 1 {
		t.Errorf("%d records", len(got))
	}
}

// A store is restored from a backup that is an hour old. The next start has a higher epoch than the start that ran
// on the replaced file, its ids are higher than those of the lost records, and open records of the backup are
// settled.
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

// A file that can't be used is refused with an error of one line.
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
	truncated := filepath.Join(dir, "cut.db")
	s := open(t, truncated, "n0")
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
	info, _ := os.Stat(truncated)
	if err := os.Truncate(truncated, info.Size()/2); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		file("text", "this is no database, however long it may be"+strings.Repeat(".", 5000)): "corrupt or not a store",
		newer:                                 "has schema version 99, this build supports up to 3: it was written by a newer granitewing",
		truncated:                             "corrupt",
		filepath.Join(dir, "nowhere", "a.db"): "check that the folder is there",
	} {
		if _, err := Open(ctx, Options{Path: path, Instance: "n0"}); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v; want %q", path, err, want)
		}
	}
	// A file that another program holds a lock on.
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
		t.Errorf("locked by another program: %v", err)
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

// Every earlier schema version is migrated to the current one with its records. A migration that is interrupted
// leaves the previous version intact.
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
		// Interrupted: a statement after those of the migration fails, which has the effect of a kill before the commit.
		whole := migrations[v]
		migrations[v] = whole + "; INSERT INTO nowhere VALUES (1)"
		if err := s.migrate(ctx, v); err == nil {
			t.Error("a failing migration succeeded")
		}
		migrations[v] = whole
		var version int
		if err := db.QueryRow("PRAGMA user_version").Scan(&version); err != nil || version != v {
			t.Errorf("after an interrupted migration the schema is %d, want %d (%v)", version, v, err)
		}
		db.Close()
		up := open(t, path, "n0")
		if got := storetest.All(t, up, record.Query{}); len(got) != min(v, 1) {
			t.Errorf("from schema %d: %d records", v, len(got))
		}
	}
}

// If the disk becomes full in the middle of a batch, the whole batch fails. The store works again when there is
// space.
func TestDiskFull(t *testing.T) {
	s := open(t, filepath.Join(t.TempDir(), "a.db"), "n0")
	s.db.SetMaxOpenConns(1) // the limit below applies to one connection
	if _, err := s.db.Exec("PRAGMA max_page_count = 20"); err != nil {
		t.Fatal(err)
	}
	var many []record.Record
	for i := range uint64(3000) {
		many = append(many, storetest.Record(s, i+1, 1, record.Open))
	}
	if err := s.Write(ctx, many); err == nil || !strings.Contains(err.Error(), "no space left") {
		t.Fatalf("full disk: %v", err)
	}
	if n, _ := s.Size(ctx); n != 0 {
		t.Errorf("%d records of a failed batch", n)
	}
	if _, err := s.db.Exec("PRAGMA max_page_count = 100000"); err != nil {
		t.Fatal(err)
	}
	if err := s.Write(ctx, many); err != nil {
		t.Error(err)
	}
}

// BenchmarkWrite measures group commit: records per second by batch size.
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

// BenchmarkStart measures a start with a million records, a thousand of them open.
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
		j := record.New([]record.Class{{Name: "alert", Policy: record.BeforeSend, Window: 40_000_000}}, s.Epoch(), record.DefaultLimits, record.NewBreaker(1, 1, 1, 1))
		if _, err := record.Recover(ctx, s, j, []record.Class{{Name: "alert", Window: 40_000_000}}, time.Now().UnixMicro()); err != nil {
			b.Fatal(err)
		}
		s.Close()
	}
}
