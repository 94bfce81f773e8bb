// Package carrier implements the carrier role. It accepts messages from clients, stores them on several stores,
// delivers them to workers by the delivery policy, and records and calls back their outcomes. It is a state
// machine without I/O or clocks.
//
// Each message belongs to a unit, and each unit has one owner among the carriers. Messages without order or rate
// limit belong to the unit of the carrier that accepted them. The keys of ordered services are spread over a set
// of units. A service with a rate limit or a single static endpoint has a unit of its own, its paced unit
// (ownership.ServiceUnit).
// Ownership is guarded by fencing tokens. If an owner departs, another carrier takes the unit over and recovers
// its messages from the stores.
//
// Core is one carrier. A driver or a simulation implements Environment, creates the core with New, calls Start,
// passes on events of its connections (PeerUp, PeerDown, FeedUpdate, Handle) and submits client requests with
// Submit and QueryState. Shutdown stops it gracefully. All methods must be called from one goroutine or event loop.
package carrier

import (
	"time"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/delivery"
	"granitewing/internal/system/loop"
	"granitewing/internal/system/member"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/session"
	"granitewing/internal/system/settings"
)

// Environment is what a carrier needs from its driver or from the simulation.
type Environment interface {
	loop.Loop
	loop.Peers
	// Deliver sends an attempt to a worker and calls done once, later.
	Deliver(attempt Attempt, done func(outcome AttemptOutcome))
	// Post sends an outcome to a call-back URL; keep allows the connection to be reused. It calls done with the HTTP
	// status, or with an error if there was no answer.
	Post(url string, body []byte, keep bool, timeout time.Duration, done func(status int, err error))
	// ReadCatalog reads the platform's list of workers.
	ReadCatalog(done func(instances map[string]catalog.Instance, err error))
	// LogWarning logs an event that an operator should see. err may be nil.
	LogWarning(event string, err error)
	// LogInfo logs a normal event in the carrier's operation.
	LogInfo(event string)
}

// Core is the state machine of one carrier.
type Core struct {
	env      Environment
	settings *settings.Settings
	session  *member.Client
	policy   *delivery.Policy

	own       *unit            // messages that this carrier accepted and delivers itself
	units     map[string]*unit // all units that this carrier is responsible for, including own
	queues    map[string]*queue
	inFlight  map[string]*item // by message ID: messages with an attempt in flight
	recent    *recentOutcomes
	stores    *storage
	receivers map[string]*receiver
	callbacks map[string]*callback // by message ID: call-backs that are not finished

	bodyBytes          int64                    // of messages that this carrier is responsible for and has in memory
	waitingBytes       int64                    // their other parts, pending call-backs, messages being passed on
	ownerBusyUntil     map[string]time.Duration // by paced unit, as reported by its owner
	storesLackingSince time.Duration
	storesLacking      bool
	catalogBusy        bool
	draining           bool
	paused             bool // no new delivery starts
	relistScheduled    bool
	// comparisonScheduled is set while a comparison of ages is about to begin.
	comparisonScheduled bool
	figures             Counters
	// completedBeforeLogged is set while a log line about messages that completed before they arrived here is pending.
	completedBeforeLogged bool
	// keyedUnorderedLogged is set while a log line about keyed messages of routes without order is pending.
	keyedUnorderedLogged bool
}

// New returns a carrier. Start starts it.
func New(env Environment, s *settings.Settings) *Core {
	c := &Core{env: env, settings: s, policy: delivery.NewPolicy(s.Zone), units: map[string]*unit{},
		queues: map[string]*queue{}, inFlight: map[string]*item{}, recent: newRecentOutcomes(),
		receivers: map[string]*receiver{}, callbacks: map[string]*callback{}, ownerBusyUntil: map[string]time.Duration{}}
	c.stores = newStorage(c)
	self := session.Member{Incarnation: member.NewIncarnation(env, s.NodeName), Node: s.NodeName, Role: session.Carrier,
		Zone: s.Zone, Address: s.CarrierAddress()}
	c.session = member.NewClient(env, env, s.SeedKeepers(), self, member.Events{
		Changed: c.viewChanged, SessionLost: c.sessionLost, Keepers: c.connect,
		Fault: func(err error) { env.LogWarning("feed is unreadable", err) },
	})
	c.newOwnUnit()
	return c
}

// Durations of the carrier's periodic work.
const (
	housekeepingInterval = 150 * time.Millisecond
	storesLackingGrace   = 1500 * time.Millisecond
)

// Start opens the session with the keepers and starts the periodic work.
func (c *Core) Start() {
	c.connect()
	c.session.Start()
	c.housekeep()
	c.reviewTakenOver()
	c.env.After(time.Duration(c.env.Random(int64(reconcileInterval))), c.reconcile)
}

func (c *Core) housekeep() {
	c.checkCatalog()
	c.stores.flushAll()
	c.stores.reconnectUnresponsive()
	c.settleDeparted()
	for _, u := range ordered.Map(c.units) {
		if !u.active && !u.recovering {
			c.recover(u)
		}
	}
	for _, q := range ordered.Map(c.queues) {
		c.dispatch(q)
	}
	c.env.After(housekeepingInterval, c.housekeep)
}

func (c *Core) newOwnUnit() {
	c.own = newUnit(ownership.CarrierUnit(c.session.Incarnation()))
	c.own.active = true
	c.units[c.own.name] = c.own
}

// connect sets the peers to which connections are kept open: keepers, stores and other carriers.
func (c *Core) connect() {
	addresses := append([]string(nil), c.session.Keepers()...)
	view := c.session.View()
	for _, disk := range view.Disks {
		addresses = append(addresses, disk.Member.Address)
	}
	for _, other := range view.Members {
		if other.Role == session.Carrier && other.Incarnation != c.session.Incarnation() {
			addresses = append(addresses, other.Address)
		}
	}
	c.env.Connect(addresses)
}

// SeedsChanged applies a changed list of seed keepers from the settings.
func (c *Core) SeedsChanged() {
	c.session.SetSeeds(c.settings.SeedKeepers())
	c.connect()
}

// PeerUp reports that a connection to a peer was established.
func (c *Core) PeerUp(address string) {
	c.session.Up(address)
	c.stores.peerUp(address)
	c.storeIsBack(address)
	for _, u := range ordered.Map(c.units) {
		if u.recovering {
			u.recovery.listStores()
		}
	}
}

// PeerDown reports that a connection to a peer broke.
func (c *Core) PeerDown(address string) { c.session.Down(address) }

// FeedUpdate applies a feed update that a keeper pushed.
func (c *Core) FeedUpdate(address string, payload []byte) { c.session.Push(address, payload) }

// Ready reports whether the platform should send clients to this carrier. It needs a configuration, an open
// session and connections to enough stores; a brief lack of stores is ignored.
func (c *Core) Ready() bool {
	if c.draining || c.session.View().Table == nil || !c.session.Joined() {
		return false
	}
	if c.stores.enoughReachable() {
		c.storesLacking = false
		return true
	}
	if !c.storesLacking {
		c.storesLacking, c.storesLackingSince = true, c.env.Now()
	}
	return c.env.Now()-c.storesLackingSince < storesLackingGrace
}

// enough reports whether a message on the given disks survives every tolerated loss.
func (c *Core) enough(disks []string) bool {
	return c.settings.Tolerance.SufficientReplicas(c.stores.zones(disks))
}

// Incarnation returns the incarnation of this carrier's session.
func (c *Core) Incarnation() string { return c.session.Incarnation() }

// Waiting returns the messages that this carrier is responsible for and that are not completed, by ID, with the time
// until each is due; negative if it is due.
func (c *Core) Waiting() map[string]time.Duration {
	waiting := map[string]time.Duration{}
	for _, u := range c.units {
		for id, it := range u.items {
			waiting[id] = it.due - c.env.Now()
		}
	}
	return waiting
}
