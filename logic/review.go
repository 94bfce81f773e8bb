package logic

import (
	"math"
	"slices"
)

// Reviews of jobs that have not been answered: a missing report, or a better worker elsewhere.

const (
	waitExtrapolation = 3.0     // expected remaining wait of a job that has not started, as a multiple of its wait so far
	maxMissedStarts   = 2       // consecutive missing start reports, without a sign of life, that get a worker ejected
	ackTimeout        = 500_000 // us in which a worker must acknowledge a job: ten times the longest delay observed
	minMoveGain       = 0.1     // smallest fall in expected loss, in mean jobs, for which a waiting job moves
)

// startCheckDelay returns the microseconds in which a job that starts at once on worker i reports its start.
func (s *Scheduler) startCheckDelay(i int32) int64 {
	return int64(2*s.baseDelay[s.workers[i].info.Zone]*1e6) + s.cfg.Resolution
}

// scheduleReview sets the time of a job's next review; at the latest that is when the job must be answered.
func (s *Scheduler) scheduleReview(i int32, at int64) {
	j := &s.jobs[i]
	j.reviewAt = min(at, s.answerBy(j))
	s.addTimer(j.reviewAt, timerJob, i, j.generation)
}

// review checks a job whose review time has come.
func (s *Scheduler) review(i int32) {
	j := &s.jobs[i]
	if j.answered {
		return
	}
	if s.now >= s.answerBy(j) {
		s.finish(i)
		return
	}
	if j.outstanding == 0 {
		s.place(i)
		return
	}
	last := &j.attempts[j.attemptCount-1]
	if s.now >= s.stalledAt(last) {
		// The worker is stuck, or its connection no longer delivers reports.
		s.eject(&s.workers[last.worker])
		if s.cfg.MayCancel && s.chooseAlternative(j).worker >= 0 {
			s.cancelAttempt(j, j.attemptCount-1)
		}
		s.scheduleReview(i, s.answerBy(j))
		return
	}
	if s.cfg.ReportsStart && !slices.ContainsFunc(j.attempts[:j.attemptCount], func(a attempt) bool { return a.outstanding && !a.cancelled && a.started != 0 }) {
		s.recordMissingStarts(j)
		if s.moveIfBetter(i) {
			return
		}
		if s.cfg.MayCancel && s.shouldRefuse(j, s.currentViolation(j)) {
			s.finish(i)
			return
		}
		s.scheduleReview(i, s.now+s.startCheckDelay(last.worker))
		return
	}
	s.scheduleReview(i, s.stalledAt(last))
}

// stalledAt returns the time from which an attempt without further reports counts as stalled: an attempt that is not
// acknowledged where workers acknowledge jobs, or a running one without a progress report where these are due. The
// first progress report may come half an interval late.
func (s *Scheduler) stalledAt(a *attempt) int64 {
	switch {
	case !a.outstanding || a.cancelled || a.started == 0 && (a.acknowledged || !s.acksSeen) || a.started != 0 && s.cfg.Progress <= 0:
		return math.MaxInt64
	case a.started == 0:
		return a.sent + ackTimeout
	}
	at := a.lastNote + s.cfg.Progress + s.cfg.Progress/4
	if a.lastNote == a.started {
		at += s.cfg.Progress / 2
	}
	return at
}

// recordMissingStarts takes the missing start reports of a job as evidence that its workers have no free slot.
func (s *Scheduler) recordMissingStarts(j *job) {
	for k := range j.attemptCount {
		a := &j.attempts[k]
		if !a.outstanding || a.started != 0 {
			continue
		}
		w := &s.workers[a.worker]
		s.derive(w)
		if waited := seconds(s.now - a.sent); a.startOverdue {
			// A job that has waited this long may well wait as long again; no outcome reports the wait before it is over.
			w.othersBacklog, w.othersBacklogAt = max(w.othersBacklog, w.headroom+waitExtrapolation*waited-w.ownBacklog*w.drainTime), s.now
			continue
		}
		a.startOverdue = true
		s.contention += (1 - s.contention) * contentionGain
		s.observeOthers(w, w.headroom+w.d+s.meanWait)
		// A worker that accepts jobs and starts none looks idle, since no report shows its queue. Where the whole
		// fleet is slow to start jobs, the cause is contention and no worker is ejected.
		if w.missedStarts++; w.missedStarts >= maxMissedStarts && s.now-w.lastAlive > livenessSpan && s.contention < contentionThreshold {
			s.eject(w)
		}
	}
}

// moveIfBetter moves a job that waits for its start to the worker that is now cheapest, if the expected loss there is
// lower by minMoveGain, and reports whether it did. It needs start reports, attempts that can be cancelled and a class
// that may run again. Where copies are allowed, the first attempt to start wins; otherwise the job is cancelled first.
func (s *Scheduler) moveIfBetter(i int32) bool {
	j := &s.jobs[i]
	last := &j.attempts[j.attemptCount-1]
	if !s.cfg.MayCancel || s.attemptsExhausted(j) || last.cancelled ||
		!s.cfg.MayCopy && s.cfg.Classes[j.class].Repeat != RepeatSafe {
		return false
	}
	b := s.chooseAlternative(j)
	if b.worker < 0 || j.value*(s.currentViolation(j)-b.violation) < minMoveGain+s.crossZoneCost(&s.workers[b.worker]) {
		return false
	}
	if s.cfg.MayCopy {
		s.send(j, b.worker)
		s.scheduleReview(i, s.now+s.startCheckDelay(b.worker))
	} else {
		s.cancelAttempt(j, j.attemptCount-1)
		s.scheduleReview(i, s.answerBy(j))
	}
	return true
}

// chooseAlternative returns the best worker for a job once its latest attempt is over, or for a copy of the job.
func (s *Scheduler) chooseAlternative(j *job) choice {
	last := &j.attempts[j.attemptCount-1]
	out := last.outstanding
	last.outstanding = out && s.cfg.MayCopy
	b := s.choose(j)
	last.outstanding = out
	return b
}

// currentViolation returns the lowest probability of a deadline violation over the workers at which a job waits.
func (s *Scheduler) currentViolation(j *job) float64 {
	least := 1.0
	for k := range j.attemptCount {
		if a := &j.attempts[k]; a.outstanding && !a.cancelled {
			_, violation := s.cost(j, &s.workers[a.worker])
			least = min(least, violation)
		}
	}
	return least
}
