package limit

import (
	"fmt"
	"testing"

	"granitewing/internal/fleet/limit/rights"
)

// rateLimit returns a fleet limit on jobs a second, with a burst of four seconds.
func rateLimit(amount float64) []Limit {
	return []Limit{{Name: "r", Tenant: 0, Class: -1, Refuse: true, Limit: rights.Limit{Kind: rights.Rate, Amount: amount, Burst: 4 * amount, Lease: leaseUs}}}
}

// openLimit returns a fleet limit on jobs open at once, each of which is answered within a time.
func openLimit(places float64, longest int64) []Limit {
	return []Limit{{Name: "o", Tenant: -1, Class: 0, Refuse: true, Limit: rights.Limit{Kind: rights.Open, Amount: places, Lease: leaseUs, MaxOpenTime: longest}}}
}

// unevenLoad sends nine tenths of the jobs to one node in ten.
func (s *harness) unevenLoad(jobs float64) {
	n := len(s.nodes)
	for i, w := range s.nodes {
		w.load = jobs * 0.1 / float64(n-n/10)
		if i%10 == 5 {
			w.load = jobs * 0.9 / float64(n/10)
		}
		s.scheduleArrivals(i)
	}
}

// Without faults and under uneven load, a limit is used nearly fully if demand exceeds it, and hardly any job is
// refused if it does not.
func TestUseWithoutFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits []Limit
		jobs   float64
		least  float64 // share of the limit, or of the demand if that is lower
	}{
		{"rate, twice as much", rateLimit(150), 300, 0.98},
		{"rate, half as much", rateLimit(150), 75, 0.99},
		{"places, twice as much", openLimit(150, 10*sec), 60, 0.78},
		{"places, half as much", openLimit(600, 10*sec), 60, 0.92},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newHarness(1, 300, c.limits)
			l := c.limits[0]
			s.rate = l.Amount * 1.02
			s.maxJobTime = l.MaxOpenTime
			s.unevenLoad(c.jobs)
			s.run(20 * sec)
			s.wanted, s.admitted = 0, 0
			s.run(50 * sec)
			may := min(float64(s.wanted), l.Amount*30)
			if l.Kind == rights.Open {
				may = min(float64(s.wanted), l.Amount*30/5) // a job takes five seconds on average
			}
			t.Logf("%d of %d admitted, %.3f of the possible; burst %.0f; open %d; %d messages", s.admitted, s.wanted, float64(s.admitted)/may, s.burst, s.maxOpen, s.messages)
			if float64(s.admitted) < c.least*may {
				t.Errorf("%d of %d admitted: %.3f of the possible, want %.2f", s.admitted, s.wanted, float64(s.admitted)/may, c.least)
			}
			s.checkBounds(t)
		})
	}
}

// checkBounds checks the admitted jobs against the stated bounds.
func (s *harness) checkBounds(t *testing.T) {
	t.Helper()
	if l := s.limits[0]; l.Kind == rights.Rate && s.burst > l.Burst+1e-6 || l.Kind == rights.Open && s.maxOpen > int(l.Amount) {
		t.Errorf("limit exceeded: %.1f over the rate with a burst of %.0f, %d open with a limit of %.0f", s.burst, l.Burst, s.maxOpen, l.Amount)
	}
}

// scheduleFaults draws random faults for the next seconds: partitions, pauses, kills and poor links, also of
// keepers.
func (s *harness) scheduleFaults(seconds int) {
	n := len(s.nodes)
	randomNodes := func() map[int]bool {
		out := map[int]bool{}
		for range 1 + s.rng.IntN(n/2) {
			out[s.rng.IntN(n)] = true
		}
		return out
	}
	for at := 5; at < seconds; at += 2 + s.rng.IntN(4) {
		s.after(int64(at)*sec, func() {
			span := int64((0.2 + 3*s.rng.Float64()) * float64(leaseUs))
			for range 1 + s.rng.IntN(2) {
				s.injectFault(randomNodes, span)
			}
			s.after(span, func() { s.cut, s.loss, s.duplicate, s.jitter = nil, 0, 0, sec/50 })
		})
	}
}

func (s *harness) injectFault(randomNodes func() map[int]bool, span int64) {
	n := len(s.nodes)
	switch chosen := randomNodes(); s.rng.IntN(7) {
	case 0: // a partition
		s.cut = func(a, b int) bool { return chosen[a] != chosen[b] }
	case 1: // a partition in one direction
		s.cut = func(a, b int) bool { return chosen[a] && !chosen[b] }
	case 2: // between two keepers
		a, b := s.rng.IntN(3), s.rng.IntN(3)
		s.cut = func(x, y int) bool { return x == a && y == b || x == b && y == a }
	case 3:
		s.pause(s.rng.IntN(3), span) // a keeper, possibly the dealer
	case 4:
		s.pause(s.rng.IntN(n), span)
	case 5:
		if i := s.rng.IntN(3); s.rng.IntN(2) == 0 {
			s.kill(i, span/20)
		} else {
			s.leave(i, span/20)
		}
		for i := range chosen {
			s.kill(i, span/4)
		}
	case 6:
		s.loss, s.duplicate, s.jitter = 0.3*s.rng.Float64(), 0.2, sec
	}
}

// runLimitFaults runs random faults against a fleet whose demand exceeds its limit.
func runLimitFaults(seed uint64, limits []Limit, removed string) *harness {
	// Every third run has few nodes with high demand, so that all places are always taken.
	nodes := []int{30, 9, 100}[seed%3]
	s := newHarness(seed, 0, limits)
	s.removedRule = removed
	s.addNodes(nodes)
	l := limits[0]
	s.rate, s.maxJobTime = l.Amount*1.02, l.MaxOpenTime
	jobs := 2 * l.Amount
	if l.Kind == rights.Open {
		jobs = 4 * l.Amount * 1e6 / float64(l.MaxOpenTime)
	}
	if nodes < 10 {
		for i, n := range s.nodes {
			n.load = 2 * jobs / float64(nodes)
			s.scheduleArrivals(i)
		}
	} else {
		s.unevenLoad(jobs)
	}
	s.scheduleFaults(60)
	s.run(60 * sec)
	return s
}

// Whatever fails, the bound holds: of a rate R with a burst B, at most R x time + B jobs are admitted in any
// period, and never more places are taken than there are.
func TestFaults(t *testing.T) {
	for seed := range uint64(*faultRuns) {
		for _, limits := range [][]Limit{rateLimit(20), openLimit(20, sec)} {
			t.Run(fmt.Sprint(limits[0].Name, seed), func(t *testing.T) {
				t.Parallel()
				s := runLimitFaults(seed, limits, "")
				s.checkBounds(t)
				t.Logf("%d of %d admitted, burst %.1f of %.0f, open %d", s.admitted, s.wanted, s.burst, limits[0].Burst, s.maxOpen)
				if s.admitted < 50 {
					t.Errorf("%d of %d admitted: the limit is hardly used", s.admitted, s.wanted)
				}
				s.admitted = 0
				s.run(90 * sec)
				if s.admitted < 300 {
					t.Errorf("%d admitted in the 30 s after the faults", s.admitted)
				}
			})
		}
	}
}
