package simulation

import (
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a message that runs without the ordering key that its sender gave. The operator removes an ordered
// route, and a shorter prefix of the same host, which is not ordered, takes the messages of its clients.
func TestKeysReachWorkersAfterAnOrderedRouteIsRemoved(t *testing.T) {
	runSomeSeeds(t, filepath.Join("testdata", "nested", "ordered-route-removed.txt"), fewSeeds)
}

// TestKeysReachWorkersWhenCarriersStop runs a scenario in which such messages are taken over and sent again.
func TestKeysReachWorkersWhenCarriersStop(t *testing.T) {
	runSomeSeeds(t, filepath.Join("testdata", "nested", "carriers-stop-meanwhile.txt"), fewSeeds)
}

// TestDrawnNestedRoutes runs drawn scenarios in which routes of nested prefixes are removed and come back, a sixth as
// many as the other tests.
func TestDrawnNestedRoutes(t *testing.T) {
	first, count := scheduleRange()
	if found := failingSchedules(first, max(1, count/6), DrawNestedRoutes); len(found) > 0 {
		t.Errorf("%d schedules break rules:\n%s", len(found), strings.Join(found, "\n"))
	}
}
