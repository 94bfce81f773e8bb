package carrier

import (
	"fmt"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// An owner gets a message in two ways: from the stores, when it takes the unit over, and from the carrier that
// accepted the message, which repeats its call until it has an answer. The unit may change its owner in between,
// so that one owner completes a message and the next one is passed it again. An owner does not remember the
// outcomes of former owners. The stores do: a unit is released only once all of its outcomes are stored, each on
// as many disks as a message has to be. A message that may be older than the current ownership is therefore taken
// only once all stores, except those that may be lost, have reported that they know of no outcome.

// Durations and limits of the query for a message's outcome.
const (
	outcomeQueryRetry = 50 * time.Millisecond
	maxOutcomeQueries = 2048 // per unit; a carrier that passes on more messages is refused and tries again
	// ageMargin is by how much the reported age of a message may be too low, since the call may have been in transit
	// for a long time.
	ageMargin = 5 * time.Second
)

// mayHaveCompleted reports whether a message that was passed to this carrier may have completed without this
// carrier remembering it: under a former owner, or so long ago that its outcome was discarded.
func (c *Core) mayHaveCompleted(u *unit, body *wire.DeliverBody) bool {
	if body.Message.Token != u.token {
		return true
	}
	accepted := c.env.Now() - body.Age
	return c.recent.forgottenUntil > 0 && accepted-ageMargin <= c.recent.forgottenUntil
}

// outcomeQuery asks the stores whether a message has completed, and takes the message if it has not.
type outcomeQuery struct {
	core      *Core
	unit      *unit
	message   *message.Message
	holders   []string
	accepted  time.Duration
	began     time.Duration
	noOutcome map[string]bool // disks that know of no outcome
	pending   map[string]bool // disks with a call in flight
	finished  bool
}

func (c *Core) queryOutcome(u *unit, body *wire.DeliverBody) {
	m := body.Message
	if u.outcomeQueries[m.ID] != nil || len(u.outcomeQueries) >= maxOutcomeQueries {
		return
	}
	now := c.env.Now()
	q := &outcomeQuery{core: c, unit: u, message: &m, holders: body.Holders, accepted: now - body.Age, began: now,
		noOutcome: map[string]bool{}, pending: map[string]bool{}}
	u.outcomeQueries[m.ID] = q
	c.waitingBytes += q.bytes()
	q.askDisks()
}

func (q *outcomeQuery) bytes() int64 { return headBytes(q.message) + int64(len(q.message.Body)) }

// finish ends the query.
func (q *outcomeQuery) finish() {
	q.finished = true
	delete(q.unit.outcomeQueries, q.message.ID)
	q.core.waitingBytes -= q.bytes()
}

// askDisks queries the disks that have not answered, and repeats this until the query is finished.
func (q *outcomeQuery) askDisks() {
	if q.finished {
		return
	}
	if q.unit.dropped {
		q.finish()
		return
	}
	c := q.core
	for _, disk := range c.stores.votingDisks() {
		if !q.noOutcome[disk] && !q.pending[disk] && c.stores.isUp(disk) {
			q.askDisk(disk)
		}
	}
	q.takeIfEnough()
	c.env.After(outcomeQueryRetry, q.askDisks)
}

func (q *outcomeQuery) askDisk(disk string) {
	c := q.core
	q.pending[disk] = true
	c.stores.findOutcomes(disk, []string{q.message.ID}, func(answer wire.FindOutcomesAnswer, err error) {
		delete(q.pending, disk)
		if q.finished || err != nil {
			return
		}
		for _, outcome := range answer.Outcomes {
			if outcome.ID == q.message.ID {
				q.foundOutcome(outcome)
				return
			}
		}
		if answer.Complete {
			q.noOutcome[disk] = true
			q.takeIfEnough()
		}
	})
}

// foundOutcome handles an outcome that a store reported. Disks that lack it are sent it. A due call-back is made
// here, possibly a second time: when the unit was taken over, the message may have been only on disks that did not
// answer.
func (q *outcomeQuery) foundOutcome(outcome message.Outcome) {
	c := q.core
	q.finish()
	if q.unit.dropped {
		return
	}
	c.recent.add(c.env.Now(), outcome)
	c.stores.recordOutcome(q.unit, q.holders, outcome)
	if outcome.CallbackOwed && q.message.Callback != "" {
		c.queueCallback(q.unit, q.message.Callback, outcome, q.holders)
	}
	c.countCompletedBefore()
}

// takeIfEnough takes the message once enough stores have reported that they know of no outcome.
func (q *outcomeQuery) takeIfEnough() {
	if q.finished || q.unit.dropped || !q.enough() {
		return
	}
	c, u := q.core, q.unit
	q.finish()
	if _, completed := c.recent.get(q.message.ID); completed || u.items[q.message.ID] != nil || u.released() {
		return
	}
	c.addMessage(u, q.message, q.holders, q.accepted)
}

func (q *outcomeQuery) enough() bool {
	late := q.core.env.Now()-q.began >= listAllPeriod
	return q.core.stores.enoughAnswered(late, func(disk string) diskAnswer {
		if q.noOutcome[disk] {
			return answeredFully
		}
		return notAnswered
	})
}

// countCompletedBefore counts a message that was passed to this carrier after it had completed.
func (c *Core) countCompletedBefore() {
	c.figures.CompletedBefore++
	c.logCountSoon(&c.completedBeforeLogged, func() string {
		return fmt.Sprintf("%d messages had completed under a former owner before they were passed to this carrier", c.figures.CompletedBefore)
	})
}
