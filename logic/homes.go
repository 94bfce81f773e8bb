package logic

import (
	"math"
	"slices"
)

// Where data sets are: homes by a hash on which all schedulers agree, as many of them as the demand fills.

const (
	dataSetsPerWorker    = 2       // data sets remembered for each worker: its few places are shared with the other schedulers' sets
	affinityRanks        = 12      // workers on which a data set is expected by hash, so that all schedulers agree
	maxAffinities        = 1 << 14 // data sets whose homes are remembered; bounds the memory
	recentHitProbability = 0.95    // chance that a data set sent to a worker lately is still there
	rankHitDecay         = 0.3     // fall of that chance for each rank beyond the homes that the demand fills
	affinityFill         = 0.6     // share of a worker that is taken to be filled before the next rank is used
	baseHitProbability   = 0.05    // the same where nothing speaks for it
)

// missChance is the chance that a worker must fetch a job's data set. It makes the job's running time there longer,
// which is how affinity enters the cost. Schedulers that cannot talk agree on homes by hash.
func (s *Scheduler) missProbability(j *job, w *worker) float64 {
	if j.key == 0 {
		return 0
	}
	for _, k := range w.dataSets {
		if k == j.key {
			return 1 - recentHitProbability
		}
	}
	h := s.rankedAffinity(j.key)
	wanted := s.affinityWidth(h)
	for r, i := range h.workers {
		if i >= 0 && &s.workers[i] == w {
			return 1 - max(recentHitProbability-rankHitDecay*max(float64(r+1)-wanted, 0), baseHitProbability)
		}
	}
	return 1 - baseHitProbability
}

// homesOf ranks the first workers of a data set by a hash weighted by size, alike at all schedulers with the same list.
func (s *Scheduler) rankedAffinity(key uint64) *affinity {
	h := s.affinityOf(key)
	if h.listVersion == s.listVersion {
		return h
	}
	h.listVersion = s.listVersion
	var best [affinityRanks]float64
	for r := range h.workers {
		h.workers[r], best[r] = -1, math.Inf(1)
	}
	for _, i := range s.ready {
		w := &s.workers[i]
		v := -math.Log((float64(hash64(key^hash64(uint64(w.info.ID)))>>11)+0.5)/(1<<53)) / w.info.Weight
		if v >= best[affinityRanks-1] {
			continue
		}
		for r := range h.workers {
			if v < best[r] {
				v, best[r] = best[r], v
				i, h.workers[r] = h.workers[r], i
			}
		}
	}
	return h
}

// home is what is kept of a data set.
func (s *Scheduler) affinityOf(key uint64) *affinity {
	if s.affinities[key] == nil {
		if len(s.affinities) >= maxAffinities {
			clear(s.affinities)
		}
		s.affinities[key] = &affinity{}
	}
	return s.affinities[key]
}

// homesWanted is how many workers the demand for a data set fills: the hotter it is, the further down the common
// ranking it is found. Guards against a hot one that overflows to other workers at each scheduler.
func (s *Scheduler) affinityWidth(h *affinity) float64 {
	load := h.load / s.rateCoverage * float64(s.cfg.Schedulers)
	if s.now < h.reportedUntil {
		load = h.load/s.rateCoverage + h.reportedLoad
	}
	return max(load*s.meanWork/max(affinityFill*s.perWorker, 1e-3), 1)
}

// demand books a job into the demand for its data set.
func (s *Scheduler) recordDemand(j *job) {
	if j.key == 0 {
		return
	}
	h := s.rankedAffinity(j.key)
	h.load, h.at = h.load*math.Exp(-seconds(s.now-h.at)/rateTimeConstant)+j.slots/rateTimeConstant, s.now
}

// keep notes that a worker has a data set now.
func (w *worker) rememberDataSet(key uint64) {
	if key == 0 {
		return
	}
	n := slices.Index(w.dataSets[:], key)
	if n < 0 {
		n = len(w.dataSets) - 1
	}
	copy(w.dataSets[1:n+1], w.dataSets[:n])
	w.dataSets[0] = key
}
