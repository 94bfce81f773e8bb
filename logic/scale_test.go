package logic

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkDecisionBySize measures the time and allocations of a job from its arrival to its end, by the number of
// servers in the list, with 30 schedulers in the fleet. B/server is the memory that a scheduler holds per server.
func BenchmarkDecisionBySize(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3200, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			c := testConfig()
			c.Schedulers = 30
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s, err := New(c, 7)
			if err != nil {
				b.Fatal(err)
			}
			s.Workers(t0, ListFull, readyWorkers(n), nil)
			runtime.GC()
			runtime.ReadMemStats(&after)
			now, acts := t0, make([]Action, 0, 8)
			b.ReportAllocs()
			for i := range b.N {
				now += 10_000
				id := JobID(i + 1)
				acts = s.Arrive(now, Job{ID: id, Hint: 100_000, Deadline: now + 3_000_000}, acts[:0])
				for _, to := range sends(acts) {
					s.Started(now+1000, id, 0, nil)
					s.Outcome(now+5000, Outcome{Job: id, Worker: to, Elapsed: 5000}, nil)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/float64(n), "B/server")
		})
	}
}
