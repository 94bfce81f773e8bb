package carrier

import (
	"testing"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// What was seen: on a drawn day of planned work a message ran again 0.6 s after its end, at the next owner of its unit.
// How it came about: the first owner took the unit over while the message was being stored, and found it on one disk. It told that
// disk alone of the end. A machine with that disk was restarted as the next owner listed, which went on with the word of the others, as it may.
// Cause: an end lay on fewer disks than a message has to, so that who hears all disks but one might not hear of it. Proven by the
// drawn schedule 5254 with each call logged, and by this test.
func TestEndOfAMessageFoundOnOneDisk(t *testing.T) {
	r := newFixture()
	r.store("disk-1").listed = []wire.ListedMessage{{Message: deliverBody("m1", pacedUnit, 1).Message, Phase: message.Pending}}
	r.own(ownedToken + 1)
	r.Pass(time.Second)
	if len(r.sent) != 1 {
		t.Fatalf("sent %v", r.sent)
	}
	r.finish(Outcome{Kind: RunSucceeded, Stamp: "s"})
	r.Pass(time.Second)
	told := r.storesWithOutcomes()
	if len(told) != len(r.stores) {
		t.Errorf("the end of a message that was found on one disk was told to %v, not to all that count", told)
	}
}

// What was seen: on a drawn day of planned work a message ran again 0.8 s after its end, at the next owner of its unit.
// How it came about: a machine with a disk that held the message was restarted, and another took its place in the roster and was given a copy. The
// first one came back and was being filled when the message ended; its owner told the two disks that it knew, one of which did not count, and
// the other was restarted in its turn.
// Cause: only a holder that was not in the roster at all had all disks be told that count. Proven by the drawn schedule 82 with each
// call logged, and by this test.
func TestEndOfAMessageWhoseHolderDoesNotCount(t *testing.T) {
	r := newFixtureWithAttempt(t)
	r.setDisk("disk-2", false)
	r.table.Set(keeper.KeyRoster, wire.Encode(uint64(2)))
	r.push()
	r.expectOutcomeAt(t, "disk-1", "disk-3")
}

// What was seen: on a drawn day on which several machines were emptied a message ran again 1.7 s after its end, at the next owner of its unit.
// How it came about: a machine that was being emptied had handed its copy of the message to another when the message ended; its owner told the two
// disks that it knew. The emptied one went without the end, which its lists had not had yet, and the other was restarted; a newcomer took its place.
// Cause: a disk that leaves was taken for one that keeps what it is told. Proven by the drawn schedule 39 of machines that are emptied together, with
// what every disk holds of the message, and by this test.
func TestEndOfAMessageWhoseHolderLeaves(t *testing.T) {
	r := newFixtureWithAttempt(t)
	leaving := session.Disk{Counted: true, Leaving: true, Member: session.Member{Address: diskAddress("disk-2"), Disk: "disk-2", Zone: "a"}}
	r.table.Set(keeper.PrefixDisk+"disk-2", wire.Encode(&leaving))
	r.table.Set(keeper.KeyRoster, wire.Encode(uint64(2)))
	r.push()
	r.expectOutcomeAt(t, "disk-1", "disk-3")
}

// Guards against an end that is lost with a carrier that stops: all disks that hold its message are away until it has to go. Who takes the message over
// would run it again.
func TestStoppingCarrierTellsOtherDisksOfItsEnds(t *testing.T) {
	r := newFixtureWithAttempt(t)
	for _, disk := range []string{"disk-1", "disk-2"} {
		delete(r.Reachable, diskAddress(disk))
	}
	r.finish(Outcome{Kind: RunSucceeded, Stamp: "s"})
	stopped := false
	r.core.Drain(r.Now(), func() { stopped = true })
	for !stopped {
		r.Pass(50 * time.Millisecond)
	}
	if told := r.storesWithOutcomes(); !told[diskAddress("disk-3")] {
		t.Errorf("the end was told to %v when the carrier had stopped", told)
	}
}

// newRigWithOneOut gives a carrier with an attempt of a message out that two disks hold.
func newFixtureWithAttempt(t *testing.T) *fixture {
	t.Helper()
	r := newFixture()
	if refusal := r.core.Deliver(deliverBody("m1", pacedUnit, ownedToken)); refusal != nil {
		t.Fatal(refusal.Reason)
	}
	r.Pass(time.Second)
	return r
}

// expectEndAt has the attempt succeed, and sees that disks are told the end.
func (r *fixture) expectOutcomeAt(t *testing.T, disks ...string) {
	t.Helper()
	r.finish(Outcome{Kind: RunSucceeded, Stamp: "s"})
	r.Pass(time.Second)
	told := r.storesWithOutcomes()
	for _, disk := range disks {
		if !told[diskAddress(disk)] {
			t.Errorf("%s was not told of the end; told were %v", disk, told)
		}
	}
}
