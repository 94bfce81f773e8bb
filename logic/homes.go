package logic

import (
	"math"
	"slices"
)

// Where data sets are: homes by a hash on which all schedulers agree, as many of them as the demand fills.

const (
	keysKept  = 2       // data sets remembered for each worker: its few places are shared with the other schedulers' sets
	keyHomes  = 12      // workers on which a data set is expected by hash, so that all schedulers agree
	homesKept = 1 << 14 // data sets whose homes are remembered; bounds the memory
	hitOwn    = 0.95    // chance that a data set sent to a worker lately is still there
	homeFade  = 0.3     // fall of that chance for each rank beyond the homes that the demand fills
	homeFill  = 0.6     // share of a worker that is taken to be filled before the next rank is used
	hitElse   = 0.05    // the same where nothing speaks for it
)

// missChance is the chance that a worker must fetch a job's data set. It makes the job's running time there longer,
// which is how affinity enters the cost. Schedulers that cannot talk agree on homes by hash.
func (s *Scheduler) missChance(j *job, w *worker) float64 {
	if j.key == 0 {
		return 0
	}
	for _, k := range w.keys {
		if k == j.key {
			return 1 - hitOwn
		}
	}
	h := s.homesOf(j.key)
	wanted := s.homesWanted(h)
	for r, i := range h.ids {
		if i >= 0 && &s.workers[i] == w {
			return 1 - max(hitOwn-homeFade*max(float64(r+1)-wanted, 0), hitElse)
		}
	}
	return 1 - hitElse
}

// homesOf ranks the first workers of a data set by a hash weighted by size, alike at all schedulers with the same list.
func (s *Scheduler) homesOf(key uint64) *homes {
	h := s.home(key)
	if h.list == s.lists {
		return h
	}
	h.list = s.lists
	var best [keyHomes]float64
	for r := range h.ids {
		h.ids[r], best[r] = -1, math.Inf(1)
	}
	for _, i := range s.ready {
		w := &s.workers[i]
		v := -math.Log((float64(mix(key^mix(uint64(w.info.ID)))>>11)+0.5)/(1<<53)) / w.info.Weight
		if v >= best[keyHomes-1] {
			continue
		}
		for r := range h.ids {
			if v < best[r] {
				v, best[r] = best[r], v
				i, h.ids[r] = h.ids[r], i
			}
		}
	}
	return h
}

// home is what is kept of a data set.
func (s *Scheduler) home(key uint64) *homes {
	if s.homes[key] == nil {
		if len(s.homes) >= homesKept {
			clear(s.homes)
		}
		s.homes[key] = &homes{}
	}
	return s.homes[key]
}

// homesWanted is how many workers the demand for a data set fills: the hotter it is, the further down the common
// ranking it is found. Guards against a hot one that overflows to other workers at each scheduler.
func (s *Scheduler) homesWanted(h *homes) float64 {
	load := h.load / s.warmup * float64(s.cfg.Schedulers)
	if s.now < h.toldTill {
		load = h.load/s.warmup + h.told
	}
	return max(load*s.meanWork/max(homeFill*s.perWorker, 1e-3), 1)
}

// demand books a job into the demand for its data set.
func (s *Scheduler) demand(j *job) {
	if j.key == 0 {
		return
	}
	h := s.homesOf(j.key)
	h.load, h.at = h.load*math.Exp(-seconds(s.now-h.at)/rateSpan)+j.slots/rateSpan, s.now
}

// keep notes that a worker has a data set now.
func (w *worker) keep(key uint64) {
	if key == 0 {
		return
	}
	n := slices.Index(w.keys[:], key)
	if n < 0 {
		n = len(w.keys) - 1
	}
	copy(w.keys[1:n+1], w.keys[:n])
	w.keys[0] = key
}
