// Package carrier is the role that carries the clients' traffic: it takes messages, has them stored, delivers them by the
// policy and sees them to their end. It is a state machine without I/O or clocks.
//
// Each message belongs to a unit. What needs no order and no pace belongs to the carrier that accepted it; the keys of an
// ordered service are spread over units, and a service with a pace or a single endpoint is one unit, each with an owner
// among the carriers. An owner that is gone is followed by another, which reads the unit's messages from the stores.
package carrier

import (
	"fmt"
	"time"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/configuration"
	"granitewing/internal/system/delivery"
	"granitewing/internal/system/loop"
	"granitewing/internal/system/member"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/session"
	"granitewing/internal/system/settings"
)

// Environment is what the driver or the simulation gives a carrier.
type Environment interface {
	loop.Loop
	loop.Peers
	// Deliver sends a message to a worker; done is called once, later.
	Deliver(attempt Attempt, done func(outcome Outcome))
	// Post tells a call-back URL about an end; keep has the connection be kept for the next.
	Post(url string, body []byte, keep bool, timeout time.Duration, done func(status int, err error))
	// ReadCatalog reads the platform's list of workers.
	ReadCatalog(done func(instances map[string]catalog.Instance, err error))
	// Report logs what an operator should know.
	Report(event string, err error)
	// Inform logs an ordinary step of the carrier's life.
	Inform(event string)
}

// Core is one carrier.
type Core struct {
	env      Environment
	settings *settings.Settings
	session  *member.Client
	policy   *delivery.Policy

	own       *unit            // of what this carrier accepted and delivers itself
	units     map[string]*unit // all units that it is responsible for, own among them
	queues    map[string]*queue
	inFlight  map[string]*item // by message id: those with an attempt out
	recent    *recentEnds
	stores    *storage
	receivers map[string]*receiver
	owed      map[string]*callback // by message id: call-backs that were not made yet

	bodyBytes    int64                    // of the messages that this carrier is responsible for and has in memory
	waitingBytes int64                    // memory of their other parts, and of messages on their way to their owner
	fullUntil    map[string]time.Duration // by paced unit, as its owner told
	lackedStores time.Duration
	lacking      bool
	catalogBusy  bool
	draining     bool
	paused       bool // no new delivery begins
	relisting    bool
	figures      Figures
	// endedBeforeNoted is set for a while after a message had ended before it came here.
	endedBeforeNoted bool
}

// Figures counts what happened in a carrier's life.
type Figures struct {
	Accepted, Refused, Unclear, Delivered, Failed, Ended, Callbacks uint64
	// EndedBefore is messages that were handed to the carrier after they had ended under a former owner.
	EndedBefore uint64
}

// New makes a carrier.
func New(env Environment, s *settings.Settings) *Core {
	c := &Core{env: env, settings: s, policy: delivery.NewPolicy(s.Zone), units: map[string]*unit{},
		queues: map[string]*queue{}, inFlight: map[string]*item{}, recent: newRecentEnds(),
		receivers: map[string]*receiver{}, owed: map[string]*callback{}, fullUntil: map[string]time.Duration{}}
	c.stores = newStorage(c)
	self := session.Member{Incarnation: member.NewIncarnation(env, s.NodeName), Node: s.NodeName, Role: session.Carrier,
		Zone: s.Zone, Address: s.CarrierAddress()}
	c.session = member.NewClient(env, env, s.SeedKeepers(), self, member.Events{
		Changed: c.viewChanged, Lost: c.sessionLost, Keepers: c.connect,
		Fault: func(err error) { env.Report("feed is unreadable", err) },
	})
	c.newOwnUnit()
	return c
}

// Times of a carrier's own work.
const (
	housekeepingInterval = 150 * time.Millisecond
	catalogTooOld        = 1600 * time.Millisecond
	storesLackedFor      = 1500 * time.Millisecond
)

// Start begins.
func (c *Core) Start() {
	c.connect()
	c.session.Start()
	c.housekeep()
	c.reviewTaken()
}

func (c *Core) housekeep() {
	c.checkCatalog()
	c.stores.flushAll()
	c.stores.breakSilent()
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

// connect names the peers that connections are kept to.
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

// SeedsChanged tells that the settings name other seeds.
func (c *Core) SeedsChanged() {
	c.session.SetSeeds(c.settings.SeedKeepers())
	c.connect()
}

// PeerUp tells that a connection to a peer came about.
func (c *Core) PeerUp(address string) {
	c.session.Up(address)
	c.stores.up(address)
	for _, u := range ordered.Map(c.units) {
		if u.recovering {
			u.recovery.askStores()
		}
	}
}

// PeerDown tells that a connection to a peer broke.
func (c *Core) PeerDown(address string) { c.session.Down(address) }

// FeedUpdate takes a push of a keeper.
func (c *Core) FeedUpdate(address string, payload []byte) { c.session.Push(address, payload) }

func (c *Core) viewChanged(before, after *member.View) {
	now := c.env.Now()
	if !sameMap(before.Members, after.Members) || !sameMap(before.Disks, after.Disks) || !sameMap(before.Keepers, after.Keepers) {
		c.connect()
		c.stores.followRoster()
		c.policy.SetCarriers(after.Carriers())
	}
	if before.Table != after.Table {
		c.takeConfiguration(now, after.Table)
		c.env.Inform(fmt.Sprintf("configuration %d is in force", after.Table.Document.Version))
	}
	if before.Epoch != after.Epoch {
		c.env.Inform(fmt.Sprintf("%d disks count, roster %d", len(after.Counted()), after.Epoch))
	}
	if !sameMap(before.Instances, after.Instances) {
		c.policy.SetInstances(now, after.Instances)
	}
	c.takeUnits(before, after)
	for _, q := range ordered.Map(c.queues) {
		c.dispatch(q)
	}
}

func sameMap[V comparable](a, b map[string]V) bool {
	if len(a) != len(b) {
		return false
	}
	for key, value := range a {
		if other, there := b[key]; !there || other != value {
			return false
		}
	}
	return true
}

func (c *Core) takeConfiguration(now time.Duration, table *configuration.Table) {
	clear(c.fullUntil) // it may name services that are no more
	services := table.Document.Services
	c.policy.KeepServices(func(service string) bool { return services[service] != nil })
	for name, service := range services {
		c.policy.SetService(now, name, service.MaxConnections, service.Static)
		c.queue(name).pace.SetRate(service.Rate)
	}
	c.policy.SetInstances(now, c.session.View().Instances) // a service may have lost its one endpoint
	for name, q := range c.queues {
		if services[name] == nil && q.empty() && now > q.pace.Due()+drainWindow {
			delete(c.queues, name)
		}
	}
}

// checkCatalog reads the platform's list itself while no keeper gives a fresh one.
func (c *Core) checkCatalog() {
	if c.catalogBusy || c.session.CatalogAge() < catalogTooOld {
		return
	}
	if c.session.View().Table == nil {
		return
	}
	c.catalogBusy = true
	begun := c.env.Now()
	pause := time.Duration(c.env.Random(int64(catalogTooOld / 4)))
	c.env.After(pause, func() {
		c.env.ReadCatalog(func(instances map[string]catalog.Instance, err error) {
			c.catalogBusy = false
			if err != nil {
				c.env.Report("list of workers can't be read", err)
				return
			}
			c.session.SetInstances(begun, func(view *member.View) {
				view.Instances = catalog.Merge(view.Instances, instances)
				view.CatalogKnown = true
			})
		})
	})
}

// Ready tells the platform whether to send clients here: a configuration is there, a session was opened, and enough
// stores are connected, but for a short while.
func (c *Core) Ready() bool {
	if c.draining || c.session.View().Table == nil || !c.session.Joined() {
		return false
	}
	if c.stores.enoughReachable() {
		c.lacking = false
		return true
	}
	if !c.lacking {
		c.lacking, c.lackedStores = true, c.env.Now()
	}
	return c.env.Now()-c.lackedStores < storesLackedFor
}

// enough tells whether a message outlives every tolerated loss on some disks.
func (c *Core) enough(disks []string) bool { return c.settings.Tolerance.Enough(c.stores.zones(disks)) }

// Incarnation is that of this carrier's session.
func (c *Core) Incarnation() string { return c.session.Incarnation() }

// Figures gives the counts.
func (c *Core) Figures() Figures { return c.figures }

// item is a message that this carrier is responsible for.
type item struct {
	message  *message.Message
	unit     *unit
	holders  []string // disks that hold it, or may
	accepted time.Duration
	due      time.Duration
	failures int // attempts that a worker answered as failed
	tries    int
	lastTry  string // worker that it was last sent to
	taken    bool   // it was taken over from another carrier
	takenDue bool   // and was due then
	queued   bool
	flying   bool
	ended    bool
	fetching bool

	waitsIn   *queue    // the latest queue that it joined; it waits there while queued is set
	lateIn    *lateHeap // heap of late messages that it is in; nil where it is in none
	latePlace int       // its place there, from 1
	counted   *backlog  // that it is in; nil in none
	head      int64     // bytes of memory that it counts for, without its body
}

// ConfigurationVersion is the version in force at this carrier, 0 before the first.
func (c *Core) ConfigurationVersion() uint64 {
	if table := c.session.View().Table; table != nil {
		return table.Document.Version
	}
	return 0
}
