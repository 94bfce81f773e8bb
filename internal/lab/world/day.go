package world

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"granitewing/internal/lab/arrive"
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/trace"
)

// Day is one draw of a deployment. Two draws from the same seed are the same, whatever variant plays them.
type Day struct {
	*Spec
	Machines []model.Machine // those that come later included
	Kept     [][]uint64      // data sets that the hosts of the day's begin have from before
	Delays   []Delay         // one way, by zone times zones plus zone
	Ops      []Op
	Jobs     []Job
	Notes    []string      // what the reader of a report has to know, such as the gaps of a trace
	End      time.Duration // of the arrivals
}

// Delay is a time on the way.
type Delay = time.Duration

// Job is a job as it will arrive.
type Job struct {
	At     time.Duration // intended, from the day's start
	Class  int
	Zone   int
	Work   time.Duration // on one core of speed 1
	Hint   time.Duration
	Slots  float64
	Memory float64
	Set    int // data set, 0 = none
}

// OpKind is what happens to a part of the deployment.
type OpKind uint8

// The kinds of operations; a driver carries them out.
const (
	OpSlow OpKind = iota // Host, Factor (1 = its own pace again)
	OpDrain
	OpStop // the process ends in order after its drain
	OpCrash
	OpRestart
	OpVanish // Host says nothing more, On; or is back
	OpReset  // Host resets each connection at its next request, On
	OpErrors
	OpRefuse // Host refuses new connections, On
	OpStart  // Host joins, cold
	OpStale
	OpDown   // discovery
	OpSilent // discovery
	OpPart   // zones Host and Other can't reach each other, On
	OpLink   // links between Dispatchers and Hosts or discovery suffer Link, On
	OpKill   // dispatcher Host
	OpRevive // dispatcher Host

	OpStoreSilent // the stand-in PostgreSQL server, On
	OpStoreSlow   // Lag is the delay of its answers, On
	OpStoreResets // the next Host commits end in resets, half of them after they were done
	OpCordon      // Host is cordoned by hand at every dispatcher, On; or put back
	OpQuiesce     // dispatcher Host is drained by hand, On; or resumes
	OpPause       // dispatcher Host's process is stopped, On; or continued
	OpPeers       // links of Dispatchers with those in Others suffer Link, On
	OpClients     // links of clients with Dispatchers suffer Link, On
	OpLook        // the doors of all dispatchers are asked for their figures
	OpEnd         // dispatcher Host gets SIGTERM; OpRevive starts another of its name, whether it has ended or not
)

// Op is one thing that happens.
type Op struct {
	At     time.Duration
	Kind   OpKind
	Host   int
	Other  int
	Factor float64
	On     bool
	Lag    time.Duration // until discovery tells of it
	Label  string        // for reports

	Dispatchers []int // of a link
	Others      []int
	Hosts       []int
	Link        *LinkFault
}

// LinkFault is what a link suffers.
type LinkFault struct {
	Way       string // both, to, from
	Manner    string // silent, reset, half, late
	Discovery bool
	Delay     time.Duration
	Spread    time.Duration
	Loss      float64
	Twice     float64
}

// Draw draws a day.
func (s *Spec) Draw(seed uint64) (*Day, error) {
	d := &Day{Spec: s}
	// Sources of their own, so that a change in one part of a deployment leaves the draws of the others as they are.
	source := func(part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }
	d.drawFleet(source(1))
	if err := d.drawFaults(source(2)); err != nil {
		return nil, err
	}
	if err := d.drawJobs(source(3)); err != nil {
		return nil, err
	}
	d.drawKept(source(4))
	return d, nil
}

func within(rng *rand.Rand, lo, hi float64) float64 { return lo + (hi-lo)*rng.Float64() }

func (d *Day) drawFleet(rng *rand.Rand) {
	n := len(d.Zones)
	d.Delays = make([]Delay, n*n)
	for a := range n {
		for b := a; b < n; b++ {
			s := d.Delay
			if a == b {
				s = d.Near
			}
			v := Delay(within(rng, float64(s.Lo), float64(s.Hi)))
			d.Delays[a*n+b], d.Delays[b*n+a] = v, v
		}
	}
	for i := range d.Fleet.Hosts {
		d.Machines = append(d.Machines, d.machine(i, rng))
	}
}

// machine draws the host of a number. Kinds are dealt out by their shares as evenly as whole hosts allow.
func (d *Day) machine(i int, rng *rand.Rand) model.Machine {
	f := &d.Fleet
	total := 0.0
	for _, k := range f.Kinds {
		total += k.Share
	}
	// The golden ratio's multiples fill the unit interval evenly whatever the number of hosts.
	x := math.Mod(float64(i)*0.6180339887498949, 1) * total
	kind := 0
	for kind < len(f.Kinds)-1 && x >= f.Kinds[kind].Share {
		x -= f.Kinds[kind].Share
		kind++
	}
	k := f.Kinds[kind]
	slots := k.Slots
	if slots == 0 {
		slots = k.Cores
	}
	m := model.Machine{
		Name: HostName(i), Zone: i % len(d.Zones), Kind: kind, Cell: i / f.CellSize,
		Cores: k.Cores, Speed: within(rng, k.Speed.Lo, k.Speed.Hi), Slots: slots,
		Queue: int(within(rng, f.Queue.Lo, f.Queue.Hi) * slots), Backfill: f.Backfill,
		Knee: int(f.Knee * slots), Thrash: f.Thrash, Start: within(rng, f.Start.Lo, f.Start.Hi), WarmUp: f.WarmUp.Microseconds(),
		Window: f.Window.Microseconds(), Multiple: f.Multiple, Progress: f.Progress.Microseconds(), Returns: f.Returns,
		Sets: d.Sets.Kept, Fetch: int64(within(rng, float64(d.Sets.Fetch.Lo.Microseconds()), float64(d.Sets.Fetch.Hi.Microseconds()))),
	}
	if f.Memory {
		m.Memory = slots
	}
	return m
}

// drawKept gives the hosts what they would have fetched in a long day before: without it a day would begin with a storm
// of fetches that no failure of it has caused.
func (d *Day) drawKept(rng *rand.Rand) {
	d.Kept = make([][]uint64, len(d.Machines))
	if d.Sets.Count == 0 || d.Sets.Kept == 0 {
		return
	}
	zipf := arrive.NewZipf(d.Sets.Count, d.Sets.Zipf)
	for i := range d.Fleet.Hosts {
		for tries := 0; len(d.Kept[i]) < min(d.Sets.Kept, d.Sets.Count) && tries < 1000; tries++ {
			if set := uint64(zipf.Draw(rng)); !slices.Contains(d.Kept[i], set) {
				d.Kept[i] = append(d.Kept[i], set)
			}
		}
	}
}

// Member is discovery's entry for a host.
func (d *Day) Member(i int, phase model.Phase, upSince int64) model.Member {
	m := &d.Machines[i]
	return model.Member{ID: m.Name, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Phase: phase, Size: 1, UpSince: upSince}
}

func (d *Day) drawFaults(rng *rand.Rand) error {
	faults := slices.Clone(d.Faults)
	length := d.length()
	for _, c := range d.Chances {
		gap := 60 / max(c.Rate, 1e-9)
		for at := rng.ExpFloat64() * gap; at < length.Seconds(); at += rng.ExpFloat64() * gap {
			f := Fault{Kind: c.Kind, At: time.Duration(at * float64(time.Second)), Grace: 4 * time.Second, Count: 1}
			f.For = time.Duration(within(rng, float64(c.For.Lo), float64(c.For.Hi)))
			f.Factor = max(within(rng, c.Factor.Lo, c.Factor.Hi), 1)
			if c.Kind == "kill-dispatcher" {
				f.Number = rng.IntN(d.Dispatchers)
				f.For = max(f.For, time.Millisecond)
			}
			if c.Part.Hi > 0 {
				f.Count = max(int(within(rng, c.Part.Lo, c.Part.Hi)*float64(d.Fleet.Hosts)+0.5), 1)
			}
			faults = append(faults, f)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	present := map[int]bool{}
	for i := range d.Machines {
		present[i] = true
	}
	for _, f := range faults {
		d.schedule(f, rng, present)
	}
	slices.SortStableFunc(d.Ops, func(a, b Op) int { return cmp.Compare(a.At, b.At) })
	return nil
}

// struck draws or finds the hosts that a fault strikes.
func (d *Day) struck(f Fault, rng *rand.Rand, present map[int]bool) []int {
	var out []int
	for _, h := range f.Hosts {
		out = append(out, d.hostNumber(h))
	}
	if f.Zone != "" {
		for i := range d.Machines {
			if present[i] && d.Machines[i].Zone == slices.Index(d.Zones, f.Zone) {
				out = append(out, i)
			}
		}
	}
	n := f.Count
	if f.Share > 0 {
		n = max(int(f.Share*float64(len(present))+0.5), 1)
	}
	if len(out) == 0 && n > 0 {
		var all []int
		for i := range d.Machines {
			if present[i] {
				all = append(all, i)
			}
		}
		rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
		out = all[:min(n, len(all))]
		slices.Sort(out)
	}
	return out
}

// schedule turns a fault into operations.
func (d *Day) schedule(f Fault, rng *rand.Rand, present map[int]bool) {
	lag := func() time.Duration {
		return time.Duration(within(rng, float64(d.Discovery.Lag.Lo), float64(d.Discovery.Lag.Hi)))
	}
	add := func(o Op) { d.Ops = append(d.Ops, o) }
	// between begins something and ends it after the fault's length, or never where it has none.
	between := func(kind OpKind, host int, label string) {
		add(Op{At: f.At, Kind: kind, Host: host, On: true, Factor: f.Factor, Label: label})
		if f.For > 0 {
			add(Op{At: f.At + f.For, Kind: kind, Host: host, Factor: 1, Label: label + " over"})
		}
	}
	hosts := func(label string, do func(i int, label string)) {
		for _, i := range d.struck(f, rng, present) {
			do(i, fmt.Sprintf("%s %s", d.Machines[i].Name, label))
		}
	}
	leave := func(i int, at time.Duration) {
		add(Op{At: at, Kind: OpDrain, Host: i, Lag: lag(), Label: d.Machines[i].Name + " drains"})
		add(Op{At: at + f.Grace, Kind: OpStop, Host: i, Lag: lag(), Label: d.Machines[i].Name + " stops"})
	}
	join := func(at time.Duration) {
		i := len(d.Machines)
		d.Machines = append(d.Machines, d.machine(i, rng))
		present[i] = true
		add(Op{At: at, Kind: OpStart, Host: i, Lag: lag(), Label: d.Machines[i].Name + " joins"})
	}
	switch f.Kind {
	case "slow":
		hosts(fmt.Sprintf("slow x%.1f", f.Factor), func(i int, label string) { between(OpSlow, i, label) })
	case "drain", "shrink":
		if f.Kind == "shrink" {
			f.Hosts, f.Zone, f.Share = nil, "", 0
		}
		for k, i := range d.struck(f, rng, present) {
			at := f.At
			if f.Kind == "shrink" && f.Count > 1 {
				at += f.For * time.Duration(k) / time.Duration(f.Count)
			}
			delete(present, i)
			leave(i, at)
		}
	case "grow":
		for k := range f.Count {
			join(f.At + f.For*time.Duration(k)/time.Duration(f.Count))
		}
	case "churn": // hosts are replaced by new ones
		for _, i := range d.struck(f, rng, present) {
			delete(present, i)
			leave(i, f.At)
			join(f.At)
		}
	case "crash":
		hosts("crashes", func(i int, label string) {
			add(Op{At: f.At, Kind: OpCrash, Host: i, Lag: lag(), Label: label})
			if f.For > 0 {
				add(Op{At: f.At + f.For, Kind: OpRestart, Host: i, Lag: lag(), Label: d.Machines[i].Name + " restarts"})
			}
		})
	case "restart":
		hosts("restarts", func(i int, label string) {
			add(Op{At: f.At, Kind: OpCrash, Host: i, Lag: lag(), Label: label})
			add(Op{At: f.At + max(f.For, time.Millisecond), Kind: OpRestart, Host: i, Lag: lag(), Label: d.Machines[i].Name + " is up"})
		})
	case "vanish":
		hosts("vanishes", func(i int, label string) { between(OpVanish, i, label) })
	case "cordon":
		hosts("cordoned", func(i int, label string) { between(OpCordon, i, label) })
	case "reset":
		hosts("resets", func(i int, label string) { between(OpReset, i, label) })
	case "errors":
		hosts("answers errors", func(i int, label string) { between(OpErrors, i, label) })
	case "refuse":
		hosts("refuses connections", func(i int, label string) { between(OpRefuse, i, label) })
	case "stale":
		between(OpStale, 0, "list stale")
	case "discovery-down":
		between(OpDown, 0, "discovery down")
	case "discovery-silent":
		between(OpSilent, 0, "discovery silent")
	case "partition":
		a, b := slices.Index(d.Zones, f.Zones[0]), slices.Index(d.Zones, f.Zones[1])
		label := fmt.Sprintf("%s and %s parted", f.Zones[0], f.Zones[1])
		add(Op{At: f.At, Kind: OpPart, Host: a, Other: b, On: true, Label: label})
		if f.For > 0 {
			add(Op{At: f.At + f.For, Kind: OpPart, Host: a, Other: b, Label: label + " no more"})
		}
	case "store-silent":
		between(OpStoreSilent, 0, "store silent")
	case "store-slow":
		add(Op{At: f.At, Kind: OpStoreSlow, On: true, Lag: f.Delay, Label: fmt.Sprintf("store slow by %v", f.Delay)})
		if f.For > 0 {
			add(Op{At: f.At + f.For, Kind: OpStoreSlow, Label: "store slow over"})
		}
	case "store-resets":
		add(Op{At: f.At, Kind: OpStoreResets, Host: max(f.Count, 1), Label: fmt.Sprintf("store resets %d commits", max(f.Count, 1))})
	case "link":
		of := d.dispatchersOf(f, rng)
		var hosts []int
		kind := OpLink
		switch {
		case f.Peers != "":
			kind = OpPeers
		case f.Client:
			kind = OpClients
		default:
			hosts = d.struck(f, rng, present)
		}
		if len(hosts) == 0 && !f.Source && kind == OpLink {
			for i := range d.Machines {
				hosts = append(hosts, i)
			}
		}
		op := Op{At: f.At, Kind: kind, On: true, Dispatchers: of, Hosts: hosts,
			Link: &LinkFault{Way: f.Way, Manner: f.Manner, Discovery: f.Source, Delay: f.Delay, Spread: f.Spread, Loss: f.Loss, Twice: f.Twice}}
		where := fmt.Sprintf("%d hosts", len(hosts))
		switch {
		case f.Source:
			where = "discovery"
		case f.Client:
			where = "clients"
		case f.Peers != "":
			for i := range d.Dispatchers {
				if f.Peers == "all" || !slices.Contains(of, i) {
					op.Others = append(op.Others, i)
				}
			}
			where = fmt.Sprintf("%d dispatchers", len(op.Others))
		}
		op.Label = fmt.Sprintf("links of %d dispatchers with %s %s, %s", len(of), where, f.Manner, f.Way)
		add(op)
		if f.For > 0 {
			op.At, op.On, op.Label = f.At+f.For, false, op.Label+", whole again"
			add(op)
		}
	case "look":
		add(Op{At: f.At, Kind: OpLook, Label: "the doors are asked"})
	case "quiesce-dispatcher", "pause-dispatcher", "kill-dispatcher", "restart-dispatcher":
		what := map[string]struct {
			begin, end   OpKind
			name, ending string
		}{
			"quiesce-dispatcher": {OpQuiesce, OpQuiesce, "drained", "drained no more"},
			"pause-dispatcher":   {OpPause, OpPause, "stopped", "goes on"},
			"kill-dispatcher":    {OpKill, OpRevive, "killed", "back"},
			"restart-dispatcher": {OpEnd, OpRevive, "told to end", "started anew"},
		}[f.Kind]
		for _, i := range d.dispatchersOf(f, rng) {
			add(Op{At: f.At, Kind: what.begin, Host: i, On: what.begin == what.end, Label: fmt.Sprintf("dispatcher %d %s", i, what.name)})
			if f.For > 0 {
				add(Op{At: f.At + f.For, Kind: what.end, Host: i, Label: fmt.Sprintf("dispatcher %d %s", i, what.ending)})
			}
		}
	}
}

// dispatchersOf draws or finds the dispatchers that a fault strikes.
func (d *Day) dispatchersOf(f Fault, rng *rand.Rand) []int {
	if f.Of == nil {
		return []int{f.Number}
	}
	var out []int
	for _, n := range f.Of.Names {
		out = append(out, d.dispatcherNumber(n))
	}
	if f.Of.Zone != "" {
		zone := slices.Index(d.Zones, f.Of.Zone)
		for i := range d.Dispatchers {
			if d.ZoneOf(i) == zone {
				out = append(out, i)
			}
		}
	}
	n := f.Of.Count
	if f.Of.Share > 0 {
		n = max(int(f.Of.Share*float64(d.Dispatchers)+0.5), 1)
	}
	if len(out) == 0 {
		out = rng.Perm(d.Dispatchers)[:min(n, d.Dispatchers)]
		slices.Sort(out)
	}
	return out
}

// length is how long jobs arrive, as far as the settings alone tell.
func (d *Day) length() time.Duration {
	length := d.Load.Programme.Steps.Length()
	for _, s := range d.Load.Streams {
		length = max(length, s.Programme.Steps.Length())
	}
	return max(length, time.Second)
}

func (d *Day) drawJobs(rng *rand.Rand) error {
	means := make([]float64, len(d.Classes)) // of the day, seconds
	shares := make([]float64, len(d.Classes))
	total := 0.0
	for i, c := range d.Classes {
		means[i] = within(rng, c.Work.Lo.Seconds(), c.Work.Hi.Seconds())
		total += c.Share
		shares[i] = total
	}
	var sets *arrive.Zipf
	if d.Sets.Count > 0 {
		sets = arrive.NewZipf(d.Sets.Count, d.Sets.Zipf)
	}
	fill := func(j *Job, fixed bool) {
		if !fixed {
			x := rng.Float64() * total
			j.Class = min(slices.IndexFunc(shares, func(s float64) bool { return x < s }), len(shares)-1)
		}
		c := &d.Classes[j.Class]
		if j.Work == 0 {
			// A log-normal whose mean is the day's.
			w := means[j.Class] * math.Exp(c.Spread*rng.NormFloat64()-c.Spread*c.Spread/2)
			j.Work = max(time.Duration(w*float64(time.Second)), time.Microsecond)
		}
		j.Hint = max(time.Duration(float64(j.Work)*math.Exp(c.Hint*rng.NormFloat64())), time.Microsecond)
		sum := 0.0
		for _, s := range c.Slots {
			sum += s
		}
		x := rng.Float64() * sum
		j.Slots = 1
		for k, s := range c.Slots {
			if x -= s; x < 0 {
				j.Slots = float64(k + 1)
				break
			}
		}
		j.Memory = within(rng, c.Memory.Lo, c.Memory.Hi)
		if j.Set == 0 && sets != nil {
			j.Set = sets.Draw(rng)
		}
	}
	streams := d.Load.Streams
	if len(d.Load.Programme.Steps) > 0 {
		streams = append([]Stream{{Process: d.Load.Process, Programme: d.Load.Programme}}, streams...)
	}
	for _, s := range streams {
		if s.Trace != nil {
			if err := d.drawTrace(s, rng, fill); err != nil {
				return err
			}
			continue
		}
		class := slices.IndexFunc(d.Classes, func(c Class) bool { return c.Name == s.Class })
		zone := slices.Index(d.Zones, s.Zone)
		for _, at := range arrive.Times(s.Programme.Steps, s.Process, rng) {
			j := Job{At: at, Class: max(class, 0), Zone: zone}
			if zone < 0 {
				j.Zone = rng.IntN(len(d.Zones))
			}
			fill(&j, class >= 0)
			d.Jobs = append(d.Jobs, j)
		}
		d.End = max(d.End, s.Programme.Steps.Length())
	}
	slices.SortStableFunc(d.Jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
	return nil
}

// drawTrace adds the jobs of a recorded trace; what it doesn't say is drawn.
func (d *Day) drawTrace(s Stream, rng *rand.Rand, fill func(*Job, bool)) error {
	path := s.Trace.File
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(s.Where.File), path)
	}
	t, err := trace.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Where, err)
	}
	gap := time.Duration(s.Trace.Limit * float64(time.Second))
	t, rep := t.Gaps(trace.GapMode(s.Trace.Gaps), gap, rng)
	t = t.Scale(s.Trace.Pace, s.Trace.Rate, rng)
	d.Notes = append(d.Notes, fmt.Sprintf("trace %s: %s", s.Trace.File, rep))
	for _, e := range t.Entries {
		j := Job{At: e.At, Work: e.Work, Zone: rng.IntN(len(d.Zones))}
		j.Class = slices.IndexFunc(d.Classes, func(c Class) bool { return c.Name == e.Class })
		if e.Class != "" && j.Class < 0 {
			return fmt.Errorf("%s: trace %s has class %q, which the experiment does not describe", s.Where, path, e.Class)
		}
		if z := slices.Index(d.Zones, e.Zone); z >= 0 {
			j.Zone = z
		}
		if e.Key != "" && d.Sets.Count > 0 {
			j.Set = 1 + int(trace.Hash(e.Key)%uint64(d.Sets.Count))
		}
		known := j.Class >= 0
		j.Class = max(j.Class, 0)
		fill(&j, known)
		d.Jobs = append(d.Jobs, j)
	}
	d.End = max(d.End, t.Length())
	return nil
}
