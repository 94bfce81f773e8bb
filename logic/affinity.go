package logic

import (
	"math"
	"slices"
)

// Cache affinity: each data set has affinity workers, ranked by a hash on which all schedulers agree. The number
// of ranks in use grows with the demand for the data set.

const (
	dataSetsPerWorker    = 2       // data sets remembered per worker: its few cache places also hold other schedulers' sets
	affinityRanks        = 12      // ranked workers per data set
	maxAffinities        = 1 << 14 // data sets whose affinity is remembered; bounds the memory
	recentHitProbability = 0.95    // probability that a data set sent to a worker recently is still there
	rankHitDecay         = 0.3     // fall of that probability for each rank beyond those that the demand needs
	affinityFill         = 0.6     // share of a worker's capacity that counts as full before the next rank is used
	baseHitProbability   = 0.05    // probability of a hit where nothing indicates one
)

// missProbability returns the probability that a worker must fetch a job's data set. The fetch lengthens the job's
// running time there, which brings affinity into the cost. Schedulers that cannot communicate agree on the
// affinity workers by a hash.
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

// rankedAffinity ranks the affinity workers of a data set by a hash weighted by worker size. All schedulers with
// the same list get the same ranking.
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

// affinityOf returns the record of a data set.
func (s *Scheduler) affinityOf(key uint64) *affinity {
	if s.affinities[key] == nil {
		if len(s.affinities) >= maxAffinities {
			clear(s.affinities)
		}
		s.affinities[key] = &affinity{}
	}
	return s.affinities[key]
}

// affinityWidth returns how many workers the demand for a data set fills. The higher the demand, the more ranks of
// the common ranking are expected to hold it. Otherwise a hot data set would overflow to different workers at each
// scheduler.
func (s *Scheduler) affinityWidth(h *affinity) float64 {
	load := h.load / s.rateCoverage * float64(s.cfg.Schedulers)
	if s.now < h.reportedUntil {
		load = h.load/s.rateCoverage + h.reportedLoad
	}
	return max(load*s.meanWork/max(affinityFill*s.perWorker, 1e-3), 1)
}

// recordDemand adds a job to the demand for its data set.
func (s *Scheduler) recordDemand(j *job) {
	if j.key == 0 {
		return
	}
	h := s.rankedAffinity(j.key)
	h.load, h.at = h.load*math.Exp(-seconds(s.now-h.at)/rateTimeConstant)+j.slots/rateTimeConstant, s.now
}

// rememberDataSet records that a worker now has a data set, and forgets the one sent there longest ago.
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
