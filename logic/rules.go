package logic

import "slices"

// The rules on repeats, attempts and refusals: every attempt and every refusal passes them.

const (
	refusalThreshold      = 0.95 // chance of being late beyond which a job is not worth its work
	unsafeViolationFactor = 3.0  // times that lateness counts of a job that can't be refused once it is sent, where its fleet is short
	contentionThreshold   = 0.5  // share of attempts that find no free slot from which slow starts are nobody's fault
)

// HeldUp is for how many microseconds a dispatcher may be held up between a decision and the writing that follows from it.
const HeldUp = 150_000

// RepeatWithin is how long after the first sending of a keyed job that may have run another may be decided on, so that it is
// still dropped as a repeat when its bytes are written.
func (c *Config) RepeatWithin(class int) int64 {
	return c.Classes[class].Window - 4*c.Resolution - HeldUp
}

// mayRepeat guards against a second effect: every attempt, first or further, passes it.
func (s *Scheduler) mayAttempt(j *job, w *worker) bool {
	if s.attemptsExhausted(j) || j.answered {
		return false
	}
	c := &s.cfg.Classes[j.class]
	for k := range j.attemptCount {
		a := &j.attempts[k]
		if a.outstanding && !s.cfg.MayCopy {
			return false
		}
		if a.neverRan {
			continue
		}
		switch c.Repeat {
		case RepeatSafe:
		case RepeatKeyed:
			if s.now-a.sent > s.cfg.RepeatWithin(j.class) || !sameGroup(c.Group, a, w) {
				return false
			}
		default:
			return false
		}
	}
	return true
}

func sameGroup(g Group, a *attempt, w *worker) bool {
	return g == GroupAll || a.zone == w.info.Zone && (g == GroupZone || a.cell == w.info.Cell)
}

// spent tells whether a job has had all its attempts. What found nobody may not count, but has an end as well.
func (s *Scheduler) attemptsExhausted(j *job) bool {
	return j.attemptCount-j.uncounted >= s.cfg.MaxAttempts || j.attemptCount >= maxAttemptsKept
}

// mayRefuse tells whether 'trying again is harmless' is true of a job.
func (s *Scheduler) mayRefuse(j *job) bool {
	c := &s.cfg.Classes[j.class]
	if c.Repeat == RepeatSafe || c.Repeat == RepeatKeyed && c.Group == GroupAll {
		return true
	}
	return !slices.ContainsFunc(j.attempts[:j.attemptCount], func(a attempt) bool { return !a.neverRan })
}

// finish gives the final answer that the rules permit and calls off what is still out.
func (s *Scheduler) finish(i int32) {
	j := &s.jobs[i]
	s.markAnswered(j)
	a := Action{Kind: ActFail, Job: j.id}
	if s.mayRefuse(j) {
		a.Kind, a.After = ActRefuse, s.retryAfter()
	}
	s.emit(a)
	s.release(i)
}

// retryAfter tells a client that was refused when to come back: after the wait that jobs see before they start, which
// is about how long it takes for a place to become free.
func (s *Scheduler) retryAfter() int64 {
	return min(max(int64(s.meanWait*1e6), holdInterval), s.cfg.MaxRetryAfter)
}

// callOff stops waiting for an attempt, which frees what it holds where workers drop cancelled work.
func (s *Scheduler) cancelAttempt(j *job, k int) {
	a := &j.attempts[k]
	if !a.outstanding || a.cancelled || !s.cfg.MayCancel {
		return
	}
	a.cancelled = true
	s.removeBacklog(a)
	s.emit(Action{Kind: ActCancel, Job: j.id, Attempt: k})
}

// vain tells whether a job so likely late only keeps others waiting. One that can't be refused is failed where most jobs wait, of which each of many schedulers sees a part.
func (s *Scheduler) shouldRefuse(j *job, late float64) bool {
	doubt := late
	if s.cfg.Classes[j.class].Repeat == RepeatUnsafe {
		doubt *= unsafeViolationFactor
	}
	if j.slotPrice > 0 && j.attemptCount == 0 && j.value*s.meanValue*(1-doubt) < j.slotPrice*j.work*j.slots {
		return true // its fleet is short, and does work that is worth more
	}
	n := float64(s.cfg.Schedulers)
	if s.now < s.othersKnownUntil {
		n = 1 // the others' part is seen as well
	}
	return late >= refusalThreshold && s.cfg.Classes[j.class].LateWorth <= 0 && (s.mayRefuse(j) || s.contention*n >= contentionThreshold*min(fewSchedulers, n))
}
