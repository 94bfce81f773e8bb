package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"granitewing/internal/lab/measure"
)

// WriteComparisons writes the comparisons of the variants as a text table.
func (r *Results) WriteComparisons(w io.Writer) {
	if len(r.Comparisons) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tvariant\tagainst\tpairs\tbase\tdifference\t95% interval\tsign-flip p\tverdict")
	for _, c := range r.Comparisons {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.4g\t%+.2f%%\t%+.2f%% to %+.2f%%\t%.3f\t%s\n", c.Metric, c.Variant, c.Against, c.Pairs, c.Base,
			100*c.Mean, 100*c.Lo, 100*c.Hi, c.SignFlipP, c.Verdict)
	}
	t.Flush()
}

// WriteSizes writes the points of a sweep as a text table.
func (r *Results) WriteSizes(w io.Writer) {
	if len(r.Sizes) == 0 {
		return
	}
	sizes := slices.Clone(r.Sizes)
	slices.SortStableFunc(sizes, func(a, b Size) int {
		return cmp.Or(cmp.Compare(a.Dispatchers, b.Dispatchers), cmp.Compare(a.Hosts, b.Hosts))
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "dispatchers\thosts\tvariant\tplayed\tjobs\tservice\tCPU a message\theap a host\ttimes real time\t")
	for _, s := range sizes {
		service := fmt.Sprintf("%.1f%%", 100*s.Service)
		if s.Partial {
			service = "partial"
		}
		fmt.Fprintf(t, "%d\t%d\t%s\t%.1f s\t%d\t%s\t%.1f us\t%.0f B\t%.2f\t\n", s.Dispatchers, s.Hosts, s.Variant, s.Length, s.Jobs, service, s.CPUPerMessageMicros, s.HeapPerHost, s.Speedup)
	}
	t.Flush()
	if slices.ContainsFunc(sizes, func(s Size) bool { return s.Partial }) {
		fmt.Fprintln(w, "partial: the wall-time budget of a play ended it; the CPU and memory are of the part that was played")
	}
}

// Write writes all results as text.
func (r *Results) Write(w io.Writer) {
	fmt.Fprintf(w, "%s: %s\n", r.Experiment, r.About)
	if len(r.Sizes) > 0 {
		fmt.Fprintln(w)
		r.WriteSizes(w)
		return
	}
	for _, p := range r.Runs {
		fmt.Fprintf(w, "\n%s, seed %d, %.1f s played in %.1f s", p.Variant, p.Seed, p.Length, p.Wall)
		if p.CutShort {
			fmt.Fprint(w, ", CUT SHORT: only what was measured so far")
		}
		fmt.Fprintln(w)
		for _, m := range p.Marks {
			fmt.Fprintf(w, "  %5.1f s  %s\n", m.At, m.Label)
		}
		measure.WriteTable(w, p.Rows)
		if !p.Virtual {
			fmt.Fprintln(w, p.Verdict)
		}
		for _, n := range p.Notes {
			fmt.Fprintln(w, "note:", n)
		}
		if g := p.Gangs; g != nil {
			fmt.Fprintf(w, "gangs: %d whole, %d broken, %d half and never whole, longest half %.2f s, %d parts doubled; an exchange %.2f ms, a run %.2f s, %.1f racks, %.1f%% of bytes across\n",
				g.Whole, g.Broken, g.PartlyStarted, g.LongestHalf, g.Doubled, g.Step, g.Run, g.Spans, 100*g.Crossed)
		}
		if p.Spread != nil {
			fmt.Fprint(w, "use of the hosts, from their own records:\n", p.Spread)
		}
		if p.Audit != nil {
			fmt.Fprint(w, "audit, from the records of hosts, clients and discovery:\n", p.Audit)
		}
	}
	if len(r.Comparisons) > 0 {
		fmt.Fprintln(w)
		r.WriteComparisons(w)
	}
}
