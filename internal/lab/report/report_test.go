package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/experiment"
	"granitewing/internal/lab/measure"
)

func outcome(variant string, seed uint64, n int) *experiment.Outcome {
	r := measure.NewRecorder([]string{"a", "b"})
	for i := range n {
		r.Add(measure.Sample{Class: i % 2, At: time.Duration(i) * 300 * time.Millisecond, Latency: time.Duration(i+1) * time.Millisecond, Outcome: measure.Outcome(i % 3), Worth: 1, Tries: 1})
	}
	o := &experiment.Outcome{Experiment: "x", Variant: variant, Seed: seed, Recorder: r, Rows: r.Rows(), Series: r.Series(), Audit: &audit.Report{}}
	o.Verdict.Valid = true
	if n > 0 {
		o.Marks = []experiment.Mark{{At: 1, Label: "h<1> slow"}}
		o.Hosts = []audit.HostLoad{{Host: "h1", PerSecond: []int{1, 2, 3}}, {Host: "h2", PerSecond: []int{0}}}
	}
	return o
}

// A report can be written, read again and shows what happened for any result: without runs, with one run, two
// variants, or an incomplete sweep.
func TestWrite(t *testing.T) {
	for name, r := range map[string]*experiment.Results{
		"nothing": {Experiment: "x", Variants: []string{"v"}, CutShort: true},
		"no jobs": {Experiment: "x", Variants: []string{"v"}, Runs: []*experiment.Outcome{outcome("v", 1, 0)}},
		"one run": {Experiment: "x", Variants: []string{"v"}, Runs: []*experiment.Outcome{outcome("v", 1, 40)}},
		"two": {Experiment: "x", Variants: []string{"v", "w"}, Runs: []*experiment.Outcome{outcome("v", 1, 40), outcome("w", 1, 30)},
			Comparisons: []experiment.Comparison{{Metric: "service", Variant: "w", Against: "v", Verdict: "can't be told from noise"}}},
		"a sweep": {Experiment: "x", Variants: []string{"v"}, Sizes: []experiment.Size{{Hosts: 10, Dispatchers: 1, Variant: "v", Service: 0.9, CPUPerMessageMicros: 5, HeapPerHost: 100},
			{Hosts: 100, Dispatchers: 1, Variant: "v", Partial: true, CPUPerMessageMicros: 50}}},
		"an empty sweep": {Experiment: "x", Variants: []string{"v"}, Sizes: []experiment.Size{{Hosts: 10, Dispatchers: 1, Partial: true}}},
	} {
		dir := t.TempDir()
		f, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Write(r); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		back, err := Read(dir)
		if err != nil || len(back.Runs) != len(r.Runs) || len(back.Sizes) != len(r.Sizes) {
			t.Errorf("%s: %v", name, err)
		}
		page, err := os.ReadFile(filepath.Join(dir, "index.html"))
		if err != nil || strings.Contains(string(page), "h<1>") || strings.Contains(string(page), "<no value>") {
			t.Errorf("%s: %v; the page contains an unescaped name or lacks a figure", name, err)
		}
		if r.CutShort != strings.Contains(string(page), "Cut short") {
			t.Errorf("%s: the page must state whether the run was cut short", name)
		}
	}
}

// Runs of one seed are merged; if one generator declares its run invalid, the merged run is invalid.
func TestMerge(t *testing.T) {
	a := &experiment.Results{Experiment: "x", Runs: []*experiment.Outcome{outcome("v", 1, 40)}}
	b := &experiment.Results{Experiment: "x", Runs: []*experiment.Outcome{outcome("v", 1, 20), outcome("v", 2, 10)}}
	b.Runs[0].Verdict.Valid, b.Runs[0].Verdict.Causes = false, []string{"late"}
	got, err := Merge([]*experiment.Results{a, b})
	if err != nil || len(got.Runs) != 2 || got.Runs[0].Rows[2].Asked != 60 || got.Runs[0].Verdict.Valid || len(got.InvalidRuns()) != 1 {
		t.Errorf("%v: %+v", err, got.Runs[0].Rows)
	}
	if _, err := Merge([]*experiment.Results{a, {Experiment: "y"}}); err == nil {
		t.Error("results of different experiments were merged")
	}
}
