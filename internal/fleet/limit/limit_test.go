package limit

import (
	"fmt"
	"testing"

	"granitewing/internal/fleet/limit/rights"
)

// perSecond is a limit of the fleet on jobs a second, with a burst of four seconds.
func perSecond(amount float64) []Limit {
	return []Limit{{Name: "r", Tenant: 0, Class: -1, Refuse: true, Limit: rights.Limit{Kind: rights.Rate, Amount: amount, Burst: 4 * amount, Lease: leaseUs}}}
}

// atOnce is one on jobs open at once, each of which is answered within a time.
func atOnce(places float64, longest int64) []Limit {
	return []Limit{{Name: "o", Tenant: -1, Class: 0, Refuse: true, Limit: rights.Limit{Kind: rights.Open, Amount: places, Lease: leaseUs, Linger: longest}}}
}

// uneven has one node in ten get nine tenths of the jobs.
func (s *stage) uneven(jobs float64) {
	n := len(s.nodes)
	for i, w := range s.nodes {
		w.load = jobs * 0.1 / float64(n-n/10)
		if i%10 == 5 {
			w.load = jobs * 0.9 / float64(n/10)
		}
		s.arrivals(i)
	}
}

// In calm a limit is used nearly whole where more is asked for than it, unevenly, and nothing is refused where less is.
func TestCalm(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits []Limit
		jobs   float64
		least  float64 // of the limit, or of what was wanted
	}{
		{"rate, twice as much", perSecond(150), 300, 0.98},
		{"rate, half as much", perSecond(150), 75, 0.99},
		{"places, twice as much", atOnce(150, 10*sec), 60, 0.78},
		{"places, half as much", atOnce(600, 10*sec), 60, 0.92},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newStage(1, 300, c.limits)
			l := c.limits[0]
			s.rate = l.Amount * 1.02
			s.hold = l.Linger
			s.uneven(c.jobs)
			s.run(20 * sec)
			s.wanted, s.in = 0, 0
			s.run(50 * sec)
			may := min(float64(s.wanted), l.Amount*30)
			if l.Kind == rights.Open {
				may = min(float64(s.wanted), l.Amount*30/5) // a job takes five seconds in the mean
			}
			t.Logf("%d of %d in, %.3f of what may be; burst %.0f; open %d; %d messages", s.in, s.wanted, float64(s.in)/may, s.burst, s.most, s.messages)
			if float64(s.in) < c.least*may {
				t.Errorf("%d of %d in: %.3f of what may be, want %.2f", s.in, s.wanted, float64(s.in)/may, c.least)
			}
			s.bounded(t)
		})
	}
}

// bounded checks what was let in against the stated bounds.
func (s *stage) bounded(t *testing.T) {
	t.Helper()
	if l := s.limits[0]; l.Kind == rights.Rate && s.burst > l.Burst+1e-6 || l.Kind == rights.Open && s.most > int(l.Amount) {
		t.Errorf("beyond the limit: %.1f over the rate where %.0f may be, %d open where %.0f may be", s.burst, l.Burst, s.most, l.Amount)
	}
}

// schedule draws faults of the next seconds: cuts, stops, kills and poor links, of keepers as well.
func (s *stage) schedule(seconds int) {
	n := len(s.nodes)
	some := func() map[int]bool {
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
				s.fault(some, span)
			}
			s.after(span, func() { s.cut, s.loss, s.twice, s.spread = nil, 0, 0, sec/50 })
		})
	}
}

func (s *stage) fault(some func() map[int]bool, span int64) {
	n := len(s.nodes)
	switch side := some(); s.rng.IntN(7) {
	case 0: // some from the others
		s.cut = func(a, b int) bool { return side[a] != side[b] }
	case 1: // one way
		s.cut = func(a, b int) bool { return side[a] && !side[b] }
	case 2: // one keeper from another
		a, b := s.rng.IntN(3), s.rng.IntN(3)
		s.cut = func(x, y int) bool { return x == a && y == b || x == b && y == a }
	case 3:
		s.stop(s.rng.IntN(3), span) // a keeper, perhaps the dealer
	case 4:
		s.stop(s.rng.IntN(n), span)
	case 5:
		if i := s.rng.IntN(3); s.rng.IntN(2) == 0 {
			s.kill(i, span/20)
		} else {
			s.resign(i, span/20)
		}
		for i := range side {
			s.kill(i, span/4)
		}
	case 6:
		s.loss, s.twice, s.spread = 0.3*s.rng.Float64(), 0.2, sec
	}
}

// faulty plays drawn faults over a fleet that wants more than its limit.
func faulty(seed uint64, limits []Limit, broken string) *stage {
	// Every third play has few that want much each, so that all places are taken all the time.
	nodes := []int{30, 9, 100}[seed%3]
	s := newStage(seed, 0, limits)
	s.broken = broken
	s.people(nodes)
	l := limits[0]
	s.rate, s.hold = l.Amount*1.02, l.Linger
	jobs := 2 * l.Amount
	if l.Kind == rights.Open {
		jobs = 4 * l.Amount * 1e6 / float64(l.Linger)
	}
	if nodes < 10 {
		for i, n := range s.nodes {
			n.load = 2 * jobs / float64(nodes)
			s.arrivals(i)
		}
	} else {
		s.uneven(jobs)
	}
	s.schedule(60)
	s.run(60 * sec)
	return s
}

// Whatever fails, no more is let in than the bound: of a rate R with a burst B at most R x time + B in any time, of places
// never more than there are.
func TestFaults(t *testing.T) {
	for seed := range uint64(*plays) {
		for _, limits := range [][]Limit{perSecond(20), atOnce(20, sec)} {
			t.Run(fmt.Sprint(limits[0].Name, seed), func(t *testing.T) {
				t.Parallel()
				s := faulty(seed, limits, "")
				s.bounded(t)
				t.Logf("%d of %d in, burst %.1f of %.0f, open %d", s.in, s.wanted, s.burst, limits[0].Burst, s.most)
				if s.in < 50 {
					t.Errorf("%d of %d in: the limit is hardly used", s.in, s.wanted)
				}
				s.in = 0
				s.run(90 * sec)
				if s.in < 300 {
					t.Errorf("%d in through the 30 s after the faults", s.in)
				}
			})
		}
	}
}
