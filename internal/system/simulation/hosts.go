package simulation

import (
	"time"
)

// Timing of the simulated disks.
const (
	defaultSyncTime      = 4 * time.Millisecond
	fullDiskRetryDelay   = 200 * time.Millisecond // before a write to a full disk is tried again, same as in the roles' drivers
	compactionRetryDelay = 2 * time.Second
)

// syncTime returns how long a sync of the machine's disks takes now.
func (m *machine) syncTime() time.Duration {
	return defaultSyncTime * time.Duration(max(1, m.diskSlowdown))
}

func (m *machine) disk(w *world, name string) *simulatedDisk {
	d := m.disks[name]
	if d == nil {
		d = newDisk(w, m)
		m.disks[name] = d
	}
	return d
}
