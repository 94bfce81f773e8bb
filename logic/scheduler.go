package logic

import (
	"errors"
	"math"
	"slices"
)

// Construction of a scheduler, the start and end of each call, timers, and the bookkeeping of jobs. The decisions are
// in place.go (the worker for a job), cost.go and backlog.go (the cost there), rules.go (what is permitted), review.go
// (jobs that wait), health.go and slow_start.go (the state of workers) and affinity.go (workers for a data set).

// New returns a scheduler for a configuration; seed feeds its random choices. It fails if cfg.Classes is empty.
func New(cfg Config, seed uint64) (*Scheduler, error) {
	if len(cfg.Classes) == 0 {
		return nil, errors.New("config: Classes is empty")
	}
	cfg.Schedulers = max(cfg.Schedulers, 1)
	cfg.MaxAttempts = min(max(cfg.MaxAttempts, 1), maxAttemptsKept)
	cfg.Zones = max(cfg.Zones, 1)
	cfg.Resolution = orDefault(cfg.Resolution, 1000)
	cfg.OverloadWindow = orDefault(cfg.OverloadWindow, 1_000_000)
	cfg.StartCapacity, cfg.OverloadMultiple = orDefault(cfg.StartCapacity, 0.1), orDefault(cfg.OverloadMultiple, 1)
	cfg.Classes = slices.Clone(cfg.Classes)
	n := len(cfg.Classes)
	s := &Scheduler{
		cfg: cfg, rngState: seed*0x9E3779B97F4A7C15 | 1, byID: map[WorkerID]int32{}, byJob: map[JobID]int32{},
		affinities: map[uint64]*affinity{}, listVersion: 1,
		classRate: make([]float64, n), classWork: make([]float64, n),
		classShare: make([]float64, n), classWeight: make([]float64, n),
		baseDelay: make([]float64, cfg.Zones), quotaUsed: make([]float64, len(cfg.Tenants)),
		quotaUsedAt: make([]int64, len(cfg.Tenants)), zones: make([]zone, cfg.Zones), meanBacklog: initialBacklog,
	}
	for i := range cfg.Classes {
		c := &s.cfg.Classes[i]
		c.Deadline = orDefault(c.Deadline, 10_000_000)
		c.TargetLatency = orDefault(c.TargetLatency, c.Deadline)
	}
	s.initEstimates()
	s.refreshEstimates()
	return s, nil
}

// begin records the time of an event; a time that goes back counts as the latest seen.
func (s *Scheduler) begin(now int64, out []Action) {
	if s.startedAt == 0 {
		s.startedAt = max(now, 1)
		s.ratesAt = now
	}
	s.now = max(s.now, now)
	s.rateCoverage = max(1-math.Exp(-seconds(s.now-s.startedAt)/rateTimeConstant), 0.02)
	s.actions = out
}

// end requests a wake-up for the earliest timer and returns the actions.
func (s *Scheduler) end() []Action {
	if len(s.timers) > 0 {
		if at := s.timers[0].at; s.armedAt == 0 || at < s.armedAt || s.armedAt <= s.now {
			s.armedAt = max(at, s.now+1)
			s.emit(Action{Kind: ActWake, At: s.armedAt})
		}
	}
	out := s.actions
	s.actions = nil
	return out
}

// emit appends an action to those of the current call.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// markAnswered marks a job as answered and cancels its attempts.
func (s *Scheduler) markAnswered(j *job) {
	j.answered = true
	for k := range j.attemptCount {
		s.cancelAttempt(j, k)
	}
}

// removeBacklog removes an attempt's work from its worker's backlog.
func (s *Scheduler) removeBacklog(a *attempt) {
	w := &s.workers[a.worker]
	w.ownBacklog = max(w.ownBacklog-a.slotWork, 0)
	a.slotWork = 0
}

// ClientGone takes the event that a client has disconnected.
func (s *Scheduler) ClientGone(now int64, id JobID, out []Action) []Action {
	s.begin(now, out)
	if i, ok := s.byJob[id]; ok && !s.jobs[i].answered {
		s.markAnswered(&s.jobs[i])
		s.release(i)
	}
	return s.end()
}

// release frees the entry of a job that is answered and has no outstanding attempts.
func (s *Scheduler) release(i int32) {
	j := &s.jobs[i]
	if !j.inUse || !j.answered || j.outstanding > 0 {
		return
	}
	delete(s.byJob, j.id)
	j.inUse = false
	j.generation++
	s.freeJobs = append(s.freeJobs, i)
}

// The kinds of timers: the review of a job, and the next subscription to the worker list.
const (
	timerJob = iota
	timerSubscribe
)

// addTimer adds a timer; generation is that of the job's entry, so that a timer of an earlier job is ignored.
func (s *Scheduler) addTimer(at int64, what int, job int32, gen uint32) {
	s.timers.push(timerEntry{at: at, kind: what, job: job, generation: gen})
}

// Wake handles a wake-up: all timers that are due. The token is not used.
func (s *Scheduler) Wake(now int64, _ uint32, out []Action) []Action {
	s.begin(now, out)
	for len(s.timers) > 0 && s.timers[0].at <= s.now {
		t := s.timers.pop()
		switch {
		case t.kind == timerSubscribe:
			s.emit(Action{Kind: ActSubscribe})
		case s.jobs[t.job].generation == t.generation && s.jobs[t.job].reviewAt == t.at:
			s.review(t.job)
		}
	}
	return s.end()
}
