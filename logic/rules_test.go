package logic

import (
	"fmt"
	"math/rand"
	"testing"
)

// The checker records what it reported to the scheduler and which actions it got, and checks the rules against these
// records alone. It models no queue: outcomes are drawn at random among the legal ones.

type checkAttempt struct {
	worker      WorkerID
	sent        int64
	outstanding bool
	neverRan    bool
	zone        int
	cell        int
	started     bool
}

type checkJob struct {
	class    int
	deadline int64
	answers  int
	closed   bool // the job is answered or its client has left, as far as the scheduler knows
	attempts []checkAttempt
}

type checkWorker struct {
	info           WorkerInfo
	notReadySince  int64 // when the scheduler was told that it is gone or draining; 0 = ready
	listed         bool
	slowStartSends []checkedSend
}

type checkedSend struct {
	at   int64
	work float64
}

type checker struct {
	cfg        Config
	now        int64
	jobs       map[JobID]*checkJob
	order      []JobID
	workers    map[WorkerID]*checkWorker
	ids        []WorkerID
	violations []string
	wakes      []int64
	hints      map[JobID]float64
}

func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %d: ", c.now)+fmt.Sprintf(format, args...))
}

// apply records and checks the actions of one call.
func (c *checker) apply(acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case ActWake:
			c.wakes = append(c.wakes, a.At)
		case ActSend:
			c.send(a)
		case ActCancel:
			if j := c.jobs[a.Job]; j == nil || a.Attempt >= len(j.attempts) {
				c.violation("cancel of an attempt never made")
			}
		case ActRefuse, ActFail:
			j := c.jobs[a.Job]
			if j == nil || j.closed {
				c.violation("answer for job %d that is not open", a.Job)
				continue
			}
			j.answers++
			j.closed = true
			if c.now > j.deadline+c.cfg.AnswerSlack {
				c.violation("job %d answered late", a.Job)
			}
			if a.Kind == ActRefuse {
				c.refuse(a.Job, j)
			}
		}
	}
}

func (c *checker) refuse(id JobID, j *checkJob) {
	k := c.cfg.Classes[j.class]
	for _, a := range j.attempts {
		ok := a.neverRan || k.Repeat == RepeatSafe || k.Repeat == RepeatKeyed && k.Group == GroupAll
		if !ok {
			c.violation("job %d refused though it may have run", id)
		}
	}
}

func (c *checker) send(a Action) {
	j, w := c.jobs[a.Job], c.workers[a.Worker]
	if j == nil || j.closed {
		c.violation("send for job %d that is not open", a.Job)
		return
	}
	if w == nil || !w.listed {
		c.violation("send to a worker not listed")
		return
	}
	if w.notReadySince != 0 && c.now > w.notReadySince+c.cfg.DrainGrace {
		c.violation("send to worker %d, not ready since %d us", a.Worker, c.now-w.notReadySince)
	}
	if len(j.attempts) >= c.cfg.MaxAttempts {
		c.violation("job %d has too many attempts", a.Job)
	}
	k := c.cfg.Classes[j.class]
	if k.WorkerKind >= 0 && k.WorkerKind != w.info.Kind {
		c.violation("job %d on a worker of the wrong kind", a.Job)
	}
	for _, o := range j.attempts {
		if o.outstanding && !c.cfg.MayCopy {
			c.violation("job %d has two outstanding attempts", a.Job)
		}
		if o.neverRan || k.Repeat == RepeatSafe {
			continue
		}
		same := k.Group == GroupAll || o.zone == w.info.Zone && (k.Group == GroupZone || o.cell == w.info.Cell)
		if k.Repeat == RepeatUnsafe || !same || c.now-o.sent > k.Window {
			c.violation("job %d sent again though it may have run", a.Job)
		}
	}
	j.attempts = append(j.attempts, checkAttempt{worker: a.Worker, sent: c.now, outstanding: true, zone: w.info.Zone, cell: w.info.Cell})
	c.checkSlowStartBudget(w, c.hints[a.Job])
}

// checkSlowStartBudget checks one scheduler against the budget of the whole fleet over any window. The capacity is that
// of slots of standard speed, which the outcomes drawn do not exceed, so this is the loosest legal bound.
func (c *checker) checkSlowStartBudget(w *checkWorker, work float64) {
	age := c.now - w.info.UpSince
	if c.cfg.SlowStart == 0 || w.info.UpSince <= 0 || age >= c.cfg.SlowStart {
		return
	}
	w.slowStartSends = append(w.slowStartSends, checkedSend{c.now, work})
	sum := 0.0
	for _, s := range w.slowStartSends {
		if c.now-s.at < c.cfg.OverloadWindow {
			sum += s.work
		}
	}
	share := c.cfg.StartCapacity + (1-c.cfg.StartCapacity)*float64(max(age, 0))/float64(c.cfg.SlowStart)
	const slots = 4.0 // as in the load reports that are drawn
	if limit := c.cfg.OverloadMultiple * share * slots * float64(c.cfg.OverloadWindow) / 1e6; sum > limit {
		c.violation("worker %d in slow start was sent %.3f s of work, limit %.3f", w.info.ID, sum, limit)
	}
}

func (c *checker) checkOverdue() {
	for _, id := range c.order {
		if j := c.jobs[id]; !j.closed && c.now > j.deadline+c.cfg.AnswerSlack {
			c.violation("job %d got no answer in time", id)
			j.closed = true
		}
	}
}

func ruleConfig(r *rand.Rand) Config {
	tick := []int64{1000, 5000, 20000}[r.Intn(3)]
	c := Config{
		Schedulers: []int{1, 2, 8, 60}[r.Intn(4)], Zones: 2, Zone: r.Intn(2), NeedsSubscription: r.Intn(2) == 0,
		ValueByWork: r.Intn(2) == 0, OverQuotaValue: 0.1, ReportsStart: r.Intn(3) > 0, Resolution: tick,
		MayCancel: r.Intn(4) > 0, MayCopy: r.Intn(2) == 0,
		MaxAttempts: 1 + r.Intn(6), AnswerSlack: 4 * tick, DrainGrace: 250_000, StartCapacity: 0.2,
		SlowStart: 10_000_000, OverloadWindow: 2_000_000, OverloadMultiple: 2.5, MaxRetryAfter: 1_000_000,
		Tenants: []Tenant{{Quota: 30}, {Quota: 2}},
	}
	if r.Intn(2) == 0 {
		c.Reports = []Field{FieldFreeSlots, FieldInflight}
	}
	for _, k := range []Repeat{RepeatSafe, RepeatKeyed, RepeatUnsafe} {
		for _, g := range []Group{GroupAll, GroupZone, GroupCell} {
			c.Classes = append(c.Classes, Class{TargetLatency: 200_000, TargetPerWork: 1.5, Deadline: 2_000_000, Value: 1 + float64(g),
				LateValue: 0.2 * float64(g), Repeat: k, Group: g, Window: 600_000, WorkerKind: int(g) - 1})
		}
	}
	return c
}

// runRandomHistory runs one random legal history of events and returns the violations found.
func runRandomHistory(seed int64, steps int) []string {
	r := rand.New(rand.NewSource(seed))
	c := &checker{cfg: ruleConfig(r), now: 50_000_000, jobs: map[JobID]*checkJob{},
		workers: map[WorkerID]*checkWorker{}, hints: map[JobID]float64{}}
	s, err := New(c.cfg, uint64(seed))
	if err != nil {
		return []string{err.Error()}
	}
	var buf []Action
	c.list(s, r, ListCached, 12)
	for n := range steps {
		for range 1 + r.Intn(6) { // wake-ups come in the first tick at or after their time
			c.now += c.cfg.Resolution
			c.wake(s)
		}
		switch k := r.Intn(100); {
		case k < 40:
			buf = c.arrive(s, r, JobID(n), buf)
		case k < 44:
			c.list(s, r, []ListKind{ListFull, ListDelta, ListDelta}[r.Intn(3)], r.Intn(4))
		case k < 46:
			c.apply(s.Workers(c.now, ListFailed, nil, buf[:0]))
		case k < 48 && len(c.order) > 0:
			id := c.order[r.Intn(len(c.order))]
			c.jobs[id].closed = true
			c.apply(s.ClientGone(c.now, id, buf[:0]))
		case k < 50:
			s.RecordOthersBacklog(c.now, WorkerID(r.Intn(12)), r.ExpFloat64()*5, c.now-int64(r.Intn(3_000_000)))
			s.RecordOthersDemand(uint64(r.Intn(5)), r.ExpFloat64()*20, c.now+int64(r.Intn(3_000_000)))
		case k < 52: // invalid events: attempts that were never made must be ignored
			c.apply(s.Outcome(c.now-r.Int63n(9_000_000), Outcome{Job: JobID(r.Intn(n + 2)), Attempt: 7}, buf[:0]))
			c.apply(s.Started(c.now, JobID(r.Intn(n+2)), -1, buf[:0]))
		default:
			c.attemptEvent(s, r)
		}
		c.checkOverdue()
	}
	for range 4000 { // at the end everything still open must be answered
		c.now += c.cfg.Resolution
		c.wake(s)
	}
	c.checkOverdue()
	if left := len(s.byJob); left > 0 && c.noneOutstanding() {
		c.violation("%d answered jobs still have entries", left)
	}
	return c.violations
}

func (c *checker) noneOutstanding() bool {
	for _, j := range c.jobs {
		for _, a := range j.attempts {
			if a.outstanding {
				return false
			}
		}
	}
	return true
}

func (c *checker) wake(s *Scheduler) {
	due, kept := false, c.wakes[:0]
	for _, at := range c.wakes {
		if at <= c.now {
			due = true
		} else {
			kept = append(kept, at)
		}
	}
	c.wakes = kept
	if due {
		c.apply(s.Wake(c.now, 0, nil))
	}
}

func (c *checker) arrive(s *Scheduler, r *rand.Rand, id JobID, buf []Action) []Action {
	class := r.Intn(len(c.cfg.Classes))
	hint := int64(10_000 + r.ExpFloat64()*200_000)
	c.jobs[id] = &checkJob{class: class, deadline: c.now + 50_000 + r.Int63n(2_000_000)}
	c.order = append(c.order, id)
	c.hints[id] = float64(hint) / 1e6
	j := Job{ID: id, Class: class, Tenant: r.Intn(3) - 1, Hint: hint, Deadline: c.jobs[id].deadline}
	if r.Intn(3) == 0 {
		j.Key = uint64(1 + r.Intn(9))
	}
	buf = s.Arrive(c.now, j, buf[:0])
	c.apply(buf)
	return buf
}

// list changes or creates n random workers and reports them to the scheduler.
func (c *checker) list(s *Scheduler, r *rand.Rand, how ListKind, n int) {
	var delta []WorkerInfo
	for range n {
		id := WorkerID(100 + r.Intn(20))
		w := c.workers[id]
		if w == nil {
			w = &checkWorker{info: WorkerInfo{ID: id, Kind: r.Intn(2), Cell: r.Intn(3), Zone: r.Intn(2), Weight: 1}}
			c.workers[id] = w
			c.ids = append(c.ids, id)
		}
		w.info.Phase = []Phase{Ready, Ready, Ready, Draining, Gone}[r.Intn(5)]
		if w.info.Phase == Ready && r.Intn(3) == 0 && how != ListCached {
			w.info.UpSince = c.now - r.Int63n(1_000_000)
			w.slowStartSends = nil
		}
		c.recordPhase(w)
		delta = append(delta, w.info)
	}
	if how != ListDelta {
		delta = delta[:0]
		for _, id := range c.ids {
			if w := c.workers[id]; w.info.Phase != Gone {
				delta = append(delta, w.info)
			}
		}
	}
	c.apply(s.Workers(c.now, how, delta, nil))
}

func (c *checker) recordPhase(w *checkWorker) {
	w.listed = w.listed || w.info.Phase != Gone
	if w.info.Phase == Ready {
		w.notReadySince = 0
	} else if w.notReadySince == 0 {
		w.notReadySince = c.now
	}
}

// attemptEvent ends, starts or advances a random outstanding attempt.
func (c *checker) attemptEvent(s *Scheduler, r *rand.Rand) {
	if len(c.order) == 0 {
		return
	}
	at := len(c.order) - 1 - r.Intn(min(len(c.order), 40))
	id := c.order[at]
	j := c.jobs[id]
	for k := range j.attempts {
		a := &j.attempts[k]
		if !a.outstanding {
			continue
		}
		switch {
		case c.cfg.ReportsStart && !a.started && r.Intn(2) == 0:
			a.started = true
			c.apply(s.Started(c.now, id, k, nil))
		case a.started && r.Intn(4) == 0:
			c.apply(s.Progress(c.now, id, k, r.Float64()*1.2, nil))
		default:
			c.end(s, r, id, j, k)
		}
		return
	}
}

func (c *checker) end(s *Scheduler, r *rand.Rand, id JobID, j *checkJob, k int) {
	a := &j.attempts[k]
	a.outstanding = false
	res := Result(r.Intn(8))
	if a.started && (res == Refused || res == ConnectFailed || res == NotSent) {
		res = Broken
	}
	a.neverRan = res == Refused || res == ConnectFailed || res == NotSent
	if res == Served && !j.closed {
		j.answers++
		j.closed = true
	}
	o := Outcome{Job: id, Attempt: k, Worker: a.worker, Result: res, Elapsed: c.now - a.sent, Settled: j.closed,
		Report: []float32{float32(r.Intn(5)), float32(r.Intn(9))}}
	c.apply(s.Outcome(c.now, o, nil))
}

// In random orders of events no attempt or answer breaks the rules that rules.go names.
func TestRulesHoldInAnyEventOrder(t *testing.T) {
	for seed := int64(1); seed <= 150; seed++ {
		if violations := runRandomHistory(seed, 1500); len(violations) > 0 {
			t.Errorf("seed %d: %d violations, first %s", seed, len(violations), violations[0])
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(int64(1), uint16(300))
	f.Fuzz(func(t *testing.T, seed int64, steps uint16) {
		if violations := runRandomHistory(seed, int(steps%3000)+1); len(violations) > 0 {
			t.Errorf("seed %d: %s", seed, violations[0])
		}
	})
}
