package inventory

import "testing"

// The age of a server is a span of real time, however the wall clock is stepped, at this machine alone or at all
// of them. A server may count as younger than it is, never as older.
func TestAgeAcrossClockSteps(t *testing.T) {
	const second, hour, start = int64(1_000_000), int64(3_600_000_000), int64(1_790_000_000_000_000)
	for _, c := range []struct {
		name   string
		step   int64 // step of this machine's wall clock, before the server started
		server int64 // step of the server's wall clock
		age    int64 // true age when the start is reported
		max    int64 // upper bound of the age that counts
		min    int64
	}{
		{"no step", 0, 0, 7 * second, 7 * second, 7 * second},
		{"all clocks stepped forward", hour, hour, 7 * second, 7 * second, 0},
		{"all clocks stepped back", -hour, -hour, 7 * second, 7 * second, 7 * second},
		{"own clock stepped forward", hour, 0, 7 * second, 7 * second, 7 * second},
		{"own clock stepped back", -hour, 0, 7 * second, 7 * second, 0},
		{"server's clock stepped forward", 0, hour, 7 * second, 7 * second, 0},
		{"all clocks stepped two seconds back", -2 * second, -2 * second, 7 * second, 7 * second, 7 * second},
		{"all clocks stepped two seconds forward", 2 * second, 2 * second, 7 * second, 7 * second, 5 * second},
		{"small difference between the clocks", 100_000, 0, 7 * second, 7 * second, 7 * second},
	} {
		var s Starts
		now := start + 60*second
		wall, reported := now+c.step, now-c.age+c.server
		own := s.Own("s-1", reported, wall, now)
		if age := now - own; age > c.max || age < c.min {
			t.Errorf("%s: age %d us, want %d to %d", c.name, age, c.min, c.max)
		}
		// A start is converted once: a later step changes nothing, and the age grows with real time.
		if later := s.Own("s-1", reported, wall+hour, now+second); later != own {
			t.Errorf("%s: a later step moved the start by %d us", c.name, later-own)
		}
		// A new start gives a new age.
		if again := s.Own("s-1", now+c.server, wall, now); now-again > second {
			t.Errorf("%s: age after a new start is %d us", c.name, now-again)
		}
	}
}

// A server that started before a clock step and is reported after it must not count as older than it is, since it
// would then receive full load during its slow start.
func TestStartReportedAfterClockStep(t *testing.T) {
	const second, hour, start = int64(1_000_000), int64(3_600_000_000), int64(1_790_000_000_000_000)
	for _, step := range []int64{hour, -hour, 3 * second, -3 * second} {
		var s Starts
		now := start + 60*second
		if age := now - s.Own("s-1", now-2*second, now+step, now); age > 2*second || age < 0 {
			t.Errorf("step of %d us: age %d us, want %d at most", step, age, 2*second)
		}
	}
}

// A start of 0 stays without a time, and Keep removes the servers that are gone.
func TestStartsForget(t *testing.T) {
	var s Starts
	s.Own("s-1", 1, 1, 1)
	s.Own("s-2", 1, 1, 1)
	if s.Own("s-3", 0, 1, 1) != 0 {
		t.Error("a start of 0 (long ago) was given a time")
	}
	s.Keep(func(name string) bool { return name == "s-2" })
	if len(s.starts) != 1 {
		t.Errorf("%d kept, want 1", len(s.starts))
	}
}
