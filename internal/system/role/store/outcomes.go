package store

import (
	"time"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/member"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Times of querying other stores for outcomes.
const (
	outcomeQueryInterval = 2 * time.Second
	outcomeQueryTimeout  = 2 * time.Second
)

// OutcomeEnvironment is what an OutcomeFetcher needs from its driver or from the simulation.
type OutcomeEnvironment interface {
	loop.Loop
	loop.Peers
}

// OutcomeFetcher queries the other stores for the outcomes of messages that have been pending here for long. The
// carriers of such messages may not know that this store holds them too.
type OutcomeFetcher struct {
	env         OutcomeEnvironment
	session     *member.Client
	disk        string                        // of this store
	longPending func(done func(ids []string)) // requests the ids of long-pending messages from the core
	onOutcomes  func(ends []message.Outcome)  // passes found outcomes to the core
}

// NewOutcomeFetcher returns an OutcomeFetcher, which does nothing until Start. longPending requests the ids of
// long-pending messages from the core; onOutcomes passes the outcomes found to it.
func NewOutcomeFetcher(env OutcomeEnvironment, session *member.Client, disk string, longPending func(done func(ids []string)),
	onOutcomes func(ends []message.Outcome)) *OutcomeFetcher {
	return &OutcomeFetcher{env: env, session: session, disk: disk, longPending: longPending, onOutcomes: onOutcomes}
}

// Start begins to query every outcomeQueryInterval.
func (a *OutcomeFetcher) Start() {
	a.env.After(outcomeQueryInterval, a.Start)
	a.longPending(func(ids []string) {
		if len(ids) == 0 {
			return
		}
		body := wire.Encode(&wire.FindOutcomesBody{IDs: ids})
		for id, other := range ordered.Map(a.session.View().Disks) {
			if id != a.disk && a.env.Connected(other.Member.Address) {
				a.query(other.Member.Address, body)
			}
		}
	})
}

func (a *OutcomeFetcher) query(address string, body []byte) {
	a.env.Call(address, wire.FindOutcomes, body, outcomeQueryTimeout, func(payload []byte, err error) {
		var answer wire.FindOutcomesAnswer
		if err == nil && wire.Decode(wire.FindOutcomes, payload, &answer) == nil && len(answer.Outcomes) > 0 {
			a.onOutcomes(answer.Outcomes)
		}
	})
}

// PutOutcomes records outcomes of messages. A message keeps its first outcome. done is called once all outcomes are
// synced.
func (c *Core) PutOutcomes(ends []message.Outcome, done func()) {
	for _, end := range ends {
		e := c.index.get(end.ID)
		if e == nil {
			e = c.index.add(end.ID, "", c.now)
		}
		if e.phase != message.Pending {
			c.countRepeat(e, end)
			continue
		}
		c.setOutcome(e, end, c.now)
		c.append(record{Kind: recordEnd, ID: end.ID, Unit: e.unit, End: &end}, nil)
	}
	c.answers = append(c.answers, done)
}

// Repeats counts the messages that ran again after a success, as far as this store received both outcomes.
type Repeats struct {
	Count  uint64
	Latest string // id of the latest such message
}

// Repeats returns the count of the messages that ran again after a success, as seen by this incarnation of the store.
func (c *Core) Repeats() Repeats { return c.repeats }

// countRepeat counts an outcome that reports another successful run than the recorded one.
func (c *Core) countRepeat(e *entry, end message.Outcome) {
	if e.phase != message.Succeeded || end.Phase != message.Succeeded || e.stamp == end.Stamp {
		return
	}
	c.repeats.Count++
	c.repeats.Latest = e.id
}

func (c *Core) setOutcome(e *entry, end message.Outcome, at time.Duration) {
	if e.phase != message.Pending {
		return
	}
	e.phase, e.stamp, e.callbackOwed = end.Phase, end.Stamp, end.CallbackOwed
	c.index.complete(e, at)
}

// CallbackDone records that the outcomes of messages were delivered to their callback URLs. done is called once
// that is synced.
func (c *Core) CallbackDone(ids []string, done func()) {
	for _, id := range ids {
		e := c.index.get(id)
		if e == nil || !e.callbackOwed {
			continue
		}
		e.callbackOwed = false
		c.index.recordChange(e)
		c.append(record{Kind: recordCallbackDone, ID: id}, nil)
	}
	c.answers = append(c.answers, done)
}

// expire completes messages as dead letters that got no outcome within their delay and retention plus a margin: their
// carriers and owners are gone, or the outcome could not be recorded here.
func (c *Core) expire() {
	const interval = 500 * time.Millisecond
	const margin = 30 * time.Second
	const maxPerCall = 64
	if c.now < c.nextExpiry {
		return
	}
	c.nextExpiry = c.now + interval
	count := 0
	for _, unit := range ordered.Map(c.index.units) {
		for _, e := range unit.entries {
			if !e.pending() || c.now-e.arrivedAt < e.lifetime+margin {
				continue
			}
			if count++; count > maxPerCall {
				return
			}
			end := message.Outcome{ID: e.id, Phase: message.DeadLetter, CallbackOwed: e.hasCallback}
			c.setOutcome(e, end, c.now)
			c.append(record{Kind: recordEnd, ID: e.id, Unit: e.unit, End: &end}, nil)
		}
	}
}
