package experiment

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// The interval and the sign-flip test agree with the formulas evaluated by hand for these five differences.
func TestCompare(t *testing.T) {
	a := []float64{0.50, 0.60, 0.70, 0.80, 0.90}
	b := []float64{0.52, 0.61, 0.73, 0.84, 0.90}
	c, ok := Compare(a, b, false)
	// mean 0.02, standard deviation 0.0158114, t(4, 97.5%) = 2.776445
	half := 2.776445 * 0.0158114 / math.Sqrt(5)
	if !ok || math.Abs(c.Mean-0.02) > 1e-9 || math.Abs(c.Lo-(0.02-half)) > 1e-6 || math.Abs(c.Hi-(0.02+half)) > 1e-6 {
		t.Errorf("%+v; want 0.02 with half an interval of %.6f", c, half)
	}
	// Of the 32 sign combinations, only those that give all four nonzero differences the same sign reach the sum; the
	// fifth difference is zero.
	if math.Abs(c.SignFlipP-4.0/32) > 1e-12 || c.MinP != 1.0/16 {
		t.Errorf("sign-flip %.4f (least %.4f), want 0.125", c.SignFlipP, c.MinP)
	}
	r, ok := Compare([]float64{1, 2, 4}, []float64{2, 4, 8}, true)
	if !ok || math.Abs(r.Mean-1) > 1e-9 || math.Abs(r.Median-1) > 1e-9 {
		t.Errorf("doubled values compare as %+v", r)
	}
	for _, bad := range [][2][]float64{{{1}, {2}}, {{1, 2}, {1}}} {
		if _, ok := Compare(bad[0], bad[1], false); ok {
			t.Errorf("%v was compared", bad)
		}
	}
	if _, ok := Compare([]float64{1, 0}, []float64{1, 1}, true); ok {
		t.Error("a ratio to zero was compared")
	}
}

// About one in twenty comparisons of equal variants is judged a difference. With a true difference of four standard
// errors, nearly all are.
func TestIntervalErrorRates(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	count := func(shift float64) int {
		n := 0
		for range 2000 {
			var a, b []float64
			for range 8 {
				day := rng.NormFloat64()
				a, b = append(a, day+0.1*rng.NormFloat64()), append(b, day+0.1*rng.NormFloat64()+shift)
			}
			c, _ := Compare(a, b, false)
			if c.setVerdict(0); !strings.Contains(c.Verdict, "noise") {
				n++
			}
		}
		return n
	}
	if n := count(0); n < 60 || n > 145 {
		t.Errorf("%d of 2000 comparisons of equals found a difference, want about 100", n)
	}
	if n := count(0.2); n < 1700 {
		t.Errorf("%d of 2000 differences were found, want at least 1700", n)
	}
}

// Two variants count as the same only if the whole confidence interval lies within the margin.
func TestMargin(t *testing.T) {
	c := Comparison{Mean: 0.002, Lo: -0.004, Hi: 0.008}
	if c.setVerdict(0.01); c.Verdict != "the same within 1 points" {
		t.Error(c.Verdict)
	}
	if c.setVerdict(0.005); c.Verdict != "can't be told from noise" {
		t.Error(c.Verdict)
	}
}
