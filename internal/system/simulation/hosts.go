package simulation

import (
	"time"
)

// Times of the simulated disks.
const (
	usualSyncTime = 4 * time.Millisecond
	fullPause     = 200 * time.Millisecond // before a full disk is tried again, as the roles' drivers have it
	compactPause  = 2 * time.Second
)

// syncTime is how long a sync of a machine's disks takes now.
func (m *machine) syncTime() time.Duration { return usualSyncTime * time.Duration(max(1, m.slowDisk)) }

func (m *machine) disk(w *world, name string) *simulatedDisk {
	d := m.disks[name]
	if d == nil {
		d = newDisk(w, m)
		m.disks[name] = d
	}
	return d
}
