// Package emulate emulates the hosts (back ends that run jobs) and the discovery service of a day on loopback
// sockets, in the platform's protocol and with the day's faults.
//
// New opens the addresses of an Emulator, Addresses returns what a dispatcher's configuration needs to reach them,
// Start starts the day's faults, and Close ends everything. Each dispatcher gets loopback addresses of its own for the
// hosts (127.1.x.y). The emulator thereby knows which dispatcher is calling, and has a separate link between each
// dispatcher and each host on which it can inject faults.
package emulate

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/balance"
	"granitewing/internal/lab/link"
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/portreserve"
	"granitewing/internal/lab/world"
)

// maxLinks bounds the number of dispatcher-host links of an emulation; larger fleets run in virtual time.
const maxLinks = 100_000

// Emulator is a running fleet of emulated hosts with its discovery service.
type Emulator struct {
	day   *world.Day
	log   *audit.Log
	start time.Time

	mu               sync.Mutex // guards all fields below, including the models
	hosts            []*host
	usage            *balance.Watch
	fabric           *model.Fabric
	gangTimer        *time.Timer
	steppingGangs    bool // stepGangs is running; it must not be entered again
	directory        *model.Directory
	directoryTimer   *time.Timer
	discovery        []*discovery // by dispatcher
	discoveryDown    bool         // discovery answers 503
	discoverySilent  bool         // discovery accepts requests and never answers
	partitionedZones map[[2]int]bool
	attempts         uint64
	conns            map[net.Conn]struct{}
	timers           []*time.Timer
	closed           bool
	wait             sync.WaitGroup
}

// host is one emulated host.
type host struct {
	e         *Emulator
	number    int
	model     *model.Host
	endpoints []*endpoint // by dispatcher
	ln        net.Listener
	tcpPort   int               // the same port at all loopback addresses
	heldPort  *portreserve.Port // reserves the port while the host does not listen
	streams   map[uint64]*stream
	timer     *time.Timer
	up        bool // has joined and has not stopped or crashed
	refusing  bool
	vanished  bool
	resetting bool
}

// endpoint is the address at which one dispatcher reaches one host, with the link between the two.
type endpoint struct {
	h          *host
	dispatcher int
	link       link.Link
	delay      time.Duration // one-way delay added to loopback's own
	muted      bool
}

// New opens the addresses of all hosts and of the discovery service of each dispatcher. The address of a host that
// joins later exists from the start and refuses connections until then. New returns an error if an address cannot be
// opened or if the fleet has more than maxLinks dispatcher-host links.
func New(day *world.Day, log *audit.Log) (*Emulator, error) {
	if n := len(day.Machines) * day.Dispatchers; n > maxLinks {
		return nil, fmt.Errorf("%d hosts for %d dispatchers need %d links; at most %d can be emulated; use virtual time for more",
			len(day.Machines), day.Dispatchers, n, maxLinks)
	}
	e := &Emulator{day: day, log: log, start: time.Now(), conns: map[net.Conn]struct{}{}, partitionedZones: map[[2]int]bool{},
		usage: balance.New(day.Machines, day.End.Microseconds()), fabric: model.NewFabric(day.Fleet.Links.Model())}
	cells := map[int]*model.Cell{}
	store := &model.Store{Room: day.Sets.Store}
	window := int64(0)
	for _, c := range day.Classes {
		if c.Repeat == "keyed" {
			window = max(window, c.Window.Microseconds())
		}
	}
	var members []model.Member
	for i, m := range day.Machines {
		if cells[m.Cell] == nil {
			cells[m.Cell] = model.NewCell(window)
		}
		h := &host{e: e, number: i, model: model.NewHost(m, cells[m.Cell], store, 0, false), streams: map[uint64]*stream{}, up: i < day.Fleet.Hosts}
		h.model.FillCache(day.CachedSets[i])
		h.model.SetFabric(e.fabric)
		if h.up {
			members = append(members, day.Member(i, model.Ready, 0))
			log.Listed(0, m.Name, true)
		}
		for d := range day.Dispatchers {
			h.endpoints = append(h.endpoints, &endpoint{h: h, dispatcher: d, delay: e.delay(d, m.Zone)})
		}
		if err := h.startListening(); err != nil {
			e.Close()
			return nil, err
		}
		if !h.up {
			h.stopListening()
		}
		e.hosts = append(e.hosts, h)
		h.recordUsage(0)
	}
	e.directory = model.NewDirectory(members)
	for d := range day.Dispatchers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.Close()
			return nil, fmt.Errorf("discovery: %w", err)
		}
		disc := &discovery{e: e, dispatcher: d, ln: ln, changed: make(chan struct{})}
		e.discovery = append(e.discovery, disc)
		e.wait.Go(disc.accept)
	}
	return e, nil
}

// delay returns the one-way delay between a dispatcher and a zone in addition to loopback's own; it is zero within a
// zone.
func (e *Emulator) delay(dispatcher, zone int) time.Duration {
	if own := e.day.ZoneOf(dispatcher); own != zone {
		return e.day.Delays[own*len(e.day.Zones)+zone]
	}
	return 0
}

// now returns the time since the emulator's start in microseconds.
func (e *Emulator) now() int64 { return time.Since(e.start).Microseconds() }

// StartTime returns the time at which the emulator's clock was zero.
func (e *Emulator) StartTime() time.Time { return e.start }

// Addresses returns the addresses that go into a dispatcher's configuration: its own listener, its discovery service
// and all hosts. listen is the dispatcher's listen address.
func (e *Emulator) Addresses(dispatcher int, listen string) world.Place {
	addrs := map[string]string{}
	for _, h := range e.hosts {
		addrs[h.model.Name] = h.addr(dispatcher)
	}
	return world.Place{Listen: listen, Discovery: e.discovery[dispatcher].ln.Addr().String(), Epoch: e.start.UnixMicro(),
		Addr: func(id string) string { return addrs[id] }}
}

// Start schedules the day's operations relative to begin, each on its own timer, and returns at once. Operations on
// dispatchers and on their store are passed to the dispatcher function. Operations at time zero or earlier are
// applied before Start returns, because a timer might fire only after the first job has arrived.
func (e *Emulator) Start(ctx context.Context, begin time.Time, dispatcher func(world.Op)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, op := range e.day.Ops {
		if op.At <= 0 && op.Kind < world.OpKill {
			slog.Info("fault", "at", op.At, "what", op.Label)
			e.apply(op)
			continue
		}
		e.timers = append(e.timers, time.AfterFunc(time.Until(begin.Add(op.At)), func() {
			if ctx.Err() != nil {
				return
			}
			slog.Info("fault", "at", op.At, "what", op.Label)
			if op.Kind >= world.OpKill {
				dispatcher(op)
				return
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if !e.closed {
				e.apply(op)
			}
		}))
	}
}

// apply carries out one operation. The caller holds mu.
func (e *Emulator) apply(op world.Op) {
	now := e.now()
	var h *host
	if op.Host < len(e.hosts) {
		h = e.hosts[op.Host]
	}
	change := func(phase model.Phase) {
		e.directory.Change(now, op.Lag.Microseconds(), e.day.Member(op.Host, phase, h.model.UpSince()))
		e.armDirectoryTimer()
	}
	switch op.Kind {
	case world.OpSlow:
		h.deliverNotes(h.model.Slow(now, op.Factor))
	case world.OpDrain:
		h.deliverNotes(h.model.Drain(now))
		change(model.Draining)
	case world.OpStop, world.OpCrash:
		h.crash(now)
		change(model.Gone)
	case world.OpRestart, world.OpStart:
		h.model.Restart(now)
		h.up, h.vanished = true, false
		h.updateListener()
		change(model.Ready)
	case world.OpVanish:
		h.vanished = op.On
		h.updateMuted()
	case world.OpReset:
		h.resetting = op.On
	case world.OpErrors:
		h.model.Errors(op.On)
	case world.OpRefuse:
		h.refusing = op.On
		h.updateListener()
	case world.OpStale:
		e.directory.Stale(op.On)
	case world.OpDown:
		e.discoveryDown = op.On
		if op.On {
			for _, d := range e.discovery {
				d.closeWatches()
			}
		}
	case world.OpSilent:
		e.discoverySilent = op.On
		for _, d := range e.discovery {
			d.notifyWatches()
		}
	case world.OpLink:
		e.applyLinkFaults(op)
	case world.OpPartition:
		e.partitionedZones[[2]int{min(op.Host, op.Other), max(op.Host, op.Other)}] = op.On
		for _, h := range e.hosts {
			h.updateMuted()
		}
	}
	e.armDirectoryTimer()
}

// FaultsOf returns the link faults that an operation causes, or no faults if the operation ends them.
func FaultsOf(op world.Op) link.Faults {
	if !op.On {
		return link.Faults{}
	}
	l := op.Link
	way := func(on bool) link.Direction {
		switch {
		case !on:
			return link.Direction{}
		case l.Manner == "late":
			return link.Direction{Delay: l.Delay, Jitter: l.Jitter, Loss: l.Loss, Duplicate: l.Duplicated}
		}
		return link.Direction{Cut: l.Manner == "silent", CutMidMessage: l.Manner == "half"}
	}
	return link.Faults{To: way(l.Direction != "from"), From: way(l.Direction != "to"), Refuse: l.Manner == "reset"}
}

// applyLinkFaults sets or clears the faults of an operation on the links between dispatchers and hosts, or between
// dispatchers and discovery.
func (e *Emulator) applyLinkFaults(op world.Op) {
	l, f := op.Link, FaultsOf(op)
	set := func(l *link.Link) { l.SetAndReset(f) }
	for _, d := range op.Dispatchers {
		if l.Discovery {
			set(&e.discovery[d].link)
			continue
		}
		for _, h := range op.Hosts {
			set(&e.hosts[h].endpoints[d].link)
		}
	}
}

// armDirectoryTimer sets the timer for the next change of the member list.
func (e *Emulator) armDirectoryTimer() {
	if e.directoryTimer != nil {
		e.directoryTimer.Stop()
	}
	next := e.directory.Next()
	if next == model.Never || e.closed {
		return
	}
	e.directoryTimer = time.AfterFunc(time.Duration(next-e.now())*time.Microsecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.closed {
			return
		}
		before := e.directory.Revision()
		if e.directory.Advance(e.now()) {
			changed, _ := e.directory.Since(before)
			for _, m := range changed {
				e.log.Listed(e.now(), m.ID, m.Phase == model.Ready)
			}
			for _, d := range e.discovery {
				d.notifyWatches()
			}
		}
		e.armDirectoryTimer()
	})
}

// UsageReport returns a report on how evenly the hosts have been used so far.
func (e *Emulator) UsageReport() *balance.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usage.Report(e.now())
}

// Close closes all listeners and connections and waits until their goroutines have ended.
func (e *Emulator) Close() {
	e.mu.Lock()
	e.closed = true
	for _, t := range e.timers {
		t.Stop()
	}
	if e.directoryTimer != nil {
		e.directoryTimer.Stop()
	}
	if e.gangTimer != nil {
		e.gangTimer.Stop()
	}
	for _, h := range e.hosts {
		if h.timer != nil {
			h.timer.Stop()
		}
		h.stopListening()
		h.release()
	}
	for _, d := range e.discovery {
		d.ln.Close()
		d.closeWatches()
	}
	for c := range e.conns {
		reset(c)
	}
	e.mu.Unlock()
	e.wait.Wait()
}
