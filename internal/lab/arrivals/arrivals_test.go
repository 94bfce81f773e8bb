package arrivals

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawStep(t *rapid.T) Step {
	s := Step{Kind: rapid.SampledFrom([]string{"constant", "ramp", "burst", "wave"}).Draw(t, "kind"),
		For:  time.Duration(rapid.IntRange(10, 5000).Draw(t, "ms")) * time.Millisecond,
		Rate: rapid.Float64Range(0, 200).Draw(t, "rate"), Repeat: rapid.IntRange(1, 3).Draw(t, "repeat")}
	s.Every = time.Duration(rapid.IntRange(10, 3000).Draw(t, "every")) * time.Millisecond
	s.Lasts = s.Every / time.Duration(rapid.IntRange(1, 5).Draw(t, "part"))
	s.To = s.Rate * rapid.Float64Range(1, 2).Draw(t, "to")
	return s
}

// The expected number of arrivals is the integral of the rate.
func TestExpectedArrivalsAreTheIntegralOfRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawStep(t)
		const steps = 20_000
		sum, dt := 0.0, s.For.Seconds()/steps
		for i := range steps {
			sum += s.rate((float64(i)+0.5)*dt) * dt
		}
		// The sum is off by at most one integration step at the start of each burst.
		if got := s.expectedArrivals(s.For.Seconds()); math.Abs(got-sum) > 1e-3*sum+5*dt*s.To*(1+s.For.Seconds()/s.Every.Seconds()) {
			t.Fatalf("%+v: mass %g, integral %g", s, got, sum)
		}
	})
}

// Arrivals are sorted and within the programme, the same for the same seed, and for an even process as many as the
// programme's expected number.
func TestTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Programme{drawStep(t), drawStep(t)}
		proc := Process{rapid.SampledFrom([]string{"poisson", "uniform", "gamma", "weibull", "even"}).Draw(t, "process"), rapid.Float64Range(0.3, 5).Draw(t, "shape")}
		seed := rapid.Uint64().Draw(t, "seed")
		times := Times(p, proc, rand.New(rand.NewPCG(seed, 1)))
		if !slices.IsSorted(times) || len(times) > 0 && (times[0] < 0 || times[len(times)-1] > p.Length()) {
			t.Fatalf("times out of order or beyond %v", p.Length())
		}
		if again := Times(p, proc, rand.New(rand.NewPCG(seed, 1))); !slices.Equal(times, again) {
			t.Fatal("the same seed gave other times")
		}
		if off := math.Abs(float64(len(times)) - p.Mass()); proc.Kind == "even" && off > 1 {
			t.Fatalf("%d even arrivals, expected %g", len(times), p.Mass())
		}
	})
}

// Each process keeps the rate, and the variation of its gaps is that of its distribution.
func TestProcesses(t *testing.T) {
	p := Programme{{Kind: "constant", For: 100 * time.Second, Rate: 500, Repeat: 1}}
	for _, c := range []struct {
		proc      Process
		variation float64
	}{
		{Process{"poisson", 1}, 1}, {Process{"even", 1}, 0}, {Process{"uniform", 1}, 1 / math.Sqrt(3)},
		{Process{"gamma", 0.25}, 2}, {Process{"gamma", 4}, 0.5},
		{Process{"weibull", 0.5}, math.Sqrt(5)}, {Process{"weibull", 2}, 0.5227},
	} {
		times := Times(p, c.proc, rand.New(rand.NewPCG(9, 9)))
		if off := math.Abs(float64(len(times))/50_000 - 1); off > 0.03 {
			t.Errorf("%v: %d arrivals of 50,000", c.proc, len(times))
		}
		if v, _ := Burstiness(times); math.Abs(v-c.variation) > 0.06*max(c.variation, 0.1) {
			t.Errorf("%v: coefficient of variation of gaps %.3f, want %.3f", c.proc, v, c.variation)
		}
	}
}

// Rank k is drawn in proportion to k^-s.
func TestZipf(t *testing.T) {
	z := NewZipf(10, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	counts := make([]int, 11)
	const n = 200_000
	for range n {
		counts[z.Draw(rng)]++
	}
	for k := 1; k <= 10; k++ {
		if want := 1 / float64(k) / 2.928968; math.Abs(float64(counts[k])/n-want) > 0.005 {
			t.Errorf("rank %d drawn %d times, want %.0f", k, counts[k], want*n)
		}
	}
}

// Check rejects steps with invalid values, and Rate follows the steps and their repeats.
func TestProgramme(t *testing.T) {
	for _, s := range []Step{{Kind: "burst", For: 1}, {Kind: "burst", For: 1, Every: 1, Lasts: 2}, {Kind: "wave", For: 1}, {Kind: "wave", For: 1, Every: 1, Rate: 2, To: 1},
		{Kind: "wave", For: 1, Every: 1, Rate: 2, To: 5}, {Kind: "constant"}} {
		if s.Check() == nil {
			t.Errorf("%+v was accepted", s)
		}
	}
	p := Programme{{Kind: "constant", For: time.Second, Rate: 5, Repeat: 2}, {Kind: "ramp", For: 2 * time.Second, Rate: 10, To: 20, Repeat: 1}}
	for at, want := range map[time.Duration]float64{0: 5, 1500 * time.Millisecond: 5, 2 * time.Second: 10, 3 * time.Second: 15, 5 * time.Second: 0} {
		if got := p.Rate(at); got != want {
			t.Errorf("rate %g at %v, want %g", got, at, want)
		}
	}
}
