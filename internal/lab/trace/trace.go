// Package trace reads recorded traces of jobs and scales them. Recorded traces may be unsorted, have gaps and
// repeated lines, and come from clocks that were set back; an import corrects what it can and reports its
// Findings. Scaling preserves the mix of classes and the burstiness.
//
// ReadFile, ReadCSV and ReadJSON return a Trace. Gaps and Scale return modified copies, Summary returns the
// properties to compare, and Write writes CSV.
package trace

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"granitewing/internal/lab/arrivals"
)

// maxEntries bounds the number of entries of a trace, which is held in memory.
const maxEntries = 10_000_000

// Entry is one job of a trace; fields that were not recorded are empty.
type Entry struct {
	At       time.Duration // time since the first entry
	Class    string
	Work     time.Duration // on one core of speed 1
	Key      string
	Zone     string
	Deadline time.Duration // time that the client declared it would wait
}

// Trace is a recorded trace, sorted by time.
type Trace struct {
	Entries []Entry
	Found   Findings
}

// Findings counts the defects that an import corrected or rejected.
type Findings struct {
	Lines    int      // lines that contain an entry
	Unsorted int      // entries that came after a later one; sorted
	Steps    int      // times the clock went back by more than a second; later times are kept as recorded
	Repeated int      // entries identical to another one with the same time; dropped
	Bad      int      // unreadable lines; dropped
	First    string   // the first unreadable line, with its number
	Missing  []string // columns that the trace does not have
}

func (f Findings) String() string {
	s := fmt.Sprintf("%d lines, %d unsorted, %d steps back, %d repeated, %d unreadable", f.Lines, f.Unsorted, f.Steps, f.Repeated, f.Bad)
	if f.First != "" {
		s += " (first: " + f.First + ")"
	}
	if len(f.Missing) > 0 {
		s += "; without " + strings.Join(f.Missing, ", ")
	}
	return s
}

// columns are the names of an entry's fields in files; only time is required.
var columns = []string{"time", "class", "work", "key", "zone", "deadline"}

// ReadFile reads a file: as JSON lines if its name ends in .jsonl or .ndjson, otherwise as CSV with a header line.
func ReadFile(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	read := ReadCSV
	if ext := filepath.Ext(path); ext == ".jsonl" || ext == ".ndjson" {
		read = ReadJSON
	}
	t, err := read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// rawEntry is an entry with its time as recorded, in seconds.
type rawEntry struct {
	at   float64
	e    Entry
	line int
}

// ReadCSV reads comma-separated values with a header line. Times are seconds (of any epoch) or RFC 3339; work and
// deadline are seconds, or durations with a unit. Unreadable lines are counted in Findings; it returns an error if
// there is no time column, no readable entry, or more entries than fit in memory.
func ReadCSV(r io.Reader) (*Trace, error) {
	c := csv.NewReader(r)
	c.FieldsPerRecord = -1
	c.TrimLeadingSpace = true
	header, err := c.Read()
	if err != nil {
		return nil, fmt.Errorf("no header line: %w", err)
	}
	index := map[string]int{}
	for i, name := range header {
		index[strings.ToLower(strings.TrimSpace(name))] = i
	}
	if _, ok := index["time"]; !ok {
		return nil, errors.New("no column named time")
	}
	t := &Trace{}
	var raws []rawEntry
	for {
		record, err := c.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		line, _ := c.FieldPos(0)
		if err != nil {
			var pe *csv.ParseError
			if !errors.As(err, &pe) {
				return nil, err
			}
			t.addBad(pe.Line, err)
			continue
		}
		v, err := parse(line, func(name string) (string, bool) {
			i, ok := index[name]
			if !ok || i >= len(record) {
				return "", false
			}
			return strings.TrimSpace(record[i]), true
		})
		if err != nil {
			t.addBad(line, err)
			continue
		}
		if raws = append(raws, v); len(raws) > maxEntries {
			return nil, fmt.Errorf("more than %d entries", maxEntries)
		}
	}
	for _, name := range columns {
		if _, ok := index[name]; !ok {
			t.Found.Missing = append(t.Found.Missing, name)
		}
	}
	return t, t.sortEntries(raws)
}

// ReadJSON reads one JSON object per line, with the same fields and errors as ReadCSV.
func ReadJSON(r io.Reader) (*Trace, error) {
	t := &Trace{}
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var raws []rawEntry
	seen := map[string]bool{}
	line := 0
	for part := range bytes.SplitSeq(text, []byte{'\n'}) {
		line++
		if len(bytes.TrimSpace(part)) == 0 {
			continue
		}
		d := json.NewDecoder(bytes.NewReader(part))
		d.UseNumber()
		var object map[string]any
		if err := d.Decode(&object); err != nil {
			t.addBad(line, err)
			continue
		}
		v, err := parse(line, func(name string) (string, bool) {
			v, ok := object[name]
			if !ok || v == nil {
				return "", false
			}
			seen[name] = true
			return fmt.Sprint(v), true
		})
		if err != nil {
			t.addBad(line, err)
			continue
		}
		if raws = append(raws, v); len(raws) > maxEntries {
			return nil, fmt.Errorf("more than %d entries", maxEntries)
		}
	}
	for _, name := range columns {
		if !seen[name] {
			t.Found.Missing = append(t.Found.Missing, name)
		}
	}
	return t, t.sortEntries(raws)
}

func (t *Trace) addBad(line int, err error) {
	if t.Found.Bad++; t.Found.First == "" {
		t.Found.First = fmt.Sprintf("line %d: %v", line, err)
	}
}

func parse(line int, get func(string) (string, bool)) (rawEntry, error) {
	v := rawEntry{line: line}
	text, ok := get("time")
	if !ok || text == "" {
		return v, errors.New("no time")
	}
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		v.at = float64(at.UnixNano()) / 1e9
	} else if v.at, err = strconv.ParseFloat(text, 64); err != nil || math.IsNaN(v.at) || math.Abs(v.at) > 1e13 {
		return v, fmt.Errorf("time %q is neither seconds nor RFC 3339", text)
	}
	v.e.Class, _ = get("class")
	v.e.Key, _ = get("key")
	v.e.Zone, _ = get("zone")
	for name, into := range map[string]*time.Duration{"work": &v.e.Work, "deadline": &v.e.Deadline} {
		text, ok := get(name)
		if !ok || text == "" {
			continue
		}
		d, err := time.ParseDuration(text)
		if s, e := strconv.ParseFloat(text, 64); e == nil {
			d, err = time.Duration(s*float64(time.Second)), nil
			if !(s >= 0 && s < 1e8) {
				err = strconv.ErrRange
			}
		}
		if err != nil || d < 0 {
			return v, fmt.Errorf("%s %q is no length of time", name, text)
		}
		*into = d
	}
	return v, nil
}

// sortEntries sorts the entries, drops repeated ones, and counts entries that were out of order.
func (t *Trace) sortEntries(raws []rawEntry) error {
	t.Found.Lines = len(raws)
	if len(raws) == 0 {
		return errors.New("no readable entry")
	}
	latest := raws[0].at
	for i := range raws {
		if raws[i].at < latest {
			t.Found.Unsorted++
			if i > 0 && raws[i-1].at-raws[i].at > 1 {
				t.Found.Steps++
			}
		}
		latest = max(latest, raws[i].at)
	}
	slices.SortStableFunc(raws, func(a, b rawEntry) int { return cmp.Compare(a.at, b.at) })
	first := raws[0].at
	seen := map[Entry]bool{} // entries with the current time
	for i, r := range raws {
		r.e.At = time.Duration(math.Round((r.at - first) * 1e9))
		if i > 0 && r.at != raws[i-1].at {
			clear(seen)
		}
		if seen[r.e] {
			t.Found.Repeated++
			continue
		}
		seen[r.e] = true
		t.Entries = append(t.Entries, r.e)
	}
	return nil
}

// Length returns the time from the first entry to the last.
func (t *Trace) Length() time.Duration {
	if len(t.Entries) == 0 {
		return 0
	}
	return t.Entries[len(t.Entries)-1].At
}

// Times returns the times of the entries.
func (t *Trace) Times() []time.Duration {
	out := make([]time.Duration, len(t.Entries))
	for i, e := range t.Entries {
		out[i] = e.At
	}
	return out
}

// Mix returns each class's share of the entries.
func (t *Trace) Mix() map[string]float64 {
	out := map[string]float64{}
	for _, e := range t.Entries {
		out[e.Class] += 1 / float64(len(t.Entries))
	}
	return out
}

// GapMode is the treatment of gaps.
type GapMode string

// The treatments of gaps.
const (
	Keep  GapMode = "keep"  // gaps are left as they are
	Close GapMode = "close" // gaps are shortened to the mean distance of entries outside gaps
	Fill  GapMode = "fill"  // gaps are filled with entries drawn from the whole trace, at its usual rate
)

// GapReport describes the gaps that were found and what was done about them. It is to be shown for every mode.
type GapReport struct {
	Mode   GapMode
	Limit  time.Duration // distances above the limit count as gaps
	Gaps   int
	Longer time.Duration // total length of the gaps
	Filled int
}

func (r GapReport) String() string {
	if r.Gaps == 0 {
		return fmt.Sprintf("no gap over %v", r.Limit.Round(time.Millisecond))
	}
	s := fmt.Sprintf("%d gaps over %v, %v in all, ", r.Gaps, r.Limit.Round(time.Millisecond), r.Longer.Round(time.Millisecond))
	switch r.Mode {
	case Close:
		return s + "closed"
	case Fill:
		return s + fmt.Sprintf("filled with %d entries drawn from those round them", r.Filled)
	}
	return s + "kept"
}

// Gaps returns the trace with gaps treated according to mode, and a report. Distances between neighbours above
// limit are gaps. With limit 0, the limit is ten times the 99th percentile of the distances, and at least 1 ms: in
// a Poisson process a distance exceeds it by chance with a probability of e^-46, and clustering only raises the
// limit.
func (t *Trace) Gaps(mode GapMode, limit time.Duration, rng *rand.Rand) (*Trace, GapReport) {
	rep := GapReport{Mode: mode, Limit: limit}
	n := len(t.Entries)
	if n < 3 {
		return t, rep
	}
	gaps := make([]time.Duration, n-1)
	for i := range gaps {
		gaps[i] = t.Entries[i+1].At - t.Entries[i].At
	}
	if limit == 0 {
		sorted := slices.Sorted(slices.Values(gaps))
		rep.Limit = max(10*sorted[(len(sorted)-1)*99/100], time.Millisecond)
	}
	var sum time.Duration
	shortGaps := 0
	for _, g := range gaps {
		if g <= rep.Limit {
			sum += g
			shortGaps++
		}
	}
	meanGap := max(sum/time.Duration(max(shortGaps, 1)), time.Microsecond)
	out := &Trace{Found: t.Found}
	var shift time.Duration
	for i, e := range t.Entries {
		if i > 0 && gaps[i-1] > rep.Limit {
			rep.Gaps++
			rep.Longer += gaps[i-1]
			switch mode {
			case Close:
				shift += gaps[i-1] - meanGap
			case Fill:
				// Sequences of up to 8 consecutive entries are drawn, which preserves their clusters.
				from := t.Entries[i-1].At
				for at := from + meanGap; at < e.At-meanGap; {
					k := rng.IntN(n - 1)
					for j := range min(8, n-1-k) {
						step := gaps[k+j]
						if step > rep.Limit {
							step = meanGap
						}
						if at += step; at >= e.At-meanGap {
							break
						}
						drawn := t.Entries[k+j+1]
						drawn.At = at
						out.Entries = append(out.Entries, drawn)
						rep.Filled++
					}
					at += time.Microsecond
				}
			}
		}
		e.At -= shift
		out.Entries = append(out.Entries, e)
	}
	return out, rep
}

// Scale returns a trace that runs pace times as fast and has rate times as many entries. If rate is below 1,
// entries are dropped at random. If it is above 1, copies of each entry are added between it and the next entry of
// the same class, so that clusters are preserved. Both preserve the mix of classes except for random variation.
func (t *Trace) Scale(pace, rate float64, rng *rand.Rand) *Trace {
	out := &Trace{Found: t.Found}
	next := make([]time.Duration, len(t.Entries)) // time of the next entry of the same class
	last := map[string]time.Duration{}
	for i := len(t.Entries) - 1; i >= 0; i-- {
		e := t.Entries[i]
		if at, ok := last[e.Class]; ok {
			next[i] = at
		} else {
			next[i] = e.At + t.Length()/time.Duration(len(t.Entries)) // the last entry of its class
		}
		last[e.Class] = e.At
	}
	for i, e := range t.Entries {
		copies := int(rate)
		if rng.Float64() < rate-float64(copies) {
			copies++
		}
		for k := range copies {
			c := e
			if k > 0 {
				c.At += time.Duration(rng.Float64() * float64(next[i]-e.At))
			}
			c.At = time.Duration(float64(c.At) / pace)
			out.Entries = append(out.Entries, c)
		}
	}
	slices.SortStableFunc(out.Entries, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Summary holds the properties of a trace that scaling has to preserve.
type Summary struct {
	Entries    int                `json:"entries"`
	Seconds    float64            `json:"seconds"`
	Rate       float64            `json:"rate"`
	Mix        map[string]float64 `json:"mix"`
	Variation  float64            `json:"gap_variation"`
	Dispersion float64            `json:"count_dispersion"`
}

// Summary returns the properties of a trace.
func (t *Trace) Summary() Summary {
	s := Summary{Entries: len(t.Entries), Seconds: t.Length().Seconds(), Mix: t.Mix()}
	if s.Seconds > 0 {
		s.Rate = float64(s.Entries) / s.Seconds
	}
	s.Variation, s.Dispersion = arrivals.Burstiness(t.Times())
	return s
}

// Write writes a trace as CSV with a header line.
func (t *Trace) Write(w io.Writer) error {
	c := csv.NewWriter(w)
	c.Write(columns)
	seconds := func(d time.Duration) string {
		if d == 0 {
			return ""
		}
		return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
	}
	for _, e := range t.Entries {
		c.Write([]string{strconv.FormatFloat(e.At.Seconds(), 'f', -1, 64), e.Class, seconds(e.Work), e.Key, e.Zone, seconds(e.Deadline)})
	}
	c.Flush()
	return c.Error()
}

// Hash returns a 64-bit hash of a key.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }
