package logic

import (
	"math"
	"slices"
)

// Reviewing: a job of which too little is heard, or that would do better elsewhere.

const (
	waitExtrapolation = 3.0     // times the wait so far of a job that has not started that the rest of it is taken for
	maxMissedStarts   = 2       // start notes missing in a row, with no sign of life, that make a worker suspect
	ackTimeout        = 500_000 // us in which workers that tell so have taken a job: ten times what was ever seen
	minMoveGain       = 0.1     // least fall in expected loss, in mean jobs, for which a waiting job is taken elsewhere
)

// checkAfter is how long a job that starts at once needs to say so.
func (s *Scheduler) startCheckDelay(i int32) int64 {
	return int64(2*s.baseDelay[s.workers[i].info.Zone]*1e6) + s.cfg.Resolution
}

// reviewAt sets when a job is next looked at; never later than its last call.
func (s *Scheduler) scheduleReview(i int32, at int64) {
	j := &s.jobs[i]
	j.reviewAt = min(at, s.answerBy(j))
	s.addTimer(j.reviewAt, timerJob, i, j.generation)
}

// look reviews a job whose time has come.
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
		// Its worker stands still, or the connection has fallen silent.
		s.eject(&s.workers[last.worker])
		if s.cfg.MayCancel && s.chooseAlternative(j).worker >= 0 {
			s.cancelAttempt(j, j.attemptCount-1)
		}
		s.scheduleReview(i, s.answerBy(j))
		return
	}
	if s.cfg.TellsStart && !slices.ContainsFunc(j.attempts[:j.attemptCount], func(a attempt) bool { return a.outstanding && !a.cancelled && a.started != 0 }) {
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

// stallAt is when a job of which nothing is heard is taken to be stuck: at a worker that has not even said that it has
// taken it, where others did, or while it runs and should tell of progress. The first such note may come half an interval late.
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

// noStart takes the missing start notes of a job as evidence that its workers have no free slot.
func (s *Scheduler) recordMissingStarts(j *job) {
	for k := range j.attemptCount {
		a := &j.attempts[k]
		if !a.outstanding || a.started != 0 {
			continue
		}
		w := &s.workers[a.worker]
		s.derive(w)
		if waited := seconds(s.now - a.sent); a.startOverdue {
			// What has waited so long may well wait as long again; no outcome will tell before the wait is over.
			w.othersBacklog, w.othersBacklogAt = max(w.othersBacklog, w.headroom+waitExtrapolation*waited-w.ownBacklog*w.drainTime), s.now
			continue
		}
		a.startOverdue = true
		s.contention += (1 - s.contention) * contentionGain
		s.observeOthers(w, w.headroom+w.d+s.meanWait)
		// One that takes jobs and starts none looks like a free one: its queue is never heard of. Where the whole fleet
		// is slow to start, that is crowding and nobody is ejected for it.
		if w.missedStarts++; w.missedStarts >= maxMissedStarts && s.now-w.lastAlive > livenessSpan && s.contention < contentionThreshold {
			s.eject(w)
		}
	}
}

// elsewhereHelps takes a job that waits unstarted to the worker that is now cheapest, where the loss expected there is
// lower by moveGain. Exception to send-and-forget: it acts only where workers tell of starts, attempts can be called off
// and the class may be repeated. Where copies are allowed the first to start wins; else the job is called off first.
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

// elsewhere is the best worker for a job once its latest attempt is over, or for a copy of it.
func (s *Scheduler) chooseAlternative(j *job) choice {
	last := &j.attempts[j.attemptCount-1]
	out := last.outstanding
	last.outstanding = out && s.cfg.MayCopy
	b := s.choose(j)
	last.outstanding = out
	return b
}

// lateWhereItIs is the least chance of being late over the workers that a job waits at.
func (s *Scheduler) currentViolation(j *job) float64 {
	least := 1.0
	for k := range j.attemptCount {
		if a := &j.attempts[k]; a.outstanding && !a.cancelled {
			_, late := s.cost(j, &s.workers[a.worker])
			least = min(least, late)
		}
	}
	return least
}
