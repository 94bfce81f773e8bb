package keeper

import (
	"granitewing/internal/system/feed"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Subscriber identifies a member's connection by a number that the driver assigns.
type Subscriber uint64

// Push is an encoded feed update for a subscriber. Subscribers at the same position share the bytes.
type Push struct {
	To      Subscriber
	Payload []byte
}

// subscription is how far a subscriber has got in the feed.
type subscription struct {
	pushed       feed.Position // up to which updates were sent
	reported     feed.Position // from the latest heartbeat
	staleReports int           // consecutive heartbeats with the same position, which differs from pushed
}

// maxStaleReports is the number of consecutive heartbeats with the same old position after which an update counts as
// lost.
const maxStaleReports = 3

// subscribe sends a subscriber all changes after a position from now on.
func (c *Core) subscribe(subscriber Subscriber, position feed.Position) {
	c.subscribers[subscriber] = &subscription{pushed: position}
}

// handleReport handles the position that a member reports in a heartbeat. It subscribes a member whose subscription
// is unknown, and resends updates that were lost on the way.
func (c *Core) handleReport(subscriber Subscriber, position feed.Position) {
	s := c.subscribers[subscriber]
	if s == nil {
		c.subscribe(subscriber, position)
		return
	}
	if position == s.pushed || position != s.reported {
		s.reported, s.staleReports = position, 0
		return
	}
	if s.staleReports++; s.staleReports >= maxStaleReports {
		s.pushed, s.staleReports = position, 0
	}
}

// Unsubscribe removes the subscription of a closed connection.
func (c *Core) Unsubscribe(subscriber Subscriber) { delete(c.subscribers, subscriber) }

// Pushes returns the updates that subscribers lack. It returns none unless this keeper leads the session group, as
// members follow that leader.
func (c *Core) Pushes() []Push {
	if !c.groups[SessionGroup].node.LeaderReady() {
		return nil
	}
	var pushes []Push
	latest := feed.Position{Epoch: c.options.FeedEpoch, Offset: c.feed.Offset()}
	encoded := map[feed.Position][]byte{} // by the position after which the changes begin; the zero position for the whole table
	for subscriber, s := range ordered.Map(c.subscribers) {
		position := s.pushed
		if position == latest {
			continue
		}
		if !c.feed.CanResume(position) {
			position = feed.Position{}
		}
		payload, known := encoded[position]
		if !known {
			update := c.feed.UpdateSince(position)
			payload = wire.EncodeUpdate(&update)
			encoded[position] = payload
		}
		s.pushed = latest
		pushes = append(pushes, Push{To: subscriber, Payload: payload})
	}
	return pushes
}
