// Package experiment runs laboratory experiments and compares their variants.
//
// A world.Spec describes an experiment; drawing it with a seed gives a world.Day, the complete schedule of jobs,
// hosts and faults. RunDay runs one day of one variant against real dispatcher processes on loopback sockets,
// RunDayVirtual runs it in virtual time inside this process, and each returns an Outcome. Run runs a whole experiment:
// pairs of variants (two builds, settings or policies) on the same seeds, or a sweep over fleet sizes. Its Results
// hold the outcomes and state whether the variants differ.
package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/balance"
	"granitewing/internal/lab/emulate"
	"granitewing/internal/lab/load"
	"granitewing/internal/lab/measure"
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/process"
	"granitewing/internal/lab/virtual"
	"granitewing/internal/lab/world"
	"granitewing/internal/record/pgstandin"
)

// Mark is an event of the day, such as a fault, shown on the time axis of plots.
type Mark struct {
	At    float64 `json:"at_s"`
	Label string  `json:"label"`
}

// Outcome holds the measurements of one run of a day.
type Outcome struct {
	Experiment          string                   `json:"experiment"`
	Variant             string                   `json:"variant"`
	Seed                uint64                   `json:"seed"`
	Policy              string                   `json:"policy,omitempty"` // empty for the policy of package logic
	Virtual             bool                     `json:"virtual"`
	CutShort            bool                     `json:"cut_short"` // ended before the end of the day
	Service             float64                  `json:"service"`   // value of the jobs served in time divided by the value of all jobs
	Rows                []measure.Row            `json:"classes"`   // one per class, then the total
	Series              []measure.Point          `json:"seconds"`
	Verdict             measure.Verdict          `json:"generator"`
	Audit               *audit.Report            `json:"audit"`
	Marks               []Mark                   `json:"failures"`
	Hosts               []audit.HostLoad         `json:"hosts"`
	Contention          []audit.ClassConcurrency `json:"crowds,omitempty"` // by class; only for runs with real processes
	Spread              *balance.Report          `json:"spread,omitempty"`
	Gangs               *model.GangReport        `json:"gangs,omitempty"` // only if a class runs jobs in parts (gangs)
	Notes               []string                 `json:"notes,omitempty"`
	Resent              int                      `json:"resent_by_clients"` // see load.Result.Resent
	CPU                 []float64                `json:"dispatcher_cpu_s,omitempty"`
	DeadSeconds         float64                  `json:"dispatchers_dead_s,omitempty"` // seconds, summed over dispatchers
	CPUPerMessageMicros float64                  `json:"decision_us,omitempty"`        // dispatcher CPU time per message over all its events, in microseconds
	Heap                float64                  `json:"heap_bytes,omitempty"`         // bytes of one dispatcher's heap; virtual time only
	Wall                float64                  `json:"wall_s"`                       // wall time in seconds
	Length              float64                  `json:"length_s"`                     // length of the day in seconds, in virtual time if the run is virtual
	Recorder            *measure.Recorder        `json:"recorder"`
	Metrics             map[string]float64       `json:"dispatcher_figures,omitempty"` // metrics of the dispatchers' admin endpoints at the end, summed over dispatchers
	Snapshots           []Snapshot               `json:"looks,omitempty"`
	Traffic             *Traffic                 `json:"talk,omitempty"`
}

// Snapshot is a snapshot of all dispatchers' metrics at one moment of the day.
type Snapshot struct {
	At      float64              `json:"at_s"`
	Metrics []map[string]float64 `json:"figures"` // by dispatcher; nil for one that is not running or does not answer
}

// Traffic is the traffic between dispatchers over the mesh, per second and dispatcher, averaged from their start.
type Traffic struct {
	Datagrams float64 `json:"datagrams"` // sent, whether or not they were delivered
	Bytes     float64 `json:"bytes"`     // in datagrams and on connections that the dispatcher opened, without headers
	Lost      float64 `json:"lost"`      // datagrams dropped by faulty links
}

// Setup holds the parameters of a run that do not come from the experiment.
type Setup struct {
	Program  string                      // path of the dispatcher binary
	Dir      string                      // directory for configurations and logs
	Measure  bool                        // measure the CPU time and memory of dispatchers in virtual time
	Progress func(sent, done, total int) // called as jobs are sent and completed; may be nil
}

// RunDay runs one day of a variant with real dispatchers on sockets. Cancelling ctx cuts the run short: the outcome
// then has CutShort set and holds what was measured so far. It returns an error if the day cannot be drawn, if the
// emulator, the store or a dispatcher does not start, or if the dispatchers' records cannot be read.
func RunDay(ctx context.Context, spec *world.Spec, v world.Variant, seed uint64, s Setup) (*Outcome, error) {
	day, err := spec.For(v).Draw(seed)
	if err != nil {
		return nil, err
	}
	if v.Program != "" {
		s.Program = v.Program
	}
	log := NewLog(day)
	fleet, err := emulate.New(day, log)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	cl := &cluster{day: day, fleet: fleet, log: log, variant: v, seed: seed, setup: s,
		running: map[int]*process.Dispatcher{}, addrs: map[int]string{}, deadSince: map[int]int64{}, pausedSince: map[int]int64{}, partitionedSince: map[int]int64{}, opLocks: make([]sync.Mutex, day.Dispatchers)}
	defer cl.stop()
	if day.Postgres {
		if cl.store, err = pgstandin.Start(filepath.Join(s.Dir, fmt.Sprintf("pg-%s-%d.db", v.Name, seed))); err != nil {
			return nil, err
		}
		defer cl.store.Close()
	}
	var targets []load.Target
	if err := cl.reserveAddresses(day.Dispatchers); err != nil {
		return nil, err
	}
	if err := cl.openMesh(); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	if err := cl.startAll(ctx); err != nil {
		return nil, err
	}
	for i := range day.Dispatchers {
		target := load.Target{Addr: cl.addrs[i], Zone: day.ZoneOf(i)}
		if cl.hasClientFaults() {
			if target.Addr, err = cl.openClientGate(i); err != nil {
				return nil, err
			}
		}
		targets = append(targets, target)
	}
	begin := time.Now().Add(100 * time.Millisecond)
	fleet.Start(ctx, begin, cl.applyOp)
	began := time.Now()
	res, err := load.Run(ctx, load.Options{
		Day: day, Targets: targets, Seed: seed, Begin: begin, Log: log, LogZero: fleet.StartTime(), Prefix: fmt.Sprintf("%04x", seed&0xffff),
		Done: func(sent, done int) {
			if s.Progress != nil {
				s.Progress(sent, done, len(day.Jobs))
			}
		},
	})
	if err != nil {
		return nil, err
	}
	o := newOutcome(spec, v, seed, day, res.Recorder)
	o.CutShort, o.Verdict, o.Resent, o.Wall = res.CutShort, res.Verdict, res.Resent, time.Since(began).Seconds()
	o.Length = o.Wall
	o.Snapshots, o.Traffic = cl.sortedSnapshots(), cl.meshTraffic(time.Since(startedAt))
	if o.Metrics, err = cl.sumMetrics(); err != nil {
		o.Notes = append(o.Notes, err.Error())
	}
	if err := cl.stop(); err != nil {
		o.Notes = append(o.Notes, err.Error())
	}
	messages := 0
	for _, r := range o.Rows[:len(o.Rows)-1] {
		messages += int(r.Tries)
	}
	for _, c := range cl.cpu {
		o.CPU = append(o.CPU, c)
		o.CPUPerMessageMicros += c * 1e6 / float64(max(messages, 1))
	}
	o.Audit, o.DeadSeconds = log.Check(), log.DeadSeconds()
	if day.Records {
		list, err := cl.readRecords()
		if err != nil {
			return nil, err
		}
		o.Audit.Rules = append(o.Audit.Rules, log.CheckRecords(list), log.CheckHistory(list))
	}
	o.Hosts, o.Contention, o.Spread = log.HostLoads(), log.Concurrency(), fleet.UsageReport()
	o.Gangs = gangReport(day, fleet.GangReport())
	// An answer that belongs to another request breaks the first rule, one final answer for each try.
	if res.Mismatched > 0 {
		o.Audit.Rules[0].Broken += res.Mismatched
	}
	return o, nil
}

// maxAuditedJobs is the largest number of jobs for which a virtual-time run is audited; the audit log of more jobs
// would take gigabytes.
const maxAuditedJobs = 300_000

// RunDayVirtual runs one day of a variant in virtual time, without sockets or processes. Cancelling ctx cuts the run
// short: the outcome then has CutShort set and holds what was measured so far.
func RunDayVirtual(ctx context.Context, spec *world.Spec, v world.Variant, seed uint64, s Setup) (*Outcome, error) {
	day, err := spec.For(v).Draw(seed)
	if err != nil {
		return nil, err
	}
	opts := virtual.Options{Variant: v, Seed: seed, Measure: s.Measure, Progress: s.Progress}
	if len(day.Jobs) <= maxAuditedJobs {
		opts.Log = NewLog(day)
	}
	began := time.Now()
	res, err := virtual.Run(ctx, day, opts)
	if err != nil {
		return nil, err
	}
	o := newOutcome(spec, v, seed, day, res.Recorder)
	if v.Policy != "module" {
		o.Policy = v.Policy
	}
	o.Virtual, o.CutShort, o.Wall, o.Heap = true, res.Interrupted, time.Since(began).Seconds(), float64(res.Heap)
	o.Verdict.Valid = true
	o.Length, o.Spread, o.Gangs = res.Length.Seconds(), res.Balance, gangReport(day, res.Gangs)
	if v.Share != nil {
		per := 1 / (o.Length * float64(day.Dispatchers))
		o.Traffic = &Traffic{Datagrams: float64(res.Traffic.Datagrams) * per, Bytes: float64(res.Traffic.Bytes) * per}
	}
	if s.Measure && res.Requests > 0 {
		o.CPUPerMessageMicros = float64(res.CPU.Nanoseconds()) / 1e3 / float64(res.Requests)
	}
	if opts.Log != nil && !res.Interrupted {
		o.Audit, o.Hosts = opts.Log.Check(), opts.Log.HostLoads()
	}
	return o, nil
}

// gangReport returns r if a class of the day runs its jobs in parts, and nil otherwise.
func gangReport(day *world.Day, r *model.GangReport) *model.GangReport {
	for _, c := range day.Classes {
		if c.Gang != nil {
			return r
		}
	}
	return nil
}

// newOutcome returns an outcome with the fields that all kinds of runs share.
func newOutcome(spec *world.Spec, v world.Variant, seed uint64, day *world.Day, rec *measure.Recorder) *Outcome {
	o := &Outcome{Experiment: spec.Name, Variant: v.Name, Seed: seed, Recorder: rec, Rows: rec.Rows(), Series: rec.Series(), Notes: day.Notes}
	for _, op := range day.Ops {
		o.Marks = append(o.Marks, Mark{op.At.Seconds(), op.Label})
	}
	o.Service = o.Rows[len(o.Rows)-1].Service
	return o
}

// NewLog returns an empty audit log for the classes of a day.
func NewLog(day *world.Day) *audit.Log {
	var classes []audit.Class
	for _, c := range day.Classes {
		classes = append(classes, audit.Class{Name: c.Name, Repeat: c.Repeat, Window: c.Window.Microseconds()})
	}
	return audit.New(classes)
}

// TempDir creates a temporary directory for the configurations of a run. The returned function removes it.
func TempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "gwlab")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { os.RemoveAll(dir) }, nil
}

// LoadOutcome returns the outcome of a load generator that ran on its own. Such a run observes no host, so its outcome
// has no audit.
func LoadOutcome(spec *world.Spec, day *world.Day, res *load.Result, wall time.Duration) *Outcome {
	o := newOutcome(spec, world.Variant{Name: "load"}, spec.Seed, day, res.Recorder)
	o.Marks = nil // the generator does not know whether its day's faults were applied
	o.CutShort, o.Verdict, o.Resent, o.Wall, o.Length = res.CutShort, res.Verdict, res.Resent, wall.Seconds(), wall.Seconds()
	return o
}
