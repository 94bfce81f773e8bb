package carrier

import (
	"fmt"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// An owner hears of a message in two ways: from the stores, when it takes the unit over, and from the carrier that accepted the
// message, which asks until it has an answer. The unit may change its owner in between, so that one owner ends a message and the next is
// handed it. What an owner remembers tells nothing of former owners; the stores do, since a unit is released only once all of its
// ends lie there, each on as many disks as a message has to. So a message that may be older than the ownership is taken only once the
// stores, all but such as may be lost, have told that it has not ended.

// Times and bounds of asking whether a message has ended.
const (
	endQueryRetry = 50 * time.Millisecond
	maxEndQueries = 2048 // of one unit; who hands over more is refused, and asks again
	// recentMargin is by how much a message's age may be told as too little: the call may have been long on its way.
	recentMargin = 5 * time.Second
)

// mayHaveEnded tells whether a message that was handed to this carrier may have ended without this carrier remembering it: under a
// former owner, or so long ago that the end is forgotten.
func (c *Core) mayHaveEnded(u *unit, body *wire.DeliverBody) bool {
	if body.Message.Token != u.token {
		return true
	}
	accepted := c.env.Now() - body.Age
	return c.recent.forgotten > 0 && accepted-recentMargin <= c.recent.forgotten
}

// endQuery asks the stores whether a message has ended, and takes it where it has not.
type endQuery struct {
	core     *Core
	unit     *unit
	message  *message.Message
	holders  []string
	accepted time.Duration
	began    time.Duration
	told     map[string]bool // disks that know of no end
	asking   map[string]bool // disks with a call that is out
	over     bool
}

func (c *Core) askWhetherEnded(u *unit, body *wire.DeliverBody) {
	m := body.Message
	if u.endQueries[m.ID] != nil || len(u.endQueries) >= maxEndQueries {
		return
	}
	now := c.env.Now()
	q := &endQuery{core: c, unit: u, message: &m, holders: body.Holders, accepted: now - body.Age, began: now,
		told: map[string]bool{}, asking: map[string]bool{}}
	u.endQueries[m.ID] = q
	c.waitingBytes += q.bytes()
	q.ask()
}

func (q *endQuery) bytes() int64 { return headBytes(q.message) + int64(len(q.message.Body)) }

// finish ends the query.
func (q *endQuery) finish() {
	q.over = true
	delete(q.unit.endQueries, q.message.ID)
	q.core.waitingBytes -= q.bytes()
}

// ask asks the disks that have not told, and again after a while.
func (q *endQuery) ask() {
	if q.over {
		return
	}
	if q.unit.dropped {
		q.finish()
		return
	}
	c := q.core
	for _, disk := range c.stores.counted() {
		if !q.told[disk] && !q.asking[disk] && c.stores.isUp(disk) {
			q.askDisk(disk)
		}
	}
	q.judge()
	c.env.After(endQueryRetry, q.ask)
}

func (q *endQuery) askDisk(disk string) {
	c := q.core
	q.asking[disk] = true
	body := wire.FindEndsBody{IDs: []string{q.message.ID}}
	c.env.Call(c.stores.address(disk), wire.FindEnds, wire.Encode(&body), listTimeout, func(payload []byte, err error) {
		delete(q.asking, disk)
		var answer wire.FoundEnds
		if err == nil {
			err = wire.Decode(wire.FindEnds, payload, &answer)
		}
		if q.over || err != nil {
			return
		}
		for _, end := range answer.Ends {
			if end.ID == q.message.ID {
				q.ended(end)
				return
			}
		}
		if answer.Complete {
			q.told[disk] = true
			q.judge()
		}
	})
}

// ended keeps an end that a store told. Disks that lack it are told. A call-back that is owed is made here, perhaps once more: when the unit was taken
// over, the message may have lain on disks that were not heard.
func (q *endQuery) ended(end message.End) {
	c := q.core
	q.finish()
	if q.unit.dropped {
		return
	}
	c.recent.add(c.env.Now(), end)
	c.stores.recordEnd(q.unit, q.holders, end)
	if end.CallbackOwed && q.message.Callback != "" {
		c.tell(q.unit, q.message.Callback, end, q.holders)
	}
	c.endedBefore()
}

// judge takes the message once enough stores know of no end.
func (q *endQuery) judge() {
	if q.over || q.unit.dropped || !q.enough() {
		return
	}
	c, u := q.core, q.unit
	q.finish()
	if _, ended := c.recent.get(q.message.ID); ended || u.items[q.message.ID] != nil || u.rests() {
		return
	}
	c.take(u, q.message, q.holders, q.accepted)
}

func (q *endQuery) enough() bool {
	late := q.core.env.Now()-q.began >= listAllWithin
	return q.core.stores.heardEnough(late, func(disk string) hearing {
		if q.told[disk] {
			return heardWhole
		}
		return unheard
	})
}

// endedBeforeInterval is how often it is logged at most that messages had ended before they came.
const endedBeforeInterval = time.Second

// endedBefore counts a message that was handed to this carrier after its end.
func (c *Core) endedBefore() {
	c.figures.EndedBefore++
	if c.endedBeforeNoted {
		return
	}
	c.endedBeforeNoted = true
	c.env.After(endedBeforeInterval, func() {
		c.endedBeforeNoted = false
		c.env.Inform(fmt.Sprintf("%d messages had ended under a former owner before they were handed over", c.figures.EndedBefore))
	})
}
