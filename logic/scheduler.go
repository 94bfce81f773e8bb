package logic

import (
	"errors"
	"math"
	"slices"
)

// How a scheduler starts, how a call of it begins and ends, its timers, and its books on jobs; what it decides stands in the files that
// deploy/balancer.toml names.

// New makes a scheduler for a configuration; seed feeds its random choices. It reports an unusable setting.
func New(cfg Config, seed uint64) (*Scheduler, error) {
	if len(cfg.Classes) == 0 {
		return nil, errors.New("config: Classes is empty")
	}
	cfg.Schedulers = max(cfg.Schedulers, 1)
	cfg.MaxAttempts = min(max(cfg.MaxAttempts, 1), maxAttemptsKept)
	cfg.Zones = max(cfg.Zones, 1)
	cfg.Resolution = orDefault(cfg.Resolution, 1000)
	cfg.FallWindow = orDefault(cfg.FallWindow, 1_000_000)
	cfg.StartCapacity, cfg.FallMultiple = orDefault(cfg.StartCapacity, 0.1), orDefault(cfg.FallMultiple, 1)
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
		c.Aim = orDefault(c.Aim, c.Deadline)
	}
	s.initEstimates()
	s.refreshEstimates()
	return s, nil
}

// begin takes the time of an event; a time that goes back counts as the latest seen.
func (s *Scheduler) begin(now int64, out []Action) {
	if s.startedAt == 0 {
		s.startedAt = max(now, 1)
		s.ratesAt = now
	}
	s.now = max(s.now, now)
	s.rateCoverage = max(1-math.Exp(-seconds(s.now-s.startedAt)/rateTimeConstant), 0.02)
	s.actions = out
}

// end arms the wake-up for the earliest timer and hands the actions back.
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

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// settle marks a job as answered and calls off its attempts.
func (s *Scheduler) markAnswered(j *job) {
	j.answered = true
	for k := range j.attemptCount {
		s.cancelAttempt(j, k)
	}
}

// unload takes an attempt's work off its worker's backlog at once.
func (s *Scheduler) removeBacklog(a *attempt) {
	w := &s.workers[a.worker]
	w.ownBacklog = max(w.ownBacklog-a.slotWork, 0)
	a.slotWork = 0
}

// HangUp takes the news that a client has left.
func (s *Scheduler) HangUp(now int64, id JobID, out []Action) []Action {
	s.begin(now, out)
	if i, ok := s.byJob[id]; ok && !s.jobs[i].answered {
		s.markAnswered(&s.jobs[i])
		s.release(i)
	}
	return s.end()
}

// release lets go of a job that is answered and has nothing out.
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

// The kinds of timers.
const (
	timerJob = iota
	timerSubscribe
)

func (s *Scheduler) addTimer(at int64, what int, job int32, gen uint32) {
	s.timers.push(timerEntry{at: at, kind: what, job: job, generation: gen})
}

// Wake takes a wake-up. The token is not needed: what is due is due.
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
