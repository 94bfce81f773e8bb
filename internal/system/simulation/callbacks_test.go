package simulation

import (
	"path/filepath"
	"strings"
	"testing"
)

// What was seen: on a long day of hundreds of changes a message was done, and its call-back never came.
// How it came about: machines with a disk are emptied while call-backs are owed, so ends reach disks before the copies of their messages do; the
// carrier that had the call-backs to make stops; who takes its messages over lists them at the stores, and settles what they do not list.
// Cause: a copy that came after its message's end was in the list of no unit until the store's next start. Proven by what the disks
// hold of the message at the end: bytes and an owed end, and no disk lists it.
func TestCallbacksOwedWhileMachinesAreEmptied(t *testing.T) {
	playSeeds(t, filepath.Join("testdata", "callbacks", "owed-while-machines-are-emptied.txt"))
}

// TestDrawnOwedCallbacks plays drawn schedules in which call-backs are owed for seconds while machines with a disk are emptied and carriers go, a
// sixth as many as of the others: they last twice as long.
func TestDrawnOwedCallbacks(t *testing.T) {
	first, count := schedules()
	count = max(1, count/6)
	if found := breaking(first, count, DrawOwedCallbacks); len(found) > 0 {
		t.Errorf("%d schedules break rules:\n%s", len(found), strings.Join(found, "\n"))
	}
}
