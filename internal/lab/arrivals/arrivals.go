// Package arrivals draws open-loop arrival times from a seed: they do not depend on answers.
//
// A Programme describes the arrival rate over time and a Process the distribution of the gaps. Times combines them: the
// process is a renewal process with mean gap 1, on a time axis that runs as fast as the programme's rate. Zipf draws
// ranks, and Burstiness measures recorded arrivals.
package arrivals

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Step is one part of a rate programme. Rates are in jobs per second.
type Step struct {
	Kind   string        `sexp:",head"`
	For    time.Duration `sexp:"for,required" min:"0"`
	Rate   float64       `sexp:"rate,required" min:"0"`      // at the start of a ramp, between bursts, mean of a wave
	To     float64       `sexp:"to" min:"0"`                 // at the end of a ramp, within bursts, at the crest of a wave
	Every  time.Duration `sexp:"every" min:"0.001"`          // period of bursts or of a wave
	Lasts  time.Duration `sexp:"lasts" min:"0"`              // length of a burst
	Repeat int           `sexp:"repeat" min:"1" max:"10000"` // how often the step is run; default 1
}

// SetDefaults implements settings.Defaulter.
func (s *Step) SetDefaults() { s.Repeat = 1 }

// Check implements settings.Checker. It reports values that do not fit the kind of the step.
func (s *Step) Check() error {
	switch s.Kind {
	case "burst":
		if s.Every <= 0 || s.Lasts <= 0 || s.Lasts > s.Every {
			return fmt.Errorf("a burst wants every and lasts above 0, with lasts no longer than every")
		}
	case "wave":
		if s.Every <= 0 {
			return fmt.Errorf("a wave wants every")
		}
		if s.To < s.Rate || s.To > 2*s.Rate {
			return fmt.Errorf("a wave wants a to between rate and twice rate")
		}
	}
	if s.For <= 0 {
		return fmt.Errorf("wants a length above 0")
	}
	return nil
}

// rate returns the rate at t seconds from the step's start.
func (s *Step) rate(t float64) float64 {
	switch s.Kind {
	case "ramp":
		return s.Rate + (s.To-s.Rate)*t/s.For.Seconds()
	case "burst":
		if math.Mod(t, s.Every.Seconds()) < s.Lasts.Seconds() {
			return s.To
		}
	case "wave":
		return s.Rate + (s.To-s.Rate)*math.Sin(2*math.Pi*t/s.Every.Seconds())
	}
	return s.Rate
}

// expectedArrivals returns the expected number of arrivals within t seconds from the step's start, which is the
// integral of rate.
func (s *Step) expectedArrivals(t float64) float64 {
	switch s.Kind {
	case "ramp":
		return s.Rate*t + (s.To-s.Rate)*t*t/(2*s.For.Seconds())
	case "burst":
		every, lasts := s.Every.Seconds(), s.Lasts.Seconds()
		whole := math.Floor(t / every)
		rest := t - whole*every
		within := whole*lasts + min(rest, lasts)
		return s.To*within + s.Rate*(t-within)
	case "wave":
		w := 2 * math.Pi / s.Every.Seconds()
		return s.Rate*t + (s.To-s.Rate)*(1-math.Cos(w*t))/w
	}
	return s.Rate * t
}

// Programme is a sequence of steps.
type Programme []Step

// Length returns the duration of all steps with their repeats.
func (p Programme) Length() time.Duration {
	var sum time.Duration
	for _, s := range p {
		sum += s.For * time.Duration(max(s.Repeat, 1))
	}
	return sum
}

// Rate returns the rate at a time from the start, or 0 beyond the end.
func (p Programme) Rate(at time.Duration) float64 {
	for i := range p {
		for range max(p[i].Repeat, 1) {
			if at < p[i].For {
				return p[i].rate(at.Seconds())
			}
			at -= p[i].For
		}
	}
	return 0
}

// Mass returns the expected number of arrivals of the whole programme.
func (p Programme) Mass() float64 {
	sum := 0.0
	for i := range p {
		sum += p[i].expectedArrivals(p[i].For.Seconds()) * float64(max(p[i].Repeat, 1))
	}
	return sum
}

// arrivalClock inverts the expected number of arrivals of a programme: it returns the times at which that number
// reaches given values, which must not decrease.
type arrivalClock struct {
	steps          Programme
	step           int
	repeats        int
	stepStart      float64 // start of this step in seconds
	arrivalsBefore float64 // expected arrivals before this step
}

// timeOf returns the time in seconds at which the expected number of arrivals is reached, or false if it is beyond the
// end of the programme.
func (c *arrivalClock) timeOf(expected float64) (float64, bool) {
	for c.step < len(c.steps) {
		s := &c.steps[c.step]
		length := s.For.Seconds()
		stepArrivals := s.expectedArrivals(length)
		if left := expected - c.arrivalsBefore; left < stepArrivals {
			// expectedArrivals does not decrease with time, so bisection finds the time; 60 steps leave an error below
			// a nanosecond.
			lo, hi := 0.0, length
			for range 60 {
				if mid := (lo + hi) / 2; s.expectedArrivals(mid) <= left {
					lo = mid
				} else {
					hi = mid
				}
			}
			return c.stepStart + hi, true
		}
		c.stepStart += length
		c.arrivalsBefore += stepArrivals
		if c.repeats++; c.repeats >= max(s.Repeat, 1) {
			c.step, c.repeats = c.step+1, 0
		}
	}
	return 0, false
}

// Process is the distribution of the gaps between arrivals, with mean 1 on a time axis that runs with the rate.
type Process struct {
	Kind  string  `sexp:",arg" one-of:"poisson|uniform|gamma|weibull|even"`
	Shape float64 `sexp:"shape" min:"0.05" max:"100"` // of gamma and weibull: below 1 clustered, above 1 evenly
}

// SetDefaults implements settings.Defaulter.
func (p *Process) SetDefaults() { p.Kind, p.Shape = "poisson", 1 }

// gapSource returns a function that draws gaps.
func (p Process) gapSource(rng *rand.Rand) func() float64 {
	src := rand.NewPCG(rng.Uint64(), rng.Uint64())
	switch p.Kind {
	case "uniform":
		return distuv.Uniform{Min: 0, Max: 2, Src: src}.Rand
	case "gamma":
		return distuv.Gamma{Alpha: p.Shape, Beta: p.Shape, Src: src}.Rand
	case "weibull":
		return distuv.Weibull{K: p.Shape, Lambda: 1 / math.Gamma(1+1/p.Shape), Src: src}.Rand
	case "even":
		return func() float64 { return 1 }
	}
	return distuv.Exponential{Rate: 1, Src: src}.Rand
}

// Times draws the arrivals of a programme as offsets from its start, in order. The first gap of an even process is
// halved, so that each arrival lies in the middle of its interval.
func Times(p Programme, proc Process, rng *rand.Rand) []time.Duration {
	clock := arrivalClock{steps: p}
	gap := proc.gapSource(rng)
	var out []time.Duration
	expected := gap()
	if proc.Kind == "even" {
		expected /= 2
	}
	for {
		t, ok := clock.timeOf(expected)
		if !ok {
			return out
		}
		out = append(out, time.Duration(t*float64(time.Second)))
		expected += gap()
	}
}

// Zipf draws ranks 1 to n with probabilities proportional to rank^-s, from a table of cumulative weights.
type Zipf struct{ cumulative []float64 }

// NewZipf returns a source of ranks 1 to n with exponent s.
func NewZipf(n int, s float64) *Zipf {
	z := &Zipf{cumulative: make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -s)
		z.cumulative[i] = sum
	}
	return z
}

// Draw draws a rank.
func (z *Zipf) Draw(rng *rand.Rand) int {
	return sort.SearchFloat64s(z.cumulative, rng.Float64()*z.cumulative[len(z.cumulative)-1]) + 1
}

// Burstiness returns the coefficient of variation of the gaps between times, which is 1 for a Poisson process of
// constant rate, and the index of dispersion of the counts in windows of one second. Both are 0 for fewer than three
// times.
func Burstiness(times []time.Duration) (variation, dispersion float64) {
	if len(times) < 3 {
		return 0, 0
	}
	var sum, squares float64
	for i := 1; i < len(times); i++ {
		g := (times[i] - times[i-1]).Seconds()
		sum += g
		squares += g * g
	}
	n := float64(len(times) - 1)
	mean := sum / n
	if mean <= 0 {
		return 0, 0
	}
	variation = math.Sqrt(max(squares/n-mean*mean, 0)) / mean
	counts := make([]float64, int((times[len(times)-1]-times[0])/time.Second)+1)
	for _, t := range times {
		counts[int((t-times[0])/time.Second)]++
	}
	sum, squares = 0, 0
	for _, c := range counts {
		sum += c
		squares += c * c
	}
	m := sum / float64(len(counts))
	return variation, (squares/float64(len(counts)) - m*m) / m
}
