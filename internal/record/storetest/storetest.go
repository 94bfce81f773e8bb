// Package storetest is the conformance test suite for implementations of record.Store. The tests of each
// implementation call Run; Record and All help to write further tests.
package storetest

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"granitewing/internal/record"
)

var ctx = context.Background()

// Record returns the n-th record of a store's current start, with the given step and verdict.
func Record(s record.Store, n uint64, step uint32, v record.Verdict) record.Record {
	r := record.Record{ID: uint64(s.Epoch())<<32 | n, Step: step, Name: fmt.Sprintf("t%d", n), Class: "alert", Policy: "before", Taken: int64(n), Deadline: 99,
		Attempts: []record.Attempt{{Host: "h", Sent: 5}}, Verdict: v}
	if v != record.Open {
		r.Answered = 50 + int64(n)
	}
	if v == record.Served {
		r.Attempts[0].Ended, r.Attempts[0].Result, r.Content, r.Key = 9, record.ResultServed, []byte("result"), "k"
	}
	return r
}

// All returns the records that match q.
func All(t *testing.T, s record.Store, q record.Query) []record.Record {
	t.Helper()
	var out []record.Record
	if err := s.Query(ctx, q, func(_ string, r record.Record) error { out = append(out, r); return nil }); err != nil {
		t.Fatal(err)
	}
	return out
}

// Run runs the test suite. For each test it calls begin, which creates an empty store and returns a function that
// opens it for an instance, as a new start of that instance.
func Run(t *testing.T, begin func(t *testing.T) (open func(instance string) record.Store)) {
	t.Run("write", func(t *testing.T) { testWrite(t, begin(t)) })
	t.Run("recover", func(t *testing.T) { testRecover(t, begin(t)) })
	t.Run("many", func(t *testing.T) { testMany(t, begin(t)) })
	t.Run("cancelled", func(t *testing.T) { testCancelled(t, begin(t)) })
}

// Records are read back as they were written. Writing a record again, or an earlier step of it, changes nothing.
func testWrite(t *testing.T, open func(string) record.Store) {
	s := open("n0")
	defer s.Close()
	one, two := Record(s, 1, 3, record.Served), Record(s, 2, 1, record.Open)
	for range 2 {
		if err := s.Write(ctx, []record.Record{one, two}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Write(ctx, []record.Record{Record(s, 1, 2, record.Open)}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]record.Record{one, two}, All(t, s, record.Query{})); diff != "" {
		t.Error(diff)
	}
	for q, want := range map[record.Query]int{{Class: "alert"}: 2, {Verdict: "open"}: 1, {Name: "t1"}: 1, {Since: 2}: 1, {Until: 2}: 1, {Limit: 1}: 1, {Instance: "x"}: 0} {
		if got := len(All(t, s, q)); got != want {
			t.Errorf("%+v finds %d, want %d", q, got, want)
		}
	}
	if n, err := s.Size(ctx); n != 2 || err != nil {
		t.Errorf("size %d, %v", n, err)
	}
	n, err := s.Prune(ctx, 1000, 10)
	if err != nil || n != 1 || len(All(t, s, record.Query{Verdict: "open"})) != 1 {
		t.Errorf("%d pruned, %v; want 1, and the open record kept", n, err)
	}
	stop := errors.New("enough")
	if err := s.Query(ctx, record.Query{}, func(string, record.Record) error { return stop }); !errors.Is(err, stop) {
		t.Errorf("Query returned %v, want the error of its callback", err)
	}
}

// A start settles the records that the previous start left open, exactly once, and remembers keyed results. Its
// epoch is higher than all earlier ones.
func testRecover(t *testing.T, open func(string) record.Store) {
	s := open("n0")
	last := s.Epoch()
	never := Record(s, 3, 1, record.Open)
	never.Attempts = nil
	if err := s.Write(ctx, []record.Record{Record(s, 1, 3, record.Served), Record(s, 2, 1, record.Open), never}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	classes := []record.Class{{Name: "alert", Policy: record.BeforeSend, Window: 1000}}
	for round, want := range []record.RecoveryResult{{Failed: 1, Refused: 1, Keys: 1}, {Keys: 1}} {
		s = open("n0")
		j := record.New(classes, s.Epoch(), record.DefaultLimits, record.NewBreaker(1, 1, 1, 1))
		got, err := record.Recover(ctx, s, j, classes, 100)
		got.Took = 0
		if err != nil || got != want {
			t.Errorf("round %d: %+v, %v", round, got, err)
		}
		if content, known := j.Repeat(200, 0, "k"); !known || string(content) != "result" {
			t.Errorf("round %d: the repeat got %q", round, content)
		}
		if s.Epoch() <= last {
			t.Errorf("epoch %d after %d", s.Epoch(), last)
		}
		last = s.Epoch()
		for _, r := range All(t, s, record.Query{}) {
			if err := r.Verify(); err != nil || r.Verdict == record.Open {
				t.Errorf("%v: %+v", err, r)
			}
		}
		s.Close()
	}
}

// A recovery settles more records than fit in one of its writes, and a crash during a recovery loses nothing.
func testMany(t *testing.T, open func(string) record.Store) {
	s := open("n0")
	var batch []record.Record
	for i := range uint64(6000) {
		batch = append(batch, Record(s, i+1, 1, record.Open))
	}
	if err := s.Write(ctx, batch); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s = open("n0")
	// The records that a start had settled when it was killed.
	part, err := s.OpenRecords(ctx, 100)
	if err != nil || len(part) != 100 {
		t.Fatalf("%d open, %v", len(part), err)
	}
	for i := range part {
		part[i].SettleAfterCrash(1000)
	}
	if err := s.Write(ctx, part); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s = open("n0")
	defer s.Close()
	j := record.New(nil, s.Epoch(), record.DefaultLimits, record.NewBreaker(1, 1, 1, 1))
	if r, err := record.Recover(ctx, s, j, nil, 2000); err != nil || r.Failed != 5900 {
		t.Errorf("%+v, %v", r, err)
	}
	if n := len(All(t, s, record.Query{Verdict: "open"})); n != 0 {
		t.Errorf("%d records are still open", n)
	}
}

// A write with a cancelled context fails, and the store remains usable.
func testCancelled(t *testing.T, open func(string) record.Store) {
	s := open("n0")
	defer s.Close()
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	if err := s.Write(cancelled, []record.Record{Record(s, 1, 1, record.Open)}); err == nil {
		t.Error("a write with a cancelled context succeeded")
	}
	if err := s.Write(ctx, []record.Record{Record(s, 1, 1, record.Open)}); err != nil {
		t.Error(err)
	}
}
