// Package measure records the results that clients observe: counts by class and outcome, latencies from the
// intended send time, and the value served by second. Generators add a Sample per job to a Recorder; recorders of
// several generators or processes can be merged.
package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the final outcome of a job over all its tries.
type Outcome uint8

// The outcomes of a job.
const (
	InTime     Outcome = iota // served within the target of its class
	Late                      // served after the target
	Refused                   // the last try was refused
	Failed                    // the last try failed
	Unanswered                // the last try broke, got no answer or was never sent
	Left                      // the client disconnected
)

// Outcomes lists all outcomes.
var Outcomes = []Outcome{InTime, Late, Refused, Failed, Unanswered, Left}

var outcomeNames = [...]string{"in-time", "late", "refused", "failed", "unanswered", "left"}

func (o Outcome) String() string { return outcomeNames[o] }

// Sample is the result of one job.
type Sample struct {
	Class   int
	At      time.Duration // intended send time, from the start of the run
	Latency time.Duration // from the intended send time to the final answer
	Outcome Outcome
	Worth   float64
	Tries   int
	Zone    int
}

// Range of recorded latencies: up to ten minutes, with three significant digits over the whole run and two per
// second.
const (
	minLatency = 1
	maxLatency = 600_000_000 // microseconds
)

type classOutcome struct {
	class   int
	outcome Outcome
}

type second struct {
	Asked  float64 `json:"asked"`   // value of all jobs
	InTime float64 `json:"in_time"` // value of the jobs served in time
	Jobs   int     `json:"jobs"`
	counts map[classOutcome]int64
	hist   *hdrhistogram.Histogram
}

// Recorder collects samples. It is safe for concurrent use.
type Recorder struct {
	mu             sync.Mutex
	classes        []string
	hists          map[classOutcome]*hdrhistogram.Histogram
	tries          []int64
	requestedValue []float64 // by class
	inTimeValue    []float64
	seconds        []second
}

// NewRecorder returns a recorder for the given classes.
func NewRecorder(classes []string) *Recorder {
	return &Recorder{classes: classes, hists: map[classOutcome]*hdrhistogram.Histogram{}, tries: make([]int64, len(classes)),
		requestedValue: make([]float64, len(classes)), inTimeValue: make([]float64, len(classes))}
}

// maxSeconds bounds the series of a run to one day.
const maxSeconds = 86_400

// Add records a sample. Latencies outside the recorded range are clipped to it.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	us := min(max(s.Latency.Microseconds(), minLatency), maxLatency)
	k := classOutcome{s.Class, s.Outcome}
	h := r.hists[k]
	if h == nil {
		h = hdrhistogram.New(minLatency, maxLatency, 3)
		r.hists[k] = h
	}
	h.RecordValue(us) // the value is within the bounds, so this can't fail
	r.tries[s.Class] += int64(s.Tries)
	r.requestedValue[s.Class] += s.Worth
	i := min(max(int(s.At/time.Second), 0), maxSeconds)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, second{})
	}
	sec := &r.seconds[i]
	if sec.counts == nil {
		sec.counts, sec.hist = map[classOutcome]int64{}, hdrhistogram.New(100, maxLatency, 2)
	}
	sec.counts[k]++
	sec.hist.RecordValue(max(us, 100))
	sec.Jobs++
	sec.Asked += s.Worth
	if s.Outcome == InTime {
		r.inTimeValue[s.Class] += s.Worth
		sec.InTime += s.Worth
	}
}

// Merge adds the samples of another recorder. It returns an error if the classes differ. The caller must ensure
// that o is not in use.
func (r *Recorder) Merge(o *Recorder) error {
	if !slices.Equal(r.classes, o.classes) {
		return fmt.Errorf("classes differ: %v and %v", r.classes, o.classes)
	}
	for k, h := range o.hists {
		if r.hists[k] == nil {
			r.hists[k] = hdrhistogram.New(minLatency, maxLatency, 3)
		}
		r.hists[k].Merge(h)
	}
	for i := range r.classes {
		r.tries[i] += o.tries[i]
		r.requestedValue[i] += o.requestedValue[i]
		r.inTimeValue[i] += o.inTimeValue[i]
	}
	for i, s := range o.seconds {
		for len(r.seconds) <= i {
			r.seconds = append(r.seconds, second{})
		}
		if s.hist == nil {
			continue
		}
		t := &r.seconds[i]
		if t.counts == nil {
			t.counts, t.hist = map[classOutcome]int64{}, hdrhistogram.New(100, maxLatency, 2)
		}
		for k, n := range s.counts {
			t.counts[k] += n
		}
		t.hist.Merge(s.hist)
		t.Jobs, t.Asked, t.InTime = t.Jobs+s.Jobs, t.Asked+s.Asked, t.InTime+s.InTime
	}
	return nil
}

// Row holds the figures of a class, or the total. Latencies are those of served jobs, in time or late.
type Row struct {
	Class      string        `json:"class"`
	Asked      int64         `json:"asked"`
	InTime     int64         `json:"in_time"`
	Late       int64         `json:"late"`
	Refused    int64         `json:"refused"`
	Failed     int64         `json:"failed"`
	Unanswered int64         `json:"unanswered"`
	Left       int64         `json:"left"`
	Tries      int64         `json:"tries"`
	Service    float64       `json:"service"` // value served in time divided by value requested
	P50        time.Duration `json:"p50_ns"`
	P99        time.Duration `json:"p99_ns"`
	P999       time.Duration `json:"p999_ns"`
	Max        time.Duration `json:"max_ns"`
}

// Rows returns one row per class, followed by the total.
func (r *Recorder) Rows() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []Row
	all := Row{Class: "all"}
	allServed := hdrhistogram.New(minLatency, maxLatency, 3)
	var requested, inTime float64
	for i, name := range r.classes {
		row := Row{Class: name, Tries: r.tries[i]}
		served := hdrhistogram.New(minLatency, maxLatency, 3)
		for _, o := range Outcomes {
			h := r.hists[classOutcome{i, o}]
			if h == nil {
				continue
			}
			row.add(o, h.TotalCount())
			all.add(o, h.TotalCount())
			if o == InTime || o == Late {
				served.Merge(h)
			}
		}
		row.quantiles(served)
		allServed.Merge(served)
		if r.requestedValue[i] > 0 {
			row.Service = r.inTimeValue[i] / r.requestedValue[i]
		}
		requested, inTime, all.Tries = requested+r.requestedValue[i], inTime+r.inTimeValue[i], all.Tries+r.tries[i]
		rows = append(rows, row)
	}
	all.quantiles(allServed)
	if requested > 0 {
		all.Service = inTime / requested
	}
	return append(rows, all)
}

func (r *Row) add(o Outcome, n int64) {
	r.Asked += n
	*[]*int64{&r.InTime, &r.Late, &r.Refused, &r.Failed, &r.Unanswered, &r.Left}[o] += n
}

func (r *Row) quantiles(h *hdrhistogram.Histogram) {
	us := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	r.P50, r.P99, r.P999 = us(50), us(99), us(99.9)
	r.Max = time.Duration(h.Max()) * time.Microsecond
}

// WriteTable writes rows as a text table.
func WriteTable(w io.Writer, rows []Row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tasked\tin time\tlate\trefused\tfailed\tno answer\tleft\ttries\tservice\tp50\tp99\tp99.9\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t\n", r.Class, r.Asked, r.InTime, r.Late, r.Refused,
			r.Failed, r.Unanswered, r.Left, r.Tries, 100*r.Service, Short(r.P50), Short(r.P99), Short(r.P999))
	}
	t.Flush()
}

// Short formats a duration with three significant digits.
func Short(d time.Duration) string {
	switch {
	case d >= time.Second:
		return fmt.Sprintf("%.3g s", d.Seconds())
	case d >= time.Millisecond:
		return fmt.Sprintf("%.3g ms", float64(d)/1e6)
	}
	return fmt.Sprintf("%.3g us", float64(d)/1e3)
}

// Point holds the figures of one second of a run.
type Point struct {
	Second  int           `json:"second"`
	Jobs    int           `json:"jobs"`
	Service float64       `json:"service"` // value served in time divided by value requested; 1 if nothing was requested
	P99     time.Duration `json:"p99_ns"`  // of all final answers
}

// Series returns the figures of the run by second of the intended send time.
func (r *Recorder) Series() []Point {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Point, len(r.seconds))
	for i, s := range r.seconds {
		out[i] = Point{Second: i, Jobs: s.Jobs, Service: 1}
		if s.Asked > 0 {
			out[i].Service = s.InTime / s.Asked
		}
		if s.hist != nil {
			out[i].P99 = time.Duration(s.hist.ValueAtQuantile(99)) * time.Microsecond
		}
	}
	return out
}

// Curve returns the latencies of the served jobs of a class (-1 = all classes) at the given percentiles (0 to
// 100).
func (r *Recorder) Curve(class int, percentiles []float64) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := hdrhistogram.New(minLatency, maxLatency, 3)
	for k, part := range r.hists {
		if (class < 0 || k.class == class) && k.outcome <= Late {
			h.Merge(part)
		}
	}
	out := make([]time.Duration, len(percentiles))
	for i, p := range percentiles {
		out[i] = time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
	}
	return out
}

// Classes returns the names of the classes.
func (r *Recorder) Classes() []string { return r.classes }

// recorderJSON is the file format of a recorder; it allows to merge recorders of several processes.
type recorderJSON struct {
	Classes []string        `json:"classes"`
	Hists   []histogramJSON `json:"latencies"`
	Tries   []int64         `json:"tries"`
	Worth   []float64       `json:"worth_asked"`
	InTime  []float64       `json:"worth_in_time"`
	Seconds []secondJSON    `json:"seconds"`
}

type histogramJSON struct {
	Class   int     `json:"class"`
	Outcome Outcome `json:"outcome"`
	Data    string  `json:"hdr,omitempty"` // HdrHistogram V2, compressed, base64
	Count   int64   `json:"count"`
}

type secondJSON struct {
	second
	Counts []histogramJSON `json:"counts,omitempty"`
	Hist   string          `json:"hdr,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (r *Recorder) MarshalJSON() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := recorderJSON{Classes: r.classes, Tries: r.tries, Worth: r.requestedValue, InTime: r.inTimeValue}
	for i := range r.classes {
		for _, o := range Outcomes {
			h := r.hists[classOutcome{i, o}]
			if h == nil {
				continue
			}
			data, err := h.EncodeV2()
			if err != nil {
				return nil, err
			}
			k.Hists = append(k.Hists, histogramJSON{i, o, string(data), h.TotalCount()})
		}
	}
	for _, s := range r.seconds {
		ks := secondJSON{second: s}
		if s.hist != nil {
			data, err := s.hist.EncodeV2()
			if err != nil {
				return nil, err
			}
			ks.Hist = string(data)
			for i := range r.classes {
				for _, o := range Outcomes {
					if n := s.counts[classOutcome{i, o}]; n > 0 {
						ks.Counts = append(ks.Counts, histogramJSON{Class: i, Outcome: o, Count: n})
					}
				}
			}
		}
		k.Seconds = append(k.Seconds, ks)
	}
	return json.Marshal(k)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Recorder) UnmarshalJSON(text []byte) error {
	var k recorderJSON
	if err := json.Unmarshal(text, &k); err != nil {
		return err
	}
	n := len(k.Classes)
	if len(k.Tries) != n || len(k.Worth) != n || len(k.InTime) != n || len(k.Seconds) > maxSeconds+1 {
		return fmt.Errorf("recorder with %d classes: series of a different length, or too many seconds", n)
	}
	decode := func(data string) (*hdrhistogram.Histogram, error) { return hdrhistogram.Decode([]byte(data)) }
	valid := func(h histogramJSON) bool { return h.Class >= 0 && h.Class < n && int(h.Outcome) < len(Outcomes) }
	*r = *NewRecorder(k.Classes)
	r.tries, r.requestedValue, r.inTimeValue = k.Tries, k.Worth, k.InTime
	for _, kh := range k.Hists {
		h, err := decode(kh.Data)
		if err != nil || !valid(kh) {
			return fmt.Errorf("latencies of class %d: %v", kh.Class, err)
		}
		r.hists[classOutcome{kh.Class, kh.Outcome}] = h
	}
	for _, ks := range k.Seconds {
		s := ks.second
		if ks.Hist != "" {
			h, err := decode(ks.Hist)
			if err != nil {
				return fmt.Errorf("second %d: %v", len(r.seconds), err)
			}
			s.hist, s.counts = h, map[classOutcome]int64{}
			for _, c := range ks.Counts {
				if !valid(c) {
					return fmt.Errorf("second %d: count with invalid class %d or outcome", len(r.seconds), c.Class)
				}
				s.counts[classOutcome{c.Class, c.Outcome}] = c.Count
			}
		}
		r.seconds = append(r.seconds, s)
	}
	return nil
}

// Verdict is a load generator's own assessment of its run.
type Verdict struct {
	Valid  bool     `json:"valid"`
	Causes []string `json:"causes,omitempty"`
	LagP50 float64  `json:"send_lag_p50_ms"`
	LagP99 float64  `json:"send_lag_p99_ms"`
	LagMax float64  `json:"send_lag_max_ms"`
	CPU    float64  `json:"cpu_share"` // share of the machine's cores, 0 to 1
	Sched  float64  `json:"scheduling_p99_ms"`
	Open   int      `json:"connections_most"`
	Unsent int      `json:"unsent"`
}

func (v Verdict) String() string {
	s := fmt.Sprintf("generator: send lag p50 %.2f ms, p99 %.2f ms, max %.2f ms; CPU %.0f%% of the machine; scheduling p99 %.2f ms; %d connections at most",
		v.LagP50, v.LagP99, v.LagMax, 100*v.CPU, v.Sched, v.Open)
	if v.Valid {
		return s + "; valid"
	}
	return s + "\nINVALID RUN: " + strings.Join(v.Causes, "; ")
}
