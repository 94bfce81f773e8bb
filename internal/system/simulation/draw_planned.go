package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"granitewing/internal/system/tolerance"
)

// Timing of planned operations, during which the checker excuses no repeated run.
const (
	maxPlannedGap      = 500 * time.Millisecond  // between two events
	carrierRestartTime = 2700 * time.Millisecond // time for which a carrier counts as away after it is asked to stop
	storageRestartTime = 650 * time.Millisecond
)

// DrawPlannedOperations draws a scenario of planned operations alone, which overlap freely: restarts of carriers and
// storage machines, machines that are added and retired, configuration changes, and worker replacements. It includes
// their usual side effects, lost answers between carriers and delayed feed updates. One storage machine is restarted at
// a time, and at least one carrier stays up.
func DrawPlannedOperations(seed uint64) *Scenario {
	r := rand.New(rand.NewPCG(seed, 11))
	s := &Scenario{Seed: seed, Traffic: time.Duration(10+r.IntN(10)) * time.Second, StorageMachines: defaultStorageMachines, MaxDelay: defaultMaxDelay, DiskKB: defaultDisk, Retention: defaultRetention,
		Tolerance: tolerance.Tolerance{Machines: 1}}
	p := &plannedWork{random: r, carriersAwayUntil: map[string]time.Duration{}}
	for at := time.Duration(0); ; {
		at += time.Duration(r.Int64N(int64(maxPlannedGap)))
		if at > s.Traffic {
			return s
		}
		for _, what := range p.draw(at) {
			s.Events = append(s.Events, Event{At: at, What: what})
		}
	}
}

// plannedWork holds what has been drawn so far.
type plannedWork struct {
	random            *rand.Rand
	carriersAwayUntil map[string]time.Duration // by name
	storageAwayUntil  time.Duration            // until when a storage machine is away
	removable         int                      // storage machines that were added, less those that were retired
	added             int
}

// draw draws the events at a time; there may be none.
func (p *plannedWork) draw(at time.Duration) []string {
	r := p.random
	length := time.Duration(200+r.IntN(2000)) * time.Millisecond
	edge := fmt.Sprintf("edge-%d", 1+r.IntN(carrierCount))
	switch r.IntN(20) {
	case 0, 1, 2, 3, 4:
		return p.restartCarrier(at, edge)
	case 5, 6, 7:
		return p.restartStorage(at)
	case 8:
		p.removable++
		p.added++
		return []string{"add storage"}
	case 9:
		return p.retire()
	case 10:
		return []string{fmt.Sprintf("unhear edge by %d for %s", 10+r.IntN(50), length)}
	case 11, 12:
		return []string{fmt.Sprintf("outdate %s for %s", edge, length/4)}
	case 13:
		return []string{fmt.Sprintf("burst %s by %d for %s", []string{archive, alert, partner}[r.IntN(3)], 2+r.IntN(5), length/4)}
	case 14:
		return []string{[]string{"release archive", "release alert", "turnover", "race", "misconfigure"}[r.IntN(5)]}
	case 15:
		return []string{fmt.Sprintf("lose acknowledgements for %s", length), fmt.Sprintf("storm by %d", 3+r.IntN(20))}
	case 16, 17:
		return []string{drawMove(r)}
	default:
		return []string{"configure"}
	}
}

func (p *plannedWork) restartCarrier(at time.Duration, edge string) []string {
	away := 0
	for _, until := range p.carriersAwayUntil {
		if until > at {
			away++
		}
	}
	if p.carriersAwayUntil[edge] > at || away >= carrierCount-1 {
		return nil
	}
	p.carriersAwayUntil[edge] = at + carrierRestartTime
	return []string{"term " + edge}
}

func (p *plannedWork) restartStorage(at time.Duration) []string {
	if p.storageAwayUntil > at {
		return nil
	}
	p.storageAwayUntil = at + storageRestartTime
	return []string{"term " + storageName(1+p.random.IntN(defaultStorageMachines+p.added), defaultStorageMachines)}
}

func (p *plannedWork) retire() []string {
	if p.removable == 0 {
		return nil
	}
	p.removable--
	return []string{"retire " + storageName(1+p.random.IntN(defaultStorageMachines+p.added), defaultStorageMachines)}
}
