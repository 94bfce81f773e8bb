package carrier

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"granitewing/internal/system/link"
	"granitewing/internal/system/member"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/wire"
)

// unit is a set of messages that one carrier is responsible for.
type unit struct {
	name       string
	token      uint64 // fencing token of the ownership; 0 for what no token guards
	active     bool   // all that former owners left is known
	recovering bool
	dropped    bool // another carrier is responsible now
	sequence   uint64
	items      map[string]*item
	keys       map[string][]*item // by ordering key, in order; the first is due or being delivered
	settled    bool
	settling   bool
}

func newUnit(name string) *unit {
	return &unit{name: name, items: map[string]*item{}, keys: map[string][]*item{}}
}

// departedPrefix begins the units of carriers that have gone.
var departedPrefix = ownership.CarrierUnit("")

// takeUnits follows the feed: units that came to this carrier are recovered, those that went are dropped.
func (c *Core) takeUnits(before, after *member.View) {
	self := c.session.Incarnation()
	for name, owner := range after.Owners {
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
			c.begin(name, owner.Token)
		}
	}
	for incarnation, gone := range after.Departed {
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
	for name, u := range c.units {
		incarnation, adopted := strings.CutPrefix(name, departedPrefix)
		if _, still := after.Departed[incarnation]; adopted && u != c.own && !still {
			c.drop(u)
		}
	}
}

func (c *Core) begin(name string, token uint64) {
	u := newUnit(name)
	u.token = token
	c.units[name] = u
	if service, paced := strings.CutPrefix(name, ownership.PacedUnit("")); paced {
		// What the former owner sent last may still be on its way.
		c.queue(service).pace.Hold(c.env.Now() + pacedHandover)
	}
	c.recover(u)
}

const pacedHandover = 100 * time.Millisecond

// drop stops being responsible for a unit. Attempts that are out go on, and their ends are recorded.
func (c *Core) drop(u *unit) {
	u.dropped = true
	delete(c.units, u.name)
	for _, it := range u.items {
		it.queued = false
		if !it.flying {
			c.forgetBytes(it)
		}
	}
}

// sessionLost gives up everything that was owned under the session; what this carrier accepted comes back to it by the
// session that replaces it.
func (c *Core) sessionLost() {
	c.env.Report("the session was lost", nil)
	for _, u := range c.units {
		c.drop(u)
	}
	c.newOwnUnit()
}

// Times and sizes of a recovery.
const (
	listTimeout     = 1500 * time.Millisecond
	listRetry       = 150 * time.Millisecond
	listAllWithin   = 1200 * time.Millisecond // after it, the stores that have to answer are enough
	relistAfterGone = 300 * time.Millisecond
)

// recovery reads a unit's messages from the stores.
type recovery struct {
	core     *Core
	unit     *unit
	began    time.Duration
	listed   map[string]*listing // by disk
	asking   bool                // for the ends of what is listed
	finished bool
}

// listing is what one store told.
type listing struct {
	messages []wire.ListedMessage
	ended    []message.End
	complete bool
	done     bool
	busy     bool
	after    uint64
}

func (c *Core) recover(u *unit) {
	u.recovering = true
	r := &recovery{core: c, unit: u, began: c.env.Now(), listed: map[string]*listing{}}
	r.ask()
}

// ask lists at all stores that are there and have not told everything; and looks again after a while.
func (r *recovery) ask() {
	if r.finished || r.unit.dropped {
		return
	}
	c := r.core
	for disk := range c.session.View().Disks {
		l := r.listed[disk]
		if l == nil {
			l = &listing{}
			r.listed[disk] = l
		}
		if !l.done && !l.busy && c.stores.isUp(disk) {
			r.askStore(disk, l)
		}
	}
	r.judge()
	c.env.After(listRetry, r.ask)
}

func (r *recovery) askStore(disk string, l *listing) {
	c := r.core
	l.busy = true
	body := wire.ListBody{Unit: r.unit.name, After: l.after}
	c.env.Call(c.stores.address(disk), wire.ListUnit, wire.Encode(&body), listTimeout, func(payload []byte, err error) {
		l.busy = false
		var answer wire.ListAnswer
		if err == nil {
			err = wire.Decode(wire.ListUnit, payload, &answer)
		}
		if r.finished || r.unit.dropped {
			return
		}
		if err != nil {
			// The store may have started anew, and counts its places anew then: ask lists it from the start.
			*l = listing{}
			return
		}
		l.messages = append(l.messages, answer.Messages...)
		l.after, l.complete = answer.Next, answer.Complete
		if answer.More {
			r.askStore(disk, l)
			return
		}
		l.done = true
		r.judge()
	})
}

// judge goes on once enough stores have told everything.
func (r *recovery) judge() {
	if r.finished || r.unit.dropped || !r.enough() {
		return
	}
	r.askEnds()
}

// enough tells whether all stores have told everything, or, after a while, all but those that may be lost.
func (r *recovery) enough() bool {
	c := r.core
	counted := c.session.View().Counted()
	complete, done := 0, 0
	for disk := range counted {
		if l := r.listed[disk]; l != nil && l.done {
			done++
			if l.complete {
				complete++
			}
		}
	}
	needed := len(counted) - c.settings.Tolerated
	late := c.env.Now()-r.began >= listAllWithin
	return len(counted) >= c.copies() && complete >= needed && (done == len(counted) || late)
}

// askEnds asks all that have told everything for the ends of what any of them lists: they may not agree.
func (r *recovery) askEnds() {
	if r.asking {
		return
	}
	r.asking = true
	ids := map[string]bool{}
	var told []string
	for disk, l := range r.listed {
		if !l.done {
			continue
		}
		told = append(told, disk)
		for i := range l.messages {
			ids[l.messages[i].Message.ID] = true
		}
	}
	if len(ids) == 0 {
		r.finished = true
		r.finish()
		return
	}
	body := wire.FindEndsBody{}
	for id := range ids {
		body.IDs = append(body.IDs, id)
	}
	sort.Strings(body.IDs)
	payload := wire.Encode(&body)
	open := len(told)
	for _, disk := range told {
		r.askEndsAt(disk, payload, func() {
			if open--; open == 0 {
				r.asked()
			}
		})
	}
}

func (r *recovery) askEndsAt(disk string, payload []byte, answered func()) {
	c := r.core
	l := r.listed[disk]
	c.env.Call(c.stores.address(disk), wire.FindEnds, payload, listTimeout, func(payload []byte, err error) {
		var answer wire.EndsBody
		if err == nil {
			err = wire.Decode(wire.FindEnds, payload, &answer)
		}
		if err != nil {
			*l = listing{} // it is listed anew
		} else {
			l.ended = answer.Ends
		}
		answered()
	})
}

// asked goes on where all that told everything have told the ends as well, and back to listing where one has not.
func (r *recovery) asked() {
	r.asking = false
	if r.finished || r.unit.dropped {
		return
	}
	if !r.enough() {
		return // ask comes again
	}
	r.finished = true
	r.finish()
}

// found is a message put together from what the stores told.
type found struct {
	listed  wire.ListedMessage
	holders []string
	end     *message.End
}

func (r *recovery) finish() {
	c, u := r.core, r.unit
	u.recovering = false
	messages := r.merge()
	ids := make([]string, 0, len(messages))
	for id := range messages {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := &messages[ids[i]].listed.Message, &messages[ids[j]].listed.Message
		if a.Token != b.Token {
			return a.Token < b.Token
		}
		if a.Sequence != b.Sequence {
			return a.Sequence < b.Sequence
		}
		if a.Accepted != b.Accepted {
			return a.Accepted < b.Accepted
		}
		return a.ID < b.ID
	})
	u.active = true
	for _, id := range ids {
		r.adopt(messages[id])
	}
	if len(u.items) > 0 {
		c.env.Inform(fmt.Sprintf("unit %s is taken over with %d messages, after %s", u.name, len(u.items), c.env.Now()-r.began))
	}
	c.settleDeparted()
}

func (r *recovery) merge() map[string]*found {
	ends := map[string]message.End{}
	for _, l := range r.listed {
		for _, end := range l.ended {
			if old, known := ends[end.ID]; !known || old.CallbackOwed {
				ends[end.ID] = end
			}
		}
	}
	messages := map[string]*found{}
	for disk, l := range r.listed {
		for _, listed := range l.messages {
			f := messages[listed.Message.ID]
			if f == nil {
				f = &found{listed: listed}
				messages[listed.Message.ID] = f
			}
			f.listed.Age = min(f.listed.Age, listed.Age)
			f.holders = append(f.holders, disk)
			if end, ended := ends[listed.Message.ID]; ended {
				f.end = &end
			}
		}
	}
	return messages
}

// adopt takes a message that the stores hold.
func (r *recovery) adopt(f *found) {
	c, u := r.core, r.unit
	m := f.listed.Message
	if f.end == nil {
		if end, known := c.recent.get(m.ID); known {
			f.end = &end
		}
	}
	if f.end != nil {
		c.stores.recordEnd(f.holders, *f.end)
		if f.end.CallbackOwed && m.Callback != "" {
			c.tell(m.Callback, *f.end, f.holders)
		}
		return
	}
	if u.items[m.ID] != nil {
		return
	}
	c.takeBack(u, &m, f.holders, c.env.Now()-f.listed.Age)
}

// takeBack makes this carrier responsible for a message that another was.
func (c *Core) takeBack(u *unit, m *message.Message, holders []string, accepted time.Duration) {
	it := c.newItem(u, m, holders, accepted)
	it.takenDue = it.due <= c.env.Now()
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
		return
	}
	u.items[m.ID] = it
	c.bodyBytes += int64(len(m.Body))
	c.limitBytes(it)
	c.joinKey(it)
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
	c.forgetBytes(it)
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
		for name, u := range c.units {
			if strings.HasPrefix(name, ownership.PacedUnit("")) && u.active && !u.recovering {
				c.recover(u)
			}
		}
	})
}

// settleDeparted tells the keepers of departed carriers whose messages have all ended.
func (c *Core) settleDeparted() {
	for name, u := range c.units {
		incarnation, adopted := strings.CutPrefix(name, departedPrefix)
		if !adopted || u == c.own || !u.active || u.settling || len(u.items) > 0 || c.stores.unwritten() > 0 || c.callbacksWait() {
			continue
		}
		u.settling = true
		c.session.Settle(incarnation, func(error) { u.settling = false })
	}
}

// reserve asks the owner of a unit for the next place in its order.
func (c *Core) reserve(name, id string, done func(wire.ReserveAnswer, error)) {
	owner := c.session.View().Owners[name]
	if owner.Incarnation == c.session.Incarnation() {
		answer, refusal := c.Reserve(wire.ReserveBody{Unit: name, ID: id})
		if refusal != nil {
			done(wire.ReserveAnswer{}, &link.RefusedError{Body: *refusal})
			return
		}
		done(answer, nil)
		return
	}
	address := c.session.View().Members[owner.Incarnation].Address
	if address == "" || !c.env.Up(address) {
		done(wire.ReserveAnswer{}, &link.ClosedError{Peer: address})
		return
	}
	body := wire.ReserveBody{Unit: name, ID: id}
	c.env.Call(address, wire.ReserveSequence, wire.Encode(&body), reserveTimeout, func(payload []byte, err error) {
		var answer wire.ReserveAnswer
		if err == nil {
			err = wire.Decode(wire.ReserveSequence, payload, &answer)
		}
		done(answer, err)
	})
}

// Reserve gives a place in the order of a unit that this carrier owns, while its session holds: no other owner can be
// giving places then.
func (c *Core) Reserve(body wire.ReserveBody) (wire.ReserveAnswer, *wire.RefusalBody) {
	u := c.units[body.Unit]
	if u == nil || !c.session.Holds() || c.paused {
		return wire.ReserveAnswer{}, &wire.RefusalBody{Code: wire.NotOwner, Reason: "not the owner of " + body.Unit}
	}
	if !u.active {
		return wire.ReserveAnswer{}, &wire.RefusalBody{Code: wire.NotReady, Reason: "the unit is being recovered"}
	}
	u.sequence++
	return wire.ReserveAnswer{Token: u.token, Sequence: u.sequence}, nil
}

// confirmAtOwner hands a stored message to the owner of its order; it is accepted once the owner has it.
func (c *Core) confirmAtOwner(a *acceptance) {
	m := a.message
	body := wire.DeliverBody{Message: *m, Holders: a.tried, Age: c.env.Now() - a.at}
	owner := c.session.View().Owners[m.Unit]
	finish := func(err error) {
		if a.done {
			return
		}
		if err == nil {
			a.accept()
			return
		}
		c.env.After(confirmRetry, func() {
			if !a.done {
				c.confirmAtOwner(a)
			}
		})
	}
	if owner.Incarnation == c.session.Incarnation() {
		if refusal := c.Deliver(body); refusal != nil {
			finish(&link.RefusedError{Body: *refusal})
			return
		}
		finish(nil)
		return
	}
	address := c.session.View().Members[owner.Incarnation].Address
	c.env.Call(address, wire.ConfirmMessage, wire.Encode(&body), confirmTimeout, func(_ []byte, err error) { finish(err) })
}

const (
	confirmRetry = 30 * time.Millisecond
	forwardRetry = 100 * time.Millisecond
)

// Deliver takes a stored message for a unit that this carrier owns. The answer is nil once it is responsible for it; a
// message that comes twice is taken once.
func (c *Core) Deliver(body wire.DeliverBody) *wire.RefusalBody {
	u := c.units[body.Message.Unit]
	if u == nil || !c.session.Holds() || c.paused {
		return &wire.RefusalBody{Code: wire.NotOwner, Reason: "not the owner of " + body.Message.Unit}
	}
	if !u.active {
		return &wire.RefusalBody{Code: wire.NotReady, Reason: "the unit is being recovered"}
	}
	if _, ended := c.recent.get(body.Message.ID); ended || u.items[body.Message.ID] != nil {
		return nil
	}
	m := body.Message
	c.take(u, &m, body.Holders, c.env.Now()-body.Age)
	return nil
}

// forward hands an accepted message to the owner of its unit, however long that takes: until then this carrier holds it.
func (c *Core) forward(m *message.Message, holders []string, accepted time.Duration) {
	owner := c.session.View().Owners[m.Unit]
	body := wire.DeliverBody{Message: *m, Holders: holders, Age: c.env.Now() - accepted}
	again := func() { c.env.After(forwardRetry, func() { c.forward(m, holders, accepted) }) }
	if owner.Incarnation == c.session.Incarnation() {
		if refusal := c.Deliver(body); refusal != nil {
			again()
		}
		return
	}
	if c.env.Now()-accepted > m.Retention {
		return
	}
	address := c.session.View().Members[owner.Incarnation].Address
	if address == "" || !c.env.Up(address) {
		again()
		return
	}
	c.env.Call(address, wire.ForwardMessage, wire.Encode(&body), confirmTimeout, func(_ []byte, err error) {
		if err != nil {
			again()
		}
	})
}
