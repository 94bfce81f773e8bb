package logic

import "slices"

// Rules that every attempt and every refusal must satisfy.

const (
	refusalThreshold      = 0.95 // probability of a deadline violation beyond which a job is not worth its work
	unsafeViolationFactor = 3.0  // factor on it for a job that can't be refused once sent, where the fleet lacks capacity
	contentionThreshold   = 0.5  // share of attempts without a free slot from which the fleet is overloaded: late starts eject no worker
)

// MaxWriteDelay is the longest delay, in microseconds, of a dispatcher between a decision and the write that follows
// from it.
const MaxWriteDelay = 150_000

// RepeatWithin returns the microseconds after the first sending of a keyed job that may have run in which another
// attempt may be decided on. The margin to Class.Window ensures that workers still drop the repeat when its bytes are
// written.
func (c *Config) RepeatWithin(class int) int64 {
	return c.Classes[class].Window - 4*c.Resolution - MaxWriteDelay
}

// mayAttempt reports whether the job may be sent to a worker. It prevents a second effect of the job: every attempt,
// the first included, passes it.
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

// sameGroup reports whether a worker drops repeats of what an earlier attempt ran.
func sameGroup(g Group, a *attempt, w *worker) bool {
	return g == GroupAll || a.zone == w.info.Zone && (g == GroupZone || a.cell == w.info.Cell)
}

// attemptsExhausted reports whether a job has had all its attempts. Attempts that reached no worker may not count,
// but their number is bounded too.
func (s *Scheduler) attemptsExhausted(j *job) bool {
	return j.attemptCount-j.uncounted >= s.cfg.MaxAttempts || j.attemptCount >= maxAttemptsKept
}

// mayRefuse reports whether a retry by the client can't cause a second effect of the job.
func (s *Scheduler) mayRefuse(j *job) bool {
	c := &s.cfg.Classes[j.class]
	if c.Repeat == RepeatSafe || c.Repeat == RepeatKeyed && c.Group == GroupAll {
		return true
	}
	return !slices.ContainsFunc(j.attempts[:j.attemptCount], func(a attempt) bool { return !a.neverRan })
}

// finish gives the final answer that the rules permit and cancels the outstanding attempts.
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

// retryAfter returns when a refused client should come back, in microseconds: after the wait that jobs have before
// they start, which is about the time until a slot becomes free.
func (s *Scheduler) retryAfter() int64 {
	return min(max(int64(s.meanWait*1e6), holdInterval), s.cfg.MaxRetryAfter)
}

// cancelAttempt stops waiting for an attempt, which frees its slot where workers drop cancelled work.
func (s *Scheduler) cancelAttempt(j *job, k int) {
	a := &j.attempts[k]
	if !a.outstanding || a.cancelled || !s.cfg.MayCancel {
		return
	}
	a.cancelled = true
	s.removeBacklog(a)
	s.emit(Action{Kind: ActCancel, Job: j.id, Attempt: k})
}

// shouldRefuse reports whether a job is so likely to be late that it only keeps others waiting. A job for
// which the price of its slots is higher than its expected value is refused before its first attempt. Otherwise a job
// that can't be refused is failed only under contention: with up to fewSchedulers schedulers, if the share of attempts
// without a free slot is at least contentionThreshold. Each of a higher number n of schedulers sees only a part of the
// contention, so there contentionThreshold*fewSchedulers/n is enough; if the others report their work, their part is
// known and contentionThreshold applies.
func (s *Scheduler) shouldRefuse(j *job, violation float64) bool {
	risk := violation
	if s.cfg.Classes[j.class].Repeat == RepeatUnsafe {
		risk *= unsafeViolationFactor
	}
	if j.slotPrice > 0 && j.attemptCount == 0 && j.value*s.meanValue*(1-risk) < j.slotPrice*j.work*j.slots {
		return true // the fleet lacks capacity, and has work of higher value
	}
	n := float64(s.cfg.Schedulers)
	if s.now < s.othersKnownUntil {
		n = 1 // the other schedulers' part is known too
	}
	return violation >= refusalThreshold && s.cfg.Classes[j.class].LateValue <= 0 && (s.mayRefuse(j) || s.contention*n >= contentionThreshold*min(fewSchedulers, n))
}
