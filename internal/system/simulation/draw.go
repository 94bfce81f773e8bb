package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"granitewing/internal/system/tolerance"
)

// One of zonalSeedModulus seeds gives a system of six storage machines that tolerates the loss of a zone.
const (
	zonalSeedModulus     = 4
	zonalStorageMachines = 6
)

// Sizes of the storage machines' disks in kilobytes. One of smallDiskSeedModulus seeds gives disks so small that
// stores have to clean their logs.
const (
	defaultDisk          = 400 << 10
	smallDisk            = 400
	smallDiskSeedModulus = 3
)

// Draw draws a scenario: one of faults in the control groups, or one of faults of all kinds. Except for faults that
// strike every machine at once, at most one machine that counts toward the write quorum is lost at a time, or one
// zone if the loss of a zone is tolerated.
func Draw(seed uint64) *Scenario {
	if seed%controlSeedModulus == 1 {
		return drawControl(seed)
	}
	r := rand.New(rand.NewPCG(seed, 2))
	s := &Scenario{Seed: seed, Traffic: time.Duration(8+r.IntN(6)) * time.Second, StorageMachines: defaultStorageMachines, MaxDelay: defaultMaxDelay,
		Tolerance: tolerance.Tolerance{Machines: 1}}
	s.DiskKB, s.Retention = defaultDisk, defaultRetention
	if seed%smallDiskSeedModulus == 0 {
		s.DiskKB = smallDisk
	}
	zonal := seed%zonalSeedModulus == 0
	if zonal {
		s.StorageMachines, s.Tolerance.Zones = zonalStorageMachines, 1
	}
	lossUntil := time.Duration(0) // until when a machine that counts toward the write quorum counts as lossTime
	at := 300 * time.Millisecond
	for len(s.Events) < 2+r.IntN(7) {
		at += time.Duration(r.IntN(1800)) * time.Millisecond
		if at > s.Traffic-500*time.Millisecond {
			break
		}
		what, lossTime := drawEvent(r, s.StorageMachines)
		if zonal && r.IntN(zonalSeedModulus) == 0 {
			what, lossTime = drawZoneFault(r)
		}
		if lossTime > 0 {
			at = max(at, lossUntil)
			lossUntil = at + lossTime + recoveryTime
		}
		s.Events = append(s.Events, Event{At: at, What: what})
	}
	return s
}

// recoveryTime is how long a machine counts as lost after its return.
const recoveryTime = 4500 * time.Millisecond

// drawEvent draws an event, and returns for how long a machine that counts toward the write quorum is lost by it.
func drawEvent(r *rand.Rand, machines int) (what string, lossTime time.Duration) {
	storage := fmt.Sprintf("storage-%d", 1+r.IntN(machines))
	edge := fmt.Sprintf("edge-%d", 1+r.IntN(carrierCount))
	length := time.Duration(200+r.IntN(3500)) * time.Millisecond
	service := []string{alert, archive, partner}[r.IntN(3)]
	switch r.IntN(37) {
	case 0, 1:
		return fmt.Sprintf("kill %s for %s", storage, length/4), length / 4
	case 2:
		return fmt.Sprintf("power %s for %s", storage, length), length
	case 3:
		return fmt.Sprintf("wipe %s for %s", storage, length), length
	case 4:
		return fmt.Sprintf("freeze %s for %s", storage, length), length
	case 5:
		return fmt.Sprintf("cut %s from all for %s", storage, length), length
	case 6:
		return fmt.Sprintf("cut %s from all for %s oneway", storage, length), length
	case 7:
		return fmt.Sprintf("cut %s from storage for %s", storage, length), length
	case 8:
		return fmt.Sprintf("replace %s after %s", storage, length/3), length/3 + time.Second
	case 9:
		return fmt.Sprintf("slowdisk %s by 30 for %s", storage, length), length
	case 10, 11:
		return fmt.Sprintf("kill %s for %s", edge, length/4), 0
	case 12:
		return fmt.Sprintf("power %s for %s", edge, length), 0
	case 13:
		return fmt.Sprintf("freeze %s for %s", edge, 2*length), 0
	case 14:
		return "term " + edge, 0
	case 15:
		return "term " + storage, time.Second
	case 16:
		return fmt.Sprintf("power all for %s", length/4), length / 4
	case 17:
		return fmt.Sprintf("kill storage for %s", length/8), length / 8
	case 18:
		return fmt.Sprintf("cut %s from all for %s", edge, 2*length), 0
	case 19:
		return fmt.Sprintf("dark %s for %s", service, length), 0
	case 20:
		return []string{"configure", "race", "release archive", "release alert"}[r.IntN(4)], 0
	case 21:
		return "add storage", 0
	case 22:
		return "retire " + storage, 0
	case 23, 24:
		return fmt.Sprintf("grey %s loses for %s", service, length), 0
	case 25:
		return fmt.Sprintf("grey %s %s for %s", service, []string{"resets", "sheds", "fails"}[r.IntN(3)], length), 0
	case 26:
		return fmt.Sprintf("crash %s for %s", service, length), 0
	case 27:
		return fmt.Sprintf("slowdisk %s by 500 for %s", storage, length), length
	case 34, 35:
		return fmt.Sprintf("blackout %s for %s", storage, length/4), length / 4
	case 30:
		return fmt.Sprintf("burst %s by %d for %s", []string{archive, alert}[r.IntN(2)], 2+r.IntN(7), length), 0
	case 31:
		return fmt.Sprintf("lose acknowledgements for %s", 2*length), 0
	case 32:
		return fmt.Sprintf("silence platform for %s", 2*length), 0
	case 33:
		return fmt.Sprintf("deafen receivers for %s", 2*length), 0
	case 28, 29:
		return fmt.Sprintf("fulldisk %s for %s", storage, 2*length), 2 * length
	default:
		return fmt.Sprintf("skew %s by %s", edge, length-2*time.Second), 0
	}
}

// drawZoneFault draws a fault of a whole zone, and returns for how long the zone is lost by it.
func drawZoneFault(r *rand.Rand) (what string, lossTime time.Duration) {
	zone := "zone-" + zones[r.IntN(len(zones))]
	length := time.Duration(200+r.IntN(3000)) * time.Millisecond
	switch r.IntN(5) {
	case 0:
		return fmt.Sprintf("power %s for %s", zone, length), length
	case 3:
		return fmt.Sprintf("blackout %s for %s", zone, length/4), length / 4
	case 1:
		return fmt.Sprintf("wipe %s for %s", zone, length), length
	case 2:
		return fmt.Sprintf("cut %s from all for %s", zone, length), length
	default:
		return fmt.Sprintf("freeze %s for %s", zone, length), length
	}
}

// Shorten removes events from a failing scenario as long as it still fails.
func Shorten(s *Scenario, fails func(*Scenario) bool) *Scenario {
	for i := 0; i < len(s.Events); {
		shorter := *s
		shorter.Events = append(append([]Event(nil), s.Events[:i]...), s.Events[i+1:]...)
		if fails(&shorter) {
			s = &shorter
			continue
		}
		i++
	}
	return s
}
