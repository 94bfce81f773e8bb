package logic

// What is heard of attempts: starts, progress, ends.

// Started takes the note that an attempt's job has begun to run.
func (s *Scheduler) Started(now int64, id JobID, k int, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.find(id, k)
	if a == nil || a.started != 0 || a.cancelled {
		return s.end()
	}
	a.started, a.noted = s.now, s.now
	if !a.stale {
		s.crowd -= s.crowd * crowdGain
	}
	w := &s.workers[a.w]
	s.derive(w)
	w.own = max(w.own-a.x*tailRoom, 0) // a running job has about half of its work left
	a.x *= 1 - tailRoom
	w.running += j.slots
	kd := &s.kinds[w.info.Kind]
	kd.ran += max(w.running-kd.ran, 0) * 0.2 // jobs that run side by side show slots where nothing reports them
	s.wellness(w)
	s.learnStart(w, seconds(s.now-a.sent))
	if !j.done {
		for o := range j.n {
			if o != k && j.att[o].started == 0 {
				s.callOff(j, o)
			}
		}
		s.reviewAt(i, s.stallAt(a))
	}
	return s.end()
}

// Progress takes the share of an attempt that is done; before its start it says only that the worker has taken it.
func (s *Scheduler) Progress(now int64, id JobID, k int, share float64, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.find(id, k)
	if a == nil {
		return s.end()
	}
	w := &s.workers[a.w]
	if a.started == 0 {
		a.taken, s.tellsTaken = true, true
		return s.end()
	}
	w.heard = s.now
	if share < 1 {
		a.share = max(a.share, share)
	}
	a.noted = s.now
	if !j.done && !a.cancelled {
		s.reviewAt(i, s.stallAt(a))
	}
	left := j.work * j.slots * (1 - a.share)
	w.own = max(w.own+left-a.x, 0)
	a.x = left
	return s.end()
}

// Streaming takes the note that an attempt's answer has begun; it now belongs to the client.
func (s *Scheduler) Streaming(now int64, id JobID, k int, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.find(id, k)
	if a != nil && !j.done {
		s.wellness(&s.workers[a.w])
		j.done = true
		for o := range j.n {
			if o != k {
				s.callOff(j, o)
			}
		}
		s.release(i)
	}
	return s.end()
}

// Outcome takes the end of an attempt.
func (s *Scheduler) Outcome(now int64, o Outcome, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.find(o.Job, o.Attempt)
	if a == nil || s.workers[a.w].info.ID != o.Worker {
		return s.end()
	}
	w := &s.workers[a.w]
	a.out, a.never = false, o.Result == Refused || o.Result == ConnectFailed || o.Result == Moot
	j.live--
	w.outs--
	if a.started != 0 {
		w.running -= j.slots
	}
	s.unload(a)
	s.derive(w)
	s.learnOutcome(j, a, w, &o)
	s.readReport(w, o.Report)
	if o.Settled || o.Result == Served {
		s.settle(j)
	} else if !j.done && j.live == 0 {
		s.place(i)
	}
	s.release(i)
	return s.end()
}
