// Package emulate plays a day's hosts and its discovery on loopback sockets in the platform's protocol, with the day's
// failures. Each dispatcher reaches each host at an address of its own, so that the emulator knows who asks.
package emulate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/spread"
	"granitewing/internal/lab/world"
)

// portsMost bounds the addresses of an emulation; larger fleets are for virtual time.
const portsMost = 20_000

// Emulator is a running fleet with its discovery.
type Emulator struct {
	day   *world.Day
	log   *audit.Log
	start time.Time

	mu        sync.Mutex // guards all below, the models included
	hosts     []*host
	watch     *spread.Watch
	dir       *model.Directory
	dirTimer  *time.Timer
	discovery []*discovery // by dispatcher
	down      bool         // discovery
	silent    bool         // discovery
	parted    map[[2]int]bool
	attempts  uint64
	conns     map[net.Conn]struct{}
	timers    []*time.Timer
	closed    bool
	wait      sync.WaitGroup
}

// host is one emulated host.
type host struct {
	e       *Emulator
	number  int
	m       *model.Host
	ports   []*port // by dispatcher
	streams map[uint64]*stream
	timer   *time.Timer
	up      bool // it has joined and not stopped
	refuses bool
	vanish  bool
	resets  bool
}

// port is where one dispatcher reaches one host.
type port struct {
	h          *host
	dispatcher int
	addr       string
	ln         net.Listener
	conns      map[net.Conn]struct{}
	delay      time.Duration // one way
	muted      bool
}

// New opens all addresses. Hosts that join later have theirs already, and refuse until then.
func New(day *world.Day, log *audit.Log) (*Emulator, error) {
	if n := len(day.Machines) * day.Dispatchers; n > portsMost {
		return nil, fmt.Errorf("%d hosts for %d dispatchers want %d addresses; at most %d can be emulated, virtual time plays more",
			len(day.Machines), day.Dispatchers, n, portsMost)
	}
	e := &Emulator{day: day, log: log, start: time.Now(), conns: map[net.Conn]struct{}{}, parted: map[[2]int]bool{},
		watch: spread.New(day.Machines, day.End.Microseconds())}
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
		h := &host{e: e, number: i, m: model.NewHost(m, cells[m.Cell], store, 0, false), streams: map[uint64]*stream{}, up: i < day.Fleet.Hosts}
		h.m.Keep(day.Kept[i])
		if h.up {
			members = append(members, day.Member(i, model.Ready, 0))
			log.Listed(0, m.Name, true)
		}
		for d := range day.Dispatchers {
			p := &port{h: h, dispatcher: d, conns: map[net.Conn]struct{}{}, delay: e.delay(d, m.Zone)}
			h.ports = append(h.ports, p)
			if err := p.open(); err != nil {
				e.Close()
				return nil, err
			}
			if !h.up {
				p.shut()
			}
		}
		e.hosts = append(e.hosts, h)
		h.look(0)
	}
	e.dir = model.NewDirectory(members)
	for d := range day.Dispatchers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.Close()
			return nil, fmt.Errorf("discovery: %w", err)
		}
		disc := &discovery{e: e, dispatcher: d, ln: ln, told: make(chan struct{})}
		e.discovery = append(e.discovery, disc)
		e.wait.Go(disc.accept)
	}
	return e, nil
}

// delay is the time on the way beyond loopback's own; within a zone there is none.
func (e *Emulator) delay(dispatcher, zone int) time.Duration {
	if own := e.day.ZoneOf(dispatcher); own != zone {
		return e.day.Delays[own*len(e.day.Zones)+zone]
	}
	return 0
}

// now is the day's time in microseconds.
func (e *Emulator) now() int64 { return time.Since(e.start).Microseconds() }

// Start is when the emulator's clock showed 0.
func (e *Emulator) Start() time.Time { return e.start }

// Place tells a dispatcher where all are.
func (e *Emulator) Place(dispatcher int, listen string) world.Place {
	addrs := map[string]string{}
	for _, h := range e.hosts {
		addrs[h.m.Name] = h.ports[dispatcher].addr
	}
	return world.Place{Listen: listen, Discovery: e.discovery[dispatcher].ln.Addr().String(), Epoch: e.start.UnixMicro(),
		Addr: func(id string) string { return addrs[id] }}
}

// Play carries out the day's operations from now on, each on a timer of its own; those on dispatchers and their store go to the
// caller. It returns at once.
func (e *Emulator) Play(ctx context.Context, begin time.Time, dispatcher func(world.Op)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, op := range e.day.Ops {
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

// apply carries out one operation; the lock is held.
func (e *Emulator) apply(op world.Op) {
	now := e.now()
	var h *host
	if op.Host < len(e.hosts) {
		h = e.hosts[op.Host]
	}
	change := func(phase model.Phase) {
		e.dir.Change(now, op.Lag.Microseconds(), e.day.Member(op.Host, phase, h.m.UpSince()))
		e.rearm()
	}
	switch op.Kind {
	case world.OpSlow:
		h.tell(h.m.Slow(now, op.Factor))
	case world.OpDrain:
		h.tell(h.m.Drain(now))
		change(model.Draining)
	case world.OpStop, world.OpCrash:
		h.crash(now)
		change(model.Gone)
	case world.OpRestart, world.OpStart:
		h.m.Restart(now)
		h.up, h.vanish = true, false
		h.listen()
		change(model.Ready)
	case world.OpVanish:
		h.vanish = op.On
		h.mute()
	case world.OpReset:
		h.resets = op.On
	case world.OpErrors:
		h.m.Errors(op.On)
	case world.OpRefuse:
		h.refuses = op.On
		h.listen()
	case world.OpStale:
		e.dir.Stale(op.On)
	case world.OpDown:
		e.down = op.On
		if op.On {
			for _, d := range e.discovery {
				d.cut()
			}
		}
	case world.OpSilent:
		e.silent = op.On
		for _, d := range e.discovery {
			d.wake()
		}
	case world.OpPart:
		e.parted[[2]int{min(op.Host, op.Other), max(op.Host, op.Other)}] = op.On
		for _, h := range e.hosts {
			h.mute()
		}
	}
	e.rearm()
}

// rearm sets the timer of the list's next change.
func (e *Emulator) rearm() {
	if e.dirTimer != nil {
		e.dirTimer.Stop()
	}
	next := e.dir.Next()
	if next == model.Never || e.closed {
		return
	}
	e.dirTimer = time.AfterFunc(time.Duration(next-e.now())*time.Microsecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.closed {
			return
		}
		before := e.dir.Revision()
		if e.dir.Advance(e.now()) {
			changed, _ := e.dir.Since(before)
			for _, m := range changed {
				e.log.Listed(e.now(), m.ID, m.Phase == model.Ready)
			}
			for _, d := range e.discovery {
				d.wake()
			}
		}
		e.rearm()
	})
}

// Spread tells how evenly the hosts have been used so far.
func (e *Emulator) Spread() *spread.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.watch.Report(e.now())
}

// Close ends all.
func (e *Emulator) Close() {
	e.mu.Lock()
	e.closed = true
	for _, t := range e.timers {
		t.Stop()
	}
	if e.dirTimer != nil {
		e.dirTimer.Stop()
	}
	for _, h := range e.hosts {
		if h.timer != nil {
			h.timer.Stop()
		}
		for _, p := range h.ports {
			p.shut()
		}
	}
	for _, d := range e.discovery {
		d.ln.Close()
		d.cut()
	}
	for c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	e.wait.Wait()
}

// ---- Hosts ----

// open listens, at the address of before where there was one: discovery's list names it.
func (p *port) open() error {
	addr := p.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("host %s for dispatcher %d: %w", p.h.m.Name, p.dispatcher, err)
	}
	p.ln, p.addr = ln, ln.Addr().String()
	p.h.e.wait.Go(func() { p.accept(ln) })
	return nil
}

func (p *port) shut() {
	if p.ln != nil {
		p.ln.Close()
		p.ln = nil
	}
}

// look has the figures of the fleet's use take note of it; the lock is held.
func (h *host) look(now int64) {
	h.e.watch.Look(now, h.number, h.m, h.up && !h.vanish && !h.refuses)
}

// listen opens or shuts a host's addresses as its state asks.
func (h *host) listen() {
	for _, p := range h.ports {
		switch want := h.up && !h.refuses; {
		case want && p.ln == nil:
			if err := p.open(); err != nil {
				if errors.Is(err, syscall.EADDRINUSE) {
					// Another program was given the address meanwhile; it may let go of it.
					h.e.timers = append(h.e.timers, time.AfterFunc(100*time.Millisecond, func() {
						h.e.mu.Lock()
						defer h.e.mu.Unlock()
						if !h.e.closed {
							h.listen()
						}
					}))
				}
				slog.Warn("a host can't listen again", "err", err)
			}
		case !want:
			p.shut()
		}
	}
	h.mute()
	h.look(h.e.now())
}

// mute finds which ports say nothing. What was open under the silence is reset once it is over.
func (h *host) mute() {
	for _, p := range h.ports {
		zone := h.e.day.ZoneOf(p.dispatcher)
		muted := h.vanish || h.e.parted[[2]int{min(zone, h.m.Zone), max(zone, h.m.Zone)}]
		if p.muted && !muted {
			p.reset()
		}
		p.muted = muted
	}
}

// reset resets all connections of a port.
func (p *port) reset() {
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// crash ends a host's process.
func (h *host) crash(now int64) {
	h.m.Crash(now)
	h.fell(now)
}

// fell cleans up after a process that is gone.
func (h *host) fell(now int64) {
	h.up = false
	for id, s := range h.streams {
		h.e.log.Finish(now, s.name, s.handle, audit.Lost, "")
		delete(h.streams, id)
	}
	for _, p := range h.ports {
		p.shut()
		p.reset()
	}
	if h.timer != nil {
		h.timer.Stop()
	}
	h.look(now)
}

func (p *port) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors; those that are open must go on
			continue
		}
		e := p.h.e
		e.mu.Lock()
		if e.closed || p.ln != ln {
			e.mu.Unlock()
			reset(c)
			continue
		}
		e.conns[c] = struct{}{}
		p.conns[c] = struct{}{}
		e.wait.Go(func() { p.serve(c) })
		e.mu.Unlock()
	}
}

// arm sets the timer of what a host does next.
func (h *host) arm() {
	if h.timer != nil {
		h.timer.Stop()
	}
	next := h.m.Next()
	if next == model.Never {
		return
	}
	h.timer = time.AfterFunc(time.Duration(next-h.e.now())*time.Microsecond, func() {
		h.e.mu.Lock()
		defer h.e.mu.Unlock()
		if !h.e.closed {
			h.tell(h.m.Advance(h.e.now()))
		}
	})
}

// tell hands a host's notes to those who wait for them; the lock is held.
func (h *host) tell(notes []model.Note) {
	for _, n := range notes {
		if s := h.streams[n.Attempt]; s != nil {
			s.tell(n)
		}
	}
	h.look(h.e.now())
	h.arm()
}
