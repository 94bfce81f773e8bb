package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"granitewing/internal/lab/spread"
	"granitewing/internal/lab/world"
)

// Results are all plays of an experiment.
type Results struct {
	Experiment  string       `json:"experiment"`
	About       string       `json:"about"`
	Virtual     bool         `json:"virtual"`
	Margin      float64      `json:"margin,omitempty"`
	Variants    []string     `json:"variants"`
	Plays       []*Outcome   `json:"plays"`
	Comparisons []Comparison `json:"comparisons,omitempty"`
	Sizes       []Size       `json:"sizes,omitempty"`
	Cut         bool         `json:"cut_short"`
}

// Size is one point of a sweep.
type Size struct {
	Hosts       int     `json:"hosts"`
	Dispatchers int     `json:"dispatchers"`
	Variant     string  `json:"variant"`
	Jobs        int64   `json:"jobs"`
	Service     float64 `json:"service"`
	Decision    float64 `json:"decision_us"`    // CPU for a message with all its events
	HeapPerHost float64 `json:"heap_per_host"`  // bytes, of one dispatcher
	Pace        float64 `json:"times_realtime"` // virtual time by wall time
	Length      float64 `json:"length_s"`       // of virtual time that was played
	Partial     bool    `json:"partial"`        // the budget ended the play; its service is that of jobs that ended by then
}

// Broken counts the breaches of the rules over all plays of the module; plain policies know nothing of cold hosts.
func (r *Results) Broken() int {
	n := 0
	for _, p := range r.Plays {
		if p.Audit != nil && p.Policy == "" {
			n += p.Audit.Broken()
		}
	}
	return n
}

// Invalid lists the plays whose generator fell behind.
func (r *Results) Invalid() []string {
	var out []string
	for _, p := range r.Plays {
		if !p.Verdict.Valid {
			out = append(out, fmt.Sprintf("%s, seed %d: %v", p.Variant, p.Seed, p.Verdict.Causes))
		}
	}
	return out
}

// Run plays an experiment: each pair on a seed of its own, its variants in an order that alternates, so that what
// changes on the machine meanwhile falls on all alike.
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
			play := Play
			if spec.Virtual {
				play = PlayVirtual
			}
			o, err := play(ctx, spec, v, spec.Seed+uint64(k), s)
			if err != nil {
				return r, fmt.Errorf("%s, seed %d: %w", v.Name, spec.Seed+uint64(k), err)
			}
			r.Plays = append(r.Plays, o)
			if o.Cut {
				r.Cut = true
				r.compare()
				return r, nil
			}
		}
	}
	r.compare()
	return r, nil
}

// sweep plays each size once a variant.
func (r *Results) runSweep(ctx context.Context, spec *world.Spec, variants []world.Variant, s Setup, label func(string)) error {
	if !spec.Virtual {
		return fmt.Errorf("%s: a sweep plays in virtual time alone", spec.Where)
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
				o, err := PlayVirtual(budget, sized, v, spec.Seed, s)
				cancel()
				if err != nil {
					return err
				}
				r.Plays = append(r.Plays, o)
				if r.Cut = ctx.Err() != nil; r.Cut {
					return nil
				}
				r.Sizes = append(r.Sizes, Size{Hosts: h, Dispatchers: d, Variant: v.Name, Jobs: o.Rows[len(o.Rows)-1].Asked, Service: o.Service,
					Decision: o.Decision, HeapPerHost: o.Heap / float64(h), Pace: o.Length / o.Wall, Length: o.Length, Partial: o.Cut})
			}
		}
	}
	return nil
}

// Comparison is one figure of a variant against the first variant's on the same seeds.
type Comparison struct {
	Figure   string    `json:"figure"`
	Variant  string    `json:"variant"`
	Against  string    `json:"against"`
	Pairs    int       `json:"pairs"`
	Base     float64   `json:"base"`  // mean of the first variant
	Mean     float64   `json:"mean"`  // of the differences, or of the ratios less 1
	Lo       float64   `json:"lo"`    // 95% confidence interval
	Hi       float64   `json:"hi"`    //
	Flip     float64   `json:"flip"`  // p of the sign-flip test, two-sided
	Least    float64   `json:"least"` // p that so few pairs can reach at all
	Ratio    bool      `json:"ratio"` // Mean, Lo and Hi are relative
	Verdict  string    `json:"verdict"`
	Each     []float64 `json:"each"`
	Smallest float64   `json:"median"`
}

// figure is something that is compared.
type metric struct {
	name  string
	ratio bool
	of    func(*Outcome) float64
}

// byClass gives the service and the median latency of each class that plays have.
func classMetrics(plays []*Outcome) []metric {
	var out []metric
	if len(plays) == 0 {
		return nil
	}
	for i, r := range plays[0].Rows[:len(plays[0].Rows)-1] {
		out = append(out, metric{"service of " + r.Class, false, func(o *Outcome) float64 { return o.Rows[i].Service }},
			metric{"p50 of " + r.Class, true, func(o *Outcome) float64 { return o.Rows[i].P50.Seconds() }})
	}
	return out
}

// figures are what is compared: shares by their differences, times and costs by their ratios, whose logarithms are
// closer to a normal distribution.
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
	{"dispatcher CPU a message", true, func(o *Outcome) float64 { return o.Decision }},
	{"idle while work waits", false, func(o *Outcome) float64 { return o.spreadReport().Idle }},
	{"attempts in herds", false, func(o *Outcome) float64 { return o.spreadReport().Herded }},
	{"attempts a try", true, func(o *Outcome) float64 {
		tries := float64(o.Rows[len(o.Rows)-1].Tries)
		return float64(o.spreadReport().Counts.Offered) / max(tries, 1)
	}},
	{"fetched of begun", false, func(o *Outcome) float64 { return o.spreadReport().FetchShare }},
}

// spread gives the use of the hosts, nothing where it was not watched.
func (o *Outcome) spreadReport() *spread.Report {
	if o.Spread == nil {
		return &spread.Report{}
	}
	return o.Spread
}

// compare sets each variant against the first, pair by pair.
func (r *Results) compare() {
	bySeed := map[string]map[uint64]*Outcome{}
	for _, p := range r.Plays {
		if p.Cut {
			continue
		}
		if bySeed[p.Variant] == nil {
			bySeed[p.Variant] = map[uint64]*Outcome{}
		}
		bySeed[p.Variant][p.Seed] = p
	}
	first := r.Variants[0]
	for _, v := range r.Variants[1:] {
		for _, f := range append(classMetrics(r.Plays), metrics...) {
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
				c.Figure, c.Variant, c.Against = f.name, v, first
				c.setVerdict(r.Margin)
				r.Comparisons = append(r.Comparisons, c)
			}
		}
	}
}

// Compare gives the paired difference of b against a with a 95% interval by Student's t on the differences (of
// logarithms, for ratios). The pairs share their day, so that differences vary far less than the figures themselves; t
// is the interval for few of them. The sign-flip test beside it assumes nothing of their distribution but needs at
// least 6 pairs to reach 5%. False where a figure is missing or fewer than two pairs were played.
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
	c.Flip, c.Least = signFlip(d), math.Pow(2, 1-n)
	c.Each = slices.Clone(d)
	if ratio {
		for _, v := range []*float64{&c.Mean, &c.Lo, &c.Hi} {
			*v = math.Expm1(*v)
		}
		for i := range c.Each {
			c.Each[i] = math.Expm1(c.Each[i])
		}
	}
	sorted := slices.Sorted(slices.Values(c.Each))
	c.Smallest = stat.Quantile(0.5, stat.LinInterp, sorted, nil)
	if len(sorted)%2 == 1 {
		c.Smallest = sorted[len(sorted)/2]
	}
	return c, true
}

// signFlip gives how often chance makes a mean at least as far from nothing as the one seen, were the sign of each
// difference a coin's. Up to 16 pairs all flips are counted, beyond them 20,000 drawn from a fixed seed.
func signFlip(d []float64) float64 {
	sum := 0.0
	for _, v := range d {
		sum += v
	}
	seen := math.Abs(sum) * (1 - 1e-12)
	flips, far := 0, 0
	try := func(sign func(int) bool) {
		s := 0.0
		for i, v := range d {
			if sign(i) {
				s += v
			} else {
				s -= v
			}
		}
		if flips++; math.Abs(s) >= seen {
			far++
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
	return float64(far) / float64(flips)
}

// judge says in plain words what an interval tells. A margin is for service alone.
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
