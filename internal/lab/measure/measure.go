// Package measure keeps what clients met: counts by class and outcome, latencies from the intended send, and worth by
// second. Recorders of several generators merge into one.
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

// Outcome is what became of a job over all its tries.
type Outcome uint8

// The outcomes of a job.
const (
	InTime     Outcome = iota // served within its class's aim
	Late                      // served after it
	Refused                   // the last try was
	Failed                    // the last try was
	Unanswered                // the last try broke, stayed silent or was never sent
	Left                      // the client hung up
)

// Outcomes lists all.
var Outcomes = []Outcome{InTime, Late, Refused, Failed, Unanswered, Left}

var outcomeNames = [...]string{"in-time", "late", "refused", "failed", "unanswered", "left"}

func (o Outcome) String() string { return outcomeNames[o] }

// Sample is one job's end.
type Sample struct {
	Class   int
	At      time.Duration // intended send, from the start
	Latency time.Duration // from there to the final answer
	Outcome Outcome
	Worth   float64
	Tries   int
	Zone    int
}

// Latencies up to ten minutes are kept to three digits over the whole run, and to two digits by second.
const (
	lowest  = 1
	highest = 600_000_000 // microseconds
)

type cell struct {
	class   int
	outcome Outcome
}

type second struct {
	Asked  float64 `json:"asked"`   // worth
	InTime float64 `json:"in_time"` // worth
	Jobs   int     `json:"jobs"`
	counts map[cell]int64
	hist   *hdrhistogram.Histogram
}

// Recorder takes samples. It may be used by several goroutines.
type Recorder struct {
	mu      sync.Mutex
	classes []string
	hists   map[cell]*hdrhistogram.Histogram
	tries   []int64
	worth   []float64 // asked, by class
	inTime  []float64
	seconds []second
}

// NewRecorder makes a recorder for classes.
func NewRecorder(classes []string) *Recorder {
	return &Recorder{classes: classes, hists: map[cell]*hdrhistogram.Histogram{}, tries: make([]int64, len(classes)),
		worth: make([]float64, len(classes)), inTime: make([]float64, len(classes))}
}

// maxSeconds bounds the series of a run: a day.
const maxSeconds = 86_400

// Add takes a sample.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	us := min(max(s.Latency.Microseconds(), lowest), highest)
	k := cell{s.Class, s.Outcome}
	h := r.hists[k]
	if h == nil {
		h = hdrhistogram.New(lowest, highest, 3)
		r.hists[k] = h
	}
	h.RecordValue(us) // within its bounds, so it can't fail
	r.tries[s.Class] += int64(s.Tries)
	r.worth[s.Class] += s.Worth
	i := min(max(int(s.At/time.Second), 0), maxSeconds)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, second{})
	}
	sec := &r.seconds[i]
	if sec.counts == nil {
		sec.counts, sec.hist = map[cell]int64{}, hdrhistogram.New(100, highest, 2)
	}
	sec.counts[k]++
	sec.hist.RecordValue(max(us, 100))
	sec.Jobs++
	sec.Asked += s.Worth
	if s.Outcome == InTime {
		r.inTime[s.Class] += s.Worth
		sec.InTime += s.Worth
	}
}

// Merge adds another recorder of the same classes.
func (r *Recorder) Merge(o *Recorder) error {
	if !slices.Equal(r.classes, o.classes) {
		return fmt.Errorf("classes differ: %v and %v", r.classes, o.classes)
	}
	for k, h := range o.hists {
		if r.hists[k] == nil {
			r.hists[k] = hdrhistogram.New(lowest, highest, 3)
		}
		r.hists[k].Merge(h)
	}
	for i := range r.classes {
		r.tries[i] += o.tries[i]
		r.worth[i] += o.worth[i]
		r.inTime[i] += o.inTime[i]
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
			t.counts, t.hist = map[cell]int64{}, hdrhistogram.New(100, highest, 2)
		}
		for k, n := range s.counts {
			t.counts[k] += n
		}
		t.hist.Merge(s.hist)
		t.Jobs, t.Asked, t.InTime = t.Jobs+s.Jobs, t.Asked+s.Asked, t.InTime+s.InTime
	}
	return nil
}

// Row is a class's figures, or the sum over all. Latencies are of jobs that were served, in time or late.
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
	Service    float64       `json:"service"` // worth served in time by worth asked
	P50        time.Duration `json:"p50_ns"`
	P99        time.Duration `json:"p99_ns"`
	P999       time.Duration `json:"p999_ns"`
	Max        time.Duration `json:"max_ns"`
}

// Rows gives the table: a row a class and one for all.
func (r *Recorder) Rows() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []Row
	all := Row{Class: "all"}
	allServed := hdrhistogram.New(lowest, highest, 3)
	var worth, inTime float64
	for i, name := range r.classes {
		row := Row{Class: name, Tries: r.tries[i]}
		served := hdrhistogram.New(lowest, highest, 3)
		for _, o := range Outcomes {
			h := r.hists[cell{i, o}]
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
		if r.worth[i] > 0 {
			row.Service = r.inTime[i] / r.worth[i]
		}
		worth, inTime, all.Tries = worth+r.worth[i], inTime+r.inTime[i], all.Tries+r.tries[i]
		rows = append(rows, row)
	}
	all.quantiles(allServed)
	if worth > 0 {
		all.Service = inTime / worth
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

// WriteTable writes rows for people.
func WriteTable(w io.Writer, rows []Row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tasked\tin time\tlate\trefused\tfailed\tno answer\tleft\ttries\tservice\tp50\tp99\tp99.9\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t\n", r.Class, r.Asked, r.InTime, r.Late, r.Refused,
			r.Failed, r.Unanswered, r.Left, r.Tries, 100*r.Service, Short(r.P50), Short(r.P99), Short(r.P999))
	}
	t.Flush()
}

// Short writes a duration with three digits.
func Short(d time.Duration) string {
	switch {
	case d >= time.Second:
		return fmt.Sprintf("%.3g s", d.Seconds())
	case d >= time.Millisecond:
		return fmt.Sprintf("%.3g ms", float64(d)/1e6)
	}
	return fmt.Sprintf("%.3g us", float64(d)/1e3)
}

// Point is a second of a run.
type Point struct {
	Second  int           `json:"second"`
	Jobs    int           `json:"jobs"`
	Service float64       `json:"service"` // worth in time by worth asked; 1 where nothing was asked
	P99     time.Duration `json:"p99_ns"`  // of all final answers
}

// Series gives the run by second of the intended send.
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

// Curve gives latencies of served jobs of a class (-1 = all) at percentiles.
func (r *Recorder) Curve(class int, percentiles []float64) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := hdrhistogram.New(lowest, highest, 3)
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

// Classes lists the classes.
func (r *Recorder) Classes() []string { return r.classes }

// kept is a recorder's form in files, from which recorders of several processes are merged.
type kept struct {
	Classes []string     `json:"classes"`
	Hists   []keptHist   `json:"latencies"`
	Tries   []int64      `json:"tries"`
	Worth   []float64    `json:"worth_asked"`
	InTime  []float64    `json:"worth_in_time"`
	Seconds []keptSecond `json:"seconds"`
}

type keptHist struct {
	Class   int     `json:"class"`
	Outcome Outcome `json:"outcome"`
	Data    string  `json:"hdr,omitempty"` // HdrHistogram V2, compressed, base64
	Count   int64   `json:"count"`
}

type keptSecond struct {
	second
	Counts []keptHist `json:"counts,omitempty"`
	Hist   string     `json:"hdr,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (r *Recorder) MarshalJSON() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := kept{Classes: r.classes, Tries: r.tries, Worth: r.worth, InTime: r.inTime}
	for i := range r.classes {
		for _, o := range Outcomes {
			h := r.hists[cell{i, o}]
			if h == nil {
				continue
			}
			data, err := h.EncodeV2()
			if err != nil {
				return nil, err
			}
			k.Hists = append(k.Hists, keptHist{i, o, string(data), h.TotalCount()})
		}
	}
	for _, s := range r.seconds {
		ks := keptSecond{second: s}
		if s.hist != nil {
			data, err := s.hist.EncodeV2()
			if err != nil {
				return nil, err
			}
			ks.Hist = string(data)
			for i := range r.classes {
				for _, o := range Outcomes {
					if n := s.counts[cell{i, o}]; n > 0 {
						ks.Counts = append(ks.Counts, keptHist{Class: i, Outcome: o, Count: n})
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
	var k kept
	if err := json.Unmarshal(text, &k); err != nil {
		return err
	}
	n := len(k.Classes)
	if len(k.Tries) != n || len(k.Worth) != n || len(k.InTime) != n || len(k.Seconds) > maxSeconds+1 {
		return fmt.Errorf("a recorder of %d classes has figures of another number", n)
	}
	decode := func(data string) (*hdrhistogram.Histogram, error) { return hdrhistogram.Decode([]byte(data)) }
	good := func(h keptHist) bool { return h.Class >= 0 && h.Class < n && int(h.Outcome) < len(Outcomes) }
	*r = *NewRecorder(k.Classes)
	r.tries, r.worth, r.inTime = k.Tries, k.Worth, k.InTime
	for _, kh := range k.Hists {
		h, err := decode(kh.Data)
		if err != nil || !good(kh) {
			return fmt.Errorf("latencies of class %d: %v", kh.Class, err)
		}
		r.hists[cell{kh.Class, kh.Outcome}] = h
	}
	for _, ks := range k.Seconds {
		s := ks.second
		if ks.Hist != "" {
			h, err := decode(ks.Hist)
			if err != nil {
				return fmt.Errorf("second %d: %v", len(r.seconds), err)
			}
			s.hist, s.counts = h, map[cell]int64{}
			for _, c := range ks.Counts {
				if !good(c) {
					return fmt.Errorf("second %d: a count of class %d", len(r.seconds), c.Class)
				}
				s.counts[cell{c.Class, c.Outcome}] = c.Count
			}
		}
		r.seconds = append(r.seconds, s)
	}
	return nil
}

// Verdict is what a generator says of itself.
type Verdict struct {
	Valid  bool     `json:"valid"`
	Causes []string `json:"causes,omitempty"`
	LagP50 float64  `json:"send_lag_p50_ms"`
	LagP99 float64  `json:"send_lag_p99_ms"`
	LagMax float64  `json:"send_lag_max_ms"`
	CPU    float64  `json:"cpu_share"` // of the machine's cores
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
