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

// Times of a session, on the monotonic clock.
const (
	heartbeatInterval = 450 * time.Millisecond
	callTimeout       = 600 * time.Millisecond
	openTimeout       = 1500 * time.Millisecond
	retryPause        = 100 * time.Millisecond
	soonPause         = 40 * time.Millisecond // of a member that has just started, as long as soonTries last
	soonTries         = 25
	leaderPause       = 20 * time.Millisecond // where a keeper has named the one that leads
)

// RefusedError is a keeper's refusal, as the driver hands it on.
type RefusedError interface {
	error
	Refusal() wire.RefusalBody
}

// Events of a client.
type Events struct {
	// Changed is called when the view has changed.
	Changed func(before, after *View)
	// Lost is called when the session is over: what was owned under the incarnation is not any more.
	Lost func()
	// Keepers is called when connections to other keepers are wanted.
	Keepers func()
	// Fault is called with what a keeper sent that can't be read.
	Fault func(err error)
}

// Client keeps one session.
type Client struct {
	loop    loop.Loop
	peers   loop.Peers
	seeds   []string // addresses of the keepers that the settings name
	keepers []string // these and all that the feed names
	events  Events

	member     session.Member
	view       *View
	position   feed.Position
	current    int // of keepers
	open       bool
	opening    bool
	closed     bool
	failures   int
	leaseUntil time.Duration
	catalogAt  time.Duration // when the list of workers that the feed gives was read
	round      uint64        // of the connection; answers of former ones are passed over
	ownersAt   string        // keeper that leads the owners' shard asked last, as far as known
}

// NewClient makes a client; Start begins.
func NewClient(l loop.Loop, peers loop.Peers, keepers []string, self session.Member, events Events) *Client {
	return &Client{loop: l, peers: peers, seeds: keepers, keepers: slices.Clone(keepers), events: events, member: self, view: emptyView(),
		catalogAt: -time.Hour}
}

// Start opens the session.
func (c *Client) Start() {
	c.current = int(c.loop.Random(int64(len(c.keepers))))
	c.tryOpen()
}

// View is what is known of the fleet.
func (c *Client) View() *View { return c.view }

// Incarnation is the one of the session.
func (c *Client) Incarnation() string { return c.member.Incarnation }

// Keeper is the address of the keeper that the session is with.
func (c *Client) Keeper() string { return c.keepers[c.current] }

// Holds tells whether the process may act on its session now.
func (c *Client) Holds() bool { return c.loop.Now() < c.leaseUntil }

// Joined tells whether a session was ever opened under the incarnation.
func (c *Client) Joined() bool { return c.leaseUntil > 0 }

// InContact tells whether a keeper answers.
func (c *Client) InContact() bool { return c.open }

func (c *Client) tryOpen() {
	if c.closed || c.opening {
		return
	}
	c.open = false
	c.opening = true
	c.round++
	round := c.round
	address := c.keepers[c.current]
	if !c.peers.Up(address) {
		c.opening = false
		c.turn("")
		return
	}
	sent := c.loop.Now()
	body := wire.OpenSessionBody{Member: c.member, Position: c.position, Renew: c.Joined()}
	c.peers.Call(address, wire.OpenSession, wire.Encode(&body), openTimeout, func(payload []byte, err error) {
		if c.round != round || c.closed {
			return
		}
		c.opening = false
		c.opened(sent, payload, err)
	})
}

func (c *Client) opened(sent time.Duration, payload []byte, err error) {
	var answer wire.OpenSessionAnswer
	if err == nil {
		err = wire.Decode(wire.OpenSession, payload, &answer)
	}
	if c.refused(err) {
		return
	}
	c.open, c.failures = true, 0
	c.leaseUntil = max(c.leaseUntil, sent+answer.Lease)
	c.scheduleBeat(c.round)
}

// leaderOf is the keeper that a refusal points to, or empty.
func leaderOf(err error) string {
	var refused RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal().Leader
	}
	return ""
}

// refused deals with a call of the session that failed: another session, or another keeper.
func (c *Client) refused(err error) bool {
	switch {
	case err == nil:
		return false
	case sessionOver(err):
		c.sessionLost()
	default:
		c.turn(leaderOf(err))
	}
	return true
}

// sessionOver tells whether a keeper said that the session has ended.
func sessionOver(err error) bool {
	var refused RefusedError
	return errors.As(err, &refused) && refused.Refusal().Code == wire.UnknownSession
}

// turn goes to another keeper, after a pause.
func (c *Client) turn(leader string) {
	c.open = false
	c.round++
	round := c.round
	c.current = (c.current + 1) % len(c.keepers)
	if leader != "" {
		c.head(leader)
	}
	c.failures++
	pause := retryPause
	if !c.Joined() && c.failures <= soonTries {
		pause = soonPause
	}
	if leader != "" && c.failures == 1 {
		pause = leaderPause
	}
	pause = pause/2 + time.Duration(c.loop.Random(int64(pause)))
	c.loop.After(pause, func() {
		if c.round == round {
			c.tryOpen()
		}
	})
}

// head turns to a keeper that another named as the leader; it need be none of those that the settings name.
func (c *Client) head(leader string) {
	if !slices.Contains(c.keepers, leader) {
		c.keepers = append(c.keepers, leader)
		if c.events.Keepers != nil {
			c.events.Keepers()
		}
	}
	c.current = slices.Index(c.keepers, leader)
}

func (c *Client) scheduleBeat(round uint64) {
	c.loop.After(heartbeatInterval, func() {
		if c.round == round && !c.closed {
			c.beat(round)
		}
	})
}

func (c *Client) beat(round uint64) {
	sent := c.loop.Now()
	body := wire.HeartbeatBody{Incarnation: c.member.Incarnation, Position: c.position}
	c.peers.Call(c.keepers[c.current], wire.Heartbeat, wire.Encode(&body), callTimeout, func(payload []byte, err error) {
		if c.round != round || c.closed {
			return
		}
		c.beaten(sent, round, payload, err)
	})
}

func (c *Client) beaten(sent time.Duration, round uint64, payload []byte, err error) {
	var answer wire.HeartbeatAnswer
	if err == nil {
		err = wire.Decode(wire.Heartbeat, payload, &answer)
	}
	if c.refused(err) {
		return
	}
	c.leaseUntil = max(c.leaseUntil, sent+keeper.MemberLease)
	c.catalogAt = max(c.catalogAt, sent-answer.CatalogAge)
	c.scheduleBeat(round)
}

// sessionLost begins a session under another incarnation, which says whom it replaces.
func (c *Client) sessionLost() {
	c.leaseUntil = 0
	c.member.Replaces = c.member.Incarnation
	c.member.Incarnation = NewIncarnation(c.loop, c.member.Node)
	if c.events.Lost != nil {
		c.events.Lost()
	}
	c.opening = false
	c.turn(c.keepers[c.current])
}

// NewIncarnation draws the name of a life of a process.
func NewIncarnation(l loop.Loop, node string) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	const length = 8
	name := []byte(node + "+")
	for range length {
		name = append(name, digits[l.Random(int64(len(digits)))])
	}
	return string(name)
}

// Up tells that a connection to a peer came about: where no session is open it is tried there at once.
func (c *Client) Up(address string) {
	at := slices.Index(c.keepers, address)
	if at < 0 || c.open || c.opening || c.closed {
		return
	}
	c.current = at
	c.tryOpen()
}

// Down tells that the connection to a peer broke.
func (c *Client) Down(address string) {
	if address == c.keepers[c.current] && (c.open || c.opening) {
		c.opening = false
		c.turn("")
	}
}

// Stopping tells the keepers that the process was asked to stop, so that what it owns moves to others.
func (c *Client) Stopping() {
	if c.member.Stopping {
		return
	}
	c.member.Stopping = true
	if c.open {
		c.tryOpen()
	}
}

// Close ends the session; done is called when the keepers have taken it, or on failure.
func (c *Client) Close(done func(err error)) {
	c.leaseUntil = 0
	body := wire.CloseSessionBody{Incarnation: c.member.Incarnation}
	c.closed = true
	c.peers.Call(c.keepers[c.current], wire.CloseSession, wire.Encode(&body), openTimeout, func(_ []byte, err error) { done(err) })
}
