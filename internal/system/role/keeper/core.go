// Package keeper implements the keeper role, which holds the control state of the fleet: the configuration, the
// members' sessions, the owner of each unit, and the list of workers that the platform (the operators' environment that
// starts processes) provides.
//
// The replicated state is split into shards. Each shard is a replica group with its own log and leader: one for the
// configuration, one for the sessions, and OwnershipShards groups for the ownership of units. The unit of a
// rate-limited service belongs to the shard given by a hash of the service name. The units of ordering keys all
// belong to the first shard, so that one leader spreads them evenly. The list of workers is not replicated; the
// leader of the session group reads it from the platform.
//
// Core is the state machine of one keeper. It has no I/O and no clock, and belongs to one goroutine: a driver passes
// in the time, messages and calls (Tick, Step, Handle), persists and sends what Ready returns, and then calls
// Persisted. Members subscribe to a feed of the whole state, which Pushes encodes. Joiner asks the group leaders to
// admit a keeper that does not follow its groups yet.
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

// Group numbers, and how many there are. The ownership groups follow the two single ones.
const (
	ConfigurationGroup  = 0 // the group that replicates the configuration
	SessionGroup        = 1 // the group that replicates the session table
	firstOwnershipGroup = 2
	OwnershipShards     = 2                                     // number of groups that replicate unit ownership
	Groups              = firstOwnershipGroup + OwnershipShards // number of all groups
)

// Timeouts and intervals, all measured on the monotonic clock.
const (
	// ElectionTimeout is the least silence of a leader before a member stands for election. Members wait up to twice that,
	// at random.
	ElectionTimeout   = 500 * time.Millisecond
	HeartbeatInterval = 120 * time.Millisecond // between the heartbeats of a group's leader to its members
	// SessionTimeout is how long a session lasts without a heartbeat.
	SessionTimeout = 3 * time.Second
	// MemberLease is how long a member may act on its session after it sent a heartbeat that was answered. It ends well
	// before the session does, even if the clocks of member and keeper run at different rates.
	MemberLease = 2400 * time.Millisecond
	// maxQuorumAge bounds how long ago a majority must have followed the keeper that extends a session.
	// MemberLease + maxQuorumAge must be less than SessionTimeout.
	maxQuorumAge          = 400 * time.Millisecond
	catalogInterval       = 600 * time.Millisecond
	catalogUrgentInterval = 200 * time.Millisecond  // while some service has no ready worker
	proposalTimeout       = 2500 * time.Millisecond // a proposal not committed by then fails with OutcomeUnknownError
	reconcileInterval     = 100 * time.Millisecond
)

// Options configures a Core.
type Options struct {
	Address string         // of this keeper's peer listener
	IDs     [Groups]string // this keeper's identity in each group, as stored on its disk
	// Tolerance is the set of machines, zones or regions that may be lost at one time. It determines how many voters a
	// group should have and how they are spread.
	Tolerance *tolerance.Tolerance
	// Random returns a number in [0, n).
	Random func(n int64) int64
	// FeedEpoch distinguishes the feed of this incarnation from that of any other.
	FeedEpoch string
}

// group is this keeper's member of one replica group, with the state machine that its log drives and the callers
// that wait for entries.
type group struct {
	node     *agreement.Node
	waiters  map[uint64]waiter // by log index
	leading  bool
	apply    func(index uint64, data []byte) error
	snapshot func() ([]byte, error)
	restore  func(data []byte) error
	reset    func()
}

// waiter is a caller that waits for a log entry. done is called once the entry is applied, or with an
// OutcomeUnknownError when its outcome can no longer be known.
type waiter struct {
	term     uint64
	deadline time.Duration
	done     func(err error)
}

// Core is the state machine of one keeper. It is not safe for concurrent use.
type Core struct {
	options            Options
	now                time.Duration
	groups             [Groups]*group
	configuration      *configuration.State
	sessions           *session.State
	owners             [OwnershipShards]*ownership.State
	assignmentDeadline [OwnershipShards]time.Duration // while in the future, a change of the shard is in progress
	handovers          [OwnershipShards]handoverState
	unneededUnits      [OwnershipShards]unneededState
	// carriersChangedAt is when a carrier last joined or left.
	carriersChangedAt time.Duration
	feed              *feed.Table
	subscribers       map[Subscriber]*subscription
	lastHeartbeat     map[string]time.Duration // by member incarnation; used by the leader of the session group
	expiryDeadline    map[string]time.Duration // by incarnation; while in the future, expiry is being proposed
	instances         map[string]catalog.Instance
	catalogReadAt     time.Duration
	catalogKnown      bool
	nextCatalogRead   time.Duration
	nextReconcile     time.Duration
	retiringSince     map[string]time.Duration // by machine name, for machines that are being drained
	toleranceDeadline time.Duration            // while in the future, the tolerance is being proposed to the session group
	groupAddresses    map[string]bool          // addresses of all members of any group, and of this keeper
	knownAddresses    []string                 // addresses of other keepers, the most recently seen last
}

// OutcomeUnknownError reports that the outcome of a call is unknown: its log entry may or may not be committed.
type OutcomeUnknownError struct{}

func (e *OutcomeUnknownError) Error() string {
	return "the order's outcome is not known"
}

// New creates a keeper from the state that its disk holds for each group. It returns an error if a snapshot can't be
// decoded.
func New(options Options, stored [Groups]agreement.PersistentState, now time.Duration) (*Core, error) {
	core := &Core{
		options: options, now: now, configuration: configuration.NewState(), sessions: session.NewState(),
		feed: feed.NewTable(options.FeedEpoch), subscribers: map[Subscriber]*subscription{},
		lastHeartbeat: map[string]time.Duration{}, expiryDeadline: map[string]time.Duration{},
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

// newGroup creates this keeper's member of a group and connects the group's log to the state that it replicates.
func (c *Core) newGroup(id int, stored agreement.PersistentState) *group {
	node := agreement.New(agreement.Options{
		Self: c.options.IDs[id], ElectionTimeout: ElectionTimeout, HeartbeatInterval: HeartbeatInterval,
		Random: c.options.Random,
	}, stored, c.now)
	g := &group{node: node, waiters: map[uint64]waiter{}}
	switch id {
	case ConfigurationGroup:
		g.apply, g.snapshot, g.restore = c.applyOrder, c.configuration.Snapshot, c.configuration.Restore
		g.reset = func() { *c.configuration = *configuration.NewState() }
	case SessionGroup:
		g.apply, g.snapshot, g.restore = c.applySession, c.sessions.Snapshot, c.sessions.Restore
		g.reset = func() { *c.sessions = *session.NewState() }
	default:
		shard := id - firstOwnershipGroup
		g.apply = func(_ uint64, data []byte) error { return c.applyOwners(shard, data) }
		g.snapshot, g.restore = c.owners[shard].Snapshot, c.owners[shard].Restore
		g.reset = func() { *c.owners[shard] = *ownership.NewState() }
	}
	return g
}

// Step handles agreement messages of another keeper for the group with the given number.
func (c *Core) Step(now time.Duration, id int, messages []agreement.Message) {
	c.now = now
	if id < 0 || id >= Groups {
		return
	}
	for _, message := range messages {
		c.rememberAddress(AddressOf(message.From))
		c.groups[id].node.Step(now, message)
	}
	c.checkLeadership()
}

// Tick advances the clock: it drives elections and heartbeats, expires waiters and sessions, and periodically
// reconciles ownership, group membership and the recorded tolerance.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	for _, g := range c.groups {
		if now >= g.node.NextWake() {
			g.node.Tick(now)
		}
		g.expireWaiters(now)
	}
	c.checkLeadership()
	c.expireSessions()
	if now >= c.nextReconcile {
		c.nextReconcile = now + reconcileInterval
		c.reconcile()
		c.reconcileGroups()
		c.proposeTolerance()
	}
}

// NextWake returns the time at which Tick should be called next.
func (c *Core) NextWake() time.Duration {
	next := c.nextReconcile
	for _, g := range c.groups {
		next = min(next, g.node.NextWake())
	}
	return next
}

// expireWaiters fails the waiters whose deadline has passed.
func (g *group) expireWaiters(now time.Duration) {
	for index, waiter := range ordered.Map(g.waiters) {
		if now > waiter.deadline {
			delete(g.waiters, index)
			waiter.done(&OutcomeUnknownError{})
		}
	}
}

// checkLeadership detects that this keeper began or ceased to lead a group. A new leader of the session group resets
// the session timers; a former leader of any group fails its waiters.
func (c *Core) checkLeadership() {
	for id, g := range c.groups {
		leading := g.node.LeaderReady()
		if leading && !g.leading && id == SessionGroup {
			c.resetSessionTimers()
		}
		if !leading && g.leading {
			g.failWaiters()
		}
		g.leading = leading
	}
}

// failWaiters answers all waiters of a keeper that no longer leads with an OutcomeUnknownError, as their entries may
// still be committed.
func (g *group) failWaiters() {
	waiting := g.waiters
	g.waiters = map[uint64]waiter{}
	for _, waiter := range ordered.Map(waiting) {
		waiter.done(&OutcomeUnknownError{})
	}
}

// propose appends data to a group's log. done is called once the entry is applied or its outcome is unknown.
func (c *Core) propose(id int, data []byte, done func(err error)) {
	g := c.groups[id]
	index, err := g.node.Propose(c.now, data)
	if err != nil {
		done(c.notLeader(id))
		return
	}
	g.waiters[index] = waiter{term: g.node.Term(), deadline: c.now + proposalTimeout, done: done}
}

// PeerUp reports that a connection to another keeper was established.
func (c *Core) PeerUp(now time.Duration) {
	c.now = now
	for _, g := range c.groups {
		g.node.CampaignSoon(now)
	}
}

// Ready returns what the driver of a group has to persist, send and apply.
func (c *Core) Ready(id int) agreement.Ready { return c.groups[id].node.Ready() }

// Persisted reports that the writes in ready are synced to disk, and applies its committed entries. It returns an
// error if a snapshot can't be restored.
func (c *Core) Persisted(now time.Duration, id int, ready *agreement.Ready) error {
	c.now = now
	g := c.groups[id]
	g.node.Persisted(ready)
	changed, membershipChanged := false, false
	if ready.Snapshot != nil && len(ready.Snapshot.Data) > 0 {
		if err := g.restore(ready.Snapshot.Data); err != nil {
			return err
		}
		changed = true
	}
	for _, entry := range ready.Committed {
		changed = true
		var result error
		membershipChanged = membershipChanged || entry.Members != nil
		if entry.Data != nil {
			result = g.apply(entry.Index, entry.Data)
		}
		if waiter, waits := g.waiters[entry.Index]; waits {
			delete(g.waiters, entry.Index)
			if waiter.term != entry.Term {
				result = &OutcomeUnknownError{}
			}
			waiter.done(result)
		}
	}
	c.checkLeadership()
	if changed {
		c.refreshFeed()
		c.reconcile()
	}
	if membershipChanged {
		c.reconcileGroups() // a group should have a surplus voter for as short a time as possible
	}
	return nil
}

// Compact replaces a group's applied log entries by a snapshot and returns the state to store on disk. It returns
// false if the log can't be compacted now, and an error if the state can't be encoded.
func (c *Core) Compact(id int) (agreement.PersistentState, bool, error) {
	g := c.groups[id]
	data, err := g.snapshot()
	if err != nil {
		return agreement.PersistentState{}, false, err
	}
	if _, done := g.node.Compact(g.node.Applied(), data); !done {
		return agreement.PersistentState{}, false, nil
	}
	return g.node.PersistentState(), true, nil
}

// Members returns the membership of a group as this keeper knows it.
func (c *Core) Members(id int) agreement.Membership { return c.groups[id].node.Membership() }

// Term returns this keeper's term in a group.
func (c *Core) Term(id int) uint64 { return c.groups[id].node.Term() }

// LogLength returns the number of entries in a group's log.
func (c *Core) LogLength(id int) int { return c.groups[id].node.LogLength() }

// Leader returns the address of a group's leader, empty if unknown, and whether this keeper leads the group and is
// ready to serve.
func (c *Core) Leader(id int) (address string, self bool) {
	g := c.groups[id]
	return AddressOf(g.node.Leader()), g.node.LeaderReady()
}

// notLeader returns the error for a call that only the leader of the group can answer. It names the leader if known.
func (c *Core) notLeader(id int) error {
	return &agreement.NotLeaderError{Leader: AddressOf(c.groups[id].node.Leader())}
}
