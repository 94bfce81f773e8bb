// Package driver runs a dispatcher on real sockets and timers. It accepts client connections, reads their requests,
// passes them to the decision core (dispatch.Core), executes the core's commands on connections to servers and watches
// discovery for the list of servers. It also serves the admin endpoint, keeps the store of record and the fleet
// exchange running, and shuts down gracefully.
//
// Driver is the main type: New makes it on a listener; UseRecords, UseFleet and Announce configure it; Run serves until
// the stop channel is closed and all requests are answered. One goroutine, the owner, in Run, has the core and all
// state of the package to itself. Readers, writers, dials and timers run on goroutines of their own and post events to
// the owner. Times are Unix microseconds of the driver's clock unless they are of a time type.
package driver

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/inventory"
	"granitewing/internal/mailbox"
	"granitewing/internal/syncpoint"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// Bounds and timeouts that are not configurable.
const (
	maxQueuedEvents       = 256                    // pending events; posting blocks beyond it
	writeTimeout          = 30 * time.Second       // a connection is closed if its peer accepts no bytes for this long
	requestTimeout        = 2 * time.Second        // for a whole request from its beginning; for the first one from the connection's start
	downstreamIdleTimeout = 5 * time.Minute        // for idle connections that have carried a request
	closeTimeout          = time.Second            // for the peer to close a connection that is finished for both sides
	discardTimeout        = 4 * time.Second        // how long a refused client may go on sending before its connection is closed
	expiryGrace           = 20 * time.Millisecond  // past a request's deadline, within the slack that the platform's rules allow
	defaultDialTimeout    = time.Second            // for servers, if the settings give no timeout
	defaultUpstreamIdle   = 10 * time.Second       // for connections to servers, if the settings give no limit
	idleLinger            = 450 * time.Millisecond // clients that are asked to leave may use their open connections for up to 0.4 s
	lateArrivalWindow     = time.Second            // after SIGTERM new connections arrive for up to 0.4 s; this includes delays on a busy machine
	overloadRetryAfter    = time.Second            // Retry-After for a request that is refused because descriptors run short
	shutdownCheckInterval = 50 * time.Millisecond  // between checks whether shutdown is complete
	acceptRetryDelay      = 100 * time.Millisecond // between attempts to accept while that fails
)

// Driver serves one dispatcher. Unless stated otherwise its methods belong to the owner, the goroutine in Run.
type Driver struct {
	cfg   *platform.Config
	core  *dispatch.Core
	clock clock
	log   *slog.Logger
	ln    net.Listener

	events   chan func()
	deferred []func() // run by the owner after all commands of a call are executed
	done     chan struct{}

	lanes         map[string]platform.Lane
	tenants       map[string]int
	downstreams   map[*downstream]struct{}
	openRequests  map[dispatch.ID]*downstream
	attempts      map[dispatch.AttemptID]*attempt
	pool          pool
	watches       inventoryWatches
	starts        inventory.Starts // start times of the servers
	wakeTimer     *time.Timer
	limits        limits
	bufferedBytes int           // of requests that are read and not yet answered
	nextAccept    chan struct{} // closed once another connection may be accepted
	journal       *journal      // nil if nothing is recorded
	stoppedAt     time.Time     // when SIGTERM came; zero while serving
	stopAccepting chan struct{} // closed to make accept finish the queue and stop
	acceptStopped bool          // accept has stopped
	lastAccept    time.Time     // when the last connection was accepted

	quiescedAt       time.Time    // when the operators began a drain; zero while clients are accepted
	shutdownChecking bool         // checkShutdown is scheduled: the driver is stopping or drained
	listenerStopped  bool         // the listener accepts only what is in its queue, or nothing more
	shutdownPlan     shutdownPlan // of a SIGTERM without a successor process
	serving          atomic.Bool  // health as the admin endpoint reports it: servers are known and clients are accepted
	metrics          *metrics
	cordonUpdates    mailbox.Mailbox[[]string] // to the cordonSyncer
	startedAt        time.Time                 // when this process started
	files            fileSystem
	tempSuffix       string        // unique to this process; in the names of temporary files
	previousStart    startRecord   // start announced by the process before this one
	startNumber      atomic.Int64  // of this process, as announced to the other process of an upgrade
	announced        atomic.Bool   // the start was announced
	sharing          *fleetSharing // nil if the dispatcher is in no fleet
	dial             func(addr string, limit time.Duration) (net.Conn, error)
	successor        atomic.Bool // a later process of this dispatcher had started when SIGTERM came
}

// limits divides descriptors and memory among their uses.
type limits struct {
	requests      int // open requests; further ones are refused
	downstreams   int // client connections; beyond them one is evicted, see evictDownstream
	bufferedBytes int // of requests that are read and not yet answered; beyond them a client is refused
	readAhead     int // bytes that one client may send ahead of an answer
	upstreams     int // connections to servers
	perServer     int
}

// limitsFor computes limits that leave descriptors for discovery, the listener, a log and the runtime. A quarter of
// the memory is for requests from clients: each body may be copied on its way to a server, and the garbage collector
// needs as much again.
func limitsFor(sockets, memoryMB int) limits {
	usable := max(sockets-32, 16)
	upstreams := usable * 4 / 10
	return limits{requests: usable / 2, downstreams: usable * 6 / 10, bufferedBytes: memoryMB << 20 / 4, readAhead: maxReadAhead, upstreams: upstreams, perServer: max(upstreams/4, 4)}
}

// New returns a driver that serves on a listener. Settings that the core refuses are an error.
func New(cfg *platform.Config, ln net.Listener, log *slog.Logger) (*Driver, error) {
	core, err := dispatch.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Driver{
		cfg: cfg, core: core, clock: newClock(), log: log, ln: ln, lanes: cfg.Lanes(), tenants: cfg.Tenants(), shutdownPlan: shutdownPlanFor(cfg.Settings.Classes),
		events: make(chan func(), maxQueuedEvents), done: make(chan struct{}),
		stopAccepting: make(chan struct{}), dial: dialTCP,
		downstreams: map[*downstream]struct{}{}, openRequests: map[dispatch.ID]*downstream{}, attempts: map[dispatch.AttemptID]*attempt{},
		pool: pool{servers: map[string]*serverConns{}}, limits: limitsFor(cfg.Sockets, cfg.MemoryMB),
		metrics: newMetrics(cfg.Settings.Classes), cordonUpdates: mailbox.New[[]string](), startedAt: time.Now(),
		files: osFileSystem{}, tempSuffix: fmt.Sprintf("%d-%x", os.Getpid(), time.Now().UnixNano()),
	}, nil
}

// Run serves until stop is closed and everything outstanding is finished.
func (d *Driver) Run(stop <-chan struct{}) {
	defer close(d.done)
	go d.accept()
	d.watches = newWatches(d.cfg, d.now())
	d.applyHosts(logic.ListCached, d.cfg.Known.Hosts)
	d.startCordons()
	d.updateServing()
	if d.sharing != nil {
		d.shareRound()
	}
	for {
		for len(d.deferred) > 0 {
			f := d.deferred[0]
			d.deferred = d.deferred[1:]
			f()
		}
		d.metrics.concurrent.Store(int64(len(d.openRequests)))
		if !d.stoppedAt.IsZero() && d.drained() {
			d.closeBackends()
			return
		}
		select {
		case f := <-d.events:
			f()
		case <-stop:
			stop = nil
			d.resignFleetRoles()
			d.stop()
		}
	}
}

// post passes an event to the owner; it blocks while maxQueuedEvents are pending.
func (d *Driver) post(f func()) { syncpoint.Send(d.events, f, d.done) }

// postAfter posts an event after a delay.
func (d *Driver) postAfter(wait time.Duration, f func()) *time.Timer {
	return time.AfterFunc(max(wait, 0), func() { d.post(f) })
}

func (d *Driver) now() int64 { return d.clock.now() }

// Now returns the driver's time in Unix microseconds: wall-clock time at its start plus real time since. It is safe
// for use by any goroutine.
func (d *Driver) Now() int64 { return d.clock.now() }

// acceptingClients reports whether new clients are welcome: neither SIGTERM nor an operators' drain is in effect.
func (d *Driver) acceptingClients() bool { return d.stoppedAt.IsZero() && d.quiescedAt.IsZero() }

// updateServing updates the numbers of listed and avoided servers in the metrics, and the health of this process. It
// is called after every change of the inventory, the cordons, the drain and the stop, on which alone these depend.
func (d *Driver) updateServing() {
	listed, avoided := d.core.HostCounts()
	d.metrics.targets.Store(int64(listed))
	d.metrics.disabled.Store(int64(avoided))
	d.serving.Store(d.acceptingClients() && avoided < listed)
}

// execute carries out the commands of one call of the core, except those that must wait for the store of record. No
// command calls the core before all of them are executed.
func (d *Driver) execute(cmds []dispatch.Command) {
	if d.journal == nil {
		d.executeNow(cmds)
		return
	}
	d.executeNow(d.journal.Filter(d.now(), cmds))
	d.journal.flush()
}

func (d *Driver) executeNow(cmds []dispatch.Command) {
	for _, c := range cmds {
		switch c.Kind {
		case dispatch.Send:
			d.sendAttempt(c)
		case dispatch.Drop:
			d.cancelAttempt(c.Attempt)
		case dispatch.Answer:
			if n := d.openRequests[c.Attempt.Message]; n != nil {
				delete(d.openRequests, c.Attempt.Message)
				n.answer(c)
			}
		case dispatch.Wake:
			d.wakeAt(c.At)
		case dispatch.Watch:
			d.requestInventory()
		case dispatch.CloseIdle:
			d.pool.closeIdle(c.Addr)
		}
	}
}

// wakeAt sets the single wake-up timer of the core, which requests another one only for an earlier time or once this
// one has fired.
func (d *Driver) wakeAt(at int64) {
	if d.wakeTimer != nil {
		d.wakeTimer.Stop()
	}
	d.wakeTimer = d.postAfter(time.Duration(at-d.now())*time.Microsecond, func() {
		now := d.now()
		if now < at {
			d.wakeAt(at) // if woken too early, the core would neither act nor request another wake-up
			return
		}
		d.execute(d.core.Wake(now))
	})
}
