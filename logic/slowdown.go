package logic

import "math"

// A worker's slowdown, its running time for a second of work, learned from its runs with its kind and the fleet as
// priors; its slots; and the quantities that are derived from them.

const (
	maxKinds          = 256  // kinds that are told apart; in a list that names more, the rest share one estimate
	slowdownPriorJobs = 5.0  // weight of a worker's prior, in mean jobs: the work of a run is known to a factor of two
	workerRunKeep     = 0.85 // weight kept by older runs at each new one: about six runs are remembered
	kindRunKeep       = 0.98 // the same for a whole kind: about fifty runs
	residualShare     = 0.5  // mean share of a running time that is left when a running job is observed
	initialSlots      = 4.0  // slots assumed of an unknown worker: fewer keep jobs off it, so that more are never observed
	statsTimeConstant = 10.0 // time constant of a worker's own runs, seconds: a slow worker must get another chance
	maxRunSlowdown    = 2.0  // cap on a run in the kind's statistics, as a multiple of its slowdown: limits outliers
)

// slowdownOf returns a worker's running time for a second of work, from its own runs with its kind as the prior.
func (s *Scheduler) slowdownOf(w *worker) float64 {
	p := slowdownPriorJobs * max(s.meanWork, 1e-3)
	return (w.run + w.reportedRun + p*s.kindSlowdown(&s.kinds[w.info.Kind])) / (w.work + w.reportedWork + p)
}

// kindSlowdown returns the same for a worker without runs of its own, with the fleet as the prior.
func (s *Scheduler) kindSlowdown(k *kind) float64 {
	p := slowdownPriorJobs * max(s.meanWork, 1e-3)
	fleet := (s.allKinds.run + p) / (s.allKinds.work + p)
	return (k.run + p*fleet) / (k.work + p)
}

// slotsOf returns the number of slots of a worker, as its kind reported them or as own jobs ran side by side.
func (s *Scheduler) slotsOf(w *worker) float64 {
	k := &s.kinds[w.info.Kind]
	if k.slots > 0 {
		return max(k.slots, k.parallelRuns, 1)
	}
	return max(k.parallelRuns, initialSlots)
}

// derive renews the derived quantities of a worker once per refreshInterval, and when the value table has changed.
func (s *Scheduler) derive(w *worker) {
	if w.derivedAt != 0 && s.now-w.derivedAt < refreshInterval && w.tableVersion == s.tableVersion {
		return
	}
	w.derivedAt, w.tableVersion = s.now, s.tableVersion
	s.decayStats(w)
	w.slowdown, w.slots = s.slowdownOf(w), s.slotsOf(w)
	w.drainTime = w.slowdown / w.slots
	w.d = w.drainTime * s.meanWork
	w.headroom = w.headroomFor(1, s.meanWork)
	for c := range w.tau {
		w.tau[c] = s.tolerableBacklog(w, &s.cfg.Classes[c], s.classWork[c], s.baseDelay[w.info.Zone])
		w.slope[c] = s.table.Slope(w.tau[c] / w.d)
	}
}

// headroomFor returns the mean backlog of a worker at which a job of the given slots can still start without waiting.
func (w *worker) headroomFor(slots, meanWork float64) float64 {
	return max(w.slots-slots, 0) / w.slots * residualShare * w.slowdown * meanWork
}

// tolerableBacklog returns tau for a job of a class, in seconds. The target latency bounds the time until the answer,
// so the network delay and the running time on this worker are subtracted; the headroom is added, because slots must
// fill up before anything waits.
func (s *Scheduler) tolerableBacklog(w *worker, c *Class, work, base float64) float64 {
	return seconds(c.TargetLatency) + c.TargetPerWork*work - base*1.5 - w.slowdown*work + w.headroom
}

// learnRun updates the slowdown of a worker, its kind and the fleet from a run.
func (s *Scheduler) learnRun(w *worker, run, work float64) {
	if run > 0 && work > 0 {
		s.decayStats(w)
		decayAndAdd(&w.run, &w.work, run*s.warmupFactor(w), work, workerRunKeep)
		if s.warmupFactor(w) < 1 {
			return
		}
		k := &s.kinds[w.info.Kind]
		run = min(run, maxRunSlowdown*s.kindSlowdown(k)*work)
		decayAndAdd(&k.run, &k.work, run, work, kindRunKeep)
		decayAndAdd(&s.allKinds.run, &s.allKinds.work, run, work, kindRunKeep)
	}
}

// decayStats decays a worker's statistics to the present time.
func (s *Scheduler) decayStats(w *worker) {
	keep := math.Exp(-seconds(s.now-w.statsAt) / statsTimeConstant)
	w.run, w.work, w.statsAt = w.run*keep, w.work*keep, s.now
	w.reportedRun, w.reportedWork = w.reportedRun*keep, w.reportedWork*keep
	w.failures, w.successes = w.failures*math.Sqrt(keep), w.successes*math.Sqrt(keep)
}
