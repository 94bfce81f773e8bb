// Package simulation runs the whole system in one process on simulated time and checks that it keeps its guarantees.
// Keepers, stores and carriers run their real code. The links, disks, workers, operator and clients are models, as is
// the platform, the operators' environment that starts processes and lists workers. A Scenario lists the faults and planned operations of a run. Parse reads one from a text, Draw and its
// variants draw one at random from a seed, and Run executes one and returns a Result with the rules that were broken.
// The rules are judged only by what clients, workers, call-back receivers and the operator observe, and by the state
// of the disks at the end. The same seed and scenario always give the same run.
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

// event is an action that is due at a point of simulated time. Events due at the same time run in the order of their
// creation.
type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
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

// world holds the simulated clock, the queue of events, and all machines with the network between them.
type world struct {
	now          time.Duration
	events       eventHeap
	lastSequence uint64
	random       *rand.Rand
	machines     map[string]*machine
	names        []string // of the machines, in order of creation
	// listeners holds the process that accepts connections at each address.
	listeners    map[string]*process
	blockedLinks map[[2]string]bool // by sender and receiver
	// lastArrivals is the arrival time of the latest transmission by sender and receiver. It keeps deliveries in
	// order.
	lastArrivals map[[2]string]time.Duration
	wallBase     int64
	report       func(process, event string, err error)
	eventHash    *xxhash.Digest // of all events and their times
}

func newWorld(seed uint64) *world {
	return &world{random: rand.New(rand.NewPCG(seed, 1)), machines: map[string]*machine{}, listeners: map[string]*process{},
		blockedLinks: map[[2]string]bool{}, lastArrivals: map[[2]string]time.Duration{}, wallBase: 1_800_000_000_000,
		report: func(string, string, error) {}, eventHash: xxhash.New()}
}

// hashEvent adds something that happened, with its time and some values, to the hash of the run.
func (w *world) hashEvent(what string, values ...uint64) {
	buffer := binary.LittleEndian.AppendUint64([]byte(what), uint64(w.now))
	for _, value := range values {
		buffer = binary.LittleEndian.AppendUint64(buffer, value)
	}
	_, _ = w.eventHash.Write(buffer) // Digest.Write never fails
}

func (w *world) after(wait time.Duration, do func()) {
	w.lastSequence++
	heap.Push(&w.events, event{at: w.now + max(wait, 0), sequence: w.lastSequence, action: do})
}

// runUntil runs all events that are due up to and including a time.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		w.hashEvent("event", next.sequence)
		next.action()
	}
	w.now = end
}

// machine is a host on which processes run. It may have disks.
type machine struct {
	name       string
	ip         string
	zone       string
	poweredOff bool // it sends and receives nothing, and runs no process
	// frozen stops all processes on the machine for a while; they keep their state.
	frozen            bool
	wallSkew          int64 // clock error in milliseconds
	disks             map[string]*simulatedDisk
	processes         []*process
	removed           bool          // permanently
	diskSlowdown      int           // factor by which a sync takes longer; 0 means none
	diskFull          bool          // writes fail with ENOSPC
	cpuThrottled      bool          // its processes may run only in the first part of each quotaPeriod
	answerLossPercent int           // percentage of its carrier's answers to other carriers that are lost
	pushesLost        bool          // frames that keepers push to its processes are lost
	diskEmptySince    time.Duration // when its disks were last empty
	// identities are the member identities of its keeper in each control group, as its disk holds them.
	identities [keeper.Groups]string
}

func (w *world) add(name, ip, zone string) *machine {
	m := &machine{name: name, ip: ip, zone: zone, disks: map[string]*simulatedDisk{}}
	w.machines[name] = m
	w.names = append(w.names, name)
	return m
}

// Latencies and timeouts of the simulated network.
const (
	latencySameZone  = 200 * time.Microsecond
	latencyOtherZone = 600 * time.Microsecond
	latencyJitter    = 200 * time.Microsecond
	silenceTimeout   = 1500 * time.Millisecond
	pollInterval     = 40 * time.Millisecond
	reconnectDelay   = 120 * time.Millisecond
)

// linkOpen reports whether data gets from one machine to another.
func (w *world) linkOpen(from, to *machine) bool {
	return !from.poweredOff && !to.poweredOff && !w.blockedLinks[[2]string{from.name, to.name}]
}

// send delivers something from one machine to another, in order. It is lost if the link is blocked when it is sent or
// when it arrives.
func (w *world) send(from, to *machine, deliver func()) {
	if !w.linkOpen(from, to) {
		return
	}
	latency := latencyOtherZone
	if from.zone == to.zone {
		latency = latencySameZone
	}
	pair := [2]string{from.name, to.name}
	at := max(w.now+latency+time.Duration(w.random.Int64N(int64(latencyJitter))), w.lastArrivals[pair]+time.Microsecond)
	w.lastArrivals[pair] = at
	w.after(at-w.now, func() {
		if w.linkOpen(from, to) {
			deliver()
		}
	})
}

// process is one incarnation of a role on a machine, with its event loop and its connections. It implements loop.Loop
// and loop.Peers.
type process struct {
	world       *world
	machine     *machine
	role        string
	address     string
	alive       bool
	started     time.Duration
	deferred    []func() // callbacks to run after the machine is no longer frozen
	desired     map[string]bool
	connections map[string]*connection
	peerUp      func(address string)
	peerDown    func(address string)
	handlePush  func(address string, kind wire.Kind, payload []byte)
	handleCall  func(from *process, kind wire.Kind, payload []byte, answerer wire.Answerer)
	shutDown    func() // handles SIGTERM; nil if the process just exits
}

// connection is a process's outgoing connection to an address.
type connection struct {
	peer        *process // nil while disconnected
	brokenAt    time.Duration
	silentSince time.Duration // since when no data gets through; 0 while it does
	calls       map[uint64]func(payload []byte, err error)
	lastID      uint64
}

func (w *world) start(m *machine, role, address string) *process {
	p := &process{world: w, machine: m, role: role, address: address, alive: true, started: w.now,
		desired: map[string]bool{}, connections: map[string]*connection{}}
	m.processes = append(m.processes, p)
	w.listeners[address] = p
	w.after(pollInterval, p.poll)
	return p
}

// terminate ends a process. If its machine has power, its peers see their connections reset; otherwise they see
// silence.
func (p *process) terminate() {
	p.alive = false
	if p.world.listeners[p.address] == p {
		delete(p.world.listeners, p.address)
	}
	for i, other := range p.machine.processes {
		if other == p {
			p.machine.processes = append(p.machine.processes[:i:i], p.machine.processes[i+1:]...)
			break
		}
	}
}

// run runs a callback of the process: at once, after the machine is no longer frozen, or in the next CPU period if
// the quota of this one is used up. A process that has ended runs nothing.
func (p *process) run(do func()) {
	switch {
	case !p.alive:
	case p.machine.frozen:
		p.deferred = append(p.deferred, do)
	case p.machine.cpuThrottled && p.world.now%quotaPeriod >= quotaPerPeriod:
		p.world.after(quotaPeriod-p.world.now%quotaPeriod, func() { p.run(do) })
	default:
		do()
	}
}

// CPU quota of a throttled machine: in each period a process may run only for the first part.
const (
	quotaPeriod    = 100 * time.Millisecond
	quotaPerPeriod = 35 * time.Millisecond
)

func (p *process) resume() {
	waiting := p.deferred
	p.deferred = nil
	for _, do := range waiting {
		p.run(do)
	}
}

// Now implements loop.Loop. It starts at 0 with the process.
func (p *process) Now() time.Duration { return p.world.now - p.started }

// WallMillis implements loop.Loop. It adds the clock error of the machine.
func (p *process) WallMillis() int64 {
	return p.world.wallBase + p.world.now.Milliseconds() + p.machine.wallSkew
}

// After implements loop.Loop.
func (p *process) After(wait time.Duration, do func()) {
	p.world.after(wait, func() { p.run(do) })
}

// Random implements loop.Loop. It draws from the seeded generator of the run.
func (p *process) Random(n int64) int64 {
	if n <= 0 {
		return 0
	}
	return p.world.random.Int64N(n)
}

// LogWarning implements the LogWarning method of the roles' environments.
func (p *process) LogWarning(event string, err error) {
	p.world.report(p.machine.name+"/"+p.role, event, err)
}

// LogInfo implements the LogInfo method of the roles' environments. It discards the text.
func (p *process) LogInfo(string) {}
