// Package keeper is the role that holds the fleet's control state: the configuration, the sessions, who owns what, and
// the platform's list of workers. It is a state machine without I/O or clocks.
//
// The state lies in shards, each a replica group of its own with its own log and leader: one for the configuration, one
// for the sessions, and some for the ownership of services' units, by a hash of the service name.
package keeper

import (
	"time"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/catalog"
	"granitewing/internal/system/configuration"
	"granitewing/internal/system/feed"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/session"
	"granitewing/internal/system/tolerance"
)

// Numbers of the groups.
const (
	ConfigurationGroup  = 0
	SessionGroup        = 1
	firstOwnershipGroup = 2
	OwnershipShards     = 2
	Groups              = firstOwnershipGroup + OwnershipShards
)

// Times of the keepers, all on the monotonic clock.
const (
	ElectionTimeout   = 500 * time.Millisecond
	HeartbeatInterval = 120 * time.Millisecond
	// SessionLife is how long a member's session lasts without a heartbeat.
	SessionLife = 3 * time.Second
	// MemberLease is how long a member may act on its session after it sent a heartbeat that was answered. It ends well
	// before the session does, whatever the two clocks' rates.
	MemberLease = 2400 * time.Millisecond
	// followedWithin is how long ago a majority must have followed the keeper that lengthens a session: with MemberLease
	// less than SessionLife.
	followedWithin  = 400 * time.Millisecond
	catalogInterval = 600 * time.Millisecond
	catalogHurry    = 200 * time.Millisecond  // while a service has no worker
	orderWait       = 2500 * time.Millisecond // an order without majority by then gets no clear answer
	reconcileEvery  = 100 * time.Millisecond
)

// Options of a keeper.
type Options struct {
	Address string         // of its peer listener
	IDs     [Groups]string // its identity in each group, drawn on the disk
	// Tolerance is what may be lost at one time: how many voters a group should have, and where.
	Tolerance *tolerance.Tolerance
	Random    func(n int64) int64
	// FeedEpoch tells this life's feed from any other.
	FeedEpoch string
}

// group is one shard's member and what waits for its log.
type group struct {
	node    *agreement.Node
	waiting map[uint64]waiter // by index
	leading bool
	apply   func(index uint64, data []byte) error
	snap    func() ([]byte, error)
	restore func(data []byte) error
	reset   func()
}

// waiter is told once its entry was applied, or when that can no longer be known.
type waiter struct {
	term  uint64
	until time.Duration
	done  func(err error)
}

// Core is one keeper.
type Core struct {
	options       Options
	now           time.Duration
	groups        [Groups]*group
	configuration *configuration.State
	sessions      *session.State
	owners        [OwnershipShards]*ownership.State
	assigning     [OwnershipShards]time.Duration // until when a change is under way
	moves         [OwnershipShards]moves
	unneeded      [OwnershipShards]unneeded
	// carriersChanged is when a carrier came or went.
	carriersChanged time.Duration
	feed            *feed.Table
	subscribers     map[Subscriber]*subscription
	lastHeard       map[string]time.Duration // by incarnation, of members, on the leader of sessions
	leaving         map[string]time.Duration // members whose expiry is under way
	instances       map[string]catalog.Instance
	catalogRead     time.Duration
	catalogKnown    bool
	catalogDue      time.Duration
	reconcileDue    time.Duration
	retiringSince   map[string]time.Duration // machines that are being emptied
	toleranceTold   time.Duration            // until when the telling of what may be lost is under way
	keepers         map[string]bool          // addresses of the keepers that belong to a group, and this one's
	known           []string                 // addresses of other keepers, the latest heard last
}

// LostError tells a waiter that its order may or may not be taken.
type LostError struct{}

func (e *LostError) Error() string { return "the order's outcome is not known" }

// New makes a keeper from what its disk holds, by group.
func New(options Options, stored [Groups]agreement.Stored, now time.Duration) (*Core, error) {
	core := &Core{
		options: options, now: now, configuration: configuration.NewState(), sessions: session.NewState(),
		feed: feed.NewTable(options.FeedEpoch), subscribers: map[Subscriber]*subscription{},
		lastHeard: map[string]time.Duration{}, leaving: map[string]time.Duration{},
		instances: map[string]catalog.Instance{},
	}
	for shard := range core.owners {
		core.owners[shard] = ownership.NewState()
	}
	for id := range core.groups {
		core.groups[id] = core.newGroup(id, stored[id])
		if len(stored[id].Snapshot.Data) == 0 {
			continue
		}
		if err := core.groups[id].restore(stored[id].Snapshot.Data); err != nil {
			return nil, err
		}
	}
	core.refreshFeed()
	return core, nil
}

func (c *Core) newGroup(id int, stored agreement.Stored) *group {
	node := agreement.New(agreement.Options{
		Self: c.options.IDs[id], ElectionTimeout: ElectionTimeout, HeartbeatInterval: HeartbeatInterval,
		Random: c.options.Random,
	}, stored, c.now)
	g := &group{node: node, waiting: map[uint64]waiter{}}
	switch id {
	case ConfigurationGroup:
		g.apply, g.snap, g.restore = c.applyOrder, c.configuration.Snapshot, c.configuration.Restore
		g.reset = func() { *c.configuration = *configuration.NewState() }
	case SessionGroup:
		g.apply, g.snap, g.restore = c.applySession, c.sessions.Snapshot, c.sessions.Restore
		g.reset = func() { *c.sessions = *session.NewState() }
	default:
		shard := id - firstOwnershipGroup
		g.apply = func(_ uint64, data []byte) error { return c.applyOwners(shard, data) }
		g.snap, g.restore = c.owners[shard].Snapshot, c.owners[shard].Restore
		g.reset = func() { *c.owners[shard] = *ownership.NewState() }
	}
	return g
}

// Step takes messages of another keeper.
func (c *Core) Step(now time.Duration, id int, messages []agreement.Message) {
	c.now = now
	if id < 0 || id >= Groups {
		return
	}
	for _, message := range messages {
		c.hear(AddressOf(message.From))
		c.groups[id].node.Step(now, message)
	}
	c.checkLeadership()
}

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	for _, g := range c.groups {
		if now >= g.node.NextWake() {
			g.node.Tick(now)
		}
		g.expire(now)
	}
	c.checkLeadership()
	c.expireSessions()
	if now >= c.reconcileDue {
		c.reconcileDue = now + reconcileEvery
		c.reconcile()
		c.tendGroups()
		c.tellTolerance()
	}
}

// NextWake is when Tick has something to do.
func (c *Core) NextWake() time.Duration {
	next := c.reconcileDue
	for _, g := range c.groups {
		next = min(next, g.node.NextWake())
	}
	return next
}

func (g *group) expire(now time.Duration) {
	for index, waiter := range ordered.Map(g.waiting) {
		if now > waiter.until {
			delete(g.waiting, index)
			waiter.done(&LostError{})
		}
	}
}

func (c *Core) checkLeadership() {
	for id, g := range c.groups {
		leading := g.node.Leading()
		if leading && !g.leading && id == SessionGroup {
			c.takeSessions()
		}
		if !leading && g.leading {
			g.abandon()
		}
		g.leading = leading
	}
}

// abandon answers all that wait at a leader that leads no more: their entries may still be committed.
func (g *group) abandon() {
	waiting := g.waiting
	g.waiting = map[uint64]waiter{}
	for _, waiter := range ordered.Map(waiting) {
		waiter.done(&LostError{})
	}
}

// propose appends to a group's log; done is called once the entry was applied or lost.
func (c *Core) propose(id int, data []byte, done func(err error)) {
	g := c.groups[id]
	index, err := g.node.Propose(c.now, data)
	if err != nil {
		done(c.notLeader(id))
		return
	}
	g.waiting[index] = waiter{term: g.node.Term(), until: c.now + orderWait, done: done}
}

// PeerUp tells that a connection to another keeper came about.
func (c *Core) PeerUp(now time.Duration) {
	c.now = now
	for _, g := range c.groups {
		g.node.Hasten(now)
	}
}

// Ready hands out what a group's driver has to do.
func (c *Core) Ready(id int) agreement.Ready { return c.groups[id].node.Ready() }

// Persisted tells that a group's writes are synced, and applies what was committed.
func (c *Core) Persisted(now time.Duration, id int, ready *agreement.Ready) error {
	c.now = now
	g := c.groups[id]
	g.node.Persisted(ready)
	changed, regrouped := false, false
	if ready.Snapshot != nil && len(ready.Snapshot.Data) > 0 {
		if err := g.restore(ready.Snapshot.Data); err != nil {
			return err
		}
		changed = true
	}
	for _, entry := range ready.Committed {
		changed = true
		var result error
		regrouped = regrouped || entry.Members != nil
		if entry.Data != nil {
			result = g.apply(entry.Index, entry.Data)
		}
		if waiter, waits := g.waiting[entry.Index]; waits {
			delete(g.waiting, entry.Index)
			if waiter.term != entry.Term {
				result = &LostError{}
			}
			waiter.done(result)
		}
	}
	c.checkLeadership()
	if changed {
		c.refreshFeed()
		c.reconcile()
	}
	if regrouped {
		c.tendGroups() // a group has one voter more than it needs for as short as can be
	}
	return nil
}

// Compact gives the snapshot that may replace a group's log, where it can be made.
func (c *Core) Compact(id int) (agreement.Stored, bool, error) {
	g := c.groups[id]
	data, err := g.snap()
	if err != nil {
		return agreement.Stored{}, false, err
	}
	if _, done := g.node.Compact(g.node.Applied(), data); !done {
		return agreement.Stored{}, false, nil
	}
	return g.node.Stored(), true, nil
}

// Members is a group as this keeper knows it.
func (c *Core) Members(id int) agreement.Membership { return c.groups[id].node.Group() }

// Term is this keeper's term in a group.
func (c *Core) Term(id int) uint64 { return c.groups[id].node.Term() }

// LogLength is the number of entries in a group's log.
func (c *Core) LogLength(id int) int { return c.groups[id].node.LogLength() }

// Leader is the address of who leads a group as far as known, and whether it is this keeper, ready to serve.
func (c *Core) Leader(id int) (address string, self bool) {
	g := c.groups[id]
	return AddressOf(g.node.Leader()), g.node.Leading()
}

// notLeader is the error of a call that the leader of a group has to answer.
func (c *Core) notLeader(id int) error {
	return &agreement.NotLeaderError{Leader: AddressOf(c.groups[id].node.Leader())}
}
