package model

import (
	"testing"

	"granitewing/internal/fleet/gang/pattern"
)

// A gang that has not begun whole in time is ended when the hosts next look, however late that is, and the time for which it stood half begun is
// told without what they came late by.
func TestHalfGangEnds(t *testing.T) {
	const by = 1_000_000
	for name, look := range map[string]int64{"in time": by, "held up for 1.46 s": by + 1_460_000} {
		fabric := NewFabric(Links{Host: 1e9, Rack: 1e9, Zone: 1e9})
		host := NewHost(plain(), nil, nil, 0, false)
		host.Exchange(fabric)
		one := job(1, 500_000)
		one.Part = &Part{Name: "g", Parts: 2, By: by, Gang: &Gang{Parts: 2, Pattern: pattern.Ring}}
		host.Offer(200_000, one)
		ends := fabric.Advance(look)
		if len(ends) != 1 || ends[0].OK {
			t.Fatalf("%s: %d parts end, want the one that waits, as failed", name, len(ends))
		}
		host.Finish(look, ends[0].Attempt, ends[0].OK)
		report := fabric.Report()
		if report.Half != 1 || report.LongestHalf != 0.8 || report.LatestEnd != float64(look-by)/1e6 {
			t.Errorf("%s: %+v", name, report)
		}
		if next := fabric.Next(); next != Never {
			t.Errorf("%s: something is due at %d, want nothing", name, next)
		}
	}
}
