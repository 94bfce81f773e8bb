package member

import (
	"errors"
	"slices"
	"time"

	"granitewing/internal/system/feed"
	"granitewing/internal/system/loop"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// Intervals and timeouts of a session, on the monotonic clock.
const (
	heartbeatInterval = 450 * time.Millisecond
	callTimeout       = 600 * time.Millisecond
	openTimeout       = 1500 * time.Millisecond
	retryDelay        = 100 * time.Millisecond
	startupRetryDelay = 40 * time.Millisecond // before the first session, for maxStartupRetries attempts
	maxStartupRetries = 25
	redirectDelay     = 20 * time.Millisecond // when a keeper has named the current leader
)

// RefusedError is the error of a call that a keeper refused. The driver that carries the calls implements it.
type RefusedError interface {
	error
	Refusal() wire.RefusalBody
}

// Events are the callbacks of a client.
type Events struct {
	// Changed is called after each change of the view.
	Changed func(before, after *View)
	// SessionLost is called when the keepers report that the session has ended: the process no longer owns the units
	// that it owned under this incarnation.
	SessionLost func()
	// Keepers is called when a refusal has added a leader to Client.Keepers, which needs a connection. Keepers that the
	// feed adds are reported by Changed.
	Keepers func()
	// Fault is called with the error when a feed update from a keeper cannot be decoded.
	Fault func(err error)
}

// Client opens and renews the session of one process with the leader of the keepers, and maintains the View from the
// feed. Like the loop that it runs on, it is single-threaded.
type Client struct {
	loop    loop.Loop
	peers   loop.Peers
	seeds   []string // addresses of the keepers in the settings
	keepers []string // seeds, the keepers in the feed, and those named as leader in refusals
	events  Events

	member          session.Member
	view            *View
	position        feed.Position
	keeperIndex     int // index into keepers of the one that the session uses
	sessionOpen     bool
	opening         bool
	closed          bool
	failures        int
	leaseUntil      time.Duration
	catalogReadAt   time.Duration // when the list of workers in the view was read from the platform; -time.Hour before the first reading
	generation      uint64        // rises with each attempt to open a session; answers to earlier attempts are ignored
	ownershipLeader string        // last known leader of the ownership shard of the latest release; empty if unknown
}

// NewClient returns a client for the process self. The keepers are the addresses from the settings; there must be at
// least one. The client does nothing until Start is called.
func NewClient(l loop.Loop, peers loop.Peers, keepers []string, self session.Member, events Events) *Client {
	return &Client{loop: l, peers: peers, seeds: keepers, keepers: slices.Clone(keepers), events: events, member: self, view: emptyView(),
		catalogReadAt: -time.Hour}
}

// Start begins to open a session, with a keeper chosen at random.
func (c *Client) Start() {
	c.keeperIndex = int(c.loop.Random(int64(len(c.keepers))))
	c.openSession()
}

// View returns the current view of the fleet. The caller must not modify it.
func (c *Client) View() *View { return c.view }

// Incarnation returns the identifier of the current session: each session that replaces an ended one gets a new one.
func (c *Client) Incarnation() string { return c.member.Incarnation }

// Keeper returns the address of the keeper that the client uses for its session.
func (c *Client) Keeper() string { return c.keepers[c.keeperIndex] }

// LeaseValid reports whether the session's lease is valid, so that the process may act on what it owns.
func (c *Client) LeaseValid() bool { return c.loop.Now() < c.leaseUntil }

// Joined reports whether a session was opened under the current incarnation, even if it has expired since. After Close
// it reports false.
func (c *Client) Joined() bool { return c.leaseUntil > 0 }

// SessionOpen reports whether a session is open, with a keeper that answers.
func (c *Client) SessionOpen() bool { return c.sessionOpen }

func (c *Client) openSession() {
	if c.closed || c.opening {
		return
	}
	c.sessionOpen = false
	c.opening = true
	c.generation++
	generation := c.generation
	address := c.keepers[c.keeperIndex]
	if !c.peers.Connected(address) {
		c.opening = false
		c.switchKeeper("")
		return
	}
	sent := c.loop.Now()
	body := wire.OpenSessionBody{Member: c.member, Position: c.position, Renew: c.Joined()}
	c.peers.Call(address, wire.OpenSession, wire.Encode(&body), openTimeout, func(payload []byte, err error) {
		if c.generation != generation || c.closed {
			return
		}
		c.opening = false
		c.handleOpenAnswer(sent, payload, err)
	})
}

func (c *Client) handleOpenAnswer(sent time.Duration, payload []byte, err error) {
	var answer wire.OpenSessionAnswer
	if err == nil {
		err = wire.Decode(wire.OpenSession, payload, &answer)
	}
	if c.handleCallError(err) {
		return
	}
	c.sessionOpen, c.failures = true, 0
	c.leaseUntil = max(c.leaseUntil, sent+answer.Lease)
	c.scheduleHeartbeat(c.generation)
}

// leaderFromRefusal returns the address of the leader that a refusal names, or "" for any other error.
func leaderFromRefusal(err error) string {
	var refused RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal().Leader
	}
	return ""
}

// handleCallError reports whether a call of the session failed. If the session has ended, it starts another one;
// on any other error, it switches to another keeper.
func (c *Client) handleCallError(err error) bool {
	switch {
	case err == nil:
		return false
	case isUnknownSession(err):
		c.restartSession()
	default:
		c.switchKeeper(leaderFromRefusal(err))
	}
	return true
}

// isUnknownSession reports whether err is a keeper's refusal because the session has ended.
func isUnknownSession(err error) bool {
	var refused RefusedError
	return errors.As(err, &refused) && refused.Refusal().Code == wire.UnknownSession
}

// switchKeeper opens the session with another keeper after a randomized delay: with leader if it is not empty, else
// with the next one of the list.
func (c *Client) switchKeeper(leader string) {
	c.sessionOpen = false
	c.generation++
	generation := c.generation
	c.keeperIndex = (c.keeperIndex + 1) % len(c.keepers)
	if leader != "" {
		c.selectKeeper(leader)
	}
	c.failures++
	pause := retryDelay
	if !c.Joined() && c.failures <= maxStartupRetries {
		pause = startupRetryDelay
	}
	if leader != "" && c.failures == 1 {
		pause = redirectDelay
	}
	pause = pause/2 + time.Duration(c.loop.Random(int64(pause)))
	c.loop.After(pause, func() {
		if c.generation == generation {
			c.openSession()
		}
	})
}

// selectKeeper selects the keeper that another one named as the leader. Its address may be missing from the settings.
func (c *Client) selectKeeper(leader string) {
	if !slices.Contains(c.keepers, leader) {
		c.keepers = append(c.keepers, leader)
		if c.events.Keepers != nil {
			c.events.Keepers()
		}
	}
	c.keeperIndex = slices.Index(c.keepers, leader)
}

func (c *Client) scheduleHeartbeat(generation uint64) {
	c.loop.After(heartbeatInterval, func() {
		if c.generation == generation && !c.closed {
			c.sendHeartbeat(generation)
		}
	})
}

func (c *Client) sendHeartbeat(generation uint64) {
	sent := c.loop.Now()
	body := wire.HeartbeatBody{Incarnation: c.member.Incarnation, Position: c.position}
	c.peers.Call(c.keepers[c.keeperIndex], wire.Heartbeat, wire.Encode(&body), callTimeout, func(payload []byte, err error) {
		if c.generation != generation || c.closed {
			return
		}
		c.handleHeartbeatAnswer(sent, generation, payload, err)
	})
}

func (c *Client) handleHeartbeatAnswer(sent time.Duration, generation uint64, payload []byte, err error) {
	var answer wire.HeartbeatAnswer
	if err == nil {
		err = wire.Decode(wire.Heartbeat, payload, &answer)
	}
	if c.handleCallError(err) {
		return
	}
	c.leaseUntil = max(c.leaseUntil, sent+keeper.MemberLease)
	c.catalogReadAt = max(c.catalogReadAt, sent-answer.CatalogAge)
	c.scheduleHeartbeat(generation)
}

// restartSession opens a session under a new incarnation, which names the incarnation that it replaces.
func (c *Client) restartSession() {
	c.leaseUntil = 0
	c.member.Replaces = c.member.Incarnation
	c.member.Incarnation = NewIncarnation(c.loop, c.member.Node)
	if c.events.SessionLost != nil {
		c.events.SessionLost()
	}
	c.opening = false
	c.switchKeeper(c.keepers[c.keeperIndex])
}

// NewIncarnation returns a random identifier for one incarnation of a process, "NODE+xxxxxxxx".
func NewIncarnation(l loop.Loop, node string) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	const length = 8
	name := []byte(node + "+")
	for range length {
		name = append(name, digits[l.Random(int64(len(digits)))])
	}
	return string(name)
}

// Up notifies the client that a connection to a peer is established. If the peer is a keeper and no session is open,
// the client tries to open one there at once.
func (c *Client) Up(address string) {
	index := slices.Index(c.keepers, address)
	if index < 0 || c.sessionOpen || c.opening || c.closed {
		return
	}
	c.keeperIndex = index
	c.openSession()
}

// Down notifies the client that the connection to a peer is broken.
func (c *Client) Down(address string) {
	if address == c.keepers[c.keeperIndex] && (c.sessionOpen || c.opening) {
		c.opening = false
		c.switchKeeper("")
	}
}

// Stopping notifies the keepers that the process is shutting down, so that its units move to other carriers.
func (c *Client) Stopping() {
	if c.member.Stopping {
		return
	}
	c.member.Stopping = true
	if c.sessionOpen {
		c.openSession()
	}
}

// Close ends the session and its lease. It calls done with nil once the keepers have recorded that, or with the error
// of the call. The client opens no other session afterwards.
func (c *Client) Close(done func(err error)) {
	c.leaseUntil = 0
	body := wire.CloseSessionBody{Incarnation: c.member.Incarnation}
	c.closed = true
	c.peers.Call(c.keepers[c.keeperIndex], wire.CloseSession, wire.Encode(&body), openTimeout, func(_ []byte, err error) { done(err) })
}
