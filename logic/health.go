package logic

// Passive health checks: errors, missing reports and broken connections raise a worker's failure probability or
// eject it for some time (outlier detection).

const (
	minEjection    = 1_000_000 // duration of a first ejection, us
	maxEjection    = 8_000_000 // longest ejection, us: a dead worker is tried a few times a minute
	failurePrior   = 1.0       // weight of the zone's failure share against a worker's own answers, in answers
	contentionGain = 0.05      // weight of one attempt in the share that found no free slot
	failureGain    = 0.2       // weight of one answer in the failure share of its zone
	livenessSpan   = 3_000_000 // us for which a sign of life confirms that a worker is alive
)

// failureProbability returns the probability that a worker cannot be reached or answers with an error. For a
// worker without history it is that of its zone, since zones fail as a whole. Without this term a worker that
// answers with errors at once would never be busy, and would be the cheapest of all.
func (s *Scheduler) failureProbability(w *worker) float64 {
	return (w.failures + failurePrior*s.zones[w.info.Zone].failureShare) / (w.failures + w.successes + failurePrior)
}

// recordFailure records an answer with an error, or a worker that could not be reached.
func (s *Scheduler) recordFailure(w *worker) {
	s.decayStats(w)
	w.failures++
	s.zones[w.info.Zone].failureShare += (1 - s.zones[w.info.Zone].failureShare) * failureGain
}

// learnOutcome updates the worker's slowdown and health from the end of an attempt.
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
		} else if s.cfg.ReportsStart {
			return
		} else {
			s.contention -= s.contention * contentionGain
		}
		if over := run - w.slowdown*j.work; j.key != 0 && over > s.fetchTime/2 {
			// The worker had to fetch the data set, whatever was expected: such a run says nothing about its speed.
			s.fetchTime += (min(over, 4*s.fetchTime) - s.fetchTime) * 0.03
			return
		}
		s.learnRun(w, run, j.work)
	case ConnectFailed, Broken:
		if s.eject(w); o.Result == ConnectFailed {
			// No process listens there; the list or a new process will bring the worker back. An early try costs an attempt.
			w.ejectedUntil = max(w.ejectedUntil, s.now+maxEjection)
			s.recordFailure(w)
			if s.cfg.UncountedConnects {
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

// markAlive records a sign of life, which ends an ejection.
func (s *Scheduler) markAlive(w *worker) {
	w.consecutiveFailures, w.ejectedUntil, w.lastAlive, w.missedStarts = 0, 0, s.now, 0
}

// eject makes a worker expensive for a time that doubles with each failure since its last sign of life. Otherwise
// the empty backlog of a worker whose connections break would make it the cheapest. An ejection is a cost and not
// a ban, so that a fleet in which every worker is ejected is still used.
func (s *Scheduler) eject(w *worker) {
	w.consecutiveFailures++
	span := min(int64(minEjection)<<min(w.consecutiveFailures-1, 6), maxEjection)
	w.ejectedUntil = s.now + span/2 + int64(s.uniform()*float64(span)/2)
}
