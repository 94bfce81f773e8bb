package postgres

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"granitewing/internal/record"
	"granitewing/internal/record/pgstandin"
	"granitewing/internal/record/storetest"
)

var ctx = context.Background()

func server(t *testing.T) *pgstandin.Server {
	t.Helper()
	s, err := pgstandin.Start(filepath.Join(t.TempDir(), "pg.db"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func open(t *testing.T, s *pgstandin.Server, instance string) *Store {
	t.Helper()
	st, err := Open(ctx, Options{URL: s.URL(), Instance: instance})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { st.Close() })
	return st
}

// The conformance tests for stores.
func TestStore(t *testing.T) {
	storetest.Run(t, func(t *testing.T) func(string) record.Store {
		s := server(t)
		return func(instance string) record.Store { return open(t, s, instance) }
	})
}

// After each failure of the server the write has failed, or it is unknown whether it was executed. Repeating the
// write succeeds, and each record exists once.
func TestFaults(t *testing.T) {
	for name, f := range map[string]pgstandin.Faults{
		"reset before the commit":    {ResetBefore: 1},
		"reset after the commit":     {ResetAfter: 1},
		"serialization failure":      {Serialize: 1},
		"disk full within the batch": {DiskFull: 1},
		"several in a row":           {ResetBefore: 1, ResetAfter: 1, Serialize: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := server(t)
			st := open(t, s, "n0")
			batch := []record.Record{storetest.Record(st, 1, 1, record.Open), storetest.Record(st, 2, 4, record.Served)}
			s.Set(f)
			err := st.Write(ctx, batch)
			if err == nil {
				t.Fatal("the write succeeded")
			}
			if name == "disk full within the batch" && !strings.Contains(err.Error(), "has no space left on its disk") {
				t.Error(err)
			}
			for n := 0; err != nil; n++ {
				if n > 5 {
					t.Fatalf("still failing: %v", err)
				}
				err = st.Write(ctx, batch)
			}
			if got := storetest.All(t, st, record.Query{}); len(got) != 2 || got[1].Verdict != record.Served {
				t.Errorf("%+v", got)
			}
		})
	}
}

// A server that does not respond blocks a write only until the write's deadline. Afterwards the store works again.
func TestUnresponsiveServer(t *testing.T) {
	s := server(t)
	st := open(t, s, "n0")
	s.Set(pgstandin.Faults{Silent: true})
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if err := st.Write(short, []record.Record{storetest.Record(st, 1, 1, record.Open)}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("unresponsive server: %v", err)
	}
	s.Set(pgstandin.Faults{})
	if err := st.Write(ctx, []record.Record{storetest.Record(st, 1, 1, record.Open)}); err != nil {
		t.Error(err)
	}
	s.Drop()
	var err error
	for range 5 { // each idle connection of the pool may be one that was reset
		if err = st.Write(ctx, []record.Record{storetest.Record(st, 2, 1, record.Open)}); err == nil {
			break
		}
	}
	if err != nil {
		t.Errorf("after a reset of all connections: %v", err)
	}
}

// Two dispatchers share a database, each with its own records. A write of an older start of the same name is
// refused.
func TestFenced(t *testing.T) {
	s := server(t)
	older, other := open(t, s, "n0"), open(t, s, "n1")
	newer := open(t, s, "n0")
	if err := older.Write(ctx, []record.Record{storetest.Record(older, 1, 1, record.Open)}); !errors.Is(err, record.ErrFenced) {
		t.Errorf("write of the older start: %v", err)
	}
	for _, st := range []*Store{newer, other} {
		if err := st.Write(ctx, []record.Record{storetest.Record(st, 1, 1, record.Open)}); err != nil {
			t.Error(err)
		}
	}
	for instance, want := range map[string]int{"n0": 1, "n1": 1, "": 2} {
		if got := len(storetest.All(t, other, record.Query{Instance: instance})); got != want {
			t.Errorf("%d records of %q, want %d", got, instance, want)
		}
	}
	// Each settles only its own records.
	again := open(t, s, "n1")
	if list, err := again.OpenRecords(ctx, 10); err != nil || len(list) != 1 || list[0].ID != storetest.Record(other, 1, 1, record.Open).ID {
		t.Errorf("%+v, %v", list, err)
	}
}

// Open fails on a newer schema, an interrupted migration, a server without free connections, and an invalid URL.
func TestOpenErrors(t *testing.T) {
	s := server(t)
	s.Set(pgstandin.Faults{Refuse: true})
	if _, err := Open(ctx, Options{URL: s.URL(), Instance: "n0"}); err == nil || !strings.Contains(err.Error(), "has no free connection") {
		t.Errorf("no free connection: %v", err)
	}
	s.Set(pgstandin.Faults{ResetBefore: 1}) // during the migration
	if _, err := Open(ctx, Options{URL: s.URL(), Instance: "n0"}); err == nil {
		t.Error("Open succeeded although its migration was interrupted")
	}
	if _, err := Open(ctx, Options{URL: s.URL(), Instance: "n0", ReadOnly: true}); err == nil || !strings.Contains(err.Error(), "start the dispatcher once") {
		t.Errorf("a reader of an old schema: %v", err)
	}
	st := open(t, s, "n0")
	if _, err := st.pool.Exec(ctx, "INSERT INTO granitewing_schema (version) VALUES ($1::bigint)", int64(99)); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(ctx, Options{URL: s.URL(), Instance: "n0"}); err == nil || !strings.Contains(err.Error(), "written by a newer granitewing") {
		t.Errorf("a newer schema: %v", err)
	}
	if _, err := Open(ctx, Options{URL: "postgres://u:secret@[bad/", Instance: "n0"}); err == nil || strings.Contains(err.Error(), "secret") {
		t.Errorf("a bad URL: %v", err)
	}
}

// Every earlier schema version is migrated to the current one.
func TestMigrations(t *testing.T) {
	for v := range Version {
		s := server(t)
		whole := migrations
		migrations, Version = whole[:v], v
		if v > 0 {
			open(t, s, "n0").Close()
		}
		migrations, Version = whole, len(whole)
		st := open(t, s, "n0")
		if err := st.Write(ctx, []record.Record{storetest.Record(st, 1, 1, record.Open)}); err != nil {
			t.Errorf("from schema %d: %v", v, err)
		}
	}
}

// BenchmarkWrite measures group commit against the stand-in server: records per second by batch size.
func BenchmarkWrite(b *testing.B) {
	for _, size := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s, err := pgstandin.Start(filepath.Join(b.TempDir(), "pg.db"))
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			st, err := Open(ctx, Options{URL: s.URL(), Instance: "n0"})
			if err != nil {
				b.Fatal(err)
			}
			defer st.Close()
			n := uint64(0)
			for b.Loop() {
				batch := make([]record.Record, size)
				for i := range batch {
					n++
					batch[i] = storetest.Record(st, n, 1, record.Served)
				}
				if err := st.Write(ctx, batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "records/s")
		})
	}
}
