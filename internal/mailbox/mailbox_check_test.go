//go:build check

package mailbox

import (
	"fmt"
	"testing"

	"granitewing/internal/check"
	"granitewing/internal/syncpoint"
)

// placeModel has one goroutine put three values and another take three times; put is the function under test.
func placeModel(put func(p Mailbox[int], v int)) check.Make {
	return func() ([]func(), func() error) {
		p := New[int]()
		var took []int
		puts := func() {
			for v := 1; v <= 3; v++ {
				put(p, v)
			}
		}
		takes := func() {
			for range 3 {
				if v, ok := p.Take(); ok {
					took = append(took, v)
				}
			}
		}
		return []func(){puts, takes}, func() error {
			if v, ok := p.Take(); ok {
				took = append(took, v)
			}
			for i, v := range took {
				if i > 0 && v <= took[i-1] {
					return fmt.Errorf("took %v: an older value after a newer one", took)
				}
			}
			if len(took) == 0 || took[len(took)-1] != 3 {
				return fmt.Errorf("took %v: the latest value is missing", took)
			}
			return nil
		}
	}
}

// In no interleaving is the latest value lost, or an older value taken after a newer one.
func TestInterleavings(t *testing.T) {
	r := check.Run(check.Default, placeModel(Mailbox[int].Put))
	t.Log(r)
	if r.Err != nil || !r.Complete || r.Schedules < 10 {
		t.Error(r)
	}
}

// A Put that does not remove the old value first (to make room) loses the latest one in some order.
func TestInterleavingsWithoutRoom(t *testing.T) {
	broken := placeModel(func(p Mailbox[int], v int) { syncpoint.TrySend(p.c, v) })
	r := check.Run(check.Default, broken)
	t.Log(r)
	if r.Err == nil || check.Replay(r.Schedule, broken) == nil {
		t.Error(r)
	}
}
