// Package driver reads and writes the sockets of a dispatcher and keeps its timers. One goroutine, in Run,
// owns the core and all state here; readers, writers, dials and timers post events to it.
package driver

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"granitewing/internal/inventory"
	"granitewing/internal/latest"
	"granitewing/internal/memory"
	"granitewing/internal/seam"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// Figures that no setting gives.
const (
	eventsMost     = 256                    // events on their way; those who post wait beyond it
	writeLimit     = 30 * time.Second       // a peer that takes no bytes for so long is given up
	messageLimit   = 2 * time.Second        // a request that has begun must be whole by then; a new connection's first at once
	downstreamIdle = 5 * time.Minute        // idle connections that have carried a request are kept so long
	goodbyeLimit   = time.Second            // a peer must end what both sides know to be over by then
	drainLimit     = 4 * time.Second        // so long a client that is turned away may go on sending before it is cut off
	expireAfter    = 20 * time.Millisecond  // past a deadline; within the slack that the rules allow
	dialDefault    = time.Second            // for servers, where the settings give no time-out
	idleDefault    = 10 * time.Second       // for connections to servers, where the settings give no limit
	lingerIdle     = 450 * time.Millisecond // once clients are sent away, they may use the connections they have for up to 0.4 s
	arriveLimit    = time.Second            // after SIGTERM new connections come for up to 0.4 s; late ones on a busy machine included
	fullAfter      = time.Second            // a client refused for want of descriptors may come back then
	quietCheck     = 50 * time.Millisecond  // between looks whether all is quiet by then
	acceptRetry    = 100 * time.Millisecond // between tries to accept while that fails
)

// Driver serves one dispatcher.
type Driver struct {
	cfg   *platform.Config
	core  *memory.Core
	clock clock
	log   *slog.Logger
	ln    net.Listener

	events chan func()
	later  []func() // what commands bring about at once, after all commands of a call
	done   chan struct{}

	lanes       map[string]platform.Lane
	tenants     map[string]int
	downstreams map[*downstream]struct{}
	open        map[memory.ID]*downstream
	attempts    map[memory.RelayID]*attempt
	pool        pool
	watches     watches
	starts      inventory.Starts // of the servers
	wake        *time.Timer
	limits      limits
	bytes       int           // of requests that clients have sent
	full        chan struct{} // closed once another connection may be accepted
	journal     *journal      // nil where nothing is recorded
	stopped     time.Time     // SIGTERM; zero while serving
	refuse      chan struct{} // closed once the listener is to take no more
	refused     bool          // and it takes no more
	arrived     time.Time     // the last connection

	quiesced   time.Time   // the operators' drain; zero while clients are taken
	checking   bool        // check runs, as it does while stopping or drained
	shut       bool        // the listener takes only what is in its queue, or nothing more
	ending     ending      // what SIGTERM begins, when no later process takes over
	serving    atomic.Bool // the door's health: servers are known and clients are taken
	figures    *figures
	cordonsOut latest.Place[[]string] // to the keeper of the file of cordons
	started    time.Time              // of this process
	files      files
	mark       string       // of this process, in names of files that are not in place yet
	former     start        // the start told before this one's
	number     atomic.Int64 // of this start, as told to the other process of an upgrade
	announced  atomic.Bool  // it was told
	sharing    *sharing     // nil where nothing is shared
	dial       func(addr string, limit time.Duration) (net.Conn, error)
	successor  atomic.Bool // a later process of this dispatcher has started, as found at SIGTERM
}

// limits shares out descriptors and memory.
type limits struct {
	requests    int // requests open at once; beyond them new ones are refused
	downstreams int // connections of clients; beyond them one that is missed least makes room
	bytes       int // of requests that clients have sent; beyond them a client is turned away
	ahead       int // bytes that one client may send ahead of an answer
	upstreams   int // connections to servers
	perServer   int
}

// limitsFor leaves room for discovery, the listener, a log and what the runtime holds. Of the memory a quarter is
// for what clients have sent: each body may have a copy on its way to a server, and the collector needs as much again.
func limitsFor(sockets, memoryMB int) limits {
	usable := max(sockets-32, 16)
	south := usable * 4 / 10
	return limits{requests: usable / 2, downstreams: usable * 6 / 10, bytes: memoryMB << 20 / 4, ahead: aheadMost, upstreams: south, perServer: max(south/4, 4)}
}

// New makes a driver that serves on a listener.
func New(cfg *platform.Config, ln net.Listener, log *slog.Logger) (*Driver, error) {
	core, err := memory.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Driver{
		cfg: cfg, core: core, clock: newClock(), log: log, ln: ln, lanes: cfg.Lanes(), tenants: cfg.Tenants(), ending: endingFor(cfg.Settings.Classes),
		events: make(chan func(), eventsMost), done: make(chan struct{}),
		refuse: make(chan struct{}), dial: dialTCP,
		downstreams: map[*downstream]struct{}{}, open: map[memory.ID]*downstream{}, attempts: map[memory.RelayID]*attempt{},
		pool: pool{servers: map[string]*serverConns{}}, limits: limitsFor(cfg.Sockets, cfg.MemoryMB),
		figures: newFigures(cfg.Settings.Classes), cordonsOut: latest.New[[]string](), started: time.Now(),
		files: systemFiles{}, mark: fmt.Sprintf("%d-%x", os.Getpid(), time.Now().UnixNano()),
	}, nil
}

// Run serves until stop is closed and nothing is held any more.
func (d *Driver) Run(stop <-chan struct{}) {
	defer close(d.done)
	go d.accept()
	d.watches = newWatches(d.cfg, d.now())
	d.takeHosts(logic.ListCached, d.cfg.Known.Hosts)
	d.startCordons()
	d.census()
	if d.sharing != nil {
		d.share()
	}
	for {
		for len(d.later) > 0 {
			f := d.later[0]
			d.later = d.later[1:]
			f()
		}
		d.figures.concurrent.Store(int64(len(d.open)))
		if !d.stopped.IsZero() && d.quiet() {
			d.leave()
			return
		}
		select {
		case f := <-d.events:
			f()
		case <-stop:
			stop = nil
			d.resign()
			d.stop()
		}
	}
}

// post hands an event to the owner; it waits while too many are on their way.
func (d *Driver) post(f func()) { seam.Send(d.events, f, d.done) }

// after posts an event when a wait is over.
func (d *Driver) after(wait time.Duration, f func()) *time.Timer {
	return time.AfterFunc(max(wait, 0), func() { d.post(f) })
}

func (d *Driver) now() int64 { return d.clock.now() }

// Now is the driver's own time: Unix microseconds as of its start, and real time since. Any goroutine may ask.
func (d *Driver) Now() int64 { return d.clock.now() }

// taking tells whether new clients are asked for: neither SIGTERM nor the operators' drain came.
func (d *Driver) taking() bool { return d.stopped.IsZero() && d.quiesced.IsZero() }

// census tells the door how many servers are listed and avoided, and whether this process serves; it follows the
// inventory, the cordons, the drain and the stop, which are all that change these.
func (d *Driver) census() {
	listed, avoided := d.core.Census()
	d.figures.targets.Store(int64(listed))
	d.figures.disabled.Store(int64(avoided))
	d.serving.Store(d.taking() && avoided < listed)
}

// do carries out the commands of one call of the core, but those that wait for the store of record. None of them calls
// the core before all are done.
func (d *Driver) do(cmds []memory.Command) {
	if d.journal == nil {
		d.carry(cmds)
		return
	}
	d.carry(d.journal.Filter(d.now(), cmds))
	d.journal.flush()
}

func (d *Driver) carry(cmds []memory.Command) {
	for _, c := range cmds {
		switch c.Kind {
		case memory.Send:
			d.send(c)
		case memory.Drop:
			d.drop(c.Relay)
		case memory.Answer:
			if n := d.open[c.Relay.Message]; n != nil {
				delete(d.open, c.Relay.Message)
				n.answer(c)
			}
		case memory.Wake:
			d.wakeAt(c.At)
		case memory.Watch:
			d.openWatch()
		case memory.Leave:
			d.pool.leave(c.Addr)
		}
	}
}

// wakeAt keeps the one wake-up that the decisions wait for: they ask anew only for an earlier one or when it
// is over.
func (d *Driver) wakeAt(at int64) {
	if d.wake != nil {
		d.wake.Stop()
	}
	d.wake = d.after(time.Duration(at-d.now())*time.Microsecond, func() {
		now := d.now()
		if now < at {
			d.wakeAt(at) // woken early, the decisions would neither act nor ask again
			return
		}
		d.do(d.core.Wake(now))
	})
}
