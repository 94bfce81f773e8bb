package logic

// Passive health: errors, silence and broken connections as a chance of failure and a time of distrust (DESIGN, under strain).

const (
	ejectFirst = 1_000_000 // us that a first ejection lasts
	ejectMost  = 8_000_000 // us that ejections grow to: a dead worker is tried a few times a minute
	failPrior  = 1.0       // answers that the zone's share of errors weighs against a worker's own
	crowdGain  = 0.05      // weight of one attempt in that share
	failGain   = 0.2       // weight of one answer in its zone's share of errors
	hearSpan   = 3_000_000 // us for which a sign of life vouches for a worker
)

// failChance is the chance that a worker takes no job or answers with an error; of one not known yet it is its zone's,
// since zones fail as a whole. One that answers errors at once is never busy, and would be the cheapest of all.
func (s *Scheduler) failChance(w *worker) float64 {
	return (w.failed + failPrior*s.zones[w.info.Zone].failing) / (w.failed + w.well + failPrior)
}

// fail notes an answer with an error, or that nobody was there to take a job.
func (s *Scheduler) fail(w *worker) {
	s.fadePace(w)
	w.failed++
	s.zones[w.info.Zone].failing += (1 - s.zones[w.info.Zone].failing) * failGain
}

// learnOutcome learns pace and health from the end of an attempt.
func (s *Scheduler) learnOutcome(j *job, a *attempt, w *worker, o *Outcome) {
	switch o.Result {
	case Served:
		s.wellness(w)
		w.well++
		s.zones[w.info.Zone].failing *= 1 - failGain
		s.decay()
		s.workRate += (j.work + a.miss*s.fetch/w.pace) * j.slots / rateSpan
		run := seconds(o.Elapsed) - s.base[w.info.Zone]*1.5
		if a.started != 0 {
			run = seconds(s.now - a.started)
		} else if s.cfg.TellsStart {
			return
		} else {
			s.crowd -= s.crowd * crowdGain
		}
		if over := run - w.pace*j.work; j.key != 0 && over > s.fetch/2 {
			// It had to fetch, whatever was expected: a run that long says nothing of the pace.
			s.fetch += (min(over, 4*s.fetch) - s.fetch) * 0.03
			return
		}
		s.learnRun(w, run, j.work)
	case ConnectFailed, Broken:
		if s.eject(w); o.Result == ConnectFailed {
			// Nobody is there: a list will bring it back, or another process. Asking soon again costs a job an attempt.
			w.ejected = max(w.ejected, s.now+ejectMost)
			s.fail(w)
			if s.cfg.FreeConnects {
				j.free++
			}
		}
	case Refused:
		s.crowd += (1 - s.crowd) * crowdGain
		s.seeOthers(w, w.slack+2*w.d+4*s.waits)
	case Failed:
		s.fail(w)
	}
}

// wellness is passive health: a sign of life ends an ejection.
func (s *Scheduler) wellness(w *worker) {
	w.fails, w.ejected, w.heard, w.misses = 0, 0, s.now, 0
}

// eject keeps jobs off a worker for a time that doubles with each failure since its last sign of life: the emptied backlog
// of one that breaks off would make it the cheapest. It is a cost and not a ban, so a fleet ejected as a whole is still used.
func (s *Scheduler) eject(w *worker) {
	w.fails++
	span := min(int64(ejectFirst)<<min(w.fails-1, 6), ejectMost)
	w.ejected = s.now + span/2 + int64(s.uniform()*float64(span)/2)
}
