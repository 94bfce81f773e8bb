package logic

import "testing"

// Runs that the other schedulers report count like a scheduler's own and decay like them. A verdict of the fleet keeps
// jobs off a worker until its time or the next sign of life. A value share that the fleet has decided takes precedence.
func TestStateReportedByOtherSchedulers(t *testing.T) {
	c := testConfig()
	c.Schedulers = max(c.Schedulers, 1)
	s := newFleet(t, c, readyWorkers(2))[0]
	slow, other := &s.workers[s.byID[1]], &s.workers[s.byID[2]]
	s.RecordOthersRuns(t0, 1, 40, 10)
	now := s.slowdownOf(slow)
	if now < 2*s.slowdownOf(other) {
		t.Errorf("slowdown %g, of the other worker %g, after runs of four times the work", now, s.slowdownOf(other))
	}
	s.now += 40_000_000
	s.decayStats(slow)
	if later := s.slowdownOf(slow); later > (now+s.slowdownOf(other))/2 {
		t.Errorf("slowdown %g, and %g forty seconds later", now, later)
	}
	s.EjectUntil(s.now, 1, s.now+1_000_000)
	if to := sends(s.Arrive(s.now, Job{ID: 1, Deadline: s.now + 2_000_000}, nil)); len(to) != 1 || to[0] != 2 {
		t.Errorf("sent to %v under a verdict on worker 1", to)
	}
	if s.markAlive(slow); s.now < slow.ejectedUntil {
		t.Error("a sign of life does not end a verdict")
	}
	if got := s.valueShare(0, 0.25); got != 0.25 {
		t.Errorf("value share %g where the fleet decided 0.25", got)
	}
}
