package simulation

import (
	"time"
)

// syncTime is how long a sync of a simulated disk takes.
const syncTime = 4 * time.Millisecond

func (m *machine) disk(w *world, name string) *simulatedDisk {
	d := m.disks[name]
	if d == nil {
		d = newDisk(w, syncTime)
		m.disks[name] = d
	}
	d.sync = syncTime * time.Duration(max(1, m.slowDisk))
	return d
}
