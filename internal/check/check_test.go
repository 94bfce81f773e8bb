//go:build check

package check

import (
	"errors"
	"strings"
	"testing"

	"granitewing/internal/syncpoint"
)

// counter is a counter that two goroutines increment, with or without a lock.
func counter(locked bool) Make {
	return func() ([]func(), func() error) {
		var mu syncpoint.Mutex
		n := 0
		add := func() {
			if locked {
				mu.Lock()
				defer mu.Unlock()
			}
			Touch(&n)
			old := n
			Touch(&n)
			n = old + 1
		}
		return []func(){add, add}, func() error {
			if n != 2 {
				return errors.New("an update is lost")
			}
			return nil
		}
	}
}

// lockOrderInversion is two goroutines that take two locks in opposite orders.
func lockOrderInversion() ([]func(), func() error) {
	var a, b syncpoint.Mutex
	take := func(x, y *syncpoint.Mutex) func() {
		return func() {
			x.Lock()
			y.Lock()
			y.Unlock()
			x.Unlock()
		}
	}
	return []func(){take(&a, &b), take(&b, &a)}, nil
}

// A failure that occurs in some interleaving is found, and its schedule reproduces it. Correct code is run in all
// interleavings.
func TestFinds(t *testing.T) {
	for name, c := range map[string]struct {
		make Make
		want string
	}{
		"a lost update":       {counter(false), "an update is lost"},
		"locks in two orders": {lockOrderInversion, "deadlock: no goroutine can continue"},
		"with a lock":         {counter(true), ""},
	} {
		r := Run(Default, c.make)
		t.Logf("%s: %v", name, r)
		switch {
		case c.want == "":
			if r.Err != nil || !r.Complete {
				t.Errorf("%s: %v", name, r)
			}
		case r.Err == nil || !strings.Contains(r.Err.Error(), c.want):
			t.Errorf("%s: %v, want %s", name, r, c.want)
		default:
			if err := Replay(r.Schedule, c.make); err == nil || err.Error() != r.Err.Error() {
				t.Errorf("%s, replayed: %v", name, err)
			}
		}
	}
}

// Equivalent interleavings are run once. Three goroutines that each access an object of their own three times have
// one interleaving; three that access a shared object once each have six.
func TestAlike(t *testing.T) {
	of := func(one bool) Make {
		return func() ([]func(), func() error) {
			shared, own := new(int), [3]int{}
			var out []func()
			for i := range own {
				out = append(out, func() {
					if one {
						Touch(shared)
						return
					}
					for range 3 {
						Touch(&own[i])
					}
				})
			}
			return out, nil
		}
	}
	if r := Run(Default, of(false)); r.Schedules != 1 || !r.Complete {
		t.Error(r)
	}
	if r := Run(Default, of(true)); r.Schedules != 6 || !r.Complete {
		t.Error(r)
	}
}
