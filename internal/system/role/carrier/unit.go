package carrier

import (
	"slices"
	"strings"
	"time"

	"granitewing/internal/system/member"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/session"
)

// unit is a set of messages that one carrier is responsible for.
type unit struct {
	name          string
	token         uint64 // fencing token of the ownership; 0 for units without one
	active        bool   // all messages of former owners are known
	recovering    bool
	recovery      *recovery // the latest one
	relistWanted  bool      // the unit is to be listed once more after the recovery under way
	dropped       bool      // another carrier is responsible now
	sequence      uint64
	items         map[string]*item
	keys          map[string][]*item // by ordering key, in order; the first is due or being delivered
	settling      bool
	unrecorded    int       // records that some store has not acknowledged, and pending call-backs
	handover      *handover // nil unless the unit is being handed over
	declinedOffer uint64    // latest offer that was not followed
	// outcomeQueries are, by message ID, of messages that were passed to this carrier and may have completed under a
	// former owner.
	outcomeQueries map[string]*outcomeQuery
}

func newUnit(name string) *unit {
	return &unit{name: name, items: map[string]*item{}, keys: map[string][]*item{}, outcomeQueries: map[string]*outcomeQuery{}}
}

// carrierUnitPrefix is the common prefix of the units of single carriers, including departed ones.
var carrierUnitPrefix = ownership.CarrierUnit("")

// applyOwnership follows the feed: it recovers units that were assigned to this carrier and drops those that were
// taken away.
func (c *Core) applyOwnership(before, after *member.View) {
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
			known = c.addUnit(name, owner.Token)
		}
		c.followOffer(known, owner)
	}
	for incarnation, departed := range ordered.Map(after.Departed) {
		name := ownership.CarrierUnit(incarnation)
		if departed.Adopter == self && c.units[name] == nil {
			c.addUnit(name, 0)
		}
		if departed.Adopter != self && c.units[name] != nil && name != c.own.name {
			c.drop(c.units[name])
		}
	}
	if acceptorMayBeGone(before, after) {
		c.relistPacedUnits()
	}
	for name, u := range ordered.Map(c.units) {
		incarnation, adopted := strings.CutPrefix(name, carrierUnitPrefix)
		if _, listed := after.Departed[incarnation]; adopted && u != c.own && !listed {
			c.drop(u)
		}
	}
}

func (c *Core) addUnit(name string, token uint64) *unit {
	u := newUnit(name)
	u.token = token
	c.units[name] = u
	if service, paced := strings.CutPrefix(name, ownership.ServiceUnit("")); paced {
		// A message that the former owner sent last may still be in transit.
		c.queue(service).pace.BlockUntil(c.env.Now() + rateHoldAfterTakeover)
	}
	c.recover(u)
	return u
}

const rateHoldAfterTakeover = 100 * time.Millisecond

// drop ends the responsibility for a unit. Attempts in flight continue, and their outcomes are recorded.
func (c *Core) drop(u *unit) {
	u.dropped = true
	delete(c.units, u.name)
	for _, it := range ordered.Map(u.items) {
		it.queued = false
		c.uncount(it, false)
		if !it.inFlight {
			c.releaseMemory(it)
		}
	}
}

// sessionLost gives up everything that was owned under the session. Messages that this carrier accepted return to
// it with the session that replaces the lost one.
func (c *Core) sessionLost() {
	c.env.LogWarning("session lost", nil)
	for _, u := range ordered.Map(c.units) {
		c.drop(u)
	}
	c.newOwnUnit()
}

// addTakenOver makes this carrier responsible for a message that another carrier was responsible for.
func (c *Core) addTakenOver(u *unit, m *message.Message, holders []string, accepted time.Duration) {
	it := c.newItem(u, m, holders, accepted)
	it.takenOver, it.takenOverDue = true, it.due <= c.env.Now()
	c.addItem(it)
}

// addMessage makes this carrier responsible for a stored message.
func (c *Core) addMessage(u *unit, m *message.Message, holders []string, accepted time.Duration) {
	c.addItem(c.newItem(u, m, holders, accepted))
}

func (c *Core) newItem(u *unit, m *message.Message, holders []string, accepted time.Duration) *item {
	return &item{message: m, unit: u, holders: append([]string(nil), holders...), accepted: accepted, due: accepted + m.Delay, idleSince: c.env.Now()}
}

func (c *Core) addItem(it *item) {
	u, m := it.unit, it.message
	if old := c.inFlight[m.ID]; old != nil && old.unit.dropped {
		// The message came back while an attempt of this carrier is still in flight: that attempt counts.
		old.unit = u
		old.holders = union(old.holders, it.holders)
		u.items[m.ID] = old
		c.insertByKey(old)
		c.count(old)
		return
	}
	u.items[m.ID] = it
	it.headBytes = headBytes(m)
	c.waitingBytes += it.headBytes
	c.bodyBytes += int64(len(m.Body))
	c.releaseBodyIfFull(it)
	c.insertByKey(it)
	if it.due <= c.env.Now() {
		c.count(it)
	}
	if m.Key == "" || u.keys[m.Key][0] == it {
		c.ready(it)
	}
}

// union returns the elements of both lists.
func union(first, second []string) []string {
	all := append([]string(nil), first...)
	for _, element := range second {
		if !slices.Contains(all, element) {
			all = append(all, element)
		}
	}
	return all
}

// insertByKey inserts a message at its position in the order of its key.
func (c *Core) insertByKey(it *item) {
	key := it.message.Key
	if key == "" {
		return
	}
	waiting := it.unit.keys[key]
	at := len(waiting)
	for at > 1 && precedes(it.message, waiting[at-1].message) {
		at--
	}
	if at == 1 && !waiting[0].inFlight && waiting[0].attempts == 0 && precedes(it.message, waiting[0].message) {
		waiting[0].queued = false
		at = 0
	}
	waiting = append(waiting, nil)
	copy(waiting[at+1:], waiting[at:])
	waiting[at] = it
	it.unit.keys[key] = waiting
}

func precedes(a, b *message.Message) bool {
	if a.Token != b.Token {
		return a.Token < b.Token
	}
	return a.Sequence < b.Sequence
}

// removeItem removes a completed message from its unit and makes the next one of its key ready.
func (c *Core) removeItem(it *item) {
	u := it.unit
	delete(u.items, it.message.ID)
	c.uncount(it, true)
	c.releaseMemory(it)
	key := it.message.Key
	if key == "" {
		return
	}
	waiting := u.keys[key]
	for i, other := range waiting {
		if other == it {
			waiting = append(waiting[:i:i], waiting[i+1:]...)
			break
		}
	}
	if len(waiting) == 0 {
		delete(u.keys, key)
		return
	}
	u.keys[key] = waiting
	if !u.dropped {
		c.ready(waiting[0])
	}
}

// releaseMemory removes a message that this carrier is no longer responsible for from the memory counts.
func (c *Core) releaseMemory(it *item) {
	c.releaseBody(it)
	c.waitingBytes -= it.headBytes
	it.headBytes = 0
}

func (c *Core) releaseBody(it *item) {
	c.bodyBytes -= int64(len(it.message.Body))
	it.message = withoutBody(it.message)
}

func withoutBody(m *message.Message) *message.Message {
	if len(m.Body) == 0 {
		return m
	}
	stripped := *m
	stripped.Body = nil
	return &stripped
}

// acceptorMayBeGone reports whether a process that accepted messages may have ended between two views. A carrier whose
// session had ended before may have accepted messages until the next process of its machine joined.
func acceptorMayBeGone(before, after *member.View) bool {
	if after.Snapshots != before.Snapshots {
		return true
	}
	for incarnation := range after.Departed {
		if _, known := before.Departed[incarnation]; !known {
			return true
		}
	}
	return lacksCarrier(before, after) || lacksCarrier(after, before)
}

// lacksCarrier reports whether a carrier that is a member in view is none in other.
func lacksCarrier(view, other *member.View) bool {
	for incarnation, known := range view.Members {
		if _, live := other.Members[incarnation]; !live && known.Role == session.Carrier {
			return true
		}
	}
	return false
}

// relistPacedUnits looks for messages that a departed carrier stored for the owner of a paced unit but did not
// pass on.
func (c *Core) relistPacedUnits() {
	if c.relistScheduled {
		return
	}
	c.relistScheduled = true
	c.env.After(relistDelay, func() {
		c.relistScheduled = false
		for name, u := range ordered.Map(c.units) {
			if strings.HasPrefix(name, ownership.ServiceUnit("")) {
				c.relist(u)
			}
		}
	})
}

// relist lists a unit once more: at once, or after the listing under way, which may have read the stores already.
func (c *Core) relist(u *unit) {
	if u.recovering {
		u.relistWanted = true
		return
	}
	c.recover(u)
}

// settleDeparted reports departed carriers whose messages have all completed to the keepers.
func (c *Core) settleDeparted() {
	for name, u := range ordered.Map(c.units) {
		incarnation, adopted := strings.CutPrefix(name, carrierUnitPrefix)
		if !adopted || u == c.own || !u.active || u.settling || len(u.items) > 0 || c.stores.unrecorded() > 0 || c.hasCallbacks() {
			continue
		}
		u.settling = true
		c.session.ReportSettled(incarnation, func(error) { u.settling = false })
	}
}
