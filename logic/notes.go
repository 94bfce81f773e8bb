package logic

// Events of attempts: starts, progress and outcomes.

// Started takes the report that the job of attempt k has begun to run.
func (s *Scheduler) Started(now int64, id JobID, k int, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.outstandingAttempt(id, k)
	if a == nil || a.started != 0 || a.cancelled {
		return s.end()
	}
	a.started, a.lastNote = s.now, s.now
	if !a.startOverdue {
		s.contention -= s.contention * contentionGain
	}
	w := &s.workers[a.worker]
	s.derive(w)
	w.ownBacklog = max(w.ownBacklog-a.slotWork*residualShare, 0) // a running job has on average half of its work left
	a.slotWork *= 1 - residualShare
	w.running += j.slots
	kd := &s.kinds[w.info.Kind]
	// Own jobs that run side by side reveal slots where nothing reports them.
	kd.parallelRuns += max(w.running-kd.parallelRuns, 0) * 0.2
	s.markAlive(w)
	s.learnStartDelay(w, seconds(s.now-a.sent))
	if !j.answered {
		for o := range j.attemptCount {
			if o != k && j.attempts[o].started == 0 {
				s.cancelAttempt(j, o)
			}
		}
		s.scheduleReview(i, s.stalledAt(a))
	}
	return s.end()
}

// Progress takes the fraction, 0 to 1, of an attempt that is done. Before the start of the job it only
// acknowledges that the worker has accepted it.
func (s *Scheduler) Progress(now int64, id JobID, k int, share float64, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.outstandingAttempt(id, k)
	if a == nil {
		return s.end()
	}
	w := &s.workers[a.worker]
	if a.started == 0 {
		a.acknowledged, s.acksSeen = true, true
		return s.end()
	}
	w.lastAlive = s.now
	if share < 1 {
		a.progress = max(a.progress, share)
	}
	a.lastNote = s.now
	if !j.answered && !a.cancelled {
		s.scheduleReview(i, s.stalledAt(a))
	}
	left := j.work * j.slots * (1 - a.progress)
	w.ownBacklog = max(w.ownBacklog+left-a.slotWork, 0)
	a.slotWork = left
	return s.end()
}

// Streaming takes the report that an attempt's answer has begun to flow to the client. The job counts as answered,
// and its other attempts are cancelled.
func (s *Scheduler) Streaming(now int64, id JobID, k int, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.outstandingAttempt(id, k)
	if a != nil && !j.answered {
		s.markAlive(&s.workers[a.worker])
		j.answered = true
		for o := range j.attemptCount {
			if o != k {
				s.cancelAttempt(j, o)
			}
		}
		s.release(i)
	}
	return s.end()
}

// Outcome takes the end of an attempt. A job without an answer and without other attempts is placed again.
func (s *Scheduler) Outcome(now int64, o Outcome, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.outstandingAttempt(o.Job, o.Attempt)
	if a == nil || s.workers[a.worker].info.ID != o.Worker {
		return s.end()
	}
	w := &s.workers[a.worker]
	a.outstanding, a.neverRan = false, o.Result == Refused || o.Result == ConnectFailed || o.Result == NotSent
	j.outstanding--
	w.outstanding--
	if a.started != 0 {
		w.running -= j.slots
	}
	s.removeBacklog(a)
	s.derive(w)
	s.learnOutcome(j, a, w, &o)
	s.readReport(w, o.Report)
	if o.Settled || o.Result == Served {
		s.markAnswered(j)
	} else if !j.answered && j.outstanding == 0 {
		s.place(i)
	}
	s.release(i)
	return s.end()
}
