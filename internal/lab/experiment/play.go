// Package experiment plays days: one, or pairs of two builds, settings or policies on the same seeds, and says whether
// they differ.
package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/emulate"
	"granitewing/internal/lab/load"
	"granitewing/internal/lab/measure"
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/spread"
	"granitewing/internal/lab/stage"
	"granitewing/internal/lab/virtual"
	"granitewing/internal/lab/world"
	"granitewing/internal/record/pgstandin"
)

// Mark is something that happened, for the time axis of plots.
type Mark struct {
	At    float64 `json:"at_s"`
	Label string  `json:"label"`
}

// Outcome is what one play of a day gave.
type Outcome struct {
	Experiment string             `json:"experiment"`
	Variant    string             `json:"variant"`
	Seed       uint64             `json:"seed"`
	Policy     string             `json:"policy,omitempty"` // other than the module's
	Virtual    bool               `json:"virtual"`
	Cut        bool               `json:"cut_short"`
	Service    float64            `json:"service"`
	Rows       []measure.Row      `json:"classes"`
	Series     []measure.Point    `json:"seconds"`
	Verdict    measure.Verdict    `json:"generator"`
	Audit      *audit.Report      `json:"audit"`
	Marks      []Mark             `json:"failures"`
	Hosts      []audit.HostLoad   `json:"hosts"`
	Crowds     []audit.Crowd      `json:"crowds,omitempty"` // by class; of real processes
	Spread     *spread.Report     `json:"spread,omitempty"`
	Gangs      *model.GangReport  `json:"gangs,omitempty"` // where a class is run in parts
	Notes      []string           `json:"notes,omitempty"`
	Resent     int                `json:"resent_by_clients"`
	CPU        []float64          `json:"dispatcher_cpu_s,omitempty"`
	Dead       float64            `json:"dispatchers_dead_s,omitempty"` // summed over dispatchers
	Decision   float64            `json:"decision_us,omitempty"`        // CPU of the dispatchers for a message, all its events
	Heap       float64            `json:"heap_bytes,omitempty"`         // of one dispatcher, in virtual time
	Wall       float64            `json:"wall_s"`
	Length     float64            `json:"length_s"` // of the day, virtual time included
	Recorder   *measure.Recorder  `json:"recorder"`
	Figures    map[string]float64 `json:"dispatcher_figures,omitempty"` // of the doors at the end, summed over dispatchers
	Looks      []Look             `json:"looks,omitempty"`
	Talk       *Talk              `json:"talk,omitempty"`
}

// Look is what the doors told at a moment of the day.
type Look struct {
	At      float64              `json:"at_s"`
	Figures []map[string]float64 `json:"figures"` // by dispatcher; none of one that is not there or does not answer
}

// Talk is what dispatchers sent to each other over the rig's links, a second and dispatcher, from their start on.
type Talk struct {
	Datagrams float64 `json:"datagrams"`
	Bytes     float64 `json:"bytes"` // in datagrams, and on connections that it opened; headers not counted
	Lost      float64 `json:"lost"`  // datagrams, to links that fail
}

// Setup says how to play.
type Setup struct {
	Program  string // the dispatcher's build
	Dir      string // for configurations and logs
	Measure  bool   // take the CPU time and memory of dispatchers in virtual time
	Progress func(sent, done, total int)
}

// Play plays a day of a variant on sockets with real dispatchers.
func Play(ctx context.Context, spec *world.Spec, v world.Variant, seed uint64, s Setup) (*Outcome, error) {
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
	theatre := &cluster{day: day, fleet: fleet, log: log, variant: v, seed: seed, setup: s,
		running: map[int]*stage.Dispatcher{}, addrs: map[int]string{}, deadSince: map[int]int64{}, pausedSince: map[int]int64{}, partitionedSince: map[int]int64{}, opLocks: make([]sync.Mutex, day.Dispatchers)}
	defer theatre.stop()
	if day.Postgres {
		if theatre.store, err = pgstandin.Start(filepath.Join(s.Dir, fmt.Sprintf("pg-%s-%d.db", v.Name, seed))); err != nil {
			return nil, err
		}
		defer theatre.store.Close()
	}
	var targets []load.Target
	if err := theatre.reserveAddresses(day.Dispatchers); err != nil {
		return nil, err
	}
	if err := theatre.openMesh(); err != nil {
		return nil, err
	}
	up := time.Now()
	if err := theatre.startAll(ctx); err != nil {
		return nil, err
	}
	for i := range day.Dispatchers {
		target := load.Target{Addr: theatre.addrs[i], Zone: day.ZoneOf(i)}
		if theatre.hasClientFaults() {
			if target.Addr, err = theatre.openClientGate(i); err != nil {
				return nil, err
			}
		}
		targets = append(targets, target)
	}
	begin := time.Now().Add(100 * time.Millisecond)
	fleet.Play(ctx, begin, theatre.applyOp)
	began := time.Now()
	res, err := load.Run(ctx, load.Options{
		Day: day, Targets: targets, Seed: seed, Begin: begin, Log: log, LogZero: fleet.Start(), Prefix: fmt.Sprintf("%04x", seed&0xffff),
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
	o.Cut, o.Verdict, o.Resent, o.Wall = res.Cut, res.Verdict, res.Resent, time.Since(began).Seconds()
	o.Length = o.Wall
	o.Looks, o.Talk = theatre.sortedSnapshots(), theatre.meshTraffic(time.Since(up))
	if o.Figures, err = theatre.sumMetrics(); err != nil {
		o.Notes = append(o.Notes, err.Error())
	}
	if err := theatre.stop(); err != nil {
		o.Notes = append(o.Notes, err.Error())
	}
	messages := 0
	for _, r := range o.Rows[:len(o.Rows)-1] {
		messages += int(r.Tries)
	}
	for _, c := range theatre.cpu {
		o.CPU = append(o.CPU, c)
		o.Decision += c * 1e6 / float64(max(messages, 1))
	}
	o.Audit, o.Dead = log.Check(), log.Dead()
	if day.Records {
		list, err := theatre.readRecords()
		if err != nil {
			return nil, err
		}
		o.Audit.Rules = append(o.Audit.Rules, log.CheckRecords(list), log.CheckHistory(list))
	}
	o.Hosts, o.Crowds, o.Spread = log.HostLoads(), log.Crowds(), fleet.Spread()
	o.Gangs = gangReport(day, fleet.Gangs())
	if res.Foreign > 0 {
		o.Audit.Rules[0].Broken += res.Foreign
	}
	return o, nil
}

// auditMost is up to how many jobs a play in virtual time is audited; the records of more would take gigabytes.
const maxAuditedJobs = 300_000

// PlayVirtual plays a day of a variant in virtual time.
func PlayVirtual(ctx context.Context, spec *world.Spec, v world.Variant, seed uint64, s Setup) (*Outcome, error) {
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
	o.Virtual, o.Cut, o.Wall, o.Heap = true, res.Cut, time.Since(began).Seconds(), float64(res.Heap)
	o.Verdict.Valid = true
	o.Length, o.Spread, o.Gangs = res.Length.Seconds(), res.Spread, gangReport(day, res.Gangs)
	if v.Share != nil {
		per := 1 / (o.Length * float64(day.Dispatchers))
		o.Talk = &Talk{Datagrams: float64(res.Talk.Datagrams) * per, Bytes: float64(res.Talk.Bytes) * per}
	}
	if s.Measure && res.Messages > 0 {
		o.Decision = float64(res.CPU.Nanoseconds()) / 1e3 / float64(res.Messages)
	}
	if opts.Log != nil && !res.Cut {
		o.Audit, o.Hosts = opts.Log.Check(), opts.Log.HostLoads()
	}
	return o, nil
}

// gangs gives what was seen of gangs where a day has any.
func gangReport(day *world.Day, r *model.GangReport) *model.GangReport {
	for _, c := range day.Classes {
		if c.Gang != nil {
			return r
		}
	}
	return nil
}

// newOutcome begins an outcome with what all plays have.
func newOutcome(spec *world.Spec, v world.Variant, seed uint64, day *world.Day, rec *measure.Recorder) *Outcome {
	o := &Outcome{Experiment: spec.Name, Variant: v.Name, Seed: seed, Recorder: rec, Rows: rec.Rows(), Series: rec.Series(), Notes: day.Notes}
	for _, op := range day.Ops {
		o.Marks = append(o.Marks, Mark{op.At.Seconds(), op.Label})
	}
	o.Service = o.Rows[len(o.Rows)-1].Service
	return o
}

// NewLog makes the audit's log for a day.
func NewLog(day *world.Day) *audit.Log {
	var classes []audit.Class
	for _, c := range day.Classes {
		classes = append(classes, audit.Class{Name: c.Name, Repeat: c.Repeat, Window: c.Window.Microseconds()})
	}
	return audit.New(classes)
}

// TempDir makes a folder for a run's configurations.
func TempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "gwlab")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { os.RemoveAll(dir) }, nil
}

// Loaded is the outcome of a generator alone, which sees no host and so audits nothing.
func Loaded(spec *world.Spec, day *world.Day, res *load.Result, wall time.Duration) *Outcome {
	o := newOutcome(spec, world.Variant{Name: "load"}, spec.Seed, day, res.Recorder)
	o.Marks = nil // the failures of its hosts are not known to have been played
	o.Cut, o.Verdict, o.Resent, o.Wall, o.Length = res.Cut, res.Verdict, res.Resent, wall.Seconds(), wall.Seconds()
	return o
}
