package keeper

import (
	"granitewing/internal/system/feed"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Subscriber is a member's connection, by a number of the driver's.
type Subscriber uint64

// Push is a feed update for a subscriber, encoded. Those that lack the same share the bytes.
type Push struct {
	To      Subscriber
	Payload []byte
}

// subscription is how far a subscriber was brought.
type subscription struct {
	pushed   feed.Position // to which updates were sent
	reported feed.Position // that its latest heartbeat told
	behind   int           // heartbeats in a row that told the same position, which is not the one pushed
}

// reportsBehind is how many heartbeats in a row tell the same old position of a member that an update has not reached.
const reportsBehind = 3

func (c *Core) subscribe(subscriber Subscriber, position feed.Position) {
	c.subscribers[subscriber] = &subscription{pushed: position}
}

// followReport takes a member's word of the position that it has reached: where it was forgotten it is subscribed, and where
// an update was lost on its way it is sent again.
func (c *Core) followReport(subscriber Subscriber, position feed.Position) {
	s := c.subscribers[subscriber]
	if s == nil {
		c.subscribe(subscriber, position)
		return
	}
	if position == s.pushed || position != s.reported {
		s.reported, s.behind = position, 0
		return
	}
	if s.behind++; s.behind >= reportsBehind {
		s.pushed, s.behind = position, 0
	}
}

// Unsubscribe forgets a connection.
func (c *Core) Unsubscribe(subscriber Subscriber) { delete(c.subscribers, subscriber) }

// Pushes gives what subscribers lack. None are made unless this keeper leads the sessions: members follow the leader.
func (c *Core) Pushes() []Push {
	if !c.groups[SessionGroup].node.Leading() {
		return nil
	}
	var pushes []Push
	latest := feed.Position{Epoch: c.options.FeedEpoch, Offset: c.feed.Offset()}
	encoded := map[feed.Position][]byte{} // by the position that the changes follow, the zero one for the whole table
	for subscriber, s := range ordered.Map(c.subscribers) {
		position := s.pushed
		if position == latest {
			continue
		}
		if !c.feed.Reaches(position) {
			position = feed.Position{}
		}
		payload, known := encoded[position]
		if !known {
			update := c.feed.Since(position)
			payload = wire.EncodeUpdate(&update)
			encoded[position] = payload
		}
		s.pushed = latest
		pushes = append(pushes, Push{To: subscriber, Payload: payload})
	}
	return pushes
}
