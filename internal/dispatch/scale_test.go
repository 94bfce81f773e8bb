package dispatch

import (
	"fmt"
	"runtime"
	"testing"

	"granitewing/logic"
)

// BenchmarkListBySize measures the cost of a change of one server, and of a whole list, by the number of listed
// servers.
func BenchmarkListBySize(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3200} {
		hosts := make([]Host, n)
		for i := range hosts {
			hosts[i] = Host{Name: fmt.Sprintf("s-%06x", i), Addr: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Phase: logic.Ready, Weight: 1}
		}
		for _, kind := range []struct {
			name string
			how  logic.ListKind
			list []Host
		}{{"change", logic.ListDelta, hosts[:1]}, {"whole", logic.ListFull, hosts}} {
			b.Run(fmt.Sprintf("%s/servers=%d", kind.name, n), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c, err := New(testConfig(), 7)
				if err != nil {
					b.Fatal(err)
				}
				c.Inventory(1, logic.ListFull, hosts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					c.Inventory(int64(i+2), kind.how, kind.list)
				}
				b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/float64(n), "B/server")
			})
		}
	}
}

// BenchmarkOpenRequest measures the memory that a waiting request holds in the core and the decision module.
func BenchmarkOpenRequest(b *testing.B) {
	const open = 100_000
	for range b.N {
		cfg := testConfig()
		cfg.MaxOpen = 0
		c, err := New(cfg, 7)
		if err != nil {
			b.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range open {
			c.Arrive(1, Message{Name: fmt.Sprintf("%016x", i)}, 60_000_000)
		}
		if c.Open() != open {
			b.Fatalf("%d of %d are open", c.Open(), open)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/open, "B/request")
		runtime.KeepAlive(c)
	}
}
