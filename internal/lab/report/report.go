// Package report writes the results of an experiment as a self-contained HTML page, plots in SVG and PNG, and
// JSON. Open prepares a Dir before the run, Dir.Write writes the report, Read reads the results again, and
// Merge combines the results of several generators.
package report

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"

	"granitewing/internal/lab/experiment"
	"granitewing/internal/lab/measure"
)

// Dir is the directory of a report. It is created and tested before a run, since results that can't be written
// are lost.
type Dir struct{ dir string }

// requiredSpace is the approximate size of a report in bytes.
const requiredSpace = 16 << 20

// Open creates a directory and checks that it can be written and has enough free space.
func Open(dir string) (*Dir, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("report folder: %w", err)
	}
	probe, err := os.CreateTemp(dir, ".probe")
	if err != nil {
		return nil, fmt.Errorf("report folder: %w", err)
	}
	defer os.Remove(probe.Name())
	defer probe.Close()
	// Bytes are written, since a file with a hole can be created even on a full disk.
	if _, err := probe.Write(make([]byte, 1<<20)); err != nil {
		return nil, fmt.Errorf("report folder: %w", err)
	}
	if free, ok := freeSpace(dir); ok && free < requiredSpace {
		return nil, fmt.Errorf("report folder: %s has %d bytes left, a report takes up to %d", dir, free, requiredSpace)
	}
	return &Dir{dir}, nil
}

// Path returns the path of a file in the folder.
func (f *Dir) Path(name string) string { return filepath.Join(f.dir, name) }

// pagePlot is a plot in the page.
type pagePlot struct {
	Title string
	Name  string
	SVG   template.URL
	Note  string
}

// Write writes results.json, the plots and index.html.
func (f *Dir) Write(r *experiment.Results) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := f.save("results.json", text); err != nil {
		return err
	}
	var pictures []pagePlot
	for _, p := range plots(r) {
		svg, err := f.draw(p)
		if err != nil {
			return fmt.Errorf("plot %s: %w", p.name, err)
		}
		pictures = append(pictures, pagePlot{p.title, p.name, template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(svg)), p.note})
	}
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, map[string]any{"R": r, "Pictures": pictures, "Broken": r.Violations(), "Invalid": r.InvalidRuns()}); err != nil {
		return err
	}
	return f.save("index.html", page.Bytes())
}

// save replaces a file atomically.
func (f *Dir) save(name string, text []byte) error {
	tmp := f.Path("." + name)
	if err := os.WriteFile(tmp, text, 0o644); err != nil {
		return errors.Join(err, os.Remove(tmp))
	}
	return os.Rename(tmp, f.Path(name))
}

const (
	width  = 24 * vg.Centimeter
	height = 10 * vg.Centimeter
)

func (f *Dir) draw(p namedPlot) ([]byte, error) {
	var svg []byte
	for _, format := range []string{"svg", "png"} {
		h := height
		if p.tall {
			h = height * 3 / 2
		}
		w, err := p.WriterTo(width, h, format)
		if err != nil {
			return nil, err
		}
		var b bytes.Buffer
		if _, err := w.WriteTo(&b); err != nil {
			return nil, err
		}
		if err := f.save(p.name+"."+format, b.Bytes()); err != nil {
			return nil, err
		}
		if format == "svg" {
			svg = b.Bytes()
		}
	}
	return svg, nil
}

// namedPlot is a plot with its file name, title and note.
type namedPlot struct {
	*plot.Plot
	name  string
	title string
	note  string
	tall  bool
}

// Read reads the results of an earlier run from its directory.
func Read(dir string) (*experiment.Results, error) {
	text, err := os.ReadFile(filepath.Join(dir, "results.json"))
	if err != nil {
		return nil, err
	}
	r := &experiment.Results{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return r, nil
}

// Merge combines the results of generators that ran at the same time against one fleet: runs with the same variant
// and seed are merged. It modifies and returns the first result.
func Merge(all []*experiment.Results) (*experiment.Results, error) {
	out := all[0]
	for _, r := range all[1:] {
		if r.Experiment != out.Experiment {
			return nil, fmt.Errorf("experiments %s and %s differ", out.Experiment, r.Experiment)
		}
		for _, p := range r.Runs {
			i := slices.IndexFunc(out.Runs, func(o *experiment.Outcome) bool { return o.Variant == p.Variant && o.Seed == p.Seed })
			if i < 0 {
				out.Runs = append(out.Runs, p)
				continue
			}
			o := out.Runs[i]
			if err := o.Recorder.Merge(p.Recorder); err != nil {
				return nil, err
			}
			o.Rows, o.Series = o.Recorder.Rows(), o.Recorder.Series()
			o.Service = o.Rows[len(o.Rows)-1].Service
			o.Verdict = mergeVerdicts(o.Verdict, p.Verdict)
			o.CutShort = o.CutShort || p.CutShort
			o.Notes = append(o.Notes, "merged from several generators")
		}
	}
	return out, nil
}

// mergeVerdicts combines the assessments of two generators; the worse one prevails.
func mergeVerdicts(a, b measure.Verdict) measure.Verdict {
	a.Valid = a.Valid && b.Valid
	a.Causes = append(a.Causes, b.Causes...)
	a.LagP50, a.LagP99, a.LagMax = max(a.LagP50, b.LagP50), max(a.LagP99, b.LagP99), max(a.LagMax, b.LagMax)
	a.CPU, a.Sched, a.Open, a.Unsent = a.CPU+b.CPU, max(a.Sched, b.Sched), a.Open+b.Open, a.Unsent+b.Unsent
	return a
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"pct":   func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
	"spct":  func(v float64) string { return fmt.Sprintf("%+.2f%%", 100*v) },
	"short": measure.Short,
}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.R.Experiment}}</title>
<style>body{font:15px/1.45 sans-serif;max-width:72em;margin:2em auto;padding:0 1em;color:#222}table{border-collapse:collapse;margin:.6em 0}
td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}
img{max-width:100%}.bad{background:#fde2e2;padding:.5em 1em}.good{color:#276749}.note{color:#555;margin-top:0}</style>
<h1>{{.R.Experiment}}</h1><p>{{.R.About}}</p>
{{if .R.CutShort}}<p class="bad">Cut short: this is what was measured until then.</p>{{end}}
{{range .Invalid}}<p class="bad">Invalid run: {{.}}</p>{{end}}
{{if .Broken}}<p class="bad">{{.Broken}} breaches of the rules; see the audits below.</p>{{end}}
{{with .R.Comparisons}}<h2>Differences</h2><table><tr><th>figure<th>variant<th>against<th>pairs<th>base<th>difference<th>95% interval<th>sign-flip p<th>verdict
{{range .}}<tr><td>{{.Metric}}<td>{{.Variant}}<td>{{.Against}}<td>{{.Pairs}}<td>{{printf "%.4g" .Base}}<td>{{spct .Mean}}<td>{{spct .Lo}} to {{spct .Hi}}<td>{{printf "%.3f" .SignFlipP}}<td>{{.Verdict}}{{end}}</table>
<p class="note">Paired by seed; Student's t on the differences (service) or on the logarithms of the ratios (times, CPU).</p>{{end}}
{{with .R.Sizes}}<h2>Sizes</h2><table><tr><th>dispatchers<th>hosts<th>variant<th>jobs<th>service<th>CPU a message<th>heap a host<th>times real time
{{range .}}<tr><td>{{.Dispatchers}}<td>{{.Hosts}}<td>{{.Variant}}<td>{{.Jobs}}<td>{{if .Partial}}partial{{else}}{{pct .Service}}{{end}}<td>{{printf "%.1f" .CPUPerMessageMicros}} us<td>{{printf "%.0f" .HeapPerHost}} B<td>{{printf "%.1f" .Speedup}}{{end}}</table>{{end}}
{{range .Pictures}}<h2>{{.Title}}</h2><img alt="{{.Title}}" src="{{.SVG}}">{{with .Note}}<p class="note">{{.}}</p>{{end}}{{end}}
{{if not .R.Sizes}}{{range .R.Runs}}<h2>{{.Variant}}, seed {{.Seed}}</h2>
<table><tr><th>class<th>asked<th>in time<th>late<th>refused<th>failed<th>no answer<th>left<th>tries<th>service<th>p50<th>p99<th>p99.9
{{range .Rows}}<tr><td>{{.Class}}<td>{{.Asked}}<td>{{.InTime}}<td>{{.Late}}<td>{{.Refused}}<td>{{.Failed}}<td>{{.Unanswered}}<td>{{.Left}}<td>{{.Tries}}<td>{{pct .Service}}<td>{{short .P50}}<td>{{short .P99}}<td>{{short .P999}}{{end}}</table>
{{range .Marks}}<div class="note">{{printf "%.1f" .At}} s: {{.Label}}</div>{{end}}
{{if not .Virtual}}<p class="note">{{.Verdict}}</p>{{end}}
{{range .Notes}}<p class="note">{{.}}</p>{{end}}
{{with .Spread}}<p class="note">Use of the hosts, from their own records:</p><pre>{{.}}</pre>{{end}}
{{with .Audit}}<table><tr><th>rule<th>checked<th>broken{{range .Rules}}<tr><td>{{.Name}}<td>{{.Checked}}<td>{{.Broken}}{{end}}</table>
{{range .Rules}}{{range .Shown}}<div class="bad">{{.}}</div>{{end}}{{end}}{{end}}
{{end}}{{end}}</html>
`))
