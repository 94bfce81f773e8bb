package logic

import "math"

// A worker's d: running time for a second of work, learned from its runs on priors of its kind and of all, and its slots
// (DESIGN, per-worker state).

const (
	maxKinds          = 256  // kinds told apart; a list that names more has them share one estimate
	slowdownPriorJobs = 5.0  // mean jobs that a worker's prior pace weighs: a run's work is known to a factor of two
	workerRunKeep     = 0.85 // weight kept by older runs at each new one: about six runs are remembered
	kindRunKeep       = 0.98 // the same for the pace of a whole kind: about fifty runs
	residualShare     = 0.5  // share of a running time that is left at a random look at it
	initialSlots      = 4.0  // slots assumed of an unknown worker: fewer keep jobs off it, and more are then never seen
	statsTimeConstant = 10.0 // seconds in which a worker's own runs fade: one that was slow must get its chance again
	maxRunSlowdown    = 2.0  // times its kind's pace at which a run still counts for the kind: a slow worker is no rule
)

// paceOf is a worker's running time for a second of work: its own runs, on a prior of its kind's, on a prior of all
// workers'.
func (s *Scheduler) slowdownOf(w *worker) float64 {
	p := slowdownPriorJobs * max(s.meanWork, 1e-3)
	return (w.run + w.reportedRun + p*s.kindSlowdown(&s.kinds[w.info.Kind])) / (w.work + w.reportedWork + p)
}

// kindPace is the same for a worker of a kind of which nothing of its own is known.
func (s *Scheduler) kindSlowdown(k *kind) float64 {
	p := slowdownPriorJobs * max(s.meanWork, 1e-3)
	fleet := (s.allKinds.run + p) / (s.allKinds.work + p)
	return (k.run + p*fleet) / (k.work + p)
}

func (s *Scheduler) slotsOf(w *worker) float64 {
	k := &s.kinds[w.info.Kind]
	if k.slots > 0 {
		return max(k.slots, k.parallelRuns, 1)
	}
	return max(k.parallelRuns, initialSlots)
}

// derive renews what placement needs of a worker.
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

// room is the backlog that a worker holds, on average, when a job of so many slots just fits without waiting.
func (w *worker) headroomFor(slots, meanWork float64) float64 {
	return max(w.slots-slots, 0) / w.slots * residualShare * w.slowdown * meanWork
}

// bearable is the paper's tau for a job: its aim bounds the sojourn, so the running time on this worker and the way
// there come off; the slots that must fill up before anything waits go on top.
func (s *Scheduler) tolerableBacklog(w *worker, c *Class, work, base float64) float64 {
	return seconds(c.Aim) + c.Stretch*work - base*1.5 - w.slowdown*work + w.headroom
}

// learnRun learns the pace of a worker, its kind and the fleet from a run.
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

// fadePace lets a worker's own runs fade to the present.
func (s *Scheduler) decayStats(w *worker) {
	keep := math.Exp(-seconds(s.now-w.statsAt) / statsTimeConstant)
	w.run, w.work, w.statsAt = w.run*keep, w.work*keep, s.now
	w.reportedRun, w.reportedWork = w.reportedRun*keep, w.reportedWork*keep
	w.failures, w.successes = w.failures*math.Sqrt(keep), w.successes*math.Sqrt(keep)
}
