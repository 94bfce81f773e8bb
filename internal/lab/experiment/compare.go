package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"granitewing/internal/lab/balance"
	"granitewing/internal/lab/world"
)

// Results holds the outcomes of all runs of an experiment and the comparisons of its variants.
type Results struct {
	Experiment  string       `json:"experiment"`
	About       string       `json:"about"`
	Virtual     bool         `json:"virtual"`          // run in virtual time
	Margin      float64      `json:"margin,omitempty"` // equivalence margin of service, as a fraction
	Variants    []string     `json:"variants"`
	Runs        []*Outcome   `json:"plays"`
	Comparisons []Comparison `json:"comparisons,omitempty"`
	Sizes       []Size       `json:"sizes,omitempty"` // of a sweep
	CutShort    bool         `json:"cut_short"`       // ended before all runs were complete
}

// Size is one point of a sweep over fleet sizes.
type Size struct {
	Hosts               int     `json:"hosts"`
	Dispatchers         int     `json:"dispatchers"`
	Variant             string  `json:"variant"`
	Jobs                int64   `json:"jobs"`           // jobs that arrived
	Service             float64 `json:"service"`        // value of the jobs served in time divided by the value of all jobs
	CPUPerMessageMicros float64 `json:"decision_us"`    // CPU time per message over all its events, in microseconds
	HeapPerHost         float64 `json:"heap_per_host"`  // bytes of one dispatcher's heap, divided by the number of hosts
	Speedup             float64 `json:"times_realtime"` // virtual time divided by wall time
	Length              float64 `json:"length_s"`       // seconds of virtual time that were run
	Partial             bool    `json:"partial"`        // the wall-time budget ended the run; Service covers the jobs that completed by then
}

// Violations returns the number of rule violations that the audits found over all runs of package logic. Runs of plain
// policies are left out, because such policies do not know about hosts in slow start.
func (r *Results) Violations() int {
	n := 0
	for _, p := range r.Runs {
		if p.Audit != nil && p.Policy == "" {
			n += p.Audit.Broken()
		}
	}
	return n
}

// InvalidRuns lists the runs whose load generator could not keep to its schedule, with the causes.
func (r *Results) InvalidRuns() []string {
	var out []string
	for _, p := range r.Runs {
		if !p.Verdict.Valid {
			out = append(out, fmt.Sprintf("%s, seed %d: %v", p.Variant, p.Seed, p.Verdict.Causes))
		}
	}
	return out
}

// Run runs an experiment. Each pair of runs has its own seed, and the order of the variants alternates from pair to
// pair, so that changes on the machine during the experiment affect all variants alike. label, which may be nil, is
// called with a description of each run before it starts. If ctx ends, Run returns what it has with CutShort set. On an
// error it also returns the results so far.
func Run(ctx context.Context, spec *world.Spec, s Setup, label func(string)) (*Results, error) {
	variants := spec.Variants
	if len(variants) == 0 {
		variants = []world.Variant{{Name: "as-built"}}
	}
	r := &Results{Experiment: spec.Name, About: spec.About, Virtual: spec.Virtual, Margin: spec.Margin}
	for _, v := range variants {
		r.Variants = append(r.Variants, v.Name)
	}
	if spec.Sweep != nil {
		return r, r.runSweep(ctx, spec, variants, s, label)
	}
	pairs := spec.Pairs
	if len(variants) == 1 {
		pairs = 1
	}
	for k := range pairs {
		for i := range variants {
			v := variants[(i+k)%len(variants)]
			if label != nil {
				label(fmt.Sprintf("%s %d/%d %s", spec.Name, k+1, pairs, v.Name))
			}
			runDay := RunDay
			if spec.Virtual {
				runDay = RunDayVirtual
			}
			o, err := runDay(ctx, spec, v, spec.Seed+uint64(k), s)
			if err != nil {
				return r, fmt.Errorf("%s, seed %d: %w", v.Name, spec.Seed+uint64(k), err)
			}
			r.Runs = append(r.Runs, o)
			if o.CutShort {
				r.CutShort = true
				r.compare()
				return r, nil
			}
		}
	}
	r.compare()
	return r, nil
}

// runSweep runs each fleet size of the sweep once per variant.
func (r *Results) runSweep(ctx context.Context, spec *world.Spec, variants []world.Variant, s Setup, label func(string)) error {
	if !spec.Virtual {
		return fmt.Errorf("%s: a sweep runs in virtual time only", spec.Where)
	}
	s.Measure = true
	for _, d := range spec.Sweep.Dispatchers {
		for _, h := range spec.Sweep.Hosts {
			sized := spec.Sized(h, d, spec.Sweep.Jobs)
			for _, v := range variants {
				if label != nil {
					label(fmt.Sprintf("%d hosts, %d dispatchers, %s", h, d, v.Name))
				}
				budget, cancel := ctx, context.CancelFunc(func() {})
				if spec.Sweep.Budget > 0 {
					budget, cancel = context.WithTimeout(ctx, spec.Sweep.Budget)
				}
				o, err := RunDayVirtual(budget, sized, v, spec.Seed, s)
				cancel()
				if err != nil {
					return err
				}
				r.Runs = append(r.Runs, o)
				if r.CutShort = ctx.Err() != nil; r.CutShort {
					return nil
				}
				r.Sizes = append(r.Sizes, Size{Hosts: h, Dispatchers: d, Variant: v.Name, Jobs: o.Rows[len(o.Rows)-1].Asked, Service: o.Service,
					CPUPerMessageMicros: o.CPUPerMessageMicros, HeapPerHost: o.Heap / float64(h), Speedup: o.Length / o.Wall, Length: o.Length, Partial: o.CutShort})
			}
		}
	}
	return nil
}

// Comparison compares one metric of a variant with the same metric of the first variant on the same seeds.
type Comparison struct {
	Metric      string    `json:"figure"`
	Variant     string    `json:"variant"`
	Against     string    `json:"against"` // name of the first variant
	Pairs       int       `json:"pairs"`
	Base        float64   `json:"base"`  // mean of the metric over the runs of the first variant
	Mean        float64   `json:"mean"`  // mean of the differences, or geometric mean of the ratios minus 1
	Lo          float64   `json:"lo"`    // lower bound of the 95% confidence interval
	Hi          float64   `json:"hi"`    // upper bound
	SignFlipP   float64   `json:"flip"`  // two-sided p-value of the sign-flip test
	MinP        float64   `json:"least"` // smallest p-value that this number of pairs can reach
	Ratio       bool      `json:"ratio"` // Mean, Lo and Hi are relative
	Verdict     string    `json:"verdict"`
	Differences []float64 `json:"each"`   // difference of each pair, in the unit of Mean
	Median      float64   `json:"median"` // median of Differences
}

// metric is a quantity of an outcome that is compared between variants.
type metric struct {
	name  string
	ratio bool
	of    func(*Outcome) float64
}

// classMetrics returns the service and the median latency of each class in the runs.
func classMetrics(runs []*Outcome) []metric {
	var out []metric
	if len(runs) == 0 {
		return nil
	}
	for i, r := range runs[0].Rows[:len(runs[0].Rows)-1] {
		out = append(out, metric{"service of " + r.Class, false, func(o *Outcome) float64 { return o.Rows[i].Service }},
			metric{"p50 of " + r.Class, true, func(o *Outcome) float64 { return o.Rows[i].P50.Seconds() }})
	}
	return out
}

// metrics are the quantities that are compared. Shares are compared by their differences. Times and costs are
// compared by their ratios, because the logarithms of ratios are closer to a normal distribution.
var metrics = []metric{
	{"service", false, func(o *Outcome) float64 { return o.Service }},
	{"service of the worst class", false, func(o *Outcome) float64 {
		worst := 1.0
		for _, r := range o.Rows[:len(o.Rows)-1] {
			if r.Asked > 0 {
				worst = min(worst, r.Service)
			}
		}
		return worst
	}},
	{"p50", true, func(o *Outcome) float64 { return o.Rows[len(o.Rows)-1].P50.Seconds() }},
	{"p99", true, func(o *Outcome) float64 { return o.Rows[len(o.Rows)-1].P99.Seconds() }},
	{"dispatcher CPU a message", true, func(o *Outcome) float64 { return o.CPUPerMessageMicros }},
	{"idle while work waits", false, func(o *Outcome) float64 { return o.spreadReport().Idle }},
	{"attempts in herds", false, func(o *Outcome) float64 { return o.spreadReport().Herded }},
	{"attempts a try", true, func(o *Outcome) float64 {
		tries := float64(o.Rows[len(o.Rows)-1].Tries)
		return float64(o.spreadReport().Counts.Offered) / max(tries, 1)
	}},
	{"fetched of begun", false, func(o *Outcome) float64 { return o.spreadReport().FetchShare }},
}

// spreadReport returns the report on host usage, or an empty one if usage was not observed.
func (o *Outcome) spreadReport() *balance.Report {
	if o.Spread == nil {
		return &balance.Report{}
	}
	return o.Spread
}

// compare compares each variant with the first one, pair by pair.
func (r *Results) compare() {
	bySeed := map[string]map[uint64]*Outcome{}
	for _, p := range r.Runs {
		if p.CutShort {
			continue
		}
		if bySeed[p.Variant] == nil {
			bySeed[p.Variant] = map[uint64]*Outcome{}
		}
		bySeed[p.Variant][p.Seed] = p
	}
	first := r.Variants[0]
	for _, v := range r.Variants[1:] {
		for _, f := range append(classMetrics(r.Runs), metrics...) {
			var a, b []float64
			seeds := make([]uint64, 0, len(bySeed[first]))
			for seed := range bySeed[first] {
				seeds = append(seeds, seed)
			}
			slices.Sort(seeds)
			for _, seed := range seeds {
				if o := bySeed[v][seed]; o != nil {
					a, b = append(a, f.of(bySeed[first][seed])), append(b, f.of(o))
				}
			}
			if c, ok := Compare(a, b, f.ratio); ok {
				c.Metric, c.Variant, c.Against = f.name, v, first
				c.setVerdict(r.Margin)
				r.Comparisons = append(r.Comparisons, c)
			}
		}
	}
}

// Compare returns the paired difference of b against a with a 95% confidence interval by Student's t distribution on
// the differences (for ratios, on the differences of logarithms). The runs of a pair share their day, so the
// differences vary far less than the values themselves; Student's t suits the small number of pairs. The sign-flip
// test makes no assumption about the distribution, but needs at least 6 pairs to reach 5%. Compare returns false if
// a ratio has a value that is not positive, the lengths differ, or there are fewer than two pairs.
func Compare(a, b []float64, ratio bool) (Comparison, bool) {
	if len(a) < 2 || len(a) != len(b) {
		return Comparison{}, false
	}
	c := Comparison{Pairs: len(a), Ratio: ratio, Base: stat.Mean(a, nil)}
	d := make([]float64, len(a))
	for i := range a {
		if ratio {
			if a[i] <= 0 || b[i] <= 0 {
				return c, false
			}
			d[i] = math.Log(b[i] / a[i])
		} else {
			d[i] = b[i] - a[i]
		}
	}
	mean, dev := stat.MeanStdDev(d, nil)
	n := float64(len(d))
	half := 0.0
	if dev > 0 {
		half = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * dev / math.Sqrt(n)
	}
	c.Mean, c.Lo, c.Hi = mean, mean-half, mean+half
	c.SignFlipP, c.MinP = signFlip(d), math.Pow(2, 1-n)
	c.Differences = slices.Clone(d)
	if ratio {
		for _, v := range []*float64{&c.Mean, &c.Lo, &c.Hi} {
			*v = math.Expm1(*v)
		}
		for i := range c.Differences {
			c.Differences[i] = math.Expm1(c.Differences[i])
		}
	}
	sorted := slices.Sorted(slices.Values(c.Differences))
	c.Median = stat.Quantile(0.5, stat.LinInterp, sorted, nil)
	if len(sorted)%2 == 1 {
		c.Median = sorted[len(sorted)/2]
	}
	return c, true
}

// signFlip returns the probability that the mean is at least as far from zero as observed if the sign of each
// difference were random. It enumerates all sign combinations for up to 16 pairs and draws 20,000 from a fixed seed
// for more.
func signFlip(d []float64) float64 {
	sum := 0.0
	for _, v := range d {
		sum += v
	}
	observed := math.Abs(sum) * (1 - 1e-12)
	flips, atLeast := 0, 0
	try := func(sign func(int) bool) {
		s := 0.0
		for i, v := range d {
			if sign(i) {
				s += v
			} else {
				s -= v
			}
		}
		if flips++; math.Abs(s) >= observed {
			atLeast++
		}
	}
	if len(d) <= 16 {
		for bits := range 1 << len(d) {
			try(func(i int) bool { return bits>>i&1 == 1 })
		}
	} else {
		rng := rand.New(rand.NewPCG(1, 2))
		for range 20_000 {
			try(func(int) bool { return rng.IntN(2) == 1 })
		}
	}
	return float64(atLeast) / float64(flips)
}

// setVerdict sets Verdict to a plain-text reading of the interval. margin is the equivalence margin; it applies to
// shares such as service, not to ratios.
func (c *Comparison) setVerdict(margin float64) {
	within := margin > 0 && !c.Ratio && c.Lo >= -margin && c.Hi <= margin
	switch {
	case within:
		c.Verdict = fmt.Sprintf("the same within %.3g points", 100*margin)
	case c.Lo <= 0 && c.Hi >= 0:
		c.Verdict = "can't be told from noise"
	case c.Mean > 0:
		c.Verdict = "higher"
	default:
		c.Verdict = "lower"
	}
}
