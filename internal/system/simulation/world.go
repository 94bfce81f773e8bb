// Package simulation plays the whole system in one process on simulated time: real keepers, stores and carriers over
// modelled links, disks, workers, a platform, an operator and clients, judged by what clients, workers and the operator
// see. The same seed and scenario give the same day.
package simulation

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/wire"
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// world is the simulated time and all machines.
type world struct {
	now      time.Duration
	events   eventHeap
	order    uint64
	random   *rand.Rand
	machines map[string]*machine
	names    []string // of the machines, in the order of their making
	serving  map[string]*process
	cuts     map[[2]string]bool // from one machine to another
	arrivals map[[2]string]time.Duration
	wallBase int64
	report   func(process, event string, err error)
	history  *xxhash.Digest // of all that happened, and when
}

func newWorld(seed uint64) *world {
	return &world{random: rand.New(rand.NewPCG(seed, 1)), machines: map[string]*machine{}, serving: map[string]*process{},
		cuts: map[[2]string]bool{}, arrivals: map[[2]string]time.Duration{}, wallBase: 1_800_000_000_000,
		report: func(string, string, error) {}, history: xxhash.New()}
}

// note adds something that happened to the history.
func (w *world) note(what string, values ...uint64) {
	buffer := binary.LittleEndian.AppendUint64([]byte(what), uint64(w.now))
	for _, value := range values {
		buffer = binary.LittleEndian.AppendUint64(buffer, value)
	}
	_, _ = w.history.Write(buffer) // never fails
}

func (w *world) after(wait time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + max(wait, 0), order: w.order, do: do})
}

// runUntil plays what happens up to a time.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		w.note("event", next.order)
		next.do()
	}
	w.now = end
}

// machine is a place where processes run; it may have a disk.
type machine struct {
	name      string
	ip        string
	zone      string
	dark      bool // without power
	frozen    bool
	wallSkew  int64 // milliseconds
	disks     map[string]*simulatedDisk
	processes []*process
	removed   bool          // for good
	slowDisk  int           // times that a sync takes longer; 0 is the usual
	fullDisk  bool          // takes no more bytes
	quota     bool          // its share of the processor is spent early in each tenth of a second
	unheard   int           // of a hundred answers that its carrier gives other carriers, so many are lost
	feedLost  bool          // what keepers push to its processes is lost
	diskSince time.Duration // when its disks were last empty
	// identities are those of its keeper in each group, as its disk holds them.
	identities [keeper.Groups]string
}

func (w *world) add(name, ip, zone string) *machine {
	m := &machine{name: name, ip: ip, zone: zone, disks: map[string]*simulatedDisk{}}
	w.machines[name] = m
	w.names = append(w.names, name)
	return m
}

// Times of the links.
const (
	latencySameZone  = 200 * time.Microsecond
	latencyOtherZone = 600 * time.Microsecond
	latencyJitter    = 200 * time.Microsecond
	silenceLimit     = 1500 * time.Millisecond
	pollInterval     = 40 * time.Millisecond
	reconnectPause   = 120 * time.Millisecond
)

// open tells whether bytes get from one machine to another.
func (w *world) open(from, to *machine) bool {
	return !from.dark && !to.dark && !w.cuts[[2]string{from.name, to.name}]
}

// send delivers something from one machine to another, in order; it is lost where the way is closed.
func (w *world) send(from, to *machine, deliver func()) {
	if !w.open(from, to) {
		return
	}
	latency := latencyOtherZone
	if from.zone == to.zone {
		latency = latencySameZone
	}
	pair := [2]string{from.name, to.name}
	at := max(w.now+latency+time.Duration(w.random.Int64N(int64(latencyJitter))), w.arrivals[pair]+time.Microsecond)
	w.arrivals[pair] = at
	w.after(at-w.now, func() {
		if w.open(from, to) {
			deliver()
		}
	})
}

// process is one life of a role on a machine: its loop and its connections.
type process struct {
	world   *world
	machine *machine
	role    string
	address string
	alive   bool
	started time.Duration
	frozen  []func() // what waits for the thaw
	wanted  map[string]bool
	links   map[string]*connection
	up      func(address string)
	down    func(address string)
	push    func(address string, kind wire.Kind, payload []byte)
	serve   func(from *process, kind wire.Kind, payload []byte, answerer wire.Answerer)
	stop    func() // SIGTERM
}

// connection is a process's connection to an address.
type connection struct {
	peer    *process // nil while there is none
	brokeAt time.Duration
	silent  time.Duration // since when nothing gets through; 0 while it does
	calls   map[uint64]func(payload []byte, err error)
	lastID  uint64
}

func (w *world) start(m *machine, role, address string) *process {
	p := &process{world: w, machine: m, role: role, address: address, alive: true, started: w.now,
		wanted: map[string]bool{}, links: map[string]*connection{}}
	m.processes = append(m.processes, p)
	w.serving[address] = p
	w.after(pollInterval, p.poll)
	return p
}

// end ends a process; its peers see their connections reset where the machine has power, and silence elsewhere.
func (p *process) end() {
	p.alive = false
	if p.world.serving[p.address] == p {
		delete(p.world.serving, p.address)
	}
	for i, other := range p.machine.processes {
		if other == p {
			p.machine.processes = append(p.machine.processes[:i:i], p.machine.processes[i+1:]...)
			break
		}
	}
}

// run lets the process do something, when it isn't frozen.
func (p *process) run(do func()) {
	switch {
	case !p.alive:
	case p.machine.frozen:
		p.frozen = append(p.frozen, do)
	case p.machine.quota && p.world.now%quotaPeriod >= quotaSpent:
		p.world.after(quotaPeriod-p.world.now%quotaPeriod, func() { p.run(do) })
	default:
		do()
	}
}

// A processor's quota: what a process may run of each period, from its beginning.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaSpent  = 35 * time.Millisecond
)

func (p *process) thaw() {
	waiting := p.frozen
	p.frozen = nil
	for _, do := range waiting {
		p.run(do)
	}
}

// Now implements loop.Loop.
func (p *process) Now() time.Duration { return p.world.now - p.started }

// Wall implements loop.Loop.
func (p *process) Wall() int64 {
	return p.world.wallBase + p.world.now.Milliseconds() + p.machine.wallSkew
}

// After implements loop.Loop.
func (p *process) After(wait time.Duration, do func()) {
	p.world.after(wait, func() { p.run(do) })
}

// Random implements loop.Loop.
func (p *process) Random(n int64) int64 {
	if n <= 0 {
		return 0
	}
	return p.world.random.Int64N(n)
}

// Report implements the environments' reports.
func (p *process) Report(event string, err error) {
	p.world.report(p.machine.name+"/"+p.role, event, err)
}

// Inform implements the environments' notes.
func (p *process) Inform(string) {}
