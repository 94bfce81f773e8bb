package logic

import "math"

// valueTable holds G for one utilisation at steps of gridStep.
type valueTable struct {
	rho float64
	g   []float64
}

// tables depends on constants alone; it is never written after the start.
var tables = buildTables()

func buildTables() (t [rhoLevels]valueTable) {
	for i := range t {
		t[i] = newTable(rhoMax * float64(i+1) / rhoLevels)
	}
	return t
}

// newTable steps the delay equation by the trapezoid rule of each interval, solved for the new value, on a
// grid four times finer than the one kept.
func newTable(rho float64) valueTable {
	const fine = 4
	const h = gridStep / fine
	const lag = int(1 / h)
	n := gridSpan*lag + 1
	full := make([]float64, n)
	for i := 1; i < n; i++ {
		switch {
		case i <= lag:
			full[i] = math.Expm1(rho * float64(i) * h)
		default:
			// Exact for G' = rho (1+G-f) with f, the delayed value, linear over the step.
			f0, f1 := full[i-1-lag], full[i-lag]
			e, slope := math.Expm1(rho*h), (f1-f0)/h
			full[i] = full[i-1]*(1+e) + (1-f0)*e - slope*(e/rho-h)
		}
	}
	t := valueTable{rho: rho, g: make([]float64, gridSpan*int(1/gridStep)+1)}
	for i := range t.g {
		t.g[i] = full[i*fine]
	}
	return t
}
