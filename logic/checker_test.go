package logic

import "testing"

// Tests the checker of rules_test.go itself: each case breaks one rule, and the checker must report it.
func TestCheckerFindsEachViolation(t *testing.T) {
	const cls = 8 // unsafe, group GroupCell
	send := func(w WorkerID) Action { return Action{Kind: ActSend, Job: 1, Worker: w} }
	cases := []struct {
		name string
		acts []Action
		prep func(*checker)
	}{
		{"unsafe job sent twice", []Action{send(1), send(2)}, nil},
		{"refused though it may have run", []Action{send(1), {Kind: ActRefuse, Job: 1}}, nil},
		{"answered twice", []Action{{Kind: ActFail, Job: 1}, {Kind: ActFail, Job: 1}}, nil},
		{"sent after its end", []Action{{Kind: ActFail, Job: 1}, send(1)}, nil},
		{"answered late", []Action{{Kind: ActFail, Job: 1}}, func(c *checker) { c.now = c.jobs[1].deadline + 1_000_000 }},
		{"sent to a draining worker", []Action{send(1)}, func(c *checker) { c.workers[1].notReadySince = c.now - 1_000_000 }},
		{"sent to a worker not listed", []Action{send(3)}, nil},
		{"too many attempts", []Action{send(1)}, func(c *checker) {
			c.jobs[1].attempts = make([]checkAttempt, c.cfg.MaxAttempts)
		}},
		{"worker in slow start overloaded", []Action{send(1)}, func(c *checker) {
			c.workers[1].info.UpSince, c.hints[1] = c.now-1000, 50
		}},
	}
	for _, k := range cases {
		c := &checker{now: 50_000_000, workers: map[WorkerID]*checkWorker{}, hints: map[JobID]float64{}}
		c.cfg = Config{Classes: make([]Class, cls+1), MaxAttempts: 3, MayCopy: true, DrainGrace: 250_000,
			SlowStart: 10_000_000, StartCapacity: 0.2, OverloadMultiple: 2.5, OverloadWindow: 2_000_000}
		for i := range c.cfg.Classes {
			c.cfg.Classes[i] = Class{Repeat: RepeatUnsafe, WorkerKind: -1}
		}
		c.jobs = map[JobID]*checkJob{1: {class: cls, deadline: c.now + 500_000}}
		for _, id := range []WorkerID{1, 2} {
			c.workers[id] = &checkWorker{info: WorkerInfo{ID: id, Phase: Ready}, listed: true}
		}
		if k.prep != nil {
			k.prep(c)
		}
		if c.apply(k.acts); len(c.violations) == 0 {
			t.Errorf("%s: the checker did not report it", k.name)
		}
	}
}
