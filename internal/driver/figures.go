package driver

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"granitewing/logic"
)

// figures are what the door's `counters` tells. The owner counts where things happen; the door reads at any time,
// so all of it is atomic and nothing of it waits for the owner. They are written here and not by a metrics library:
// those bring an HTTP client and TLS into this program, 3.6 MB of its resident memory, for what takes a few lines.
type figures struct {
	named                         []figure        // sorted by name
	success, overload, failed     []*atomic.Int64 // by class
	dispatches                    *atomic.Int64   // attempts whose request was written whole
	concurrent, targets, disabled *atomic.Int64
	more                          atomic.Pointer[[]byte] // of the fleet, as last written; nil where nothing is shared
}

// figure is one value with its name and labels.
type figure struct {
	name  string
	value *atomic.Int64
}

var labelValue = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func newFigures(classes []logic.Class) *figures {
	f := &figures{}
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
	slices.SortStableFunc(f.named, func(a, b figure) int { return strings.Compare(a.name, b.name) })
	return f
}

// add gives a new figure its name.
func (f *figures) add(name string) *atomic.Int64 {
	value := new(atomic.Int64)
	f.named = append(f.named, figure{name, value})
	return value
}

// answered counts the final answer of a request of a class by the status that its client is given.
func (f *figures) answered(class, status int) {
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

// text gives all figures in the Prometheus text format.
func (f *figures) text() []byte {
	var b bytes.Buffer
	for _, v := range f.named {
		fmt.Fprintf(&b, "%s %d\n", v.name, v.value.Load())
	}
	if more := f.more.Load(); more != nil {
		b.Write(*more)
	}
	return b.Bytes()
}
