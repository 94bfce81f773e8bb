package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"granitewing/internal/system/tolerance"
)

// Planned work excuses no second run. These are its paces.
const (
	plannedGap     = 500 * time.Millisecond  // between two events, at most
	edgeRestart    = 2700 * time.Millisecond // for which a carrier that was asked to stop counts as away
	storageRestart = 650 * time.Millisecond
)

// DrawPlanned draws a scenario of planned work alone, which overlaps as it likes: restarts of carriers and of machines with a disk,
// machines that are added and emptied, changes of the configuration, releases, and what comes with them, lost answers between carriers and
// a feed that is late. One machine with a disk is restarted at a time, and one carrier at least stays.
func DrawPlanned(seed uint64) *Scenario {
	r := rand.New(rand.NewPCG(seed, 11))
	s := &Scenario{Seed: seed, Traffic: time.Duration(10+r.IntN(10)) * time.Second, Storage: storageCount, Disk: usualDisk, Retention: usualRetention,
		Tolerate: tolerance.Tolerance{Machines: 1}}
	p := &plannedWork{random: r, edges: map[string]time.Duration{}}
	for at := time.Duration(0); ; {
		at += time.Duration(r.Int64N(int64(plannedGap)))
		if at > s.Traffic {
			return s
		}
		for _, what := range p.draw(at) {
			s.Events = append(s.Events, Event{At: at, What: what})
		}
	}
}

// plannedWork is what has been drawn so far.
type plannedWork struct {
	random  *rand.Rand
	edges   map[string]time.Duration // until when a carrier is away
	storage time.Duration            // until when a machine with a disk is away
	spare   int                      // machines with a disk that were added and not made up for by an emptied one
	added   int
}

// draw gives what happens at a time; it may be nothing.
func (p *plannedWork) draw(at time.Duration) []string {
	r := p.random
	length := time.Duration(200+r.IntN(2000)) * time.Millisecond
	edge := fmt.Sprintf("edge-%d", 1+r.IntN(carrierCount))
	switch r.IntN(20) {
	case 0, 1, 2, 3, 4:
		return p.restartEdge(at, edge)
	case 5, 6, 7:
		return p.restartStorage(at)
	case 8:
		p.spare++
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

func (p *plannedWork) restartEdge(at time.Duration, edge string) []string {
	away := 0
	for _, until := range p.edges {
		if until > at {
			away++
		}
	}
	if p.edges[edge] > at || away >= carrierCount-1 {
		return nil
	}
	p.edges[edge] = at + edgeRestart
	return []string{"term " + edge}
}

func (p *plannedWork) restartStorage(at time.Duration) []string {
	if p.storage > at {
		return nil
	}
	p.storage = at + storageRestart
	return []string{"term " + storageName(1+p.random.IntN(storageCount+p.added), storageCount)}
}

func (p *plannedWork) retire() []string {
	if p.spare == 0 {
		return nil
	}
	p.spare--
	return []string{"retire " + storageName(1+p.random.IntN(storageCount+p.added), storageCount)}
}
