package world

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"granitewing/internal/lab/arrivals"
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/trace"
)

// Day is one run of a deployment, drawn from a seed; its length is set by the Spec, whatever its name says. The same
// seed gives the same day for every variant.
type Day struct {
	*Spec
	Machines   []model.Machine // all hosts, including those that join later
	CachedSets [][]uint64      // data sets that the initial hosts have cached at the start, by host
	Delays     []Delay         // one way, indexed by zone*len(Zones)+zone
	Ops        []Op            // sorted by time
	Jobs       []Job           // sorted by arrival
	Notes      []string        // remarks for the reader of a report, such as the gaps of a trace
	End        time.Duration   // of the arrivals, from the start of the day
}

// Delay is a network delay.
type Delay = time.Duration

// Job is a job that arrives during the day.
type Job struct {
	At     time.Duration // intended arrival, from the start of the day
	Class  int           // index into Classes
	Zone   int           // of the client, index into Zones
	Work   time.Duration // on one core of speed 1
	Hint   time.Duration // the client's estimate of the work
	Slots  float64       // slots that it occupies at a host
	Memory float64       // memory units that it occupies at a host
	Set    int           // data set that it needs; 0 = none
}

// OpKind is the kind of an operation on the deployment.
type OpKind uint8

// The kinds of operations. A driver executes them: package emulate or package virtual. "On" marks kinds that begin with
// Op.On set and end with it clear.
const (
	OpSlow              OpKind = iota // Host runs slower by Factor; 1 = its normal speed again
	OpDrain                           // Host starts to drain
	OpStop                            // Host's process ends after its drain
	OpCrash                           // Host's process is killed
	OpRestart                         // Host's process starts again
	OpVanish                          // Host is unreachable, On
	OpReset                           // Host resets each connection at its next request, On
	OpErrors                          // Host answers each new job with an error, On
	OpRefuse                          // Host refuses new connections, On
	OpStart                           // Host joins and has to warm up
	OpStale                           // discovery publishes no changes, On
	OpDown                            // discovery is down, On
	OpSilent                          // discovery does not answer, On
	OpPartition                       // zones Host and Other can't reach each other, On
	OpLink                            // the fault Link is on the links between Dispatchers and Hosts or discovery, On
	OpKill                            // dispatcher Host is killed
	OpRestartDispatcher               // dispatcher Host starts again

	OpStoreSilent    // the stand-in PostgreSQL server does not answer, On
	OpStoreSlow      // the stand-in PostgreSQL server delays its answers by Lag, On
	OpStoreResets    // the connections of the next Host commits are reset, half of them after the commit was executed
	OpCordon         // Host is cordoned by an operator at every dispatcher, On
	OpQuiesce        // dispatcher Host is drained by an operator, On
	OpPause          // dispatcher Host's process is stopped by SIGSTOP, On
	OpPeers          // the fault Link is on the links of Dispatchers with Others, On
	OpClients        // the fault Link is on the links of clients with Dispatchers, On
	OpReadCounters   // the counters of all dispatchers are read from their admin endpoints
	OpStopDispatcher // dispatcher Host gets SIGTERM; OpRestartDispatcher starts another of its name, whether it has ended or not
)

// Op is one operation on the deployment. OpKind says which fields its kind uses.
type Op struct {
	At     time.Duration
	Kind   OpKind
	Host   int           // a host, or a dispatcher, zone or count
	Other  int           // the second zone of a partition
	Factor float64       // by which a host is slower
	On     bool          // the operation begins a fault; otherwise it ends it
	Lag    time.Duration // until discovery publishes the change
	Label  string        // for reports

	Dispatchers []int // on one side of the links
	Others      []int // dispatchers on the other side
	Hosts       []int // on the other side
	Link        *LinkFault
}

// LinkFault is a fault of a network link. Its Manner is "silent" (bytes wait until the link is healed), "reset"
// (connections are reset), "half" (half of the next segment is delivered, then the direction is cut) or "late" (bytes
// are delayed).
type LinkFault struct {
	Direction  string        // both, to, from
	Manner     string        // silent, reset, half, late
	Discovery  bool          // the links are those to discovery
	Delay      time.Duration // of a late link
	Jitter     time.Duration // jitter of datagrams on a late link
	Loss       float64       // share of datagrams lost on a late link
	Duplicated float64       // share of datagrams duplicated on a late link
}

// Draw draws a day from a seed. It returns an error if a recorded trace can't be read or does not fit the deployment.
func (s *Spec) Draw(seed uint64) (*Day, error) {
	d := &Day{Spec: s}
	// Each part has a random source of its own, so that a change of one part leaves the draws of the others as they
	// are.
	source := func(part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }
	d.drawFleet(source(1))
	if err := d.drawFaults(source(2)); err != nil {
		return nil, err
	}
	if err := d.drawJobs(source(3)); err != nil {
		return nil, err
	}
	d.drawCachedSets(source(4))
	return d, nil
}

// uniform draws a value uniformly from a range.
func uniform(rng *rand.Rand, lo, hi float64) float64 { return lo + (hi-lo)*rng.Float64() }

// drawFleet draws the network delays and the initial hosts.
func (d *Day) drawFleet(rng *rand.Rand) {
	n := len(d.Zones)
	d.Delays = make([]Delay, n*n)
	for a := range n {
		for b := a; b < n; b++ {
			s := d.Delay
			if a == b {
				s = d.DelayWithinZone
			}
			v := Delay(uniform(rng, float64(s.Lo), float64(s.Hi)))
			d.Delays[a*n+b], d.Delays[b*n+a] = v, v
		}
	}
	for i := range d.Fleet.Hosts {
		d.Machines = append(d.Machines, d.drawMachine(i, rng))
	}
}

// drawMachine draws the host of a number. Kinds are assigned by their shares as evenly as whole hosts allow.
func (d *Day) drawMachine(i int, rng *rand.Rand) model.Machine {
	f := &d.Fleet
	total := 0.0
	for _, k := range f.Kinds {
		total += k.Share
	}
	// The multiples of the golden ratio fill the unit interval evenly for any number of hosts.
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
		Cores: k.Cores, Speed: uniform(rng, k.Speed.Lo, k.Speed.Hi), Slots: slots,
		Queue: int(uniform(rng, f.Queue.Lo, f.Queue.Hi) * slots), Backfill: f.Backfill,
		Knee: int(f.Knee * slots), Thrash: f.Thrash, Start: uniform(rng, f.Start.Lo, f.Start.Hi), WarmUp: f.WarmUp.Microseconds(),
		Window: f.Window.Microseconds(), Multiple: f.Multiple, Progress: f.Progress.Microseconds(), Returns: f.Returns,
		Sets: d.Sets.Kept, Fetch: int64(uniform(rng, float64(d.Sets.Fetch.Lo.Microseconds()), float64(d.Sets.Fetch.Hi.Microseconds()))),
	}
	if f.Memory {
		m.Memory = slots
	}
	return m
}

// drawCachedSets fills the hosts' caches with data sets as after a long time of operation. With empty caches a day
// would begin with a burst of fetches that none of its failures has caused.
func (d *Day) drawCachedSets(rng *rand.Rand) {
	d.CachedSets = make([][]uint64, len(d.Machines))
	if d.Sets.Count == 0 || d.Sets.Kept == 0 {
		return
	}
	zipf := arrivals.NewZipf(d.Sets.Count, d.Sets.Zipf)
	for i := range d.Fleet.Hosts {
		for tries := 0; len(d.CachedSets[i]) < min(d.Sets.Kept, d.Sets.Count) && tries < 1000; tries++ {
			if set := uint64(zipf.Draw(rng)); !slices.Contains(d.CachedSets[i], set) {
				d.CachedSets[i] = append(d.CachedSets[i], set)
			}
		}
	}
}

// Member returns discovery's entry for host i. upSince is in microseconds from the start of the day.
func (d *Day) Member(i int, phase model.Phase, upSince int64) model.Member {
	m := &d.Machines[i]
	return model.Member{ID: m.Name, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Phase: phase, Size: 1, UpSince: upSince}
}

// drawFaults turns the described faults, and those drawn from chances, into operations.
func (d *Day) drawFaults(rng *rand.Rand) error {
	faults := slices.Clone(d.Faults)
	length := d.programmeLength()
	for _, c := range d.Chances {
		gap := 60 / max(c.Rate, 1e-9)
		for at := rng.ExpFloat64() * gap; at < length.Seconds(); at += rng.ExpFloat64() * gap {
			f := Fault{Kind: c.Kind, At: time.Duration(at * float64(time.Second)), Grace: 4 * time.Second, Count: 1}
			f.For = time.Duration(uniform(rng, float64(c.For.Lo), float64(c.For.Hi)))
			f.Factor = max(uniform(rng, c.Factor.Lo, c.Factor.Hi), 1)
			if c.Kind == "kill-dispatcher" {
				f.Number = rng.IntN(d.Dispatchers)
				f.For = max(f.For, time.Millisecond)
			}
			if c.Part.Hi > 0 {
				f.Count = max(int(uniform(rng, c.Part.Lo, c.Part.Hi)*float64(d.Fleet.Hosts)+0.5), 1)
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

// affectedHosts returns the hosts that a fault affects: those it names, those of its zone, or a random choice. present
// holds the hosts that have not left.
func (d *Day) affectedHosts(f Fault, rng *rand.Rand, present map[int]bool) []int {
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
		return time.Duration(uniform(rng, float64(d.Discovery.Lag.Lo), float64(d.Discovery.Lag.Hi)))
	}
	add := func(o Op) { d.Ops = append(d.Ops, o) }
	// between adds the begin of a fault and its end after the fault's length, or no end if the length is 0.
	between := func(kind OpKind, host int, label string) {
		add(Op{At: f.At, Kind: kind, Host: host, On: true, Factor: f.Factor, Label: label})
		if f.For > 0 {
			add(Op{At: f.At + f.For, Kind: kind, Host: host, Factor: 1, Label: label + " over"})
		}
	}
	hosts := func(label string, do func(i int, label string)) {
		for _, i := range d.affectedHosts(f, rng, present) {
			do(i, fmt.Sprintf("%s %s", d.Machines[i].Name, label))
		}
	}
	leave := func(i int, at time.Duration) {
		add(Op{At: at, Kind: OpDrain, Host: i, Lag: lag(), Label: d.Machines[i].Name + " drains"})
		add(Op{At: at + f.Grace, Kind: OpStop, Host: i, Lag: lag(), Label: d.Machines[i].Name + " stops"})
	}
	join := func(at time.Duration) {
		i := len(d.Machines)
		d.Machines = append(d.Machines, d.drawMachine(i, rng))
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
		for k, i := range d.affectedHosts(f, rng, present) {
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
		for _, i := range d.affectedHosts(f, rng, present) {
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
		add(Op{At: f.At, Kind: OpPartition, Host: a, Other: b, On: true, Label: label})
		if f.For > 0 {
			add(Op{At: f.At + f.For, Kind: OpPartition, Host: a, Other: b, Label: label + " no more"})
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
		of := d.affectedDispatchers(f, rng)
		var hosts []int
		kind := OpLink
		switch {
		case f.Peers != "":
			kind = OpPeers
		case f.ToClients:
			kind = OpClients
		default:
			hosts = d.affectedHosts(f, rng, present)
		}
		if len(hosts) == 0 && !f.ToDiscovery && kind == OpLink {
			for i := range d.Machines {
				hosts = append(hosts, i)
			}
		}
		op := Op{At: f.At, Kind: kind, On: true, Dispatchers: of, Hosts: hosts,
			Link: &LinkFault{Direction: f.Way, Manner: f.Manner, Discovery: f.ToDiscovery, Delay: f.Delay, Jitter: f.Spread, Loss: f.Loss, Duplicated: f.Duplicated}}
		where := fmt.Sprintf("%d hosts", len(hosts))
		switch {
		case f.ToDiscovery:
			where = "discovery"
		case f.ToClients:
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
		add(Op{At: f.At, Kind: OpReadCounters, Label: "the doors are asked"})
	case "quiesce-dispatcher", "pause-dispatcher", "kill-dispatcher", "restart-dispatcher":
		what := map[string]struct {
			begin, end   OpKind
			name, ending string
		}{
			"quiesce-dispatcher": {OpQuiesce, OpQuiesce, "drained", "drained no more"},
			"pause-dispatcher":   {OpPause, OpPause, "stopped", "goes on"},
			"kill-dispatcher":    {OpKill, OpRestartDispatcher, "killed", "back"},
			"restart-dispatcher": {OpStopDispatcher, OpRestartDispatcher, "told to end", "started anew"},
		}[f.Kind]
		for _, i := range d.affectedDispatchers(f, rng) {
			add(Op{At: f.At, Kind: what.begin, Host: i, On: what.begin == what.end, Label: fmt.Sprintf("dispatcher %d %s", i, what.name)})
			if f.For > 0 {
				add(Op{At: f.At + f.For, Kind: what.end, Host: i, Label: fmt.Sprintf("dispatcher %d %s", i, what.ending)})
			}
		}
	}
}

// affectedDispatchers returns the dispatchers that a fault affects: those it names, those of a zone, or a random
// choice.
func (d *Day) affectedDispatchers(f Fault, rng *rand.Rand) []int {
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

// programmeLength returns how long jobs arrive by the rate programmes alone; recorded traces are not counted.
func (d *Day) programmeLength() time.Duration {
	length := d.Load.Programme.Steps.Length()
	for _, s := range d.Load.Streams {
		length = max(length, s.Programme.Steps.Length())
	}
	return max(length, time.Second)
}

// drawJobs draws the jobs of all streams.
func (d *Day) drawJobs(rng *rand.Rand) error {
	means := make([]float64, len(d.Classes)) // mean work of the day, seconds
	shares := make([]float64, len(d.Classes))
	total := 0.0
	for i, c := range d.Classes {
		means[i] = uniform(rng, c.Work.Lo.Seconds(), c.Work.Hi.Seconds())
		total += c.Share
		shares[i] = total
	}
	var sets *arrivals.Zipf
	if d.Sets.Count > 0 {
		sets = arrivals.NewZipf(d.Sets.Count, d.Sets.Zipf)
	}
	fill := func(j *Job, classKnown bool) {
		if !classKnown {
			x := rng.Float64() * total
			j.Class = min(slices.IndexFunc(shares, func(s float64) bool { return x < s }), len(shares)-1)
		}
		c := &d.Classes[j.Class]
		if j.Work == 0 {
			// Log-normal with the day's mean.
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
		j.Memory = uniform(rng, c.Memory.Lo, c.Memory.Hi)
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
		for _, at := range arrivals.Times(s.Programme.Steps, s.Process, rng) {
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

// drawTrace adds the jobs of a recorded trace. Values that the trace does not contain are drawn.
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
