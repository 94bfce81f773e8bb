package keeper

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// UnknownSessionError reports that a member's session has ended. The member must open another one under a new
// incarnation.
type UnknownSessionError struct{ Incarnation string }

func (e *UnknownSessionError) Error() string {
	return "no session of " + e.Incarnation
}

// resetSessionTimers grants every member a full session when this keeper starts to lead, as it does not know when
// they sent their last heartbeat.
func (c *Core) resetSessionTimers() {
	c.lastHeartbeat = map[string]time.Duration{}
	c.expiryDeadline = map[string]time.Duration{}
	for _, role := range []session.Role{session.Carrier, session.Store} {
		for _, member := range c.sessions.Members(role) {
			c.lastHeartbeat[member.Incarnation] = c.now
		}
	}
	c.nextCatalogRead = c.now
}

// OpenSession opens or renews a member's session and subscribes the member to the feed. done gets an
// UnknownSessionError for the renewal of a session that has ended.
func (c *Core) OpenSession(now time.Duration, subscriber Subscriber, body wire.OpenSessionBody, done func(err error)) {
	c.now = now
	member, position := body.Member, body.Position
	if !c.mayExtendSessions() {
		done(c.notLeader(SessionGroup))
		return
	}
	known, live := c.sessions.Member(member.Incarnation)
	if body.Renew && !c.hasSession(member.Incarnation) {
		c.refuseSession(member.Incarnation, done)
		return
	}
	if live && known == member {
		c.lastHeartbeat[member.Incarnation] = now
		c.subscribe(subscriber, position)
		done(nil)
		return
	}
	c.proposeSession(session.Command{Kind: session.Join, Member: member}, func(err error) {
		if err == nil {
			c.lastHeartbeat[member.Incarnation] = c.now
			c.subscribe(subscriber, position)
		}
		done(err)
	})
}

// Heartbeat extends a session and renews its member's subscription to the feed: even if this keeper has no record of
// the subscription, a live member is sent what it lacks. done gets the age of the list of workers, or an
// UnknownSessionError once a majority confirms that the session has ended.
func (c *Core) Heartbeat(now time.Duration, subscriber Subscriber, body wire.HeartbeatBody, done func(catalogAge time.Duration, err error)) {
	c.now = now
	incarnation := body.Incarnation
	if !c.mayExtendSessions() {
		done(0, c.notLeader(SessionGroup))
		return
	}
	if !c.hasSession(incarnation) {
		c.refuseSession(incarnation, func(err error) { done(0, err) })
		return
	}
	c.lastHeartbeat[incarnation] = now
	c.handleReport(subscriber, body.Position)
	done(c.CatalogAge(), nil)
}

// hasSession reports whether a session is open and its expiry is not in progress.
func (c *Core) hasSession(incarnation string) bool {
	_, live := c.sessions.Member(incarnation)
	_, expiring := c.expiryDeadline[incarnation]
	return live && !expiring
}

// refuseSession answers a member whose session has ended, after a majority has confirmed that this keeper leads. On
// an UnknownSessionError the member gives up everything it owns.
func (c *Core) refuseSession(incarnation string, done func(err error)) {
	c.confirm(SessionGroup, func(err error) {
		switch {
		case err != nil:
			done(err)
		case c.hasSession(incarnation):
			done(c.notLeader(SessionGroup)) // the session was opened meanwhile; the member retries
		default:
			done(&UnknownSessionError{Incarnation: incarnation})
		}
	})
}

// mayExtendSessions reports whether this keeper may extend sessions. A successor to which it transferred leadership
// may already lead and have granted every member a full session at that time. Whatever this keeper grants before it
// learns of that must end before those sessions do.
func (c *Core) mayExtendSessions() bool {
	node := c.groups[SessionGroup].node
	if c.now >= node.NextWake() {
		// A process that was paused must not extend a session before it knows that it still leads.
		node.Tick(c.now)
	}
	return node.LeaderReady() && node.QuorumActive(maxQuorumAge)
}

// CloseSession ends a session at its member's request.
func (c *Core) CloseSession(now time.Duration, incarnation string, done func(err error)) {
	c.now = now
	c.proposeSession(session.Command{Kind: session.Leave, Incarnation: incarnation}, done)
}

// SettleDeparted records that all messages of a departed carrier are complete, as its adopter reports.
func (c *Core) SettleDeparted(now time.Duration, body wire.SettleBody, done func(err error)) {
	c.now = now
	c.proposeSession(session.Command{Kind: session.SettleDeparted, Incarnation: body.Incarnation, Adopter: body.Adopter}, done)
}

// CountDisk records that a disk is backfilled and counts toward the write quorum from now on.
func (c *Core) CountDisk(now time.Duration, disk string, done func(err error)) {
	c.now = now
	c.proposeSession(session.Command{Kind: session.CountDisk, Disk: disk}, done)
}

// proposeSession proposes a command to the session group.
func (c *Core) proposeSession(command session.Command, done func(err error)) {
	if !c.groups[SessionGroup].node.LeaderReady() {
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

// applySession applies a committed command to the session table. It returns an error if the table refuses the
// command.
func (c *Core) applySession(_ uint64, data []byte) error {
	var command session.Command
	if err := msgpack.Unmarshal(data, &command); err != nil {
		return &session.MalformedError{Err: err}
	}
	before := c.sessions.Members(session.Carrier)
	refused := c.sessions.Apply(command)
	if command.Kind == session.Join {
		c.lastHeartbeat[command.Member.Incarnation] = c.now
	}
	if after := c.sessions.Members(session.Carrier); !slices.Equal(before, after) {
		c.carriersChangedAt = c.now
	}
	c.trackRetirements()
	return refused
}

// expireSessions ends the sessions whose members sent no heartbeat for SessionTimeout, and forgets the timers of ended
// ones.
func (c *Core) expireSessions() {
	if !c.groups[SessionGroup].node.LeaderReady() {
		return
	}
	for _, role := range []session.Role{session.Carrier, session.Store} {
		for _, member := range c.sessions.Members(role) {
			c.expireMember(member.Incarnation)
		}
	}
	for incarnation := range c.lastHeartbeat {
		if _, live := c.sessions.Member(incarnation); !live {
			delete(c.lastHeartbeat, incarnation)
			delete(c.expiryDeadline, incarnation)
		}
	}
}

// expireMember proposes the end of a member's session if it has expired and its end is not being proposed already.
func (c *Core) expireMember(incarnation string) {
	if c.now-c.lastHeartbeat[incarnation] < SessionTimeout || c.now < c.expiryDeadline[incarnation] {
		return
	}
	c.expiryDeadline[incarnation] = c.now + proposalTimeout
	c.proposeSession(session.Command{Kind: session.Leave, Incarnation: incarnation}, func(error) {})
}
