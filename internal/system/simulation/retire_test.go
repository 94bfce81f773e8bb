package simulation

import (
	"path/filepath"
	"strings"
	"testing"
)

// Guards against overlapping retirements that leave too few disks. Operators asked for several machines to be retired
// within a tenth of a second. All orders were accepted, and fewer disks remained than a message needs. Every request
// was refused until another machine was added and backfilled, or forever if none was, also after a loss of all power.
// The check whether a machine can be removed ran before its order was proposed instead of where the order is applied,
// so orders that were in progress at the same time did not see each other.
func TestOverlappingRetirements(t *testing.T) {
	runSomeSeeds(t, filepath.Join("testdata", "retirements", "at-the-same-moment.txt"), fewSeeds)
}

// Guards against retirements that never finish and a control group that permanently has no stable leader. All voters
// of the group were on machines being retired, and another group that they depend on had already removed them.
// Keepers without the session table could not tell which machines are being retired. Keepers that led the session
// group but lacked another group did not manage that group's membership. Each leader transferred leadership to the
// next. The first scenario has this situation but broke no rule before the fix either. The second, a shortened form of
// a drawn scenario, did.
func TestVotersRetireTogether(t *testing.T) {
	runSomeSeeds(t, filepath.Join("testdata", "retirements", "all-voters-leave.txt"), fewSeeds)
	runSomeSeeds(t, filepath.Join("testdata", "retirements", "group-that-nobody-tends.txt"), fewSeeds)
}

// Guards against a message that runs again because its outcome left with a retired disk. The message completed while
// a machine was drained that had copied it to another one. The outcome was sent to the two known holders only; one of
// them left and the other restarted. The scenario is a shortened form of the drawn schedule that failed.
func TestOutcomeLostWithRetiredDisk(t *testing.T) {
	runSomeSeeds(t, filepath.Join("testdata", "retirements", "end-that-left-with-its-disk.txt"), fewSeeds)
}

// TestDrawnRetirements runs drawn scenarios in which several machines are asked to be retired at about the same time.
// It runs a sixth as many as the other tests, because they last twice as long and have up to thirty machines.
func TestDrawnRetirements(t *testing.T) {
	first, count := scheduleRange()
	count = max(1, count/6)
	if found := failingSchedules(first, count, DrawRetirements); len(found) > 0 {
		t.Errorf("%d schedules break rules:\n%s", len(found), strings.Join(found, "\n"))
	}
}
