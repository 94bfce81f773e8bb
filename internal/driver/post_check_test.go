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
	"granitewing/internal/seam"
)

// posts has two goroutines post two events each, and an owner that carries out some of them and ends; post is how.
func posts(runs int, post func(d *Driver, f func())) check.Make {
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
				f, _ := seam.Recv(d.events, nil)
				f()
			}
			seam.Close(d.done)
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

// Events are neither lost nor turned round, and nobody waits for ever for an owner that has ended.
func TestPostsInterleaved(t *testing.T) {
	for runs := range 5 {
		r := check.Run(check.Default, posts(runs, (*Driver).post))
		t.Logf("%d carried out: %v", runs, r)
		if r.Err != nil || !r.Whole {
			t.Error(r)
		}
	}
}

// Without the wait for room an event is lost, and without the look at the end somebody waits for ever.
func TestPostsInterleavedWithoutARule(t *testing.T) {
	for rule, post := range map[string]func(d *Driver, f func()){
		"waits for room": func(d *Driver, f func()) { seam.TrySend(d.events, f) },
		"sees the end":   func(d *Driver, f func()) { seam.Send(d.events, f, nil) },
	} {
		make := posts(map[string]int{"waits for room": 4, "sees the end": 2}[rule], post)
		r := check.Run(check.Default, make)
		t.Logf("%s: %v", rule, r)
		if r.Err == nil || check.Replay(r.Schedule, make) == nil {
			t.Errorf("%s: %v", rule, r)
		}
	}
}

// store takes what is written to it.
type store struct {
	record.Store
	wrote []record.Record
}

func (s *store) Write(_ context.Context, batch []record.Record) error {
	check.Touch(s)
	s.wrote = append(s.wrote, batch...)
	return nil
}

// writes has the store's writer beside an owner that hands it a batch once it has heard of the one before.
func writes(hears bool) check.Make {
	return func() ([]func(), func() error) {
		s := &store{}
		d := &Driver{events: make(chan func(), 1), done: make(chan struct{})}
		j := &journal{d: d, store: s, limit: time.Minute, writes: make(chan []record.Record, 1)}
		owner := func() {
			for i := range 3 {
				if !seam.TrySend(j.writes, []record.Record{{Name: fmt.Sprint(i)}}) {
					panic("the owner would wait for the writer")
				}
				if hears {
					seam.Recv(d.events, nil)
				}
			}
			seam.Close(d.done)
		}
		return []func(){j.writing, owner}, func() error {
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

// Every batch is written once and in order before the owner ends, which never waits to hand one over; an owner that did not
// wait to hear of the write before would.
func TestWriterInterleaved(t *testing.T) {
	r := check.Run(check.Default, writes(true))
	t.Log(r)
	if r.Err != nil || !r.Whole {
		t.Error(r)
	}
	if r := check.Run(check.Default, writes(false)); r.Err == nil || check.Replay(r.Schedule, writes(false)) == nil {
		t.Error(r)
	}
}
