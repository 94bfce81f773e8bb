package carrier

import (
	"testing"
	"time"

	"granitewing/internal/system/message"
)

// What was seen: a carrier ended by itself ("index out of range" in the heap of late messages) in a soak of 150 processes with restarts and moves of
// routes alone; what it had just run and not told ran again.
// How it came about: late messages wait for a service; their unit is offered to another carrier, so they wait no more, and stays; a change of
// the configuration has given their route to another service meanwhile, whose queue they join.
// Cause: a message knew its place in a heap and not in which, and a queue took any message for its own that waited anywhere. Proven by this test.
func TestLateMessageMovesToAnotherQueue(t *testing.T) {
	former, next, u := &queue{service: "former"}, &queue{service: "next"}, newUnit("u")
	late := func(*item) time.Duration { return 0 }
	const retention = time.Minute
	var items []*item
	for range 8 {
		it := &item{message: &message.Message{Retention: retention}, unit: u}
		former.add(it, false)
		items = append(items, it)
	}
	if former.next(time.Second, late) == nil || former.late.Len() != len(items) {
		t.Fatal("all are late")
	}
	moved := items[len(items)-1]
	moved.queued = false
	next.add(moved, false)
	if got := next.next(retention, late); got != moved {
		t.Fatalf("the next queue gives %p, not the message that joined it", got)
	}
	next.remove(moved)
	next.add(moved, false)
	other := &item{message: &message.Message{Retention: retention}, unit: u}
	next.add(other, false)
	if next.next(time.Second, late) != moved || next.late.Len() != 2 {
		t.Fatal("both are late there")
	}
	first := former.next(retention, late)
	former.remove(first) // the others change their places in its heap
	next.remove(moved)
	if got := next.next(retention, late); got != other {
		t.Fatalf("the next queue gives %p, and another message is left there", got)
	}
	given := map[*item]bool{first: true}
	for it := former.next(retention, late); it != nil; it = former.next(retention, late) {
		if it == moved || given[it] {
			t.Fatal("the former queue gives a message that has left it, or one twice")
		}
		given[it] = true
		former.remove(it)
	}
	if len(given) != len(items)-1 {
		t.Fatalf("%d of %d messages came", len(given), len(items)-1)
	}
}
