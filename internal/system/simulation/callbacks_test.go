package simulation

import (
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an outstanding call-back that is never made. Storage machines are drained while call-backs are
// outstanding, so outcomes reach disks before the copies of their messages. The carrier that has to make the
// call-backs stops. The carrier that takes over its messages lists them at the stores, and treats messages that no
// store lists as settled. A copy that arrived after its message's outcome was in the list of no unit until the next
// start of its store: a disk held the body and an outcome with a call-back outstanding, but did not list the message.
func TestCallbacksOwedWhileMachinesDrain(t *testing.T) {
	runSeeds(t, filepath.Join("testdata", "callbacks", "owed-while-machines-are-emptied.txt"))
}

// TestDrawnOwedCallbacks runs drawn scenarios in which call-backs are outstanding for seconds while storage machines
// are drained and carriers stop. It runs a sixth as many as the other tests, because they last twice as long.
func TestDrawnOwedCallbacks(t *testing.T) {
	first, count := scheduleRange()
	count = max(1, count/6)
	if found := failingSchedules(first, count, DrawOutstandingCallbacks); len(found) > 0 {
		t.Errorf("%d schedules break rules:\n%s", len(found), strings.Join(found, "\n"))
	}
}
