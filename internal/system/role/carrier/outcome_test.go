package carrier

import (
	"testing"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// Guards against a message that runs again at the next owner of its unit, 0.6 s after it completed. The first
// owner took the unit over while the message was being stored, found it on one disk and recorded the outcome on
// that disk alone. The machine with that disk was restarted while the next owner listed the unit, which rightly
// went on with the answers of the other disks. An outcome must be on as many disks as its message, or an owner
// that reads all disks but one may miss it. Found by schedule 5254 of the simulated planned work.
func TestOutcomeOfMessageFoundOnOneDisk(t *testing.T) {
	r := newFixture()
	r.store("disk-1").listed = []wire.ListedMessage{{Message: deliverBody("m1", pacedUnit, 1).Message, Phase: message.Pending}}
	r.own(ownedToken + 1)
	r.Advance(time.Second)
	if len(r.sent) != 1 {
		t.Fatalf("sent %v", r.sent)
	}
	r.finish(AttemptOutcome{Kind: RunSucceeded, Stamp: "s"})
	r.Advance(time.Second)
	recorded := r.storesWithOutcomes()
	if len(recorded) != len(r.stores) {
		t.Errorf("the outcome of a message found on one disk was recorded on %v, not on all counting disks", recorded)
	}
}

// Guards against a message that runs again at the next owner of its unit, 0.8 s after it completed. A machine with
// a disk that held the message was restarted, and another disk took its place in the roster and got a copy. The
// first disk came back and was being backfilled when the message completed. The owner recorded the outcome on the
// two disks that it knew, of which one did not count toward the write quorum and the other was then restarted.
// Outcomes went to all counting disks only if a holder was not in the roster at all. Found by schedule 82 of the
// simulated planned work.
func TestOutcomeOfMessageOnNonVotingDisk(t *testing.T) {
	r := newFixtureWithAttempt(t)
	r.setDisk("disk-2", false)
	r.table.Set(keeper.KeyRoster, wire.Encode(uint64(2)))
	r.push()
	r.expectOutcomeAt(t, "disk-1", "disk-3")
}

// Guards against a message that runs again at the next owner of its unit, 1.7 s after it completed. A machine that
// was being drained had copied the message to another disk when the message completed. The owner recorded the
// outcome on the two disks that it knew. The drained disk left without passing on the outcome, which was not in
// its lists yet; the other disk was restarted, and a new disk took its place. The owner had counted on a leaving
// disk to keep what it records. Found by schedule 39 of the simulation in which several machines are drained
// together.
func TestOutcomeOfMessageOnLeavingDisk(t *testing.T) {
	r := newFixtureWithAttempt(t)
	leaving := session.Disk{Counted: true, Leaving: true, Member: session.Member{Address: diskAddress("disk-2"), Disk: "disk-2", Zone: "a"}}
	r.table.Set(keeper.PrefixDisk+"disk-2", wire.Encode(&leaving))
	r.table.Set(keeper.KeyRoster, wire.Encode(uint64(2)))
	r.push()
	r.expectOutcomeAt(t, "disk-1", "disk-3")
}

// Guards against an outcome that is lost with a stopping carrier because all disks that hold its message are
// unreachable until the carrier exits. The next owner would run the message again.
func TestStoppingCarrierSpreadsOutcomes(t *testing.T) {
	r := newFixtureWithAttempt(t)
	for _, disk := range []string{"disk-1", "disk-2"} {
		delete(r.Reachable, diskAddress(disk))
	}
	r.finish(AttemptOutcome{Kind: RunSucceeded, Stamp: "s"})
	stopped := false
	r.core.Shutdown(r.Now(), func() { stopped = true })
	for !stopped {
		r.Advance(50 * time.Millisecond)
	}
	if recorded := r.storesWithOutcomes(); !recorded[diskAddress("disk-3")] {
		t.Errorf("the outcome was recorded on %v when the carrier had stopped", recorded)
	}
}

// newFixtureWithAttempt returns a fixture whose carrier has an attempt in flight, of a message that two disks
// hold.
func newFixtureWithAttempt(t *testing.T) *fixture {
	t.Helper()
	r := newFixture()
	if refusal := r.core.TakeMessage(deliverBody("m1", pacedUnit, ownedToken)); refusal != nil {
		t.Fatal(refusal.Reason)
	}
	r.Advance(time.Second)
	return r
}

// expectOutcomeAt lets the attempt succeed and checks that the outcome is recorded on the given disks.
func (r *fixture) expectOutcomeAt(t *testing.T, disks ...string) {
	t.Helper()
	r.finish(AttemptOutcome{Kind: RunSucceeded, Stamp: "s"})
	r.Advance(time.Second)
	recorded := r.storesWithOutcomes()
	for _, disk := range disks {
		if !recorded[diskAddress(disk)] {
			t.Errorf("the outcome is not recorded on %s, only on %v", disk, recorded)
		}
	}
}
