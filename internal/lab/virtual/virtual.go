// Package virtual plays days in virtual time: the dispatchers' own cores with their decision modules against modelled
// hosts, thousands of them if need be, without sockets and clocks. The same seed gives the same bytes.
package virtual

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/client"
	"granitewing/internal/lab/load"
	"granitewing/internal/lab/measure"
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/spread"
	"granitewing/internal/lab/world"
	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
)

// tailMost is how long a day runs on after its last arrival before what is open counts as unanswered.
const tailMost = 3 * time.Minute

// Options are what a play needs beside the day.
type Options struct {
	Variant  world.Variant
	Seed     uint64
	Log      *audit.Log // may be nil: large fleets are played without an audit, whose records would outgrow the model
	Measure  bool       // take the CPU time of the cores' calls and their memory; not part of what repeats
	Progress func(sent, done, total int)
	Judged   func(at int64, dispatcher int, j *world.Job, refused bool) // each first try, and whether it was refused at once; may be nil
}

// Result is what a play gave.
type Result struct {
	Recorder *measure.Recorder
	Messages int           // tries that reached a dispatcher
	Reached  [][]int       // of those, by dispatcher and second
	CPU      time.Duration // of all calls of the cores, where it was measured
	Heap     int64         // bytes of one dispatcher, where it was measured
	Length   time.Duration // of virtual time
	Spread   *spread.Report
	Talk     Talk
	Gangs    *model.GangReport
	Cut      bool
}

// event is something that will happen.
type event struct {
	at  int64
	seq uint64 // events at one time happen in the order in which they were made
	do  func()
}

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

// play is a day under way.
type play struct {
	o        Options
	day      *world.Day
	now      int64
	seq      uint64
	queue    events
	rng      *rand.Rand
	rec      *measure.Recorder
	hosts    []*host
	watch    *spread.Watch
	fabric   *model.Fabric
	gangAt   int64 // of the event of its next end; 0: none
	stepping bool
	index    map[string]*host
	dir      *model.Directory
	dirAt    int64
	disp     []*dispatcher
	next     uint64
	at       uint64 // attempts
	done     int
	sent     int
	open     int
	cpu      time.Duration
	down     bool
	quiet    bool
	parts    map[[2]int]bool
	msgs     int
	reached  [][]int // tries that reached each dispatcher, by second
	named    map[string]*dispatcher
	talk     Talk
}

type host struct {
	p        *play
	number   int
	m        *model.Host
	due      int64 // of its event in the queue
	up       bool
	refuses  bool
	vanish   bool
	resets   bool
	attempts map[uint64]*attempt
}

type attempt struct {
	t      *try
	id     memory.RelayID
	d      *dispatcher
	gen    int // of the dispatcher's process
	h      *host
	at     uint64 // its number at the host
	handle int
	over   bool // for the dispatcher
	gang   *memory.GangPart
}

// try is a client's request at a dispatcher.
type try struct {
	job    *job
	name   string
	d      *dispatcher
	id     memory.ID
	over   bool
	wait   time.Duration
	leaves bool
	relays map[int]*attempt
}

type job struct {
	*world.Job
	j    *client.Job
	rng  *rand.Rand
	key  string
	last client.Result
}

// Run plays a day.
func Run(ctx context.Context, day *world.Day, o Options) (*Result, error) {
	p := &play{o: o, day: day, rng: rand.New(rand.NewPCG(o.Seed, 21)), index: map[string]*host{}, parts: map[[2]int]bool{}, dirAt: model.Never}
	var names []string
	for _, c := range day.Classes {
		names = append(names, c.Name)
	}
	p.rec = measure.NewRecorder(names)
	p.fleet()
	if err := p.dispatchers(); err != nil {
		return nil, err
	}
	if o.Variant.Share != nil {
		p.share(o.Variant.Share)
	}
	for _, op := range day.Ops {
		p.after(op.At.Microseconds(), func() { p.apply(op) })
	}
	res := &Result{Recorder: p.rec}
	if len(day.Jobs) > 0 {
		p.arrive(0)
	}
	end := (day.End + tailMost).Microseconds()
	for n := 0; len(p.queue) > 0; n++ {
		if n&0xfff == 0 {
			if ctx.Err() != nil {
				res.Cut = true
				break
			}
			if o.Progress != nil {
				o.Progress(p.sent, p.done, len(day.Jobs))
			}
		}
		if p.sent == len(day.Jobs) && p.open == 0 {
			break
		}
		e := heap.Pop(&p.queue).(event)
		if e.at > end {
			break
		}
		p.now = e.at
		e.do()
	}
	res.Messages, res.Reached, res.CPU, res.Length = p.msgs, p.reached, p.cpu, time.Duration(p.now)*time.Microsecond
	res.Spread, res.Talk, res.Gangs = p.watch.Report(p.now), p.talk, p.fabric.Report()
	if o.Measure {
		res.Heap = p.weigh()
	}
	return res, nil
}

// after makes something happen in some microseconds.
func (p *play) after(wait int64, do func()) { p.on(p.now+max(wait, 0), do) }

func (p *play) on(at int64, do func()) {
	p.seq++
	heap.Push(&p.queue, event{at, p.seq, do})
}

// delay is the time on the way between a dispatcher and a host.
func (p *play) delay(d *dispatcher, h *host) int64 {
	return p.day.Delays[d.zone*len(p.day.Zones)+h.m.Zone].Microseconds()
}

// cut tells whether a dispatcher and a host can't hear each other.
func (p *play) cut(d *dispatcher, h *host) bool {
	return h.vanish || len(p.parts) > 0 && p.parts[[2]int{min(d.zone, h.m.Zone), max(d.zone, h.m.Zone)}]
}

func (p *play) dispatchers() error {
	p.reached = make([][]int, p.day.Dispatchers)
	for i := range p.day.Dispatchers {
		d := &dispatcher{p: p, number: i, zone: p.day.ZoneOf(i), rng: rand.New(rand.NewPCG(p.o.Seed, 100+uint64(i)))}
		if err := d.boot(); err != nil {
			return err
		}
		p.disp = append(p.disp, d)
	}
	return nil
}

// weigh gives the bytes that the heap loses with the dispatchers.
func (p *play) weigh() int64 {
	used := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	// What events and attempts hold of the dispatchers goes first, as it is the play's and not theirs.
	p.queue = nil
	before := used()
	n := int64(len(p.disp))
	for _, d := range p.disp {
		d.core, d.messages, d.relays, d.mirror = nil, nil, nil, nil
	}
	after := used()
	runtime.KeepAlive(p)
	return (before - after) / max(n, 1)
}

// readConfig makes what a dispatcher is told, through the platform's own form.
func (p *play) readConfig(i int, seed uint64) (*platform.Config, error) {
	text, err := p.day.Config(i, seed, world.Place{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1",
		Addr: func(id string) string { return id }}, p.o.Variant.Set)
	if err != nil {
		return nil, err
	}
	c, err := platform.ReadConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration of dispatcher %d: %w", i, err)
	}
	return c, nil
}

// outcome books a job's end.
func (p *play) outcome(j *job, at int64) {
	c := &p.day.Classes[j.Class]
	latency := time.Duration(at)*time.Microsecond - j.At
	p.rec.Add(measure.Sample{Class: j.Class, At: j.At, Latency: latency, Outcome: load.Judge(c, j.Job, j.last, latency),
		Worth: c.Worth * j.Work.Seconds(), Tries: j.j.Tries(), Zone: j.Zone})
	p.done++
	p.open--
}
