package model

import (
	"testing"

	"granitewing/internal/fleet/gang/pattern"
)

// A gang whose parts have not all started by the deadline ends at the hosts' next call, however late that is. Such a
// delay does not count toward the reported time for which the gang was partly started.
func TestPartlyStartedGangEnds(t *testing.T) {
	const by = 1_000_000
	for name, end := range map[string]int64{"in time": by, "held up for 1.46 s": by + 1_460_000} {
		fabric := NewFabric(Links{Host: 1e9, Rack: 1e9, Zone: 1e9})
		host := NewHost(plainMachine(), nil, nil, 0, false)
		host.SetFabric(fabric)
		one := job(1, 500_000)
		one.Part = &Part{Name: "g", Parts: 2, By: by, Gang: &Gang{Parts: 2, Pattern: pattern.Ring}}
		host.Offer(200_000, one)
		ends := fabric.Advance(end)
		if len(ends) != 1 || ends[0].OK {
			t.Fatalf("%s: %d parts end, want the one that started, as failed", name, len(ends))
		}
		host.Finish(end, ends[0].Attempt, ends[0].OK)
		report := fabric.Report()
		if report.PartlyStarted != 1 || report.LongestHalf != 0.8 || report.LatestEnd != float64(end-by)/1e6 {
			t.Errorf("%s: %+v", name, report)
		}
		if next := fabric.Next(); next != Never {
			t.Errorf("%s: next event at %d, want none", name, next)
		}
	}
}
