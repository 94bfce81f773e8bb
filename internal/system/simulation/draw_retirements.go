package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"granitewing/internal/system/tolerance"
)

// Paces of the machines that are emptied in clusters.
const (
	clusterGap    = 4 * time.Second        // between two clusters, at most
	clusterSpan   = 300 * time.Millisecond // within which the orders of one come
	clusterMost   = 6                      // orders in one
	clusterOrders = 3                      // at least
	clusterRest   = 8 * time.Second        // after the last, in which the machines go and the operator's list follows
)

// DrawRetirements draws a scenario in which machines with a disk are added, and several are ordered to be emptied at about the same time, beside
// restarts, and beside the loss of one machine at a time in half of them.
func DrawRetirements(seed uint64) *Scenario {
	r := rand.New(rand.NewPCG(seed, 13))
	s := &Scenario{Seed: seed, Traffic: time.Duration(20+r.IntN(14)) * time.Second, Storage: storageCount, Disk: usualDisk, Retention: usualRetention,
		Tolerate: tolerance.Tolerance{Machines: 1}}
	if seed%zonalEvery == 0 {
		s.Storage, s.Tolerate.Zones = zonalStorage, 1
	}
	d := &retirementDraw{scenario: s, random: r, machines: s.Storage}
	d.add(time.Duration(r.Int64N(int64(time.Second))), 1+r.IntN(4))
	for at := time.Duration(r.Int64N(int64(clusterGap))); at < s.Traffic-clusterRest; at += time.Duration(r.Int64N(int64(clusterGap))) {
		d.cluster(at)
		d.add(at+time.Duration(r.Int64N(int64(time.Second))), r.IntN(3))
		d.disturb(at, seed%2 == 0)
		d.happens(at+seedLag+time.Second, "turnover") // whoever takes machines away names others as seeds
	}
	d.happens(s.Traffic-time.Millisecond, "turnover")
	return s
}

// retirementDraw is what has been drawn so far.
type retirementDraw struct {
	scenario *Scenario
	random   *rand.Rand
	machines int           // with a disk, that ever were
	busy     time.Duration // until when a machine with a disk counts as lost
}

func (d *retirementDraw) happens(at time.Duration, what string) {
	if at < d.scenario.Traffic {
		d.scenario.Events = append(d.scenario.Events, Event{At: at, What: what})
	}
}

// storage names one of the machines with a disk; it may be gone already.
func (d *retirementDraw) storage() string {
	return storageName(1+d.random.IntN(d.machines), d.scenario.Storage)
}

// storageName names the machine with a disk that came as the so manyth, where so many were there at the start: those that are added are numbered
// after all other machines.
func storageName(number, atStart int) string {
	if number > atStart {
		number += carrierCount
	}
	return fmt.Sprintf("storage-%d", number)
}

func (d *retirementDraw) add(at time.Duration, count int) {
	for range count {
		d.machines++
		d.happens(at, "add storage")
	}
}

// cluster orders several machines to be emptied.
func (d *retirementDraw) cluster(at time.Duration) {
	for range clusterOrders + d.random.IntN(clusterMost-clusterOrders) {
		d.happens(at+time.Duration(d.random.Int64N(int64(clusterSpan))), "retire "+d.storage())
	}
}

// disturb has something else happen about a cluster: a restart, or the loss of a machine where losses are drawn.
func (d *retirementDraw) disturb(at time.Duration, losses bool) {
	at += time.Duration(d.random.Int64N(int64(time.Second)))
	length := time.Duration(200+d.random.IntN(3000)) * time.Millisecond
	switch what := d.random.IntN(8); {
	case what < 2:
		d.happens(at, fmt.Sprintf("term edge-%d", 1+d.random.IntN(carrierCount)))
	case at < d.busy:
	case what < 4:
		d.busy = at + storageRestart
		d.happens(at, "term "+d.storage())
	case !losses:
	default:
		d.busy = at + length + catchUp
		storage := d.storage()
		d.happens(at, []string{"wipe " + storage + " for " + length.String(), "power " + storage + " for " + length.String(),
			"freeze " + storage + " for " + length.String(), "replace " + storage + " after " + (length / 3).String()}[what-4])
	}
}
