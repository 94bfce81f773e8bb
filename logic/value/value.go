// Package value is the value function of the M/D/1 queue with deadlines (DESIGN, value function).
//
// Equation (16) in units of d, with q = (tau-u)/d and s = tau/d, is
//
//	v(u)-v(tau) = G(q) - G'(s) q   for q > 0,   -G'(s) q   for q <= 0,
//
// where G(q) = sum over k<m of (e^-z Σ z^j/j! - 1), z = rho (k-q), depends on rho and q alone. The sum alternates and
// cancels for large rho q; the delay equation that it solves, G' = rho (1 + G(q) - G(q-1)), G = 0 for q <= 0, has no
// growing mode for rho < 1, so stepping it forward is stable. G'(s) equals rho/(1-rho) P(W <= tau), which makes v'(0) = 0.
package value

import "math"

// RhoMax is the utilisation beyond which the queue's horizon is longer than any estimate holds.
const RhoMax = 0.98

const (
	levels      = 50       // utilisation levels of the tables: steps of 0.02 are finer than the estimate
	tableStep   = 1.0 / 32 // of a table in units of d: error of the lerp far under that of u
	tableLength = 48       // length of a table in units of d; beyond it G is linear to many digits
)

// Table holds G for one utilisation at steps of step.
type Table struct {
	rho float64
	g   []float64
}

// tables depends on constants alone; it is never written after the start.
var tables = func() (t [levels]Table) {
	for i := range t {
		t[i] = newTable(RhoMax * float64(i+1) / levels)
	}
	return t
}()

// newTable steps the delay equation by the trapezoid rule of each interval, solved for the new value, on a
// grid four times finer than the one kept.
func newTable(rho float64) Table {
	const fine = 4
	const h = tableStep / fine
	const lag = int(1 / h)
	n := tableLength*lag + 1
	full := make([]float64, n)
	for i := 1; i < n; i++ {
		if i <= lag {
			full[i] = math.Expm1(rho * float64(i) * h)
			continue
		}
		// Exact for G' = rho (1+G-f) with f, the delayed value, linear over the step.
		f0, f1 := full[i-1-lag], full[i-lag]
		e, slope := math.Expm1(rho*h), (f1-f0)/h
		full[i] = full[i-1]*(1+e) + (1-f0)*e - slope*(e/rho-h)
	}
	t := Table{rho: rho, g: make([]float64, tableLength*int(1/tableStep)+1)}
	for i := range t.g {
		t.g[i] = full[i*fine]
	}
	return t
}

// For is the table nearest to a utilisation.
func For(rho float64) *Table {
	i := int(rho/RhoMax*levels+0.5) - 1
	return &tables[min(max(i, 0), levels-1)]
}

// At is G(q).
func (t *Table) At(q float64) float64 {
	if !(q > 0) {
		return 0
	}
	p := q / tableStep
	i := int(p)
	if last := len(t.g) - 1; i >= last {
		return t.g[last] + (q-tableLength)*t.rho/(1-t.rho)
	}
	return t.g[i] + (p-float64(i))*(t.g[i+1]-t.g[i])
}

// Slope is G'(s): the steepness of the value function past its deadline.
func (t *Table) Slope(s float64) float64 {
	if s <= 0 {
		return 0
	}
	return t.rho * (1 + t.At(s) - t.At(s-1))
}
