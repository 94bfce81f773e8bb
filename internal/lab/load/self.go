package load

import (
	"math"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// selfMonitor measures how much of the machine the generator's own process uses.
type selfMonitor struct {
	started     time.Time
	cpu         time.Duration
	schedCounts []uint64
}

const schedMetric = "/sched/latencies:seconds"

func startSelfMonitor() *selfMonitor {
	s := &selfMonitor{started: time.Now(), cpu: cpuTime()}
	if h := schedLatencies(); h != nil {
		s.schedCounts = append(s.schedCounts, h.Counts...)
	}
	return s
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func schedLatencies() *metrics.Float64Histogram {
	sample := []metrics.Sample{{Name: schedMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return nil
	}
	return sample[0].Value.Float64Histogram()
}

// usage returns the share of all cores' time that the process has used since it was started to be monitored, and the
// 99th percentile of the time that runnable goroutines waited for a CPU, in milliseconds.
func (s *selfMonitor) usage() (cpu, sched float64) {
	elapsed := time.Since(s.started)
	cpu = (cpuTime() - s.cpu).Seconds() / max(elapsed.Seconds(), 1e-3) / float64(runtime.NumCPU())
	h := schedLatencies()
	if h == nil {
		return cpu, 0
	}
	var total uint64
	counts := make([]uint64, len(h.Counts))
	for i := range h.Counts {
		counts[i] = h.Counts[i]
		if i < len(s.schedCounts) {
			counts[i] -= s.schedCounts[i]
		}
		total += counts[i]
	}
	var below uint64
	for i, n := range counts {
		if below += n; total > 0 && below*100 >= total*99 {
			// The bucket's upper bound, unless that is infinite.
			if b := h.Buckets[i+1]; !math.IsInf(b, 1) {
				return cpu, b * 1000
			}
			return cpu, h.Buckets[i] * 1000
		}
	}
	return cpu, 0
}
