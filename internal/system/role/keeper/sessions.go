package keeper

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// UnknownSessionError tells a member that its session is over: it must open another under a new incarnation.
type UnknownSessionError struct{ Incarnation string }

func (e *UnknownSessionError) Error() string { return "no session of " + e.Incarnation }

// takeSessions gives every member a full session when this keeper begins to lead: it doesn't know when they were heard.
func (c *Core) takeSessions() {
	c.lastHeard = map[string]time.Duration{}
	c.leaving = map[string]time.Duration{}
	for _, role := range []session.Role{session.Carrier, session.Store} {
		for _, member := range c.sessions.Members(role) {
			c.lastHeard[member.Incarnation] = c.now
		}
	}
	c.catalogDue = c.now
}

// OpenSession lets a member join, or renews its session, and subscribes it to the feed.
func (c *Core) OpenSession(now time.Duration, subscriber Subscriber, body wire.OpenSessionBody, done func(err error)) {
	c.now = now
	member, position := body.Member, body.Position
	if !c.vouches() {
		done(c.notLeader(SessionGroup))
		return
	}
	known, live := c.sessions.Member(member.Incarnation)
	if body.Renew && !c.keeps(member.Incarnation) {
		c.refuseSession(member.Incarnation, done)
		return
	}
	if live && known == member {
		c.lastHeard[member.Incarnation] = now
		c.subscribe(subscriber, position)
		done(nil)
		return
	}
	c.proposeSession(session.Command{Kind: session.Join, Member: member}, func(err error) {
		if err == nil {
			c.lastHeard[member.Incarnation] = c.now
			c.subscribe(subscriber, position)
		}
		done(err)
	})
}

// Heartbeat keeps a session, and its member's subscription to the feed: whatever this keeper forgot of it, a member that is
// taken for live gets what has changed. The age is that of the list of workers.
func (c *Core) Heartbeat(now time.Duration, subscriber Subscriber, body wire.HeartbeatBody, done func(catalogAge time.Duration, err error)) {
	c.now = now
	incarnation := body.Incarnation
	if !c.vouches() {
		done(0, c.notLeader(SessionGroup))
		return
	}
	if !c.keeps(incarnation) {
		c.refuseSession(incarnation, func(err error) { done(0, err) })
		return
	}
	c.lastHeard[incarnation] = now
	c.followReport(subscriber, body.Position)
	done(c.CatalogAge(), nil)
}

// keeps tells whether a session is open and its end is not under way.
func (c *Core) keeps(incarnation string) bool {
	_, live := c.sessions.Member(incarnation)
	_, expiring := c.leaving[incarnation]
	return live && !expiring
}

// refuseSession tells a member that its session is over, once a majority has confirmed that this keeper leads: on this word
// the member gives up all that it owns.
func (c *Core) refuseSession(incarnation string, done func(err error)) {
	c.confirm(SessionGroup, func(err error) {
		switch {
		case err != nil:
			done(err)
		case c.keeps(incarnation):
			done(c.notLeader(SessionGroup)) // it was opened meanwhile; the member asks again
		default:
			done(&UnknownSessionError{Incarnation: incarnation})
		}
	})
}

// vouches tells whether this keeper may lengthen sessions. A successor that it named may lead already, and has given
// every member a full session then: what this one answers until it knows must end before that does.
func (c *Core) vouches() bool {
	node := c.groups[SessionGroup].node
	if c.now >= node.NextWake() {
		// A process that stood still must not vouch for a session before it knows that it still leads.
		node.Tick(c.now)
	}
	return node.Leading() && node.Followed(followedWithin)
}

// CloseSession ends a session at its member's wish.
func (c *Core) CloseSession(now time.Duration, incarnation string, done func(err error)) {
	c.now = now
	c.proposeSession(session.Command{Kind: session.Leave, Incarnation: incarnation}, done)
}

// Settle records that a departed carrier's messages have all ended.
func (c *Core) Settle(now time.Duration, incarnation string, done func(err error)) {
	c.now = now
	c.proposeSession(session.Command{Kind: session.Settled, Incarnation: incarnation}, done)
}

// CountDisk lets a filled disk count.
func (c *Core) CountDisk(now time.Duration, disk string, done func(err error)) {
	c.now = now
	c.proposeSession(session.Command{Kind: session.Count, Disk: disk}, done)
}

func (c *Core) proposeSession(command session.Command, done func(err error)) {
	if !c.groups[SessionGroup].node.Leading() {
		done(c.notLeader(SessionGroup))
		return
	}
	data, err := msgpack.Marshal(&command)
	if err != nil {
		done(&session.MalformedError{Err: err})
		return
	}
	c.propose(SessionGroup, data, done)
}

func (c *Core) applySession(_ uint64, data []byte) error {
	var command session.Command
	if err := msgpack.Unmarshal(data, &command); err != nil {
		return &session.MalformedError{Err: err}
	}
	before := c.sessions.Members(session.Carrier)
	refused := c.sessions.Apply(command)
	if command.Kind == session.Join {
		c.lastHeard[command.Member.Incarnation] = c.now
	}
	if after := c.sessions.Members(session.Carrier); !slices.Equal(before, after) {
		c.carriersChanged = c.now
	}
	c.noteRetiring()
	return refused
}

// expireSessions ends the sessions that were not kept.
func (c *Core) expireSessions() {
	if !c.groups[SessionGroup].node.Leading() {
		return
	}
	for _, role := range []session.Role{session.Carrier, session.Store} {
		for _, member := range c.sessions.Members(role) {
			c.expireMember(member.Incarnation)
		}
	}
	for incarnation := range c.lastHeard {
		if _, live := c.sessions.Member(incarnation); !live {
			delete(c.lastHeard, incarnation)
			delete(c.leaving, incarnation)
		}
	}
}

func (c *Core) expireMember(incarnation string) {
	if c.now-c.lastHeard[incarnation] < SessionLife || c.now < c.leaving[incarnation] {
		return
	}
	c.leaving[incarnation] = c.now + orderWait
	c.proposeSession(session.Command{Kind: session.Leave, Incarnation: incarnation}, func(error) {})
}
