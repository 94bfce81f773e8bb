package store

import (
	"time"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/member"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

const (
	askInterval = 2 * time.Second
	askTimeout  = 2 * time.Second
)

// EndsEnvironment is what the driver or the simulation gives an EndsAsker.
type EndsEnvironment interface {
	loop.Loop
	loop.Peers
}

// EndsAsker asks the other stores for the ends of messages that have been pending here for long: their carriers may not
// know that they lie here too.
type EndsAsker struct {
	env     EndsEnvironment
	session *member.Client
	disk    string
	pending func(done func(ids []string)) // asks the core for messages that have been pending for long
	ended   func(ends []message.End)
}

// NewEndsAsker makes one; Start begins.
func NewEndsAsker(env EndsEnvironment, session *member.Client, disk string, pending func(done func(ids []string)),
	ended func(ends []message.End)) *EndsAsker {
	return &EndsAsker{env: env, session: session, disk: disk, pending: pending, ended: ended}
}

// Start begins.
func (a *EndsAsker) Start() {
	a.env.After(askInterval, a.Start)
	a.pending(func(ids []string) {
		if len(ids) == 0 {
			return
		}
		body := wire.Encode(&wire.FindEndsBody{IDs: ids})
		for id, other := range ordered.Map(a.session.View().Disks) {
			if id != a.disk && a.env.Up(other.Member.Address) {
				a.ask(other.Member.Address, body)
			}
		}
	})
}

func (a *EndsAsker) ask(address string, body []byte) {
	a.env.Call(address, wire.FindEnds, body, askTimeout, func(payload []byte, err error) {
		var answer wire.FoundEnds
		if err == nil && wire.Decode(wire.FindEnds, payload, &answer) == nil && len(answer.Ends) > 0 {
			a.ended(answer.Ends)
		}
	})
}

// Ends records ends of messages.
func (c *Core) Ends(ends []message.End, done func()) {
	for _, end := range ends {
		e := c.index.get(end.ID)
		if e == nil {
			e = c.index.add(end.ID, "", c.now)
		}
		if e.phase != message.Pending {
			c.compare(e, end)
			continue
		}
		c.end(e, end, c.now)
		c.append(record{Kind: recordEnd, ID: end.ID, Unit: e.unit, End: &end}, nil)
	}
	c.answers = append(c.answers, done)
}

// Repeats is the messages that ran again after a success, as far as this store was told of both ends.
type Repeats struct {
	Count  uint64
	Latest string // id of a message
}

// Repeats gives those that were told of in this life of the store.
func (c *Core) Repeats() Repeats { return c.repeats }

// compare counts an end that tells of another successful run than the one that is kept.
func (c *Core) compare(e *entry, end message.End) {
	if e.phase != message.Succeeded || end.Phase != message.Succeeded || e.stamp == end.Stamp {
		return
	}
	c.repeats.Count++
	c.repeats.Latest = e.id
}

func (c *Core) end(e *entry, end message.End, at time.Duration) {
	if e.phase != message.Pending {
		return
	}
	e.phase, e.stamp, e.callbackOwed = end.Phase, end.Stamp, end.CallbackOwed
	c.index.end(e, at)
}

// CallbackDone records that ends were told.
func (c *Core) CallbackDone(ids []string, done func()) {
	for _, id := range ids {
		e := c.index.get(id)
		if e == nil || !e.callbackOwed {
			continue
		}
		e.callbackOwed = false
		c.index.touch(e)
		c.append(record{Kind: recordCallbackDone, ID: id}, nil)
	}
	c.answers = append(c.answers, done)
}

// expire ends messages that nobody ended within their retention and a margin: their carriers and owners are gone, or
// the end could not be recorded here.
func (c *Core) expire() {
	const interval = 500 * time.Millisecond
	const margin = 30 * time.Second
	const mostAtOnce = 64
	if c.now < c.expireDue {
		return
	}
	c.expireDue = c.now + interval
	count := 0
	for _, unit := range ordered.Map(c.index.units) {
		for _, e := range unit.entries {
			if !e.pending() || c.now-e.arrived < e.retention+margin {
				break
			}
			if count++; count > mostAtOnce {
				return
			}
			end := message.End{ID: e.id, Phase: message.DeadLetter, CallbackOwed: e.callback}
			c.end(e, end, c.now)
			c.append(record{Kind: recordEnd, ID: e.id, Unit: e.unit, End: &end}, nil)
		}
	}
}
