// Package value computes the value function of the M/D/1 queue with deadlines: Poisson arrivals at utilisation rho,
// a constant service time d, and a cost for each job whose wait exceeds tau.
//
// The value v(u) of a backlog u is the expected extra cost over all time of starting with it. Equation (16) of a
// paper on the admission cost of deadline violations in the M/D/1 queue gives it relative to a backlog of tau, in units
// of d with q = (tau-u)/d and s = tau/d:
//
//	v(u)-v(tau) = G(q) - G'(s) q   for q > 0,   -G'(s) q   for q <= 0,
//
// where G(q) = sum over 0<=k<m of (e^-z Σ z^j/j! - 1) depends on rho and q alone; z = rho (k-q), m = ceil(q)
// and j runs from 0 to k. The sum alternates and
// cancels for large rho q. G also solves the delay equation G' = rho (1 + G(q) - G(q-1)) with G = 0 for q <= 0, which
// has no growing mode for rho < 1, so stepping it forward is numerically stable. G'(s) equals
// rho/(1-rho) P(W <= tau), which makes v'(0) = 0.
//
// For returns the precomputed Table for a utilisation; Table.At evaluates G and Table.Slope its derivative.
package value

import "math"

// RhoMax is the highest utilisation with a table. Beyond it the queue's horizon is longer than any estimate stays valid.
const RhoMax = 0.98

const (
	levels      = 50       // number of utilisation levels: steps of 0.02 are finer than the estimate of the utilisation
	tableStep   = 1.0 / 32 // table resolution in units of d: the interpolation error is far below the error of u
	tableLength = 48       // table length in units of d; beyond it G is linear to many digits
)

// Table holds G for one utilisation, sampled at intervals of tableStep.
type Table struct {
	rho float64
	g   []float64
}

// tables holds the tables of all levels. It is computed at program start and never written afterwards.
var tables = func() (t [levels]Table) {
	for i := range t {
		t[i] = newTable(RhoMax * float64(i+1) / levels)
	}
	return t
}()

// newTable integrates the delay equation on a grid four times finer than the one kept. Each step solves the
// equation for a delayed value that is linear over the step.
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

// For returns the table whose utilisation is nearest to rho; rho is limited to the range of the tables.
func For(rho float64) *Table {
	i := int(rho/RhoMax*levels+0.5) - 1
	return &tables[min(max(i, 0), levels-1)]
}

// At returns G(q), by linear interpolation; 0 for q <= 0.
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

// Slope returns G'(s), the steepness of the value function past the deadline; 0 for s <= 0.
func (t *Table) Slope(s float64) float64 {
	if s <= 0 {
		return 0
	}
	return t.rho * (1 + t.At(s) - t.At(s-1))
}
