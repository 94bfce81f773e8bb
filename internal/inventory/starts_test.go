package inventory

import "testing"

// A server's age is a span of real time however the wall clock is stepped, at this machine alone or at all of them. It may
// count as younger than it is, never as older.
func TestAgeAcrossClockSteps(t *testing.T) {
	const second, hour, start = int64(1_000_000), int64(3_600_000_000), int64(1_790_000_000_000_000)
	for _, c := range []struct {
		name   string
		step   int64 // of this machine's wall clock, before the server started
		others int64 // of the server's
		age    int64 // true, when it is heard
		most   int64 // that it may count as
		least  int64
	}{
		{"no step", 0, 0, 7 * second, 7 * second, 7 * second},
		{"all went forward", hour, hour, 7 * second, 7 * second, 0},
		{"all went back", -hour, -hour, 7 * second, 7 * second, 7 * second},
		{"this one went forward", hour, 0, 7 * second, 7 * second, 7 * second},
		{"this one went back", -hour, 0, 7 * second, 7 * second, 0},
		{"the server's went forward", 0, hour, 7 * second, 7 * second, 0},
		{"a step of two seconds back", -2 * second, -2 * second, 7 * second, 7 * second, 7 * second},
		{"a step of two seconds forward", 2 * second, 2 * second, 7 * second, 7 * second, 5 * second},
		{"clocks that differ by a little", 100_000, 0, 7 * second, 7 * second, 7 * second},
	} {
		var s Starts
		now := start + 60*second
		wall, told := now+c.step, now-c.age+c.others
		own := s.Own("s-1", told, wall, now)
		if age := now - own; age > c.most || age < c.least {
			t.Errorf("%s: counts as %d us old, want %d to %d", c.name, age, c.least, c.most)
		}
		// It is turned once: a step after that changes nothing, and its age grows with real time.
		if later := s.Own("s-1", told, wall+hour, now+second); later != own {
			t.Errorf("%s: its start moved by %d us with a later step", c.name, later-own)
		}
		// A new start is a new age.
		if again := s.Own("s-1", now+c.others, wall, now); now-again > second {
			t.Errorf("%s: a new start counts as %d us old", c.name, now-again)
		}
	}
}

// Servers that started before a step, and are heard of after it, are not taken for warm.
func TestStartReportedAfterClockStep(t *testing.T) {
	const second, hour, start = int64(1_000_000), int64(3_600_000_000), int64(1_790_000_000_000_000)
	for _, step := range []int64{hour, -hour, 3 * second, -3 * second} {
		var s Starts
		now := start + 60*second
		if age := now - s.Own("s-1", now-2*second, now+step, now); age > 2*second || age < 0 {
			t.Errorf("step of %d us: counts as %d us old, is %d", step, age, 2*second)
		}
	}
}

func TestStartsForget(t *testing.T) {
	var s Starts
	s.Own("s-1", 1, 1, 1)
	s.Own("s-2", 1, 1, 1)
	if s.Own("s-3", 0, 1, 1) != 0 {
		t.Error("long ago has a time")
	}
	s.Keep(func(name string) bool { return name == "s-2" })
	if len(s.starts) != 1 {
		t.Errorf("%d kept, want 1", len(s.starts))
	}
}
