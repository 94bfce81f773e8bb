package logic

import "math"

// Slow start: the share of its capacity that a recently started worker has, and how much of it may be used.

const (
	slowStartShare = 0.4  // share of a window's allowance that may be used in one slot
	fewRequests    = 30.0 // allowance in requests of mean work below which the tolerated excess is relatively larger
)

// YieldSlowStartBudget makes this scheduler send nothing more to workers in slow start, because the process that takes
// over from it uses this scheduler's part of their budgets.
func (s *Scheduler) YieldSlowStartBudget() { s.yielded = true }

// slowStartAllows reports whether a worker may be sent this work. It protects a worker in slow start from
// overload by the sum of all schedulers, and from more work than it can do.
//
// Let N be the requests of mean work that the settings allow the worker in an OverloadWindow; it fails beyond
// N + slowStartSlack(N) of them in any window. Time is cut into slots as long as a window. In each slot a few
// schedulers, chosen by a hash that all compute alike, may each send an equal part of slowStartShare N. The
// first job of a scheduler in a slot may exceed its part by an equal part of slowStartSlack(N) / 2; otherwise jobs
// larger than a part would never go to a worker in slow start. Only a few schedulers are chosen because each then
// sees enough jobs to find small ones, which a slow worker completes in time. A window overlaps two slots, so the
// sum stays under 2 slowStartShare N + slowStartSlack(N) however the jobs are distributed. A scheduler has no part
// in the slot in which it started, since its predecessor process may have used it.
func (s *Scheduler) slowStartAllows(w *worker, work float64) bool {
	if s.warmupFactor(w) >= 1 {
		return true
	}
	k := &s.kinds[w.info.Kind]
	capacity := min(s.slotsOf(w), max(k.slots, initialSlots)) / max(s.kindSlowdown(k), 1)
	n := s.cfg.OverloadMultiple * s.warmupFactor(w) * capacity * seconds(s.cfg.OverloadWindow) / s.meanWork
	all := uint64(s.cfg.Schedulers)
	turns := min(max(uint64(slowStartShare*n), 1), all)
	part := slowStartShare * n * s.meanWork / float64(turns)
	if slot := s.now / s.cfg.OverloadWindow; w.slowStartSlot != slot {
		w.slowStartSlot, w.slowStartUsed = slot, 0
	}
	if s.yielded || w.slowStartSlot == s.startedAt/s.cfg.OverloadWindow {
		// The previous process of this scheduler, or its successor, owns this scheduler's part of the slot.
		return false
	}
	if (uint64(s.cfg.Self)+hash64(uint64(w.info.ID)<<20^uint64(w.slowStartSlot)))%all >= turns {
		return false
	}
	more := 0.0
	if s.cfg.Schedulers > fewSchedulers {
		more = slowStartSlack(n) / 2 * s.meanWork / float64(turns)
	}
	return w.slowStartUsed+work <= part || w.slowStartUsed == 0 && work <= part+more
}

// slowStartSlack returns by how many requests of mean work a worker in slow start may exceed the n that are
// allowed in a window: small numbers of requests arrive more unevenly than large ones.
func slowStartSlack(n float64) float64 {
	if n < fewRequests {
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}

// warmupFactor returns the share of its capacity that a worker is assumed to have, from Config.StartCapacity to 1.
// It grows with the square of time, slower than linear, since it is work that warms a worker up.
func (s *Scheduler) warmupFactor(w *worker) float64 {
	if s.cfg.SlowStart <= 0 || w.info.UpSince <= 0 || s.now-w.info.UpSince >= s.cfg.SlowStart {
		return 1
	}
	x := seconds(max(s.now-w.info.UpSince, 0)) / seconds(s.cfg.SlowStart)
	return s.cfg.StartCapacity + (1-s.cfg.StartCapacity)*x*x
}
