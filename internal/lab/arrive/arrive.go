// Package arrive makes arrivals that wait for no answer: renewal processes whose time runs as fast as a rate programme
// says, drawn from a seed.
package arrive

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Step is one part of a rate programme. Rates are jobs a second.
type Step struct {
	Kind   string        `sexp:",head"`
	For    time.Duration `sexp:"for,required" min:"0"`
	Rate   float64       `sexp:"rate,required" min:"0"`      // at the start of a ramp, between bursts, in the middle of a wave
	To     float64       `sexp:"to" min:"0"`                 // at the end of a ramp, within bursts, at the crest of a wave
	Every  time.Duration `sexp:"every" min:"0.001"`          // from burst to burst, or from crest to crest
	Lasts  time.Duration `sexp:"lasts" min:"0"`              // of a burst
	Repeat int           `sexp:"repeat" min:"1" max:"10000"` // how often the step is played; default once
}

// SetDefaults implements settings.Defaulter.
func (s *Step) SetDefaults() { s.Repeat = 1 }

// Check implements settings.Checker.
func (s *Step) Check() error {
	switch s.Kind {
	case "burst":
		if s.Every <= 0 || s.Lasts <= 0 || s.Lasts > s.Every {
			return fmt.Errorf("a burst wants every and lasts, the second no longer than the first")
		}
	case "wave":
		if s.Every <= 0 {
			return fmt.Errorf("a wave wants every")
		}
		if s.To < s.Rate || s.To > 2*s.Rate {
			return fmt.Errorf("a wave's crest lies between its middle and twice that")
		}
	}
	if s.For <= 0 {
		return fmt.Errorf("wants a length above 0")
	}
	return nil
}

// rate is the rate at t seconds from the step's start.
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

// mass is the expected number of arrivals within t seconds from the step's start, the integral of rate.
func (s *Step) mass(t float64) float64 {
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

// Length is how long all steps take.
func (p Programme) Length() time.Duration {
	var sum time.Duration
	for _, s := range p {
		sum += s.For * time.Duration(max(s.Repeat, 1))
	}
	return sum
}

// Rate is the rate at a time from the start, 0 beyond the end.
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

// Mass is the expected number of arrivals in all.
func (p Programme) Mass() float64 {
	sum := 0.0
	for i := range p {
		sum += p[i].mass(p[i].For.Seconds()) * float64(max(p[i].Repeat, 1))
	}
	return sum
}

// walk finds the times at which the expected number of arrivals reaches ever larger figures.
type walk struct {
	steps  Programme
	step   int
	played int
	begun  float64 // seconds before this step
	passed float64 // mass before this step
}

// at gives the time in seconds; false beyond the end.
func (w *walk) at(mass float64) (float64, bool) {
	for w.step < len(w.steps) {
		s := &w.steps[w.step]
		length := s.For.Seconds()
		whole := s.mass(length)
		if left := mass - w.passed; left < whole {
			// mass never falls with time, so halving finds the place; 60 halvings leave less than a nanosecond.
			lo, hi := 0.0, length
			for range 60 {
				if mid := (lo + hi) / 2; s.mass(mid) <= left {
					lo = mid
				} else {
					hi = mid
				}
			}
			return w.begun + hi, true
		}
		w.begun += length
		w.passed += whole
		if w.played++; w.played >= max(s.Repeat, 1) {
			w.step, w.played = w.step+1, 0
		}
	}
	return 0, false
}

// Process is how arrivals spread about their rate: gaps with mean 1 in a time that runs with the rate.
type Process struct {
	Kind  string  `sexp:",arg" one-of:"poisson|uniform|gamma|weibull|even"`
	Shape float64 `sexp:"shape" min:"0.05" max:"100"` // of gamma and weibull: below 1 arrivals come in clusters, above 1 evenly
}

// SetDefaults implements settings.Defaulter.
func (p *Process) SetDefaults() { p.Kind, p.Shape = "poisson", 1 }

// gaps gives a source of gaps.
func (p Process) gaps(rng *rand.Rand) func() float64 {
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

// Times gives the arrivals of a programme as offsets from its start, in order. The first gap of an even process is
// half a gap, so that arrivals lie in the middles of their shares.
func Times(p Programme, proc Process, rng *rand.Rand) []time.Duration {
	w := walk{steps: p}
	gap := proc.gaps(rng)
	var out []time.Duration
	mass := gap()
	if proc.Kind == "even" {
		mass /= 2
	}
	for {
		t, ok := w.at(mass)
		if !ok {
			return out
		}
		out = append(out, time.Duration(t*float64(time.Second)))
		mass += gap()
	}
}

// Zipf draws ranks 1 to n with a weight of rank^-s, from a table.
type Zipf struct{ sums []float64 }

// NewZipf makes a source of ranks.
func NewZipf(n int, s float64) *Zipf {
	z := &Zipf{sums: make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -s)
		z.sums[i] = sum
	}
	return z
}

// Draw gives a rank.
func (z *Zipf) Draw(rng *rand.Rand) int {
	return sort.SearchFloat64s(z.sums, rng.Float64()*z.sums[len(z.sums)-1]) + 1
}

// Burstiness is the coefficient of variation of the gaps between times, 1 for a Poisson process at an even rate, and
// the index of dispersion of counts in windows of a second.
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
