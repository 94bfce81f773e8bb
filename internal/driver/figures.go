package driver

import (
	"bytes"
	"strings"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"granitewing/logic"
)

// figures are what the door's `counters` tells. The owner counts where things happen; the door reads at any time,
// so all of it is atomic and nothing of it waits for the owner.
type figures struct {
	set                           *metrics.Set
	success, overload, failed     []*metrics.Counter // by class
	dispatches                    *metrics.Counter   // attempts whose request was written whole
	concurrent, targets, disabled atomic.Int64
	more                          atomic.Pointer[[]byte] // of the fleet, as last written; nil where nothing is shared
}

var labelValue = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func newFigures(classes []logic.Class) *figures {
	f := &figures{set: metrics.NewSet()}
	for _, k := range classes {
		label := `{type="` + labelValue.Replace(k.Name) + `"}`
		f.success = append(f.success, f.set.NewCounter("router_success_total"+label))
		f.overload = append(f.overload, f.set.NewCounter("router_overload_total"+label))
		f.failed = append(f.failed, f.set.NewCounter("router_error_total"+label))
	}
	f.dispatches = f.set.NewCounter("router_dispatches_total")
	for name, v := range map[string]*atomic.Int64{
		"router_concurrent": &f.concurrent, "router_targets": &f.targets, "router_targets_disabled": &f.disabled,
	} {
		f.set.NewGauge(name, func() float64 { return float64(v.Load()) })
	}
	return f
}

// answered counts the final answer of a request of a class by the status that its client is given.
func (f *figures) answered(class, status int) {
	if class < 0 || class >= len(f.success) {
		return
	}
	switch {
	case status == 200:
		f.success[class].Inc()
	case status == 503:
		f.overload[class].Inc()
	default:
		f.failed[class].Inc()
	}
}

// text gives all figures in the Prometheus text format.
func (f *figures) text() []byte {
	var b bytes.Buffer
	f.set.WritePrometheus(&b)
	if more := f.more.Load(); more != nil {
		b.Write(*more)
	}
	return b.Bytes()
}
