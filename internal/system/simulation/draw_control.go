package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"granitewing/internal/system/tolerance"
)

// One of controlEvery schedules strikes at control: at the machines with a disk, several times in a row.
const (
	controlEvery = 2
	strikesLeast = 2
	strikesMost  = 5
	longestCut   = 20 * time.Second
)

// strike is one trouble of machines with a disk.
type strike struct {
	what     string
	lasts    time.Duration
	disk     bool // one loses its disk
	machines int  // that there have to be, besides those at the start
	alone    bool // planned work that needs all else to be well
}

// drawControl draws a scenario of strikes at control, which overlap as they like, as long as no more disks are lost at a time
// than may be: a disk is lost until a while after all else that was struck is well again.
func drawControl(seed uint64) *Scenario {
	r := rand.New(rand.NewPCG(seed, 5))
	s := &Scenario{Seed: seed, Storage: storageCount, Tolerate: tolerance.Tolerance{Machines: 1}, Disk: usualDisk, Retention: usualRetention}
	at := time.Duration(300+r.IntN(1500)) * time.Millisecond
	added := 0
	for range r.IntN(3) {
		s.Events = append(s.Events, Event{At: at, What: "add storage"})
		added++
		at += time.Duration(r.IntN(7000)) * time.Millisecond
	}
	var healed, diskFree time.Duration // when all is well again, and when another disk may be lost
	for range strikesLeast + r.IntN(strikesMost-strikesLeast+1) {
		next := drawStrike(r, s.Storage)
		if next.machines > added {
			continue
		}
		if next.disk {
			at = max(at, diskFree)
		}
		if next.alone {
			at = max(at, healed+catchUp)
		}
		s.Events = append(s.Events, Event{At: at, What: next.what})
		healed = max(healed, at+next.lasts)
		if next.disk {
			diskFree = healed + catchUp
		}
		if diskFree > 0 {
			diskFree = max(diskFree, healed+catchUp)
		}
		if r.IntN(2) == 0 {
			s.Events = append(s.Events, Event{At: at + time.Duration(r.IntN(2000))*time.Millisecond, What: drawOperator(r)})
		}
		at += time.Duration(r.IntN(4000)) * time.Millisecond
		if next.alone {
			at = max(at, healed+catchUp)
		}
	}
	s.Traffic = max(healed, at) + 2*time.Second
	return s
}

// drawStrike gives a trouble of machines with a disk.
func drawStrike(r *rand.Rand, machines int) strike {
	target := []string{"leader", "sessions", "oldest", fmt.Sprintf("storage-%d", 1+r.IntN(machines)), fmt.Sprintf("storage-%d", 1+r.IntN(machines))}[r.IntN(5)]
	short := time.Duration(100+r.IntN(2000)) * time.Millisecond
	long := time.Duration(1500+r.IntN(int(longestCut/time.Millisecond)-1500)) * time.Millisecond / time.Duration(1+r.IntN(3))
	from := []string{"storage", "all"}[r.IntN(2)]
	switch r.IntN(30) {
	case 0, 1, 2:
		return strike{what: fmt.Sprintf("wipe %s for %s", target, short), lasts: short, disk: true}
	case 3, 4:
		return strike{what: fmt.Sprintf("replace %s after %s", target, short), lasts: short, disk: true}
	case 5, 6:
		return strike{what: fmt.Sprintf("evict %s for %s", target, short), lasts: short + time.Second, disk: true, machines: 1}
	case 7:
		return strike{what: fmt.Sprintf("behind %s for %s", target, long), lasts: long + darkAfterCut, disk: true}
	case 8:
		return strike{what: fmt.Sprintf("blackout %s for %s", target, short), lasts: short, disk: true}
	case 9:
		return strike{what: fmt.Sprintf("power %s for %s", target, short), lasts: short}
	case 10:
		return strike{what: fmt.Sprintf("kill %s for %s", target, short/4), lasts: short / 4}
	case 11, 12:
		return strike{what: fmt.Sprintf("freeze %s for %s", target, long/2), lasts: long / 2}
	case 13, 14:
		return strike{what: fmt.Sprintf("cut %s from %s for %s", target, from, long), lasts: long}
	case 15:
		return strike{what: fmt.Sprintf("cut %s from %s for %s oneway", target, from, long), lasts: long}
	case 16, 17:
		return strike{what: fmt.Sprintf("split storage for %s", long), lasts: long}
	case 18:
		return strike{what: fmt.Sprintf("relieve %s for %s", target, long), lasts: long + restartPause}
	case 19:
		return strike{what: fmt.Sprintf("misseed %s for %s", target, long/2), lasts: long / 2}
	case 20:
		return strike{what: fmt.Sprintf("restart %s for %s", target, long), lasts: long}
	case 21:
		return strike{what: fmt.Sprintf("lure %s for %s", target, long/2), lasts: long / 2}
	case 22:
		return strike{what: fmt.Sprintf("power all for %s", short/2), lasts: short / 2}
	case 23:
		return strike{what: fmt.Sprintf("kill storage for %s", short/8), lasts: short / 8}
	case 24:
		return strike{what: fmt.Sprintf("renew %s", target), lasts: newcomerTime + grace, disk: true, alone: true}
	case 25:
		return strike{what: "retire " + fmt.Sprintf("storage-%d", 1+r.IntN(machines)), machines: 1}
	case 26:
		return strike{what: fmt.Sprintf("quota storage for %s", long), lasts: long}
	case 27:
		return strike{what: fmt.Sprintf("slowdisk %s by 100 for %s", target, short), lasts: short}
	case 28:
		return strike{what: fmt.Sprintf("reset %s", target)}
	default:
		return strike{what: fmt.Sprintf("skew %s by %s", []string{"all", "storage", target}[r.IntN(3)], []string{"-1h", "1h", "-3s", "40ms"}[r.IntN(4)])}
	}
}

// drawOperator gives something that the operator does.
func drawOperator(r *rand.Rand) string {
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
