package logic

import "math"

// A worker's d: running time for a second of work, learned from its runs on priors of its kind and of all, and its slots
// (DESIGN, per-worker state).

const (
	maxKinds   = 256  // kinds told apart; a list that names more has them share one estimate
	priorJobs  = 5.0  // mean jobs that a worker's prior pace weighs: a run's work is known to a factor of two
	paceKeep   = 0.85 // weight kept by older runs at each new one: about six runs are remembered
	kindKeep   = 0.98 // the same for the pace of a whole kind: about fifty runs
	tailRoom   = 0.5  // share of a running time that is left at a random look at it
	firstSlots = 4.0  // slots assumed of an unknown worker: fewer keep jobs off it, and more are then never seen
	paceSpan   = 10.0 // seconds in which a worker's own runs fade: one that was slow must get its chance again
	slowMost   = 2.0  // times its kind's pace at which a run still counts for the kind: a slow worker is no rule
)

// paceOf is a worker's running time for a second of work: its own runs, on a prior of its kind's, on a prior of all
// workers'.
func (s *Scheduler) paceOf(w *worker) float64 {
	p := priorJobs * max(s.meanWork, 1e-3)
	return (w.run + w.toldRun + p*s.kindPace(&s.kinds[w.info.Kind])) / (w.work + w.told + p)
}

// kindPace is the same for a worker of a kind of which nothing of its own is known.
func (s *Scheduler) kindPace(k *kind) float64 {
	p := priorJobs * max(s.meanWork, 1e-3)
	fleet := (s.all.run + p) / (s.all.work + p)
	return (k.run + p*fleet) / (k.work + p)
}

func (s *Scheduler) slotsOf(w *worker) float64 {
	k := &s.kinds[w.info.Kind]
	if k.slots > 0 {
		return max(k.slots, k.ran, 1)
	}
	return max(k.ran, firstSlots)
}

// derive renews what placement needs of a worker.
func (s *Scheduler) derive(w *worker) {
	if w.derivedAt != 0 && s.now-w.derivedAt < refresh && w.tables == s.tables {
		return
	}
	w.derivedAt, w.tables = s.now, s.tables
	s.fadePace(w)
	w.pace, w.slots = s.paceOf(w), s.slotsOf(w)
	w.drain = w.pace / w.slots
	w.d = w.drain * s.meanWork
	w.slack = w.room(1, s.meanWork)
	for c := range w.tau {
		w.tau[c] = s.bearable(w, &s.cfg.Classes[c], s.classWork[c], s.base[w.info.Zone])
		w.slope[c] = s.table.Slope(w.tau[c] / w.d)
	}
}

// room is the backlog that a worker holds, on average, when a job of so many slots just fits without waiting.
func (w *worker) room(slots, meanWork float64) float64 {
	return max(w.slots-slots, 0) / w.slots * tailRoom * w.pace * meanWork
}

// bearable is the paper's tau for a job: its aim bounds the sojourn, so the running time on this worker and the way
// there come off; the slots that must fill up before anything waits go on top.
func (s *Scheduler) bearable(w *worker, c *Class, work, base float64) float64 {
	return seconds(c.Aim) + c.Stretch*work - base*1.5 - w.pace*work + w.slack
}

// learnRun learns the pace of a worker, its kind and the fleet from a run.
func (s *Scheduler) learnRun(w *worker, run, work float64) {
	if run > 0 && work > 0 {
		s.fadePace(w)
		learnPace(&w.run, &w.work, run*s.warmth(w), work, paceKeep)
		if s.warmth(w) < 1 {
			return
		}
		k := &s.kinds[w.info.Kind]
		run = min(run, slowMost*s.kindPace(k)*work)
		learnPace(&k.run, &k.work, run, work, kindKeep)
		learnPace(&s.all.run, &s.all.work, run, work, kindKeep)
	}
}

// fadePace lets a worker's own runs fade to the present.
func (s *Scheduler) fadePace(w *worker) {
	keep := math.Exp(-seconds(s.now-w.paceAt) / paceSpan)
	w.run, w.work, w.paceAt = w.run*keep, w.work*keep, s.now
	w.toldRun, w.told = w.toldRun*keep, w.told*keep
	w.failed, w.well = w.failed*math.Sqrt(keep), w.well*math.Sqrt(keep)
}
