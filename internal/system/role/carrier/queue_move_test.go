package carrier

import (
	"testing"
	"time"

	"granitewing/internal/system/message"
)

// Guards against a crash ("index out of range" in the heap of late messages), after which messages that had just
// run but were not recorded ran again. It was found in a soak test of 150 processes with restarts and moves of
// routes only. Late messages wait for a service. Their unit is offered to another carrier, so they no longer wait,
// but the unit stays. Meanwhile a configuration change has moved their route to another service, whose queue they
// join. A message knew its position in a heap but not in which heap, and a queue treated any message that waited
// anywhere as its own.
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
		t.Fatal("not all messages are late")
	}
	moved := items[len(items)-1]
	moved.queued = false
	next.add(moved, false)
	if got := next.next(retention, late); got != moved {
		t.Fatalf("the next queue returns %p, not the message that joined it", got)
	}
	next.remove(moved)
	next.add(moved, false)
	other := &item{message: &message.Message{Retention: retention}, unit: u}
	next.add(other, false)
	if next.next(time.Second, late) != moved || next.late.Len() != 2 {
		t.Fatal("not both messages are late in the next queue")
	}
	first := former.next(retention, late)
	former.remove(first) // this changes the positions of the others in its heap
	next.remove(moved)
	if got := next.next(retention, late); got != other {
		t.Fatalf("the next queue returns %p, not the message left in it", got)
	}
	returned := map[*item]bool{first: true}
	for it := former.next(retention, late); it != nil; it = former.next(retention, late) {
		if it == moved || returned[it] {
			t.Fatal("the former queue returns a message that has left it, or one twice")
		}
		returned[it] = true
		former.remove(it)
	}
	if len(returned) != len(items)-1 {
		t.Fatalf("%d of %d messages returned", len(returned), len(items)-1)
	}
}
