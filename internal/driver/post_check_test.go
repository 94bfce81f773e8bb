//go:build check

package driver

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"granitewing/internal/check"
	"granitewing/internal/record"
	"granitewing/internal/syncpoint"
)

// postModel has two goroutines post two events each, and an owner that runs some of them and ends; post is the
// function under test.
func postModel(runs int, post func(d *Driver, f func())) check.Make {
	return func() ([]func(), func() error) {
		d := &Driver{events: make(chan func(), 1), done: make(chan struct{})}
		var ran []string
		poster := func(name string) func() {
			return func() {
				for i := range 2 {
					post(d, func() { ran = append(ran, fmt.Sprint(name, i)) })
				}
			}
		}
		owner := func() {
			for range runs {
				f, _ := syncpoint.Recv(d.events, nil)
				f()
			}
			syncpoint.Close(d.done)
		}
		return []func(){poster("a"), poster("b"), owner}, func() error {
			for _, name := range []string{"a", "b"} {
				if slices.Index(ran, name+"1") >= 0 && slices.Index(ran, name+"0") > slices.Index(ran, name+"1") {
					return fmt.Errorf("ran %v: out of order", ran)
				}
			}
			if slices.Sort(ran); len(slices.Compact(ran)) != runs {
				return fmt.Errorf("ran %v, want %d", ran, runs)
			}
			return nil
		}
	}
}

// Events are neither lost nor reordered, and no goroutine waits forever for an owner that has ended.
func TestPostsInterleaved(t *testing.T) {
	for runs := range 5 {
		r := check.Run(check.Default, postModel(runs, (*Driver).post))
		t.Logf("%d carried out: %v", runs, r)
		if r.Err != nil || !r.Complete {
			t.Error(r)
		}
	}
}

// Without waiting for space an event is lost, and without the check for the end a goroutine waits forever.
func TestPostsInterleavedWithoutARule(t *testing.T) {
	for rule, post := range map[string]func(d *Driver, f func()){
		"blocks while full": func(d *Driver, f func()) { syncpoint.TrySend(d.events, f) },
		"observes done":     func(d *Driver, f func()) { syncpoint.Send(d.events, f, nil) },
	} {
		model := postModel(map[string]int{"blocks while full": 4, "observes done": 2}[rule], post)
		r := check.Run(check.Default, model)
		t.Logf("%s: %v", rule, r)
		if r.Err == nil || check.Replay(r.Schedule, model) == nil {
			t.Errorf("%s: %v", rule, r)
		}
	}
}

// store records what is written to it.
type store struct {
	record.Store
	wrote []record.Record
}

func (s *store) Write(_ context.Context, batch []record.Record) error {
	check.Touch(s)
	s.wrote = append(s.wrote, batch...)
	return nil
}

// writeModel runs the journal's writer beside an owner. If waitsForResult is set, the owner waits for the result of a
// write before it sends the next batch.
func writeModel(waitsForResult bool) check.Make {
	return func() ([]func(), func() error) {
		s := &store{}
		d := &Driver{events: make(chan func(), 1), done: make(chan struct{})}
		j := &journal{d: d, store: s, limit: time.Minute, writes: make(chan []record.Record, 1)}
		owner := func() {
			for i := range 3 {
				if !syncpoint.TrySend(j.writes, []record.Record{{Name: fmt.Sprint(i)}}) {
					panic("the owner would wait for the writer")
				}
				if waitsForResult {
					syncpoint.Recv(d.events, nil)
				}
			}
			syncpoint.Close(d.done)
		}
		return []func(){j.writeLoop, owner}, func() error {
			if len(s.wrote) != 3 {
				return errors.New("a batch is not written")
			}
			for i, r := range s.wrote {
				if r.Name != fmt.Sprint(i) {
					return fmt.Errorf("batch %d is %s", i, r.Name)
				}
			}
			return nil
		}
	}
}

// Every batch is written once and in order before the owner ends, and sending one never blocks. An owner that did not
// wait for the previous write's result would block.
func TestWriterInterleaved(t *testing.T) {
	r := check.Run(check.Default, writeModel(true))
	t.Log(r)
	if r.Err != nil || !r.Complete {
		t.Error(r)
	}
	if r := check.Run(check.Default, writeModel(false)); r.Err == nil || check.Replay(r.Schedule, writeModel(false)) == nil {
		t.Error(r)
	}
}
