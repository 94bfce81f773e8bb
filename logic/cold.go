package logic

import "math"

// Workers that have just started: how much of their capacity they have, and how much of it may be used.

const (
	slowStartShare = 0.4  // share of what a window allows that is used in a slot
	fewRequests    = 30.0 // requests of mean work below which a window allows more beside them
)

// Yield gives this scheduler's part of the budgets of workers that have just started to the process that takes over from it.
func (s *Scheduler) Yield() { s.yielded = true }

// coldAllows keeps a worker that has just started from being pushed over by the sum of all schedulers, and from more work than
// it can do. With N the requests of mean work that the settings allow it in a FallWindow, it falls beyond N + coldSlack(N) of
// them in any window. Time is cut into slots as long as a window; in each a few schedulers, the same to all by a hash, may send it
// an equal part of coldSafety N. The first job in a turn may be larger by an equal part of coldSlack(N) / 2, else jobs larger
// than a part would go to no cold worker. A few schedulers that each see enough jobs find small ones among them, which a slow
// worker ends in time. Since a window meets two slots, the sum stays under 2 coldSafety N + coldSlack(N) whatever comes to whom.
// A scheduler has nothing in the slot in which it started, since its former process may have used its part.
func (s *Scheduler) slowStartAllows(w *worker, work float64) bool {
	if s.warmupFactor(w) >= 1 {
		return true
	}
	k := &s.kinds[w.info.Kind]
	capacity := min(s.slotsOf(w), max(k.slots, initialSlots)) / max(s.kindSlowdown(k), 1)
	n := s.cfg.FallMultiple * s.warmupFactor(w) * capacity * seconds(s.cfg.FallWindow) / s.meanWork
	all := uint64(s.cfg.Schedulers)
	turns := min(max(uint64(slowStartShare*n), 1), all)
	part := slowStartShare * n * s.meanWork / float64(turns)
	if slot := s.now / s.cfg.FallWindow; w.slowStartSlot != slot {
		w.slowStartSlot, w.slowStartUsed = slot, 0
	}
	if s.yielded || w.slowStartSlot == s.startedAt/s.cfg.FallWindow {
		// The process before this one, or the one that takes over from it, has this scheduler's part of the slot.
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

// coldSlack is by how many requests of mean work a worker that has just started may be given more than the n that are allowed
// in a window: few come more unevenly than many.
func slowStartSlack(n float64) float64 {
	if n < fewRequests {
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}

// warmth is the share of its capacity that a worker is taken to have. It lags behind time, since work is what warms it.
func (s *Scheduler) warmupFactor(w *worker) float64 {
	if s.cfg.Cold <= 0 || w.info.UpSince <= 0 || s.now-w.info.UpSince >= s.cfg.Cold {
		return 1
	}
	x := seconds(max(s.now-w.info.UpSince, 0)) / seconds(s.cfg.Cold)
	return s.cfg.StartCapacity + (1-s.cfg.StartCapacity)*x*x
}
