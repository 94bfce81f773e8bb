package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"granitewing/internal/system/tolerance"
)

// One of controlSeedModulus seeds gives a scenario of faults in the control groups: several in a row on storage
// machines.
const (
	controlSeedModulus = 2
	minFaults          = 2
	maxFaults          = 5
	maxFaultTime       = 20 * time.Second
)

// controlFault is one fault or planned operation on storage machines.
type controlFault struct {
	action    string
	duration  time.Duration
	losesDisk bool // a machine loses its disk
	minAdded  int  // number of machines that must have been added since the start
	exclusive bool // planned operation that requires everything else to be healthy
}

// drawControl draws a scenario of faults on storage machines. The faults overlap freely, but no more disks are lost
// at a time than the system tolerates. A disk counts as lost until recoveryTime after all other faults have healed.
func drawControl(seed uint64) *Scenario {
	r := rand.New(rand.NewPCG(seed, 5))
	s := &Scenario{Seed: seed, StorageMachines: defaultStorageMachines, MaxDelay: defaultMaxDelay, Tolerance: tolerance.Tolerance{Machines: 1}, DiskKB: defaultDisk, Retention: defaultRetention}
	at := time.Duration(300+r.IntN(1500)) * time.Millisecond
	added := 0
	for range r.IntN(3) {
		s.Events = append(s.Events, Event{At: at, What: "add storage"})
		added++
		at += time.Duration(r.IntN(7000)) * time.Millisecond
	}
	var healed, nextDiskLoss time.Duration // when all faults have healed, and when another disk may be lost
	for range minFaults + r.IntN(maxFaults-minFaults+1) {
		next := drawControlFault(r, s.StorageMachines)
		if next.minAdded > added {
			continue
		}
		if next.losesDisk {
			at = max(at, nextDiskLoss)
		}
		if next.exclusive {
			at = max(at, healed+recoveryTime)
		}
		s.Events = append(s.Events, Event{At: at, What: next.action})
		healed = max(healed, at+next.duration)
		if next.losesDisk {
			nextDiskLoss = healed + recoveryTime
		}
		if nextDiskLoss > 0 {
			nextDiskLoss = max(nextDiskLoss, healed+recoveryTime)
		}
		if r.IntN(2) == 0 {
			s.Events = append(s.Events, Event{At: at + time.Duration(r.IntN(2000))*time.Millisecond, What: drawOperatorAction(r)})
		}
		at += time.Duration(r.IntN(4000)) * time.Millisecond
		if next.exclusive {
			at = max(at, healed+recoveryTime)
		}
	}
	s.Traffic = max(healed, at) + 2*time.Second
	return s
}

// drawControlFault draws a fault or planned operation on storage machines.
func drawControlFault(r *rand.Rand, machines int) controlFault {
	target := []string{"leader", "sessions", "oldest", fmt.Sprintf("storage-%d", 1+r.IntN(machines)), fmt.Sprintf("storage-%d", 1+r.IntN(machines))}[r.IntN(5)]
	short := time.Duration(100+r.IntN(2000)) * time.Millisecond
	long := time.Duration(1500+r.IntN(int(maxFaultTime/time.Millisecond)-1500)) * time.Millisecond / time.Duration(1+r.IntN(3))
	from := []string{"storage", "all"}[r.IntN(2)]
	switch r.IntN(30) {
	case 0, 1, 2:
		return controlFault{action: fmt.Sprintf("wipe %s for %s", target, short), duration: short, losesDisk: true}
	case 3, 4:
		return controlFault{action: fmt.Sprintf("replace %s after %s", target, short), duration: short, losesDisk: true}
	case 5, 6:
		return controlFault{action: fmt.Sprintf("evict %s for %s", target, short), duration: short + time.Second, losesDisk: true, minAdded: 1}
	case 7:
		return controlFault{action: fmt.Sprintf("behind %s for %s", target, long), duration: long + powerOffAfterPartition, losesDisk: true}
	case 8:
		return controlFault{action: fmt.Sprintf("blackout %s for %s", target, short), duration: short, losesDisk: true}
	case 9:
		return controlFault{action: fmt.Sprintf("power %s for %s", target, short), duration: short}
	case 10:
		return controlFault{action: fmt.Sprintf("kill %s for %s", target, short/4), duration: short / 4}
	case 11, 12:
		return controlFault{action: fmt.Sprintf("freeze %s for %s", target, long/2), duration: long / 2}
	case 13, 14:
		return controlFault{action: fmt.Sprintf("cut %s from %s for %s", target, from, long), duration: long}
	case 15:
		return controlFault{action: fmt.Sprintf("cut %s from %s for %s oneway", target, from, long), duration: long}
	case 16, 17:
		return controlFault{action: fmt.Sprintf("split storage for %s", long), duration: long}
	case 18:
		return controlFault{action: fmt.Sprintf("relieve %s for %s", target, long), duration: long + restartDelay}
	case 19:
		return controlFault{action: fmt.Sprintf("misseed %s for %s", target, long/2), duration: long / 2}
	case 20:
		return controlFault{action: fmt.Sprintf("restart %s for %s", target, long), duration: long}
	case 21:
		return controlFault{action: fmt.Sprintf("lure %s for %s", target, long/2), duration: long / 2}
	case 22:
		return controlFault{action: fmt.Sprintf("power all for %s", short/2), duration: short / 2}
	case 23:
		return controlFault{action: fmt.Sprintf("kill storage for %s", short/8), duration: short / 8}
	case 24:
		return controlFault{action: fmt.Sprintf("renew %s", target), duration: joinTime + grace, losesDisk: true, exclusive: true}
	case 25:
		return controlFault{action: "retire " + fmt.Sprintf("storage-%d", 1+r.IntN(machines)), minAdded: 1}
	case 26:
		return controlFault{action: fmt.Sprintf("quota storage for %s", long), duration: long}
	case 27:
		return controlFault{action: fmt.Sprintf("slowdisk %s by 100 for %s", target, short), duration: short}
	case 28:
		return controlFault{action: fmt.Sprintf("reset %s", target)}
	default:
		return controlFault{action: fmt.Sprintf("skew %s by %s", []string{"all", "storage", target}[r.IntN(3)], []string{"-1h", "1h", "-3s", "40ms"}[r.IntN(4)])}
	}
}

// drawOperatorAction draws an action of the operator.
func drawOperatorAction(r *rand.Rand) string {
	length := time.Duration(500+r.IntN(4000)) * time.Millisecond
	switch r.IntN(7) {
	case 0:
		return fmt.Sprintf("storm by %d", 5+r.IntN(40))
	case 1, 2:
		return "race"
	case 3:
		return "misconfigure"
	case 4:
		return fmt.Sprintf("lose acknowledgements for %s", length)
	case 5:
		return "turnover"
	default:
		return "configure"
	}
}
