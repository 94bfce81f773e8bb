package report

import (
	"fmt"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"granitewing/internal/lab/experiment"
)

// plots returns the plots for the contents of a result.
func plots(r *experiment.Results) []namedPlot {
	if len(r.Sizes) > 0 {
		return sizePlots(r)
	}
	var out []namedPlot
	if len(r.Runs) == 0 {
		return nil
	}
	out = append(out, overTime(r), byPercentile(r))
	first := r.Runs[0]
	if len(first.Hosts) > 1 {
		out = append(out, byHost(first))
	}
	return out
}

// addLine adds a line with its own colour and a legend entry.
func addLine(p *plot.Plot, i int, name string, points plotter.XYs) {
	l, err := plotter.NewLine(points)
	if err != nil {
		return // no points, or an invalid number: nothing to draw
	}
	l.Color = plotutil.Color(i)
	l.Width = vg.Points(1.4)
	p.Add(l)
	p.Legend.Add(name, l)
}

// drawMarks draws failures on the time axis. Labels are drawn only if there are few; the page lists all of them.
func drawMarks(p *plot.Plot, list []experiment.Mark, top float64, c color.Color) {
	for _, m := range list {
		l, err := plotter.NewLine(plotter.XYs{{X: m.At, Y: 0}, {X: m.At, Y: top}})
		if err != nil {
			continue
		}
		l.Color = c
		l.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(l)
	}
	const maxLabels = 12
	if len(list) == 0 || len(list) > maxLabels {
		return
	}
	var at plotter.XYLabels
	for i, m := range list {
		at.XYs = append(at.XYs, plotter.XY{X: m.At, Y: top * (0.02 + 0.06*float64(i%4))})
		at.Labels = append(at.Labels, " "+m.Label)
	}
	if labels, err := plotter.NewLabels(at); err == nil {
		for i := range labels.TextStyle {
			labels.TextStyle[i].Color = c
			labels.TextStyle[i].Font.Size = vg.Points(7)
		}
		p.Add(labels)
	}
}

// smoothingSeconds is the width of the moving average of the service. With 14 jobs a second, the value of a single
// second is mostly noise.
const smoothingSeconds = 3

func overTime(r *experiment.Results) namedPlot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second of the intended send", "worth served in time"
	p.Y.Min, p.Y.Max = 0, 1.02
	p.Legend.Top = false
	for i, v := range r.Variants {
		// The mean over all seeds of the variant.
		var sum, weight []float64
		for _, o := range r.Runs {
			if o.Variant != v {
				continue
			}
			for s, point := range o.Series {
				for len(sum) <= s {
					sum, weight = append(sum, 0), append(weight, 0)
				}
				sum[s] += point.Service * float64(point.Jobs)
				weight[s] += float64(point.Jobs)
			}
		}
		var points plotter.XYs
		for s := range sum {
			lo, hi := max(s-smoothingSeconds/2, 0), min(s+smoothingSeconds/2, len(sum)-1)
			a, w := 0.0, 0.0
			for k := lo; k <= hi; k++ {
				a, w = a+sum[k], w+weight[k]
			}
			if w > 0 {
				points = append(points, plotter.XY{X: float64(s), Y: a / w})
			}
		}
		addLine(p, i, v, points)
	}
	if len(r.Runs) > 0 {
		drawMarks(p, r.Runs[0].Marks, 1, color.RGBA{R: 170, A: 255})
	}
	note := fmt.Sprintf("Each point is the mean over %d seconds.", smoothingSeconds)
	if len(r.Runs) > len(r.Variants) {
		note += " Lines are means over seeds; failures are those of the first seed."
	}
	return namedPlot{p, "service", "Service over time", note, false}
}

func byPercentile(r *experiment.Results) namedPlot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "percentile", "latency from the intended send, s"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	// The axis is logarithmic in the distance to 100%: 90, 99, 99.9 and so on are equally spaced.
	var percentiles []float64
	for x := 0.0; x <= 4; x += 0.05 {
		percentiles = append(percentiles, 100*(1-math.Pow(10, -x)))
	}
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: math.Log10(2), Label: "50"}, {Value: 1, Label: "90"}, {Value: 2, Label: "99"}, {Value: 3, Label: "99.9"}, {Value: 4, Label: "99.99"}}
	p.Legend.Top, p.Legend.Left = true, true
	n := 0
	add := func(o *experiment.Outcome, class int, name string) {
		var points plotter.XYs
		for i, d := range o.Recorder.Curve(class, percentiles) {
			if d > 0 {
				points = append(points, plotter.XY{X: -math.Log10(1 - percentiles[i]/100), Y: d.Seconds()})
			}
		}
		if len(points) > 1 {
			addLine(p, n, name, points)
			n++
		}
	}
	if len(r.Variants) == 1 {
		for c, name := range r.Runs[0].Recorder.Classes() {
			add(r.Runs[0], c, name)
		}
	} else {
		for _, v := range r.Variants {
			if i := slices.IndexFunc(r.Runs, func(o *experiment.Outcome) bool { return o.Variant == v }); i >= 0 {
				add(r.Runs[i], -1, v)
			}
		}
	}
	if n == 0 {
		p.Y.Min, p.Y.Max = 0.001, 1 // a logarithmic axis needs a positive range
	}
	return namedPlot{p, "latency", "Latency by percentile", "Of jobs that were served, retries included; of the first seed where several were played.", false}
}

// hostGrid is the number of attempts by second and host, as the data of a heat map.
type hostGrid struct{ o *experiment.Outcome }

func (g hostGrid) Dims() (c, r int) {
	for _, h := range g.o.Hosts {
		c = max(c, len(h.PerSecond))
	}
	return c, len(g.o.Hosts)
}
func (g hostGrid) Z(c, r int) float64 {
	if s := g.o.Hosts[r].PerSecond; c < len(s) {
		return float64(s[c])
	}
	return 0
}
func (g hostGrid) X(c int) float64 { return float64(c) }
func (g hostGrid) Y(r int) float64 { return float64(r) }

func byHost(o *experiment.Outcome) namedPlot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second", "host"
	g := hostGrid{o}
	if c, r := g.Dims(); c < 2 || r < 2 {
		return namedPlot{p, "hosts", "Attempts by host", "Too little was sent to draw.", true}
	}
	// Black is zero, so that a host without work stands out.
	colors := moreland.BlackBody()
	colors.SetMin(0)
	colors.SetMax(1)
	p.Add(plotter.NewHeatMap(g, colors.Palette(32)))
	if len(o.Hosts) <= 40 {
		var ticks []plot.Tick
		for i, h := range o.Hosts {
			ticks = append(ticks, plot.Tick{Value: float64(i), Label: h.Host})
		}
		p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	}
	drawMarks(p, o.Marks, float64(len(o.Hosts))-0.5, color.RGBA{R: 120, G: 200, B: 255, A: 255})
	peak := 0
	for _, h := range o.Hosts {
		for _, n := range h.PerSecond {
			peak = max(peak, n)
		}
	}
	return namedPlot{p, "hosts", "Attempts by host", fmt.Sprintf("Of %s, seed %d. Brighter is more; the most is %d attempts in a second.", o.Variant, o.Seed, peak), true}
}

func sizePlots(r *experiment.Results) []namedPlot {
	var out []namedPlot
	for _, f := range []struct {
		name, title, axis string
		of                func(experiment.Size) float64
		log               bool
	}{
		{"decision", "CPU of a message by size", "microseconds of CPU a message, all its events", func(s experiment.Size) float64 { return s.CPUPerMessageMicros }, true},
		{"service", "Service by size", "worth served in time", func(s experiment.Size) float64 {
			if s.Partial {
				return 0 // not measured
			}
			return s.Service
		}, false},
		{"heap", "Memory by size", "bytes of heap a host, of one dispatcher", func(s experiment.Size) float64 { return s.HeapPerHost }, true},
	} {
		p := plot.New()
		p.X.Label.Text, p.Y.Label.Text = "hosts", f.axis
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		if f.log {
			p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		} else {
			p.Y.Min, p.Y.Max = 0, 1
		}
		p.Legend.Top, p.Legend.Left = f.log, true
		lines := map[string]plotter.XYs{}
		var names []string
		for _, s := range r.Sizes {
			name := fmt.Sprintf("%d dispatchers", s.Dispatchers)
			if len(r.Variants) > 1 {
				name += ", " + s.Variant
			}
			if lines[name] == nil {
				names = append(names, name)
			}
			if v := f.of(s); v > 0 {
				lines[name] = append(lines[name], plotter.XY{X: float64(s.Hosts), Y: v})
			}
		}
		drawn := 0
		for i, name := range names {
			points := lines[name]
			drawn += len(points)
			addLine(p, i, name, points)
			if s, err := plotter.NewScatter(points); err == nil {
				s.GlyphStyle = draw.GlyphStyle{Color: plotutil.Color(i), Radius: vg.Points(2.5), Shape: draw.CircleGlyph{}}
				p.Add(s)
			}
		}
		if drawn == 0 {
			continue
		}
		if f.log {
			// The axis covers whole decades, so that it has more than one labelled tick.
			p.Y.Min, p.Y.Max = math.Pow(10, math.Floor(math.Log10(p.Y.Min))), math.Pow(10, math.Ceil(math.Log10(p.Y.Max)))
		}
		out = append(out, namedPlot{p, f.name, f.title, "", false})
	}
	return out
}
