package simulation

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against a delayed message that lies after its time has come: the ages that the stores told to who took it
// over lagged by the time for which each of them had been down.
func TestDelayedMessagesAreDueOnTimeAfterManyStoreLosses(t *testing.T) {
	runSeeds(t, filepath.Join("testdata", "delays", "delayed-over-many-store-losses.txt"))
}

// TestDrawnDelays runs drawn scenarios in which messages still wait for their time at the end. It runs a sixth as many
// as the other tests.
func TestDrawnDelays(t *testing.T) {
	draw := func(seed uint64) *Scenario {
		s := Draw(seed)
		s.MaxDelay = 80 * time.Second
		return s
	}
	first, count := scheduleRange()
	if found := failingSchedules(first, max(1, count/6), draw); len(found) > 0 {
		t.Errorf("%d schedules break rules:\n%s", len(found), strings.Join(found, "\n"))
	}
}
