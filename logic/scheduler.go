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
	cfg.MaxAttempts = min(max(cfg.MaxAttempts, 1), maxTries)
	cfg.Zones = max(cfg.Zones, 1)
	cfg.Resolution = orDefault(cfg.Resolution, 1000)
	cfg.FallWindow = orDefault(cfg.FallWindow, 1_000_000)
	cfg.StartCapacity, cfg.FallMultiple = orDefault(cfg.StartCapacity, 0.1), orDefault(cfg.FallMultiple, 1)
	cfg.Classes = slices.Clone(cfg.Classes)
	n := len(cfg.Classes)
	s := &Scheduler{
		cfg: cfg, rand: seed*0x9E3779B97F4A7C15 | 1, byID: map[WorkerID]int32{}, byJob: map[JobID]int32{},
		homes: map[uint64]*homes{}, lists: 1,
		classRate: make([]float64, n), classWork: make([]float64, n),
		classShare: make([]float64, n), weight: make([]float64, n),
		base: make([]float64, cfg.Zones), used: make([]float64, len(cfg.Tenants)),
		usedAt: make([]int64, len(cfg.Tenants)), zones: make([]zone, cfg.Zones), seen: seenFirst,
	}
	for i := range cfg.Classes {
		c := &s.cfg.Classes[i]
		c.Deadline = orDefault(c.Deadline, 10_000_000)
		c.Aim = orDefault(c.Aim, c.Deadline)
	}
	s.guess()
	s.update()
	return s, nil
}

// begin takes the time of an event; a time that goes back counts as the latest seen.
func (s *Scheduler) begin(now int64, out []Action) {
	if s.started == 0 {
		s.started = max(now, 1)
		s.ratesAt = now
	}
	s.now = max(s.now, now)
	s.warmup = max(1-math.Exp(-seconds(s.now-s.started)/rateSpan), 0.02)
	s.out = out
}

// end arms the wake-up for the earliest timer and hands the actions back.
func (s *Scheduler) end() []Action {
	if len(s.timers) > 0 {
		if at := s.timers[0].at; s.armed == 0 || at < s.armed || s.armed <= s.now {
			s.armed = max(at, s.now+1)
			s.do(Action{Kind: ActWake, At: s.armed})
		}
	}
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) do(a Action) { s.out = append(s.out, a) }

// settle marks a job as answered and calls off its attempts.
func (s *Scheduler) settle(j *job) {
	j.done = true
	for k := range j.n {
		s.callOff(j, k)
	}
}

// unload takes an attempt's work off its worker's backlog at once.
func (s *Scheduler) unload(a *attempt) {
	w := &s.workers[a.w]
	w.own = max(w.own-a.x, 0)
	a.x = 0
}

// HangUp takes the news that a client has left.
func (s *Scheduler) HangUp(now int64, id JobID, out []Action) []Action {
	s.begin(now, out)
	if i, ok := s.byJob[id]; ok && !s.jobs[i].done {
		s.settle(&s.jobs[i])
		s.release(i)
	}
	return s.end()
}

// release lets go of a job that is answered and has nothing out.
func (s *Scheduler) release(i int32) {
	j := &s.jobs[i]
	if !j.held || !j.done || j.live > 0 {
		return
	}
	delete(s.byJob, j.id)
	j.held = false
	j.gen++
	s.freeJ = append(s.freeJ, i)
}

// The kinds of timers.
const (
	timerJob = iota
	timerAsk
)

func (s *Scheduler) timer(at int64, what int, job int32, gen uint32) {
	s.timers.push(timerEntry{at: at, what: what, job: job, gen: gen})
}

// Wake takes a wake-up. The token is not needed: what is due is due.
func (s *Scheduler) Wake(now int64, _ uint32, out []Action) []Action {
	s.begin(now, out)
	for len(s.timers) > 0 && s.timers[0].at <= s.now {
		t := s.timers.pop()
		switch {
		case t.what == timerAsk:
			s.do(Action{Kind: ActSubscribe})
		case s.jobs[t.job].gen == t.gen && s.jobs[t.job].review == t.at:
			s.look(t.job)
		}
	}
	return s.end()
}
