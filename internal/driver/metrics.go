package driver

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"granitewing/logic"
)

// metrics are the values behind the admin endpoint's `counters` call. The owner updates them and the admin endpoint
// reads them at any time, so all values are atomic and reading never waits for the owner. No metrics library is used:
// the usual ones link an HTTP client and TLS into this program, 3.6 MB of resident memory, for a few lines of code.
type metrics struct {
	sorted                        []metric        // sorted by name
	success, overload, failed     []*atomic.Int64 // by class
	dispatches                    *atomic.Int64   // attempts whose request was written completely
	concurrent, targets, disabled *atomic.Int64
	fleetText                     atomic.Pointer[[]byte] // metrics of the fleet as last rendered; nil if the dispatcher is in no fleet
}

// metric is one value with its name and labels.
type metric struct {
	name  string
	value *atomic.Int64
}

var labelValue = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func newMetrics(classes []logic.Class) *metrics {
	f := &metrics{}
	for _, k := range classes {
		label := `{type="` + labelValue.Replace(k.Name) + `"}`
		f.success = append(f.success, f.add("router_success_total"+label))
		f.overload = append(f.overload, f.add("router_overload_total"+label))
		f.failed = append(f.failed, f.add("router_error_total"+label))
	}
	f.dispatches = f.add("router_dispatches_total")
	f.concurrent = f.add("router_concurrent")
	f.targets = f.add("router_targets")
	f.disabled = f.add("router_targets_disabled")
	slices.SortStableFunc(f.sorted, func(a, b metric) int { return strings.Compare(a.name, b.name) })
	return f
}

// add registers a new value under a name.
func (f *metrics) add(name string) *atomic.Int64 {
	value := new(atomic.Int64)
	f.sorted = append(f.sorted, metric{name, value})
	return value
}

// countAnswer counts the final answer to a request by its class and HTTP status.
func (f *metrics) countAnswer(class, status int) {
	if class < 0 || class >= len(f.success) {
		return
	}
	switch {
	case status == 200:
		f.success[class].Add(1)
	case status == 503:
		f.overload[class].Add(1)
	default:
		f.failed[class].Add(1)
	}
}

// text renders all metrics in the Prometheus text format.
func (f *metrics) text() []byte {
	var b bytes.Buffer
	for _, v := range f.sorted {
		fmt.Fprintf(&b, "%s %d\n", v.name, v.value.Load())
	}
	if more := f.fleetText.Load(); more != nil {
		b.Write(*more)
	}
	return b.Bytes()
}
