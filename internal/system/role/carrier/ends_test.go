package carrier

import (
	"testing"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// What was seen: on a drawn day of planned work a message ran again 0.6 s after its end, at the next owner of its unit.
// How it came about: the first owner took the unit over while the message was being stored, and found it on one disk. It told that
// disk alone of the end. A machine with that disk was restarted as the next owner listed, which went on with the word of the others, as it may.
// Cause: an end lay on fewer disks than a message has to, so that who hears all disks but one might not hear of it. Proven by the
// drawn schedule 5254 with each call logged, and by this test.
func TestEndOfAMessageFoundOnOneDisk(t *testing.T) {
	r := newRig()
	r.store("disk-1").listed = []wire.ListedMessage{{Message: handed("m1", pacedUnit, 1).Message, Phase: message.Pending}}
	r.own(ownToken + 1)
	r.Pass(time.Second)
	if len(r.sent) != 1 {
		t.Fatalf("sent %v", r.sent)
	}
	r.finish(Outcome{Kind: RunSucceeded, Stamp: "s"})
	r.Pass(time.Second)
	told := map[string]bool{}
	for _, call := range r.Calls {
		if call.Kind == wire.PutEnds {
			told[call.Address] = true
		}
	}
	if len(told) != len(r.stores) {
		t.Errorf("the end of a message that was found on one disk was told to %v, not to all that count", told)
	}
}
