package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"granitewing/internal/system/tolerance"
)

// Timing and sizes of the clusters of retirements.
const (
	maxClusterGap          = 4 * time.Second        // between two clusters
	maxClusterSpan         = 300 * time.Millisecond // within which the orders of a cluster come
	maxClusterOrders       = 6                      // exclusive bound on the orders in one cluster
	minClusterOrders       = 3                      // inclusive bound
	quietTimeAfterClusters = 8 * time.Second        // after the last cluster, in which retired machines are removed and the operator's list follows
)

// DrawRetirements draws a scenario in which storage machines are added, and several are asked to be retired at about
// the same time, together with restarts. In half of the scenarios one machine at a time is lost as well.
func DrawRetirements(seed uint64) *Scenario {
	r := rand.New(rand.NewPCG(seed, 13))
	s := &Scenario{Seed: seed, Traffic: time.Duration(20+r.IntN(14)) * time.Second, StorageMachines: defaultStorageMachines, MaxDelay: defaultMaxDelay, DiskKB: defaultDisk, Retention: defaultRetention,
		Tolerance: tolerance.Tolerance{Machines: 1}}
	if seed%zonalSeedModulus == 0 {
		s.StorageMachines, s.Tolerance.Zones = zonalStorageMachines, 1
	}
	d := &retirementDraw{scenario: s, random: r, machines: s.StorageMachines}
	d.add(time.Duration(r.Int64N(int64(time.Second))), 1+r.IntN(4))
	for at := time.Duration(r.Int64N(int64(maxClusterGap))); at < s.Traffic-quietTimeAfterClusters; at += time.Duration(r.Int64N(int64(maxClusterGap))) {
		d.cluster(at)
		d.add(at+time.Duration(r.Int64N(int64(time.Second))), r.IntN(3))
		d.addDisturbance(at, seed%2 == 0)
		d.addEvent(at+seedListLag+time.Second, "turnover") // an operator who removes machines updates the seeds
	}
	d.addEvent(s.Traffic-time.Millisecond, "turnover")
	return s
}

// retirementDraw holds what has been drawn so far.
type retirementDraw struct {
	scenario  *Scenario
	random    *rand.Rand
	machines  int           // number of storage machines, including removed ones
	lossUntil time.Duration // until when a storage machine counts as lost
}

func (d *retirementDraw) addEvent(at time.Duration, what string) {
	if at < d.scenario.Traffic {
		d.scenario.Events = append(d.scenario.Events, Event{At: at, What: what})
	}
}

// randomStorage returns the name of a random storage machine, which may have been removed already.
func (d *retirementDraw) randomStorage() string {
	return storageName(1+d.random.IntN(d.machines), d.scenario.StorageMachines)
}

// storageName returns the name of the storage machine with a number, counted from 1 in order of creation. Storage
// machines that are added after the start are numbered after all other machines.
func storageName(number, atStart int) string {
	if number > atStart {
		number += carrierCount
	}
	return fmt.Sprintf("storage-%d", number)
}

func (d *retirementDraw) add(at time.Duration, count int) {
	for range count {
		d.machines++
		d.addEvent(at, "add storage")
	}
}

// cluster draws orders to retire several machines.
func (d *retirementDraw) cluster(at time.Duration) {
	for range minClusterOrders + d.random.IntN(maxClusterOrders-minClusterOrders) {
		d.addEvent(at+time.Duration(d.random.Int64N(int64(maxClusterSpan))), "retire "+d.randomStorage())
	}
}

// addDisturbance draws another event near a cluster: a restart, or the loss of a machine if losses is set.
func (d *retirementDraw) addDisturbance(at time.Duration, losses bool) {
	at += time.Duration(d.random.Int64N(int64(time.Second)))
	length := time.Duration(200+d.random.IntN(3000)) * time.Millisecond
	switch what := d.random.IntN(8); {
	case what < 2:
		d.addEvent(at, fmt.Sprintf("term edge-%d", 1+d.random.IntN(carrierCount)))
	case at < d.lossUntil:
	case what < 4:
		d.lossUntil = at + storageRestartTime
		d.addEvent(at, "term "+d.randomStorage())
	case !losses:
	default:
		d.lossUntil = at + length + recoveryTime
		storage := d.randomStorage()
		d.addEvent(at, []string{"wipe " + storage + " for " + length.String(), "power " + storage + " for " + length.String(),
			"freeze " + storage + " for " + length.String(), "replace " + storage + " after " + (length / 3).String()}[what-4])
	}
}
