package carrier

import (
	"time"

	"granitewing/internal/system/ownership"
	"granitewing/internal/system/wire"
)

// A service with a rate has one carrier that spaces what is sent to it, the owner of the service's paced unit. Most of what
// goes to the service waits there. Some waits elsewhere: what has an order, which is with the owner of its key, and what was
// accepted when its route went to another service. For each such message its carrier asks the owner for a turn.

// Times of turns.
const (
	turnLasts   = 100 * time.Millisecond // past its time a turn that was not used is void
	turnTimeout = 250 * time.Millisecond
	turnRetry   = 50 * time.Millisecond
	turnsAhead  = 500 * time.Millisecond // none is given for a time further ahead
	urgentLasts = 150 * time.Millisecond // after an urgent request, others wait
)

// turn is the right to send one message to a service with a rate, from a time on and shortly after it.
type turn struct {
	asking bool
	held   bool
	from   time.Duration
}

// paces tells whether this carrier spaces what is sent to a service, and may act on it.
func (c *Core) paces(service string) bool {
	u := c.units[ownership.PacedUnit(service)]
	return u != nil && u.active && !u.rests() && c.session.Holds()
}

// hasTurn tells whether a message may go to a service with a rate now. Where not, the queue is woken when one may.
func (c *Core) hasTurn(now time.Duration, q *queue) bool {
	if c.paces(q.service) {
		due := q.pace.Due()
		if now < q.urgentUntil && q.taken.live(q) == nil {
			due = max(due, q.urgentUntil)
		}
		if now < due {
			c.wake(q, max(due, now+time.Millisecond))
			return false
		}
		return true
	}
	if q.turn.held && now > q.turn.from+turnLasts {
		q.turn.held = false
	}
	switch {
	case !q.turn.held:
		c.askTurn(q)
		return false
	case now < q.turn.from:
		c.wake(q, q.turn.from)
		return false
	}
	return true
}

// takeTurn uses the turn that hasTurn found.
func (c *Core) takeTurn(now time.Duration, q *queue) {
	if c.paces(q.service) {
		q.pace.Take(now)
		return
	}
	q.turn.held = false
}

// askTurn asks the owner of a service's paced unit for a turn; one call is out at a time.
func (c *Core) askTurn(q *queue) {
	if q.turn.asking {
		return
	}
	view := c.session.View()
	unit := ownership.PacedUnit(q.service)
	owner := view.Owners[unit]
	address := view.Members[owner.Incarnation].Address
	if owner.Incarnation == c.session.Incarnation() || address == "" || !c.env.Up(address) {
		c.wake(q, c.env.Now()+turnRetry)
		return
	}
	q.turn.asking = true
	body := wire.TakeTurnBody{Service: q.service, Urgent: q.taken.live(q) != nil}
	c.env.Call(address, wire.TakeTurn, wire.Encode(&body), turnTimeout, func(payload []byte, err error) {
		q.turn.asking = false
		var answer wire.TakeTurnAnswer
		if err == nil {
			err = wire.Decode(wire.TakeTurn, payload, &answer)
		}
		now := c.env.Now()
		if err != nil || !answer.Granted {
			c.wake(q, now+max(turnRetry, answer.Wait))
			return
		}
		q.turn.held, q.turn.from = true, now+answer.Wait
		c.dispatch(q)
	})
}

// Turn gives another carrier the next turn of a service that this carrier spaces. Messages that were taken over go before all
// others, at whichever carrier they wait: a second run of one that had run just before its carrier was lost is excused soon
// after the loss only.
func (c *Core) Turn(body wire.TakeTurnBody) (wire.TakeTurnAnswer, *wire.RefusalBody) {
	if !c.paces(body.Service) || c.paused {
		return wire.TakeTurnAnswer{}, &wire.RefusalBody{Code: wire.NotOwner, Reason: "not the owner of " + ownership.PacedUnit(body.Service)}
	}
	now := c.env.Now()
	q := c.queue(body.Service)
	if body.Urgent {
		q.urgentUntil = now + urgentLasts
	} else if now < q.urgentUntil || q.taken.live(q) != nil {
		return wire.TakeTurnAnswer{Wait: turnRetry}, nil
	}
	wait := max(0, q.pace.Due()-now)
	if wait > turnsAhead {
		return wire.TakeTurnAnswer{Wait: wait - turnsAhead}, nil
	}
	q.pace.Take(now + wait)
	return wire.TakeTurnAnswer{Granted: true, Wait: wait}, nil
}
