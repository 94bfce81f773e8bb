package logic

// Passive health: errors, silence and broken connections as a chance of failure and a time of distrust (DESIGN, under strain).

const (
	minEjection    = 1_000_000 // us that a first ejection lasts
	maxEjection    = 8_000_000 // us that ejections grow to: a dead worker is tried a few times a minute
	failurePrior   = 1.0       // answers that the zone's share of errors weighs against a worker's own
	contentionGain = 0.05      // weight of one attempt in that share
	failureGain    = 0.2       // weight of one answer in its zone's share of errors
	livenessSpan   = 3_000_000 // us for which a sign of life vouches for a worker
)

// failChance is the chance that a worker takes no job or answers with an error; of one not known yet it is its zone's,
// since zones fail as a whole. One that answers errors at once is never busy, and would be the cheapest of all.
func (s *Scheduler) failureProbability(w *worker) float64 {
	return (w.failures + failurePrior*s.zones[w.info.Zone].failureShare) / (w.failures + w.successes + failurePrior)
}

// fail notes an answer with an error, or that nobody was there to take a job.
func (s *Scheduler) recordFailure(w *worker) {
	s.decayStats(w)
	w.failures++
	s.zones[w.info.Zone].failureShare += (1 - s.zones[w.info.Zone].failureShare) * failureGain
}

// learnOutcome learns pace and health from the end of an attempt.
func (s *Scheduler) learnOutcome(j *job, a *attempt, w *worker, o *Outcome) {
	switch o.Result {
	case Served:
		s.markAlive(w)
		w.successes++
		s.zones[w.info.Zone].failureShare *= 1 - failureGain
		s.decayRates()
		s.workRate += (j.work + a.missProbability*s.fetchTime/w.slowdown) * j.slots / rateTimeConstant
		run := seconds(o.Elapsed) - s.baseDelay[w.info.Zone]*1.5
		if a.started != 0 {
			run = seconds(s.now - a.started)
		} else if s.cfg.TellsStart {
			return
		} else {
			s.contention -= s.contention * contentionGain
		}
		if over := run - w.slowdown*j.work; j.key != 0 && over > s.fetchTime/2 {
			// It had to fetch, whatever was expected: a run that long says nothing of the pace.
			s.fetchTime += (min(over, 4*s.fetchTime) - s.fetchTime) * 0.03
			return
		}
		s.learnRun(w, run, j.work)
	case ConnectFailed, Broken:
		if s.eject(w); o.Result == ConnectFailed {
			// Nobody is there: a list will bring it back, or another process. Asking soon again costs a job an attempt.
			w.ejectedUntil = max(w.ejectedUntil, s.now+maxEjection)
			s.recordFailure(w)
			if s.cfg.FreeConnects {
				j.uncounted++
			}
		}
	case Refused:
		s.contention += (1 - s.contention) * contentionGain
		s.observeOthers(w, w.headroom+2*w.d+4*s.meanWait)
	case Failed:
		s.recordFailure(w)
	}
}

// wellness is passive health: a sign of life ends an ejection.
func (s *Scheduler) markAlive(w *worker) {
	w.consecutiveFailures, w.ejectedUntil, w.lastAlive, w.missedStarts = 0, 0, s.now, 0
}

// eject keeps jobs off a worker for a time that doubles with each failure since its last sign of life: the emptied backlog
// of one that breaks off would make it the cheapest. It is a cost and not a ban, so a fleet ejected as a whole is still used.
func (s *Scheduler) eject(w *worker) {
	w.consecutiveFailures++
	span := min(int64(minEjection)<<min(w.consecutiveFailures-1, 6), maxEjection)
	w.ejectedUntil = s.now + span/2 + int64(s.uniform()*float64(span)/2)
}
