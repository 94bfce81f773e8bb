// Package experiment plays days: one, or pairs of two builds, settings or policies on the same seeds, and says whether
// they differ.
package experiment

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/emulate"
	"granitewing/internal/lab/link"
	"granitewing/internal/lab/load"
	"granitewing/internal/lab/measure"
	"granitewing/internal/lab/mesh"
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
	Spread     *spread.Report     `json:"spread,omitempty"`
	Notes      []string           `json:"notes,omitempty"`
	Resent     int                `json:"resent_by_clients"`
	CPU        []float64          `json:"dispatcher_cpu_s,omitempty"`
	Decision   float64            `json:"decision_us,omitempty"` // CPU of the dispatchers for a message, all its events
	Heap       float64            `json:"heap_bytes,omitempty"`  // of one dispatcher, in virtual time
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
	theatre := &theatre{day: day, fleet: fleet, log: log, v: v, seed: seed, s: s,
		running: map[int]*stage.Dispatcher{}, addrs: map[int]string{}, dead: map[int]int64{}, paused: map[int]int64{}, parted: map[int]int64{}, turn: make([]sync.Mutex, day.Dispatchers)}
	defer theatre.end()
	if day.Postgres {
		if theatre.store, err = pgstandin.Start(filepath.Join(s.Dir, fmt.Sprintf("pg-%s-%d.db", v.Name, seed))); err != nil {
			return nil, err
		}
		defer theatre.store.Close()
	}
	var targets []load.Target
	if theatre.gossip, err = places(day.Dispatchers); err != nil {
		return nil, err
	}
	if err := theatre.connect(); err != nil {
		return nil, err
	}
	up := time.Now()
	if err := theatre.startAll(ctx); err != nil {
		return nil, err
	}
	for i := range day.Dispatchers {
		target := load.Target{Addr: theatre.addrs[i], Zone: day.ZoneOf(i)}
		if theatre.disturbsClients() {
			if target.Addr, err = theatre.gate(i); err != nil {
				return nil, err
			}
		}
		targets = append(targets, target)
	}
	begin := time.Now().Add(100 * time.Millisecond)
	fleet.Play(ctx, begin, theatre.operate)
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
	o.Looks, o.Talk = theatre.looked(), theatre.talk(time.Since(up))
	if o.Figures, err = theatre.figures(); err != nil {
		o.Notes = append(o.Notes, err.Error())
	}
	if err := theatre.end(); err != nil {
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
	o.Audit = log.Check()
	if day.Records {
		list, err := theatre.records()
		if err != nil {
			return nil, err
		}
		o.Audit.Rules = append(o.Audit.Rules, log.CheckRecords(list), log.CheckHistory(list))
	}
	o.Hosts, o.Spread = log.HostLoads(), fleet.Spread()
	if res.Foreign > 0 {
		o.Audit.Rules[0].Broken += res.Foreign
	}
	return o, nil
}

// auditMost is up to how many jobs a play in virtual time is audited; the records of more would take gigabytes.
const auditMost = 300_000

// PlayVirtual plays a day of a variant in virtual time.
func PlayVirtual(ctx context.Context, spec *world.Spec, v world.Variant, seed uint64, s Setup) (*Outcome, error) {
	day, err := spec.For(v).Draw(seed)
	if err != nil {
		return nil, err
	}
	opts := virtual.Options{Variant: v, Seed: seed, Measure: s.Measure, Progress: s.Progress}
	if len(day.Jobs) <= auditMost {
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
	o.Length, o.Spread = res.Length.Seconds(), res.Spread
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

// theatre keeps the dispatchers of a play.
type theatre struct {
	day   *world.Day
	fleet *emulate.Emulator
	log   *audit.Log
	v     world.Variant
	seed  uint64
	s     Setup

	mu      sync.Mutex
	running map[int]*stage.Dispatcher
	addrs   map[int]string
	dead    map[int]int64
	paused  map[int]int64
	parted  map[int]int64       // from its clients
	turn    []sync.Mutex        // by dispatcher
	leaving []*stage.Dispatcher // told to end; another of the name may run already
	crashes []error
	cpu     []float64
	starts  uint64
	over    bool
	gossip  []string // where each takes part in a fleet
	mesh    *mesh.Mesh
	fronts  []*mesh.Gate // of clients, where a day disturbs them
	paths   []*link.Link // of clients to each dispatcher
	looks   []Look
	looking sync.WaitGroup
	store   *pgstandin.Server
	storeMu sync.Mutex // guards faults
	faults  pgstandin.Faults
}

// start starts a dispatcher, at the address that it had before if it had one. The lock is not held: others start meanwhile.
func (t *theatre) start(i int) error {
	t.mu.Lock()
	t.starts++
	number, listen := t.starts, cmp.Or(t.addrs[i], "127.0.0.1:0")
	t.mu.Unlock()
	config, err := t.day.Config(i, t.seed+1000*number, t.fleet.Place(i, listen), t.v.Set)
	if err != nil {
		return err
	}
	var args []string
	if own := t.own(i); own != "" {
		path := t.settingsPath(i)
		if err := os.WriteFile(path, []byte(own), 0o600); err != nil {
			return err
		}
		args = []string{"serve", "--log", "text", "--settings", path}
	}
	d, err := stage.Start(t.s.Program, t.s.Dir, fmt.Sprintf("%s-%d-n%d-%d", t.v.Name, t.seed, i, number), config, args...)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		d.Kill()
		return nil
	}
	t.running[i], t.addrs[i] = d, d.Addr
	return nil
}

// startMost bounds how many processes start at a time, so that each gets its share of the machine.
const startMost = 8

// startAll starts all dispatchers and waits until they are ready.
func (t *theatre) startAll(ctx context.Context) error {
	var wait sync.WaitGroup
	room := make(chan struct{}, startMost)
	errs := make([]error, t.day.Dispatchers)
	for i := range t.day.Dispatchers {
		room <- struct{}{}
		wait.Go(func() {
			defer func() { <-room }()
			if errs[i] = ctx.Err(); errs[i] == nil {
				errs[i] = t.start(i)
			}
		})
	}
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for i, d := range t.running {
		if err := d.Ready(ctx); err != nil {
			return fmt.Errorf("dispatcher %d: %w", i, err)
		}
	}
	return nil
}

// seedsMost is how many members of a fleet the others are told to join.
const seedsMost = 3

// places finds an address for each dispatcher's part in a fleet: a loopback address of its own, with a port that is free
// there for datagrams and connections.
func places(n int) ([]string, error) {
	var out []string
	for i := range n {
		host := fmt.Sprintf("127.2.%d.%d", (i+1)>>8, (i+1)&0xff)
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, fmt.Errorf("gossip of dispatcher %d: %w", i, err)
		}
		addr := ln.Addr().String()
		u, err := net.ListenPacket("udp", addr)
		if err != nil {
			ln.Close()
			return nil, fmt.Errorf("gossip of dispatcher %d: %w", i, err)
		}
		u.Close()
		ln.Close()
		out = append(out, addr)
	}
	return out, nil
}

// own gives a dispatcher's own settings, which name its files by play and number, and its place in a fleet.
func (t *theatre) own(i int) string {
	text := cmp.Or(t.v.Own, t.day.Own)
	url := ""
	if t.store != nil {
		url = t.store.URL()
	}
	if strings.Contains(text, "{gossip}") {
		seeds := make([]string, min(len(t.gossip), seedsMost))
		for k := range seeds {
			seeds[k] = strconv.Quote(t.gossip[k])
			if t.mesh != nil {
				seeds[k] = strconv.Quote(t.mesh.Addr(k))
			}
		}
		told := t.gossip[i]
		if t.mesh != nil {
			told = t.mesh.Addr(i)
		}
		text = strings.NewReplacer("{gossip}", t.gossip[i], "{told}", told, "{seeds}", strings.Join(seeds, " ")).Replace(text)
	}
	return strings.NewReplacer("{dir}", t.s.Dir, "{postgres}", url, "{name}", fmt.Sprintf("%s-%d-n%d", t.v.Name, t.seed, i)).Replace(text)
}

func (t *theatre) settingsPath(i int) string {
	return filepath.Join(t.s.Dir, fmt.Sprintf("%s-%d-n%d.sexp", t.v.Name, t.seed, i))
}

// records reads what the dispatchers have recorded, by their own verb.
func (t *theatre) records() ([]audit.Record, error) {
	var all []audit.Record
	if t.store != nil {
		t.store.Set(pgstandin.Faults{}) // it is read when all is over
	}
	for i := range t.day.Dispatchers {
		if t.store != nil && i > 0 {
			break // one database holds the records of all
		}
		for _, verb := range []string{"verify", "export"} {
			out, err := exec.Command(t.s.Program, "records", verb, "--settings", t.settingsPath(i)).Output()
			if err != nil {
				var exit *exec.ExitError
				if errors.As(err, &exit) {
					err = fmt.Errorf("%w: %s", err, exit.Stderr)
				}
				return nil, fmt.Errorf("records %s of dispatcher %d: %w", verb, i, err)
			}
			if verb == "verify" {
				continue
			}
			for d := json.NewDecoder(bytes.NewReader(out)); d.More(); {
				var r audit.Record
				if err := d.Decode(&r); err != nil {
					return nil, err
				}
				all = append(all, r)
			}
		}
	}
	return all, nil
}

// operate carries out what happens to a dispatcher's process, its door or its store.
func (t *theatre) operate(op world.Op) {
	i, now := op.Host, time.Since(t.fleet.Start()).Microseconds()
	switch op.Kind {
	case world.OpCordon, world.OpQuiesce:
		t.call(op)
		return
	case world.OpStoreSilent, world.OpStoreSlow, world.OpStoreResets:
		t.disturb(op)
		return
	case world.OpPeers, world.OpClients:
		t.part(op)
		return
	case world.OpLook:
		t.look(op)
		return
	}
	// What happens to one dispatcher happens in its order: a kill waits until a start is over, and no start is made twice.
	t.turn[i].Lock()
	defer t.turn[i].Unlock()
	if op.Kind == world.OpRevive {
		t.revive(i)
		return
	}
	now = time.Since(t.fleet.Start()).Microseconds()
	t.mu.Lock()
	d := t.running[i]
	if t.over || d == nil {
		t.mu.Unlock()
		return
	}
	switch op.Kind {
	case world.OpKill:
		t.dead[i] = now
		delete(t.running, i)
	case world.OpEnd:
		t.leaving = append(t.leaving, d)
		delete(t.running, i)
	}
	t.mu.Unlock()
	switch op.Kind {
	case world.OpKill:
		d.Kill()
		t.ended(i, d, nil)
	case world.OpEnd:
		go func() {
			err := d.Stop()
			if errors.Is(err, stage.ErrKilled) {
				// As a platform does it. What came before SIGTERM and would have run on is lost with it; a later one is not.
				t.log.Killed(i, d.Killed().Sub(t.fleet.Start()).Microseconds(), now)
				err = nil
			}
			t.ended(i, d, err)
		}()
	case world.OpPause:
		if err := d.Pause(op.On); err != nil {
			slog.Error("a dispatcher was not stopped or continued", "dispatcher", i, "cause", err)
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if op.On {
			t.paused[i] = now
		} else if from, was := t.paused[i]; was {
			delete(t.paused, i)
			t.log.Killed(i, from, now)
		}
	}
}

// ended books a process that is over.
func (t *theatre) ended(i int, d *stage.Dispatcher, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cpu = append(t.cpu, d.CPU().Seconds())
	t.leaving = slices.DeleteFunc(t.leaving, func(o *stage.Dispatcher) bool { return o == d })
	if err != nil {
		slog.Error("dispatcher", "number", i, "cause", err)
		t.crashes = append(t.crashes, err)
	}
}

// revive starts another process of a dispatcher's name at its address.
func (t *theatre) revive(i int) {
	t.mu.Lock()
	known := t.addrs[i] != "" && t.running[i] == nil && !t.over
	t.mu.Unlock()
	if !known {
		return
	}
	if err := t.start(i); err != nil {
		slog.Error("a dispatcher did not come back", "dispatcher", i, "cause", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if from, killed := t.dead[i]; killed && !t.over {
		t.log.Killed(i, from, time.Since(t.fleet.Start()).Microseconds())
		delete(t.dead, i)
	}
}

// call makes an operators' call at the doors: each running dispatcher cordons a host or puts it back, or one dispatcher
// drains or resumes. A dispatcher that is dead meanwhile, or one that is started again, does not hear of it.
func (t *theatre) call(op world.Op) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := t.day.Machines[op.Host].Name
	line, to := "uncordon "+name, t.running
	switch {
	case op.Kind == world.OpCordon && op.On:
		line = "cordon " + name
	case op.Kind == world.OpQuiesce:
		line, to = "resume", map[int]*stage.Dispatcher{}
		if op.On {
			line = "quiesce"
		}
		if d := t.running[op.Host]; d != nil {
			to[op.Host] = d
		}
	}
	for i, d := range to {
		if answer, err := d.Call(line); err != nil || !strings.HasPrefix(answer, "YES") {
			slog.Error("a call was not taken", "dispatcher", i, "call", line, "answer", answer, "cause", err)
		}
	}
}

// disturb sets what goes wrong at the store. It has a lock of its own: a dispatcher that starts while the store is silent
// is waited for under the other one, and the end of the silence must not wait for it.
func (t *theatre) disturb(op world.Op) {
	t.storeMu.Lock()
	defer t.storeMu.Unlock()
	switch op.Kind {
	case world.OpStoreSilent:
		t.faults.Silent = op.On
	case world.OpStoreSlow:
		t.faults.Delay = op.Lag
	}
	f := t.faults
	if op.Kind == world.OpStoreResets {
		f.ResetAfter, f.ResetBefore = op.Host/2, op.Host-op.Host/2
	}
	t.store.Set(f)
}

// figures sums what the doors of the running dispatchers count. Those of a dispatcher that was restarted count from its
// start only.
func (t *theatre) figures() (map[string]float64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]float64{}
	for i, d := range t.running {
		f, err := d.Figures()
		if err != nil {
			return nil, fmt.Errorf("dispatcher %d: %w", i, err)
		}
		for name, v := range f {
			sum[name] += v
		}
	}
	return sum, nil
}

// end ends all dispatchers in order, at once, and tells what went wrong.
func (t *theatre) end() error {
	t.mu.Lock()
	if t.over {
		t.mu.Unlock()
		return nil
	}
	defer func() {
		for _, g := range t.fronts {
			g.Close()
		}
		if t.mesh != nil {
			t.mesh.Close()
		}
	}()
	now := time.Since(t.fleet.Start()).Microseconds()
	for i, from := range t.dead {
		t.log.Killed(i, from, now)
	}
	for i, from := range t.parted {
		t.log.Killed(i, from, now)
	}
	for i, from := range t.paused {
		t.log.Killed(i, from, now)
		if d := t.running[i]; d != nil {
			d.Pause(false) // SIGTERM waits for it
		}
	}
	var again []int
	for i := range t.dead {
		if t.day.Records {
			again = append(again, i)
		}
	}
	t.mu.Unlock()
	for _, i := range again {
		// Its store has what it left open until a start settles it.
		if err := t.start(i); err != nil {
			return fmt.Errorf("a dispatcher that was dead at the end did not start to settle its records: %w", err)
		}
	}
	t.mu.Lock()
	t.over = true
	running, leaving := t.running, slices.Clone(t.leaving)
	t.mu.Unlock()
	var wait sync.WaitGroup
	for i, d := range running {
		// It crashed where this gives an error: whatever it held is not excused, and the report says so.
		wait.Go(func() { t.ended(i, d, d.Stop()) })
	}
	for _, d := range leaving {
		wait.Go(func() { d.Kill() })
	}
	wait.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return errors.Join(t.crashes...)
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
