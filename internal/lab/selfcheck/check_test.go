package selfcheck

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Expected latencies and their quantiles of a small schedule, computed by hand.
func TestExpected(t *testing.T) {
	ms := time.Millisecond
	got := Expected([]time.Duration{0, 100 * ms, 200 * ms, 300 * ms, 400 * ms}, 100*ms, 300*ms)
	if diff := cmp.Diff([]time.Duration{0, 0, 0, 100 * ms, 200 * ms}, got); diff != "" {
		t.Error(diff)
	}
	for q, want := range map[float64]time.Duration{50: 0, 60: 0, 61: 100 * ms, 80: 100 * ms, 81: 200 * ms, 100: 200 * ms, 0: 0} {
		if v := Quantile(got, q); v != want {
			t.Errorf("p%g is %v, want %v", q, v, want)
		}
	}
	if Quantile(nil, 50) != 0 {
		t.Error("the quantile of no values is not 0")
	}
}
