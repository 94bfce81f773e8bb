package logic

import (
	"math"
	"slices"
)

// Placement: the worker of lowest cost among those that a job may be sent to.

const (
	maxAttemptsKept = 8      // attempts recorded per job; more retries than this do not help
	hintWeight      = 0.65   // weight of log(hint) against log(class mean): hints are as noisy as jobs differ
	maxCandidates   = 12     // candidates compared where each scheduler sees a part of the load: bounds CPU use and herding
	fewSchedulers   = 4      // number of schedulers up to which each sees enough of the load to compare all workers
	holdInterval    = 40_000 // us between attempts to place a job that found no worker
	affinitySample  = 3      // affinity workers compared where reports are shared; comparing all would cause herding
)

// choice is the result of a comparison of workers; violation is the probability of a deadline violation.
type choice struct {
	worker                   int32
	cost, violation, backlog float64
}

// choose returns the worker of lowest cost that the job may be sent to; its worker is -1 if there is none. Many
// schedulers that each see a part of the load would all choose the same few workers, so each compares only a
// uniform random sample, as under a load-equalising split, besides the job's affinity workers and the workers in slow
// start.
func (s *Scheduler) choose(j *job) choice {
	s.refreshEstimates()
	best := choice{worker: -1}
	n := uint64(len(s.ready))
	all := s.cfg.Schedulers <= fewSchedulers || n <= maxCandidates
	if !all && j.key != 0 {
		h := s.rankedAffinity(j.key)
		wanted := uint64(math.Ceil(s.affinityWidth(h)))
		for r, i := range h.workers {
			if i >= 0 && (s.now >= s.othersKnownUntil || wanted <= 2 || uint64(r) < wanted && s.random()%wanted < affinitySample) {
				s.consider(j, i, &best)
			}
		}
	}
	for _, i := range s.ready {
		if all || s.random()%n < maxCandidates || s.warmupFactor(&s.workers[i]) < 1 {
			s.consider(j, i, &best)
		}
	}
	for _, i := range s.ready {
		if best.worker < 0 && !all {
			s.consider(j, i, &best)
		}
	}
	return best
}

// consider replaces best by worker i if the job may be sent to it and it has the lower cost, or on a tie the shorter
// backlog.
func (s *Scheduler) consider(j *job, i int32, best *choice) {
	w := &s.workers[i]
	k := s.cfg.Classes[j.class].WorkerKind // the only kind that can run it, if any
	if s.membershipStale || k >= 0 && k != w.info.Kind || !s.mayAttempt(j, w) || !s.slowStartAllows(w, j.maxWork*j.slots) || j.triedOn(i) {
		return
	}
	total, violation := s.cost(j, w)
	u := s.backlog(w)
	if best.worker < 0 || total < best.cost || total == best.cost && u < best.backlog {
		*best = choice{worker: i, cost: total, violation: violation, backlog: u}
	}
}

// send starts the next attempt of a job, at worker i.
func (s *Scheduler) send(j *job, i int32) {
	w := &s.workers[i]
	miss := s.missProbability(j, w)
	x := (j.work + miss*s.fetchTime/w.slowdown) * j.slots
	w.rememberDataSet(j.key)
	j.attempts[j.attemptCount] = attempt{worker: i, outstanding: true, zone: w.info.Zone, cell: w.info.Cell, sent: s.now, slotWork: x, missProbability: miss}
	j.attemptCount++
	j.outstanding++
	w.outstanding++
	w.ownBacklog += x
	w.slowStartUsed += max(x, j.maxWork*j.slots)
	w.recentSends, w.recentSendsAt = w.recentSends*math.Exp(-seconds(s.now-w.recentSendsAt)/rateTimeConstant)+1, s.now
	s.emit(Action{Kind: ActSend, Job: j.id, Worker: w.info.ID, Timeout: max(j.deadline-s.now, 1)})
}

// Arrive takes a new job. It is sent, held until a worker becomes available, or refused.
func (s *Scheduler) Arrive(now int64, in Job, out []Action) []Action {
	s.begin(now, out)
	if _, dup := s.byJob[in.ID]; dup {
		return s.end()
	}
	i := s.allocJob()
	s.byJob[in.ID] = i
	j := &s.jobs[i]
	class := in.Class
	if class < 0 || class >= len(s.cfg.Classes) {
		class = len(s.cfg.Classes) - 1
	}
	c := &s.cfg.Classes[class]
	*j = job{id: in.ID, inUse: true, generation: j.generation + 1, class: class, tenant: in.Tenant, key: in.Key, slots: 1,
		work: s.classWork[class], maxWork: s.classWork[class], arrived: s.now, deadline: in.Deadline, slotPrice: in.SlotPrice}
	if in.Hint > 0 {
		hint, mean := seconds(in.Hint), &s.classWork[class]
		j.work = math.Pow(*mean, 1-hintWeight) * math.Pow(hint, hintWeight)
		j.maxWork = max(j.work, hint)
		*mean += (hint - *mean) * 0.05
	}
	for _, need := range [...]float64{in.Slots, in.Memory} { // a worker has one unit of memory per slot
		if need > j.slots && need < 1e6 {
			j.slots = need
		}
	}
	if j.deadline <= 0 {
		j.deadline = s.now + c.Deadline
	}
	firstSent := s.now
	if in.Repeated || s.cfg.RetriesUnmarked {
		// The target latency counts from the first try, whose time follows from the remaining time. A retry served late
		// has no value.
		firstSent = min(firstSent, j.deadline-c.Deadline)
	}
	j.targetAt = min(firstSent+c.TargetLatency+int64(c.TargetPerWork*j.work*1e6), j.deadline)
	s.countArrival(j)
	s.refreshEstimates()
	s.recordDemand(j)
	share := s.valueShare(in.Tenant, in.Share)
	s.classShare[class] += (share - s.classShare[class]) * 0.03
	j.value = s.jobValue(class, j.work) / s.meanValue * share
	s.lastEstimate = [...]float64{j.value * s.meanValue, j.work * j.slots, seconds(j.targetAt-s.now) - j.work}
	s.place(i)
	return s.end()
}

// valueShare returns the fraction of its value that a tenant's next job has: 1 within this scheduler's part of the
// quota, Config.OverQuotaValue beyond it. A fraction that the limits of the whole fleet have decided takes precedence.
func (s *Scheduler) valueShare(t int, decided float64) float64 {
	switch {
	case decided > 0:
		return decided
	case len(s.quotaUsed) == 0:
		return 1
	case t < 0 || t >= len(s.quotaUsed):
		return s.cfg.OverQuotaValue // where there are quotas, a job without a known tenant counts as beyond them
	case s.cfg.Tenants[t].Quota <= 0:
		return 1
	}
	rate := s.cfg.Tenants[t].Quota / float64(s.cfg.Schedulers)
	const burst = 4.0 // seconds of quota that may be saved up: smooths the uneven arrivals at one scheduler
	s.quotaUsed[t], s.quotaUsedAt[t] = max(s.quotaUsed[t]-rate*seconds(s.now-s.quotaUsedAt[t]), 0), s.now
	if s.quotaUsed[t]+1 <= max(rate*burst, 2) {
		s.quotaUsed[t]++
		return 1
	}
	return s.cfg.OverQuotaValue
}

// place sends a job to the worker of lowest cost, holds it while there is none, or ends it by finish when its time is
// up, no attempt is left or it is too likely to be late.
func (s *Scheduler) place(i int32) {
	j := &s.jobs[i]
	if s.now >= s.answerBy(j) {
		s.finish(i)
		return
	}
	b := s.choose(j)
	if b.worker < 0 {
		if s.attemptsExhausted(j) || j.attemptCount > 0 && !s.hasRetryWorker(j) {
			s.finish(i)
			return
		}
		s.scheduleReview(i, s.now+holdInterval)
		return
	}
	if s.shouldRefuse(j, b.violation) {
		s.finish(i)
		return
	}
	s.send(j, b.worker)
	s.scheduleReview(i, s.now+s.startCheckDelay(b.worker))
}

// hasRetryWorker reports whether any ready worker may still be sent the job; if not, holding it is pointless.
func (s *Scheduler) hasRetryWorker(j *job) bool {
	return slices.ContainsFunc(s.ready, func(i int32) bool { return s.mayAttempt(j, &s.workers[i]) && !j.triedOn(i) })
}

// answerBy returns when a job must be answered: one tick before its deadline.
func (s *Scheduler) answerBy(j *job) int64 { return j.deadline - s.cfg.Resolution }
