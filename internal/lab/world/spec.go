// Package world describes a deployment for the laboratory and draws a simulated day of it from a seed.
//
// Read and Parse decode an experiment file into a Spec. Spec.Draw returns a Day: its hosts, data sets, network delays,
// jobs with their arrival times, and operations such as crashes and partitions. Day.Config writes the configurations of
// the dispatchers. Packages emulate and virtual run a Day on real sockets and in virtual time.
package world

import (
	"fmt"
	"slices"
	"time"

	"granitewing/internal/lab/arrivals"
	"granitewing/internal/lab/client"
	"granitewing/internal/settings"
)

// Spec is an experiment file: a deployment, its load and failures, and the variants to compare.
type Spec struct {
	Name            string                 `sexp:",arg,required"`
	About           string                 `sexp:"about"`
	Seed            uint64                 `sexp:"seed"`
	Pairs           int                    `sexp:"pairs" min:"1" max:"1000"`
	Length          time.Duration          `sexp:"length" min:"0.1"` // how long jobs arrive if no programme is given
	Zones           []string               `sexp:"zones"`
	Delay           settings.DurationRange `sexp:"zone-delay" min:"0"` // one way between zones
	DelayWithinZone settings.DurationRange `sexp:"near-delay" min:"0"` // one way within a zone, in virtual time
	Dispatchers     int                    `sexp:"dispatchers" min:"1" max:"1000"`
	Descriptors     int                    `sexp:"descriptors" min:"64" max:"1048576"`
	Memory          settings.Size          `sexp:"memory"`
	Cores           float64                `sexp:"cores" min:"0.05"`
	Fleet           Fleet                  `sexp:"fleet"`
	Sets            DataSets               `sexp:"data-sets"`
	Classes         []Class                `sexp:"class"`
	Load            Load                   `sexp:"load"`
	Clients         client.Behaviour       `sexp:"clients"`
	Discovery       Discovery              `sexp:"discovery"`
	Faults          []Fault                `sexp:"slow|drain|crash|restart|vanish|reset|errors|refuse|stale|discovery-down|discovery-silent|grow|shrink|partition|kill-dispatcher|churn|store-silent|store-slow|store-resets|cordon|quiesce-dispatcher|pause-dispatcher|restart-dispatcher|link|look"`
	Chances         []Chance               `sexp:"chance"`
	Generator       Generator              `sexp:"generator"`
	Variants        []Variant              `sexp:"variant"`
	// DispatcherSettings holds the dispatchers' own settings, in which {dir} and {name} are replaced. They are kept
	// over restarts.
	DispatcherSettings string       `sexp:"settings"`
	Postgres           bool         `sexp:"postgres"`      // start a stand-in server, whose URL replaces {postgres}
	Records            bool         `sexp:"audit-records"` // the dispatchers keep a record store, which is audited
	Virtual            bool         `sexp:"virtual"`
	Margin             float64      `sexp:"margin" min:"0" max:"1"` // a smaller difference of service counts as none
	Sweep              *Sweep       `sexp:"sweep"`
	Where              settings.Pos `sexp:",pos"`
}

// Fleet describes the hosts.
type Fleet struct {
	Hosts    int            `sexp:"hosts" min:"1" max:"100000"`
	Kinds    []HostKind     `sexp:"host-kind"`
	Start    settings.Range `sexp:"start" min:"0.01" max:"1"` // share of its capacity that a cold host has
	WarmUp   time.Duration  `sexp:"warm-up" min:"0"`          // from the start until a host is warm
	Window   time.Duration  `sexp:"fall-window" min:"0"`      // over which the work offered to a cold host is summed
	Multiple float64        `sexp:"fall-multiple" min:"0"`    // of its capacity, above which a cold host collapses; 0 = never
	Queue    settings.Range `sexp:"queue" min:"0"`            // waiting jobs per slot, at most
	Knee     float64        `sexp:"knee" min:"0"`             // jobs held per slot above which a host loses efficiency
	Thrash   float64        `sexp:"thrash" min:"0" max:"0.5"` // efficiency lost per job above the knee
	Backfill bool           `sexp:"backfill"`                 // a waiting job that fits may pass earlier ones that don't
	Returns  bool           `sexp:"drain-returns"`            // a draining host returns waiting jobs unstarted
	Progress time.Duration  `sexp:"progress" min:"0"`         // between progress reports; 0 = none
	Memory   bool           `sexp:"count-memory"`             // jobs occupy memory, of which a host has one unit per slot
	CellSize int            `sexp:"rack" min:"1"`             // hosts per rack
	Links    Links          `sexp:"links"`
}

// HostKind is one kind of host.
type HostKind struct {
	Name  string         `sexp:",arg,required"`
	Share float64        `sexp:"share,required" min:"0"`
	Cores float64        `sexp:"cores,required" min:"0.1"`   // of each host
	Slots float64        `sexp:"slots" min:"0"`              // default: the number of cores
	Speed settings.Range `sexp:"speed,required" min:"0.001"` // of a core, relative to the reference speed 1
}

// DataSets describes the data sets that jobs need at their host.
type DataSets struct {
	Count int                    `sexp:"count" min:"0"`        // 0 = jobs need none
	Zipf  float64                `sexp:"zipf" min:"0" max:"4"` // exponent of their popularity
	Kept  int                    `sexp:"kept" min:"0"`         // that a host caches
	Fetch settings.DurationRange `sexp:"fetch" min:"0"`        // time to fetch one from an idle store
	Store float64                `sexp:"store" min:"0"`        // concurrent fetches that the store serves at full speed
}

// Class is a class of jobs.
type Class struct {
	Name    string                 `sexp:",arg,required"`
	Share   float64                `sexp:"share,required" min:"0"`
	Work    settings.DurationRange `sexp:"work,required" min:"0.000001"`               // the mean of a day is drawn from this range
	Spread  float64                `sexp:"spread" min:"0" max:"4"`                     // sigma of the logarithm of a job's work
	Hint    float64                `sexp:"hint-error" min:"0" max:"4"`                 // sigma of the logarithm of the hint's error
	Aim     time.Duration          `sexp:"aim,required" min:"0"`                       // target latency
	Stretch float64                `sexp:"stretch" min:"0"`                            // the target grows by the work times this
	GiveUp  time.Duration          `sexp:"give-up,required" min:"0.001"`               // client deadline
	Worth   float64                `sexp:"worth" min:"0"`                              // value per second of work
	Repeat  string                 `sexp:"repeat,required" one-of:"safe|keyed|unsafe"` // whether jobs may be repeated
	Window  time.Duration          `sexp:"repeat-window" min:"0"`                      // for which hosts remember the key
	Slots   []float64              `sexp:"slots" min:"0"`                              // shares of jobs with 1, 2, … slots
	Memory  settings.Range         `sexp:"memory" min:"0"`
	Gang    *GangSpec              `sexp:"gang"`
}

// SetDefaults implements settings.Defaulter.
func (c *Class) SetDefaults() {
	c.Worth, c.Hint, c.Spread, c.Window, c.Slots = 1, 0.3, 0.8, 40*time.Second, []float64{1}
}

// Load describes the arrivals: one stream over all classes and zones by rate, process and programme, or several
// streams.
type Load struct {
	Rate      float64          `sexp:"rate" min:"0"` // jobs per second over the whole length, if no programme is given
	Process   arrivals.Process `sexp:"process"`
	Programme Steps            `sexp:"programme"`
	Streams   []Stream         `sexp:"stream"`
}

// Steps is a rate programme.
type Steps struct {
	Steps arrivals.Programme `sexp:"constant|ramp|burst|wave"`
}

// Stream is a further source of jobs. It is restricted to a class or zone if it names one.
type Stream struct {
	Class     string           `sexp:"class"`
	Zone      string           `sexp:"zone"`
	Process   arrivals.Process `sexp:"process"`
	Programme Steps            `sexp:"programme"`
	Trace     *TraceSource     `sexp:"trace"`
	Where     settings.Pos     `sexp:",pos"`
}

// TraceSource replays a recorded trace.
type TraceSource struct {
	File  string  `sexp:",arg,required"`
	Gaps  string  `sexp:"gaps" one-of:"keep|close|fill"`
	Limit float64 `sexp:"gap" min:"0"`        // seconds without an arrival that count as a gap; 0 = derived from the trace
	Pace  float64 `sexp:"pace" min:"0.001"`   // speed-up factor
	Rate  float64 `sexp:"rate" min:"0.00001"` // factor on the number of jobs, applied class by class
}

// SetDefaults implements settings.Defaulter.
func (t *TraceSource) SetDefaults() { t.Gaps, t.Pace, t.Rate = "keep", 1, 1 }

// SetDefaults implements settings.Defaulter.
func (s *Stream) SetDefaults() { s.Process.SetDefaults() }

// Discovery describes how late the list of hosts is.
type Discovery struct {
	Lag settings.DurationRange `sexp:"lag" min:"0"` // from a change of a host until it is published
}

// Generator holds the limits that the load generator must keep for a run to be valid.
type Generator struct {
	Lag   time.Duration `sexp:"lag" min:"0.0001"`        // 99th percentile of the send lag behind the schedule
	CPU   float64       `sexp:"cpu" min:"0.05" max:"1"`  // of the machine's cores, by the laboratory's own process
	Sched time.Duration `sexp:"scheduling" min:"0.0001"` // 99th percentile of the time that goroutines wait for a CPU
}

// Variant is one side of a comparison.
type Variant struct {
	Name string `sexp:",arg,required"`
	// Dispatchers overrides the experiment's number of dispatchers if it is not 0. It allows to compare many
	// dispatchers with a single one that sees all jobs.
	Dispatchers int `sexp:"dispatchers" min:"0" max:"1000"`

	Program            string   `sexp:"program"`                                             // another build of the dispatcher
	Set                []Change `sexp:"set"`                                                 // overrides of the platform's configuration
	DispatcherSettings string   `sexp:"settings"`                                            // overrides the experiment's
	Policy             string   `sexp:"policy" one-of:"module|random|least|two|round-robin"` // in virtual time: how a host is chosen
	Share              *Share   `sexp:"share"`                                               // in virtual time: dispatchers share state
}

// Share describes how dispatchers report their outstanding work to each other.
type Share struct {
	Every time.Duration `sexp:"every,required" min:"0.01"` // period of the reports
	// Hubs is the number of dispatchers that sum up reports for the others. 0 is the product's default; with as many
	// hubs as dispatchers each sends to all.
	Hubs int                    `sexp:"hubs" min:"0" max:"1000"`
	Late settings.DurationRange `sexp:"late" min:"0"` // network delay of a report
	Loss float64                `sexp:"loss" min:"0" max:"1"`
	// Verdicts makes the dispatchers judge together which hosts fail.
	Verdicts string `sexp:"verdicts" one-of:"on|off"`
	// Slack makes them admit jobs by one price for the whole fleet.
	Slack string `sexp:"slack" one-of:"on|off"`
	// Gangs makes them run gang classes in parts, at hosts that this placement policy chooses. Empty: no gangs.
	Gangs string `sexp:"gangs" one-of:"scored|first|random|racks|late|no-crowd|no-pieces|no-push"`
}

// For returns the deployment with the overrides of a variant.
func (s *Spec) For(v Variant) *Spec {
	if v.Dispatchers == 0 {
		return s
	}
	c := *s
	c.Dispatchers = v.Dispatchers
	return &c
}

// Change overrides a setting of the dispatchers: a path such as Rules.Cold, and a JSON value.
type Change struct {
	Path  string `sexp:",arg,required"`
	Value string `sexp:",arg,required"`
}

// Sweep runs fleets of several sizes, each with the load of the described fleet scaled to its number of hosts.
type Sweep struct {
	Hosts       []int `sexp:"hosts,required" min:"1" max:"100000"`
	Dispatchers []int `sexp:"dispatchers,required" min:"1" max:"1000"`
	Jobs        int   `sexp:"jobs" min:"100"` // a run ends after this many arrivals at the latest; 0 = no limit

	Budget time.Duration `sexp:"budget" min:"0.1"` // wall time of a run, after which it is cut off and reported as partial
}

// Sized returns the deployment with another number of hosts and dispatchers, and its load and data sets scaled to the
// hosts. If jobs is not 0, the programme is shortened so that no more than this many arrivals are expected.
func (s *Spec) Sized(hosts, dispatchers, jobs int) *Spec {
	c := *s
	scale := float64(hosts) / float64(s.Fleet.Hosts)
	c.Fleet.Hosts, c.Dispatchers, c.Sweep = hosts, dispatchers, nil
	c.Sets.Count, c.Sets.Store = int(float64(s.Sets.Count)*scale+0.5), s.Sets.Store*scale
	if s.Sets.Count > 0 {
		c.Sets.Count = max(c.Sets.Count, 1)
	}
	c.Load.Programme.Steps = slices.Clone(s.Load.Programme.Steps)
	for i := range c.Load.Programme.Steps {
		step := &c.Load.Programme.Steps[i]
		step.Rate, step.To = step.Rate*scale, step.To*scale
	}
	if mass := c.Load.Programme.Steps.Mass(); jobs > 0 && mass > float64(jobs) {
		for i := range c.Load.Programme.Steps {
			step := &c.Load.Programme.Steps[i]
			step.For = time.Duration(float64(step.For) * float64(jobs) / mass)
		}
	}
	return &c
}

// Resized returns the deployment with another number of hosts and dispatchers, as Sized does. It returns an error if a
// fault names a host or dispatcher that no longer exists.
func (s *Spec) Resized(hosts, dispatchers int) (*Spec, error) {
	if hosts < 1 || dispatchers < 1 {
		return nil, fmt.Errorf("%d hosts and %d dispatchers: want at least one of each", hosts, dispatchers)
	}
	c := s.Sized(hosts, dispatchers, 0)
	return c, c.checkFaults()
}

// Policies are the host selection policies of virtual time: the product's own ("module", package logic),
// and simple ones for comparison.
var Policies = []string{"module", "random", "least", "two", "round-robin"}

// SetDefaults implements settings.Defaulter. The values are those of the operators' own deployment.
func (s *Spec) SetDefaults() {
	s.Seed, s.Pairs, s.Length, s.Dispatchers, s.Cores = 1, 5, 30*time.Second, 3, 1
	s.Descriptors, s.Memory = 1024, 192<<20
	s.Zones = []string{"dakar", "saint-louis", "ziguinchor"}
	s.Delay = settings.DurationRange{Lo: 5600 * time.Microsecond, Hi: 10 * time.Millisecond}
	s.DelayWithinZone = settings.DurationRange{Lo: 300 * time.Microsecond, Hi: 500 * time.Microsecond}
	s.Clients.SetDefaults()
	s.Load.Process.SetDefaults()
	s.Fleet = Fleet{Hosts: 9, Start: settings.Range{Lo: 0.13, Hi: 0.35}, WarmUp: 24 * time.Second, Window: 2 * time.Second,
		Multiple: 3, Queue: settings.Range{Lo: 9, Hi: 17}, Knee: 10, Thrash: 0.02, Progress: 2 * time.Second, CellSize: 8, Returns: true, Memory: true}
	s.Fleet.Links.SetDefaults()
	s.Sets = DataSets{Count: 40, Zipf: 1, Kept: 5, Fetch: settings.DurationRange{Lo: 1100 * time.Millisecond, Hi: 2200 * time.Millisecond}, Store: 40}
	s.Discovery.Lag = settings.DurationRange{Lo: 500 * time.Millisecond, Hi: 2500 * time.Millisecond}
	s.Generator = Generator{Lag: 10 * time.Millisecond, CPU: 0.85, Sched: 10 * time.Millisecond}
}

// The operators' own host kinds and job classes, for experiments that describe none.
var (
	defaultKinds = []HostKind{
		{Name: "new-5core", Share: 0.27, Cores: 5, Speed: settings.Range{Lo: 1.1, Hi: 1.5}},
		{Name: "old-5core", Share: 0.36, Cores: 5, Speed: settings.Range{Lo: 0.85, Hi: 1.1}},
		{Name: "small-4core", Share: 0.37, Cores: 4, Speed: settings.Range{Lo: 0.59, Hi: 0.8}},
	}
	defaultClasses = []Class{
		{Name: "latest-readings", Share: 0.51, Work: millis(350, 680), Spread: 0.8, Hint: 0.3, Aim: 750 * time.Millisecond, Stretch: 2.5,
			GiveUp: 6 * time.Second, Worth: 1, Repeat: "safe", Slots: []float64{1}, Memory: settings.Range{Lo: 0.3, Hi: 0.8}},
		{Name: "sea-state", Share: 0.19, Work: millis(1400, 2700), Spread: 0.8, Hint: 0.3, Aim: time.Second, Stretch: 2,
			GiveUp: 25 * time.Second, Worth: 3, Repeat: "safe", Slots: []float64{0.8, 0.2}, Memory: settings.Range{Lo: 0.3, Hi: 0.8}},
		{Name: "ingest-batch", Share: 0.15, Work: millis(2100, 4100), Spread: 0.8, Hint: 0.3, Aim: 2 * time.Second, Stretch: 2,
			GiveUp: 25 * time.Second, Worth: 2, Repeat: "keyed", Window: 40 * time.Second, Slots: []float64{0.8, 0.2}, Memory: settings.Range{Lo: 0.3, Hi: 0.8}},
		{Name: "alert-send", Share: 0.15, Work: millis(1400, 2700), Spread: 0.8, Hint: 0.3, Aim: time.Second, Stretch: 2,
			GiveUp: 25 * time.Second, Worth: 3, Repeat: "unsafe", Slots: []float64{0.8, 0.2}, Memory: settings.Range{Lo: 0.3, Hi: 0.8}},
	}
)

// millis returns a range in milliseconds.
func millis(lo, hi int) settings.DurationRange {
	return settings.DurationRange{Lo: time.Duration(lo) * time.Millisecond, Hi: time.Duration(hi) * time.Millisecond}
}

// Check implements settings.Checker. It fills in the default kinds, classes and programme, and reports settings that
// contradict each other.
func (s *Spec) Check() error {
	if len(s.Fleet.Kinds) == 0 {
		s.Fleet.Kinds = defaultKinds
	}
	if len(s.Classes) == 0 {
		s.Classes = defaultClasses
	}
	if len(s.Load.Programme.Steps) == 0 && len(s.Load.Streams) == 0 {
		if s.Load.Rate == 0 {
			s.Load.Rate = 14 * float64(s.Fleet.Hosts) / 9
		}
		s.Load.Programme.Steps = arrivals.Programme{{Kind: "constant", For: s.Length, Rate: s.Load.Rate, Repeat: 1}}
	} else if s.Load.Rate != 0 {
		return fmt.Errorf("load: rate and a programme or streams can't both be given")
	}
	if len(s.Zones) == 0 {
		return fmt.Errorf("zones: want at least one")
	}
	names := map[string]bool{}
	total := 0.0
	for _, c := range s.Classes {
		if names[c.Name] {
			return fmt.Errorf("class %s: given twice", c.Name)
		}
		names[c.Name] = true
		total += c.Share
	}
	if total <= 0 {
		return fmt.Errorf("class: the shares sum to 0")
	}
	total = 0
	for _, k := range s.Fleet.Kinds {
		total += k.Share
	}
	if total <= 0 {
		return fmt.Errorf("fleet.host-kind: the shares sum to 0")
	}
	for _, st := range s.Load.Streams {
		if st.Class != "" && !names[st.Class] {
			return &settings.Error{Pos: st.Where, Path: "load.stream.class", Reason: fmt.Sprintf("no class %q is described", st.Class)}
		}
		if st.Zone != "" && !slices.Contains(s.Zones, st.Zone) {
			return &settings.Error{Pos: st.Where, Path: "load.stream.zone", Reason: fmt.Sprintf("no zone %q is described", st.Zone)}
		}
		if (st.Trace == nil) == (len(st.Programme.Steps) == 0) {
			return &settings.Error{Pos: st.Where, Path: "load.stream", Reason: "wants a programme or a trace"}
		}
	}
	for i, v := range s.Variants {
		if slices.ContainsFunc(s.Variants[:i], func(o Variant) bool { return o.Name == v.Name }) {
			return fmt.Errorf("variant %s: given twice", v.Name)
		}
		if v.Policy != "" && v.Policy != "module" && !s.Virtual {
			return fmt.Errorf("variant %s: another policy than the module plays in virtual time alone", v.Name)
		}
		if v.Share != nil && !s.Virtual {
			return fmt.Errorf("variant %s: share is supported only in virtual time; real dispatchers share by their own settings", v.Name)
		}
	}
	return s.checkFaults()
}

// HostNames returns the names of the hosts that a day begins with.
func (s *Spec) HostNames() []string {
	out := make([]string, s.Fleet.Hosts)
	for i := range out {
		out[i] = HostName(i)
	}
	return out
}

// HostName returns the name of the host of a number. Dispatchers identify the host by the hexadecimal number in it.
func HostName(i int) string { return fmt.Sprintf("s-%08x", 0x10000+uint32(i)*0x9e3779b1) }

// Read decodes an experiment file.
func Read(path string) (*Spec, error) {
	s := &Spec{}
	return s, settings.DecodeFile(path, "experiment", s)
}

// Parse decodes the text of an experiment file. name is used in errors.
func Parse(name, text string) (*Spec, error) {
	s := &Spec{}
	return s, settings.DecodeText(name, []byte(text), "experiment", s)
}
