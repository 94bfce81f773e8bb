package carrier

import (
	"strings"
	"time"

	"granitewing/internal/system/member"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/ownership"
)

// unit is a set of messages that one carrier is responsible for.
type unit struct {
	name       string
	token      uint64 // fencing token of the ownership; 0 for what no token guards
	active     bool   // all that former owners left is known
	recovering bool
	recovery   *recovery // the latest one
	dropped    bool      // another carrier is responsible now
	sequence   uint64
	items      map[string]*item
	keys       map[string][]*item // by ordering key, in order; the first is due or being delivered
	settled    bool
	settling   bool
	unrecorded int       // records of its ends that some store has not taken
	handover   *handover // nil unless the unit is on its way to another carrier
	declined   uint64    // latest offer that was not followed
	// endQueries are of messages that were handed to this carrier and may have ended under a former owner, by message id.
	endQueries map[string]*endQuery
}

func newUnit(name string) *unit {
	return &unit{name: name, items: map[string]*item{}, keys: map[string][]*item{}, endQueries: map[string]*endQuery{}}
}

// departedPrefix begins the units of carriers that have gone.
var departedPrefix = ownership.CarrierUnit("")

// takeUnits follows the feed: units that came to this carrier are recovered, those that went are dropped.
func (c *Core) takeUnits(before, after *member.View) {
	self := c.session.Incarnation()
	for name, owner := range ordered.Map(after.Owners) {
		known := c.units[name]
		if owner.Incarnation != self {
			if known != nil {
				c.drop(known)
			}
			continue
		}
		if known == nil || known.token != owner.Token {
			if known != nil {
				c.drop(known)
			}
			known = c.begin(name, owner.Token)
		}
		c.followOffer(known, owner)
	}
	for incarnation, gone := range ordered.Map(after.Departed) {
		name := ownership.CarrierUnit(incarnation)
		if gone.Adopter == self && c.units[name] == nil {
			c.begin(name, 0)
		}
		if gone.Adopter != self && c.units[name] != nil && name != c.own.name {
			c.drop(c.units[name])
		}
		if _, known := before.Departed[incarnation]; !known {
			c.relistPaced()
		}
	}
	for name, u := range ordered.Map(c.units) {
		incarnation, adopted := strings.CutPrefix(name, departedPrefix)
		if _, still := after.Departed[incarnation]; adopted && u != c.own && !still {
			c.drop(u)
		}
	}
}

func (c *Core) begin(name string, token uint64) *unit {
	u := newUnit(name)
	u.token = token
	c.units[name] = u
	if service, paced := strings.CutPrefix(name, ownership.PacedUnit("")); paced {
		// What the former owner sent last may still be on its way.
		c.queue(service).pace.Hold(c.env.Now() + pacedHandover)
	}
	c.recover(u)
	return u
}

const pacedHandover = 100 * time.Millisecond

// drop stops being responsible for a unit. Attempts that are out go on, and their ends are recorded.
func (c *Core) drop(u *unit) {
	u.dropped = true
	delete(c.units, u.name)
	for _, it := range ordered.Map(u.items) {
		it.queued = false
		c.uncount(it, false)
		if !it.flying {
			c.forget(it)
		}
	}
}

// sessionLost gives up everything that was owned under the session; what this carrier accepted comes back to it by the
// session that replaces it.
func (c *Core) sessionLost() {
	c.env.Report("the session was lost", nil)
	for _, u := range ordered.Map(c.units) {
		c.drop(u)
	}
	c.newOwnUnit()
}

// takeBack makes this carrier responsible for a message that another was.
func (c *Core) takeBack(u *unit, m *message.Message, holders []string, accepted time.Duration) {
	it := c.newItem(u, m, holders, accepted)
	it.taken, it.takenDue = true, it.due <= c.env.Now()
	c.keep(it)
}

// take makes this carrier responsible for a stored message.
func (c *Core) take(u *unit, m *message.Message, holders []string, accepted time.Duration) {
	c.keep(c.newItem(u, m, holders, accepted))
}

func (c *Core) newItem(u *unit, m *message.Message, holders []string, accepted time.Duration) *item {
	return &item{message: m, unit: u, holders: append([]string(nil), holders...), accepted: accepted, due: accepted + m.Delay}
}

func (c *Core) keep(it *item) {
	u, m := it.unit, it.message
	if old := c.inFlight[m.ID]; old != nil && old.unit.dropped {
		// It came back while an attempt of ours is still out: that attempt counts.
		old.unit = u
		u.items[m.ID] = old
		c.joinKey(old)
		c.count(old)
		return
	}
	u.items[m.ID] = it
	it.head = headBytes(m)
	c.waitingBytes += it.head
	c.bodyBytes += int64(len(m.Body))
	c.limitBytes(it)
	c.joinKey(it)
	if it.due <= c.env.Now() {
		c.count(it)
	}
	if m.Key == "" || u.keys[m.Key][0] == it {
		c.ready(it)
	}
}

// joinKey places a message in its key's order.
func (c *Core) joinKey(it *item) {
	key := it.message.Key
	if key == "" {
		return
	}
	line := it.unit.keys[key]
	at := len(line)
	for at > 1 && before(it.message, line[at-1].message) {
		at--
	}
	if at == 1 && !line[0].flying && line[0].tries == 0 && before(it.message, line[0].message) {
		line[0].queued = false
		at = 0
	}
	line = append(line, nil)
	copy(line[at+1:], line[at:])
	line[at] = it
	it.unit.keys[key] = line
}

func before(a, b *message.Message) bool {
	if a.Token != b.Token {
		return a.Token < b.Token
	}
	return a.Sequence < b.Sequence
}

// leave takes an ended message out of its unit, and lets the next of its key go.
func (c *Core) leave(it *item) {
	u := it.unit
	delete(u.items, it.message.ID)
	c.uncount(it, true)
	c.forget(it)
	key := it.message.Key
	if key == "" {
		return
	}
	line := u.keys[key]
	for i, other := range line {
		if other == it {
			line = append(line[:i:i], line[i+1:]...)
			break
		}
	}
	if len(line) == 0 {
		delete(u.keys, key)
		return
	}
	u.keys[key] = line
	if !u.dropped {
		c.ready(line[0])
	}
}

// forget takes a message that is no longer this carrier's out of the count of memory.
func (c *Core) forget(it *item) {
	c.forgetBytes(it)
	c.waitingBytes -= it.head
	it.head = 0
}

func (c *Core) forgetBytes(it *item) {
	c.bodyBytes -= int64(len(it.message.Body))
	it.message = withoutBody(it.message)
}

func withoutBody(m *message.Message) *message.Message {
	if len(m.Body) == 0 {
		return m
	}
	bare := *m
	bare.Body = nil
	return &bare
}

// relistPaced looks for messages that a departed carrier had stored for an owner and not handed over.
func (c *Core) relistPaced() {
	if c.relisting {
		return
	}
	c.relisting = true
	c.env.After(relistAfterGone, func() {
		c.relisting = false
		for name, u := range ordered.Map(c.units) {
			if strings.HasPrefix(name, ownership.PacedUnit("")) && u.active && !u.recovering {
				c.recover(u)
			}
		}
	})
}

// settleDeparted tells the keepers of departed carriers whose messages have all ended.
func (c *Core) settleDeparted() {
	for name, u := range ordered.Map(c.units) {
		incarnation, adopted := strings.CutPrefix(name, departedPrefix)
		if !adopted || u == c.own || !u.active || u.settling || len(u.items) > 0 || c.stores.unwritten() > 0 || c.callbacksWait() {
			continue
		}
		u.settling = true
		c.session.Settle(incarnation, func(error) { u.settling = false })
	}
}
