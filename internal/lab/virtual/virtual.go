// Package virtual is a discrete-event simulator: it runs the dispatchers' real cores with their decision modules
// against modelled clients, hosts and discovery in virtual time, without sockets or clocks. It scales to thousands of
// hosts.
//
// Run takes a world.Day, which holds the hosts, arrivals and failures drawn from a seed, and returns a Result. Runs of
// the same day, variant and seed give the same bytes. Times are in microseconds of virtual time unless they are a
// time.Duration.
package virtual

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/balance"
	"granitewing/internal/lab/client"
	"granitewing/internal/lab/load"
	"granitewing/internal/lab/measure"
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/world"
	"granitewing/internal/wire/platform"
)

// maxTail is how long a run continues after its last arrival. Jobs that are still open then count as unanswered.
const maxTail = 3 * time.Minute

// Options configures a run.
type Options struct {
	Variant world.Variant
	Seed    uint64

	// Log records attempts for the audit. It may be nil: large fleets run without an audit, as its records would need
	// more memory than the model.
	Log *audit.Log
	// Measure asks for the CPU time of the cores' calls and for their memory. These figures differ between runs of the
	// same seed.
	Measure bool
	// Progress gets the numbers of jobs that have arrived, that have completed and that the day has; may be nil.
	Progress func(sent, done, total int)

	// OnVerdict gets each first request of a job that reaches a dispatcher, and whether it was refused at once; may be
	// nil.
	OnVerdict func(at int64, dispatcher int, j *world.Job, refused bool)
}

// Result is the outcome of a run.
type Result struct {
	Recorder          *measure.Recorder
	Requests          int           // client requests that reached a dispatcher
	RequestsPerSecond [][]int       // the same by dispatcher and second
	CPU               time.Duration // of all calls of the cores, if measured
	Heap              int64         // bytes of one dispatcher, if measured
	Length            time.Duration // of virtual time
	Balance           *balance.Report
	Traffic           Traffic
	Gangs             *model.GangReport
	Interrupted       bool // the context ended before the run did
}

// event is a scheduled call.
type event struct {
	at  int64
	seq uint64 // events of the same time run in the order in which they were scheduled
	do  func()
}

// events is a heap of events by time.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// simulation is the state of a run.
type simulation struct {
	options           Options
	day               *world.Day
	now               int64
	eventSeq          uint64
	queue             events
	rng               *rand.Rand
	recorder          *measure.Recorder
	hosts             []*host
	usage             *balance.Watch
	fabric            *model.Fabric
	gangEventAt       int64 // time of the scheduled end of a gang; 0 if there is none
	advancingGangs    bool
	hostsByName       map[string]*host
	directory         *model.Directory
	directoryEventAt  int64
	dispatchers       []*dispatcher
	lastRequest       uint64
	lastAttempt       uint64 // number of the latest attempt
	completed         int
	arrived           int
	openJobs          int
	coreCPU           time.Duration
	discoveryDown     bool
	discoverySilent   bool
	partitions        map[[2]int]bool
	requestsReceived  int
	receivedPerSecond [][]int // requests that reached each dispatcher, by second
	dispatchersByName map[string]*dispatcher
	traffic           Traffic
}

// host is a modelled host with its connections.
type host struct {
	sim                *simulation
	number             int
	model              *model.Host
	nextEventAt        int64 // time of its scheduled event
	up                 bool
	refusesConnections bool
	unreachable        bool
	resetsConnections  bool
	attempts           map[uint64]*attempt
}

// attempt is one attempt of a dispatcher to run a message at a host.
type attempt struct {
	request     *clientRequest
	id          dispatch.AttemptID
	dispatcher  *dispatcher
	generation  int // number of the dispatcher's process
	host        *host
	hostAttempt uint64 // its identifier at the host
	auditHandle int
	ended       bool // the dispatcher no longer waits for it
	gang        *dispatch.GangPart
}

// clientRequest is one request of a client to a dispatcher. A job has several if the client retries.
type clientRequest struct {
	job        *job
	name       string
	dispatcher *dispatcher
	id         dispatch.ID
	ended      bool
	timeout    time.Duration
	hangsUp    bool
	attempts   map[int]*attempt
}

// job is a job under way with its client's state.
type job struct {
	*world.Job
	client     *client.Job
	rng        *rand.Rand
	key        string
	lastResult client.Result
}

// Run simulates a day. It stops early and sets Result.Interrupted if ctx ends. It returns an error if a dispatcher's
// configuration is invalid.
func Run(ctx context.Context, day *world.Day, o Options) (*Result, error) {
	sim := &simulation{options: o, day: day, rng: rand.New(rand.NewPCG(o.Seed, 21)), hostsByName: map[string]*host{}, partitions: map[[2]int]bool{}, directoryEventAt: model.Never}
	var names []string
	for _, c := range day.Classes {
		names = append(names, c.Name)
	}
	sim.recorder = measure.NewRecorder(names)
	sim.createHosts()
	if err := sim.startDispatchers(); err != nil {
		return nil, err
	}
	if o.Variant.Share != nil {
		sim.startSharing(o.Variant.Share)
	}
	for _, op := range day.Ops {
		sim.after(op.At.Microseconds(), func() { sim.applyOp(op) })
	}
	res := &Result{Recorder: sim.recorder}
	if len(day.Jobs) > 0 {
		sim.scheduleArrival(0)
	}
	end := (day.End + maxTail).Microseconds()
	for n := 0; len(sim.queue) > 0; n++ {
		if n&0xfff == 0 {
			if ctx.Err() != nil {
				res.Interrupted = true
				break
			}
			if o.Progress != nil {
				o.Progress(sim.arrived, sim.completed, len(day.Jobs))
			}
		}
		if sim.arrived == len(day.Jobs) && sim.openJobs == 0 {
			break
		}
		e := heap.Pop(&sim.queue).(event)
		if e.at > end {
			break
		}
		sim.now = e.at
		e.do()
	}
	res.Requests, res.RequestsPerSecond, res.CPU, res.Length = sim.requestsReceived, sim.receivedPerSecond, sim.coreCPU, time.Duration(sim.now)*time.Microsecond
	res.Balance, res.Traffic, res.Gangs = sim.usage.Report(sim.now), sim.traffic, sim.fabric.Report()
	if o.Measure {
		res.Heap = sim.heapPerDispatcher()
	}
	return res, nil
}

// after schedules a call in wait microseconds.
func (sim *simulation) after(wait int64, do func()) { sim.schedule(sim.now+max(wait, 0), do) }

// schedule schedules a call at a time.
func (sim *simulation) schedule(at int64, do func()) {
	sim.eventSeq++
	heap.Push(&sim.queue, event{at, sim.eventSeq, do})
}

// networkDelay returns the one-way network delay between a dispatcher and a host.
func (sim *simulation) networkDelay(d *dispatcher, h *host) int64 {
	return sim.day.Delays[d.zone*len(sim.day.Zones)+h.model.Zone].Microseconds()
}

// unreachable reports whether the network between a dispatcher and a host is interrupted.
func (sim *simulation) unreachable(d *dispatcher, h *host) bool {
	return h.unreachable || len(sim.partitions) > 0 && sim.partitions[[2]int{min(d.zone, h.model.Zone), max(d.zone, h.model.Zone)}]
}

// startDispatchers creates and starts the dispatchers.
func (sim *simulation) startDispatchers() error {
	sim.receivedPerSecond = make([][]int, sim.day.Dispatchers)
	for i := range sim.day.Dispatchers {
		d := &dispatcher{sim: sim, number: i, zone: sim.day.ZoneOf(i), rng: rand.New(rand.NewPCG(sim.options.Seed, 100+uint64(i)))}
		if err := d.start(); err != nil {
			return err
		}
		sim.dispatchers = append(sim.dispatchers, d)
	}
	return nil
}

// heapPerDispatcher returns the heap bytes of one dispatcher: what the heap loses when the dispatchers are freed,
// divided by their number.
func (sim *simulation) heapPerDispatcher() int64 {
	used := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	// Events and attempts refer to the dispatchers but belong to the run, so free them before measuring.
	sim.queue = nil
	before := used()
	n := int64(len(sim.dispatchers))
	for _, d := range sim.dispatchers {
		d.core, d.requests, d.attempts, d.readyHosts = nil, nil, nil, nil
	}
	after := used()
	runtime.KeepAlive(sim)
	return (before - after) / max(n, 1)
}

// readConfig builds a dispatcher's configuration by writing and reading the platform's format.
func (sim *simulation) readConfig(i int, seed uint64) (*platform.Config, error) {
	text, err := sim.day.Config(i, seed, world.Place{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1",
		Addr: func(id string) string { return id }}, sim.options.Variant.Set)
	if err != nil {
		return nil, err
	}
	c, err := platform.ReadConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration of dispatcher %d: %w", i, err)
	}
	return c, nil
}

// recordOutcome records a job's outcome.
func (sim *simulation) recordOutcome(j *job, at int64) {
	c := &sim.day.Classes[j.Class]
	latency := time.Duration(at)*time.Microsecond - j.At
	sim.recorder.Add(measure.Sample{Class: j.Class, At: j.At, Latency: latency, Outcome: load.Classify(c, j.Job, j.lastResult, latency),
		Worth: c.Worth * j.Work.Seconds(), Tries: j.client.Tries(), Zone: j.Zone})
	sim.completed++
	sim.openJobs--
}
