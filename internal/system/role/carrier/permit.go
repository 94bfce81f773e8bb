package carrier

import (
	"time"

	"granitewing/internal/system/ownership"
	"granitewing/internal/system/wire"
)

// A service with a rate has one carrier that limits it, the owner of the service's paced unit. Most messages for
// the service wait there. Others wait elsewhere: ordered messages, which wait at the owner of their key, and
// messages that were accepted while their route had another service. For each of these, the carrier that has the
// message requests a send permit from the owner.

// Durations of send permits.
const (
	permitValidity = 100 * time.Millisecond // a permit that is not used so long after its start is invalid
	permitTimeout  = 250 * time.Millisecond
	permitRetry    = 50 * time.Millisecond
	maxPermitLead  = 500 * time.Millisecond // no permit is granted for a start further ahead
	urgentPeriod   = 150 * time.Millisecond // after an urgent request, messages that are not urgent wait
)

// permit is the right to send one message to a service with a rate, valid from a given time and for permitValidity
// after it.
type permit struct {
	requesting bool
	held       bool
	from       time.Duration
}

// ownsRate reports whether this carrier limits the rate of a service and may act on it.
func (c *Core) ownsRate(service string) bool {
	u := c.units[ownership.ServiceUnit(service)]
	return u != nil && u.active && !u.released() && c.session.LeaseValid()
}

// hasPermit reports whether a message may be sent to a service with a rate now. If not, it schedules a wake-up of
// the queue for when one may.
func (c *Core) hasPermit(now time.Duration, q *queue) bool {
	if c.ownsRate(q.service) {
		due := q.pace.NextAllowed()
		if now < q.urgentUntil && q.takenOver.liveFront(q) == nil {
			due = max(due, q.urgentUntil)
		}
		if now < due {
			c.wake(q, max(due, now+time.Millisecond))
			return false
		}
		return true
	}
	if q.permit.held && now > q.permit.from+permitValidity {
		q.permit.held = false
	}
	switch {
	case !q.permit.held:
		c.requestPermit(q)
		return false
	case now < q.permit.from:
		c.wake(q, q.permit.from)
		return false
	}
	return true
}

// usePermit uses up the permit that hasPermit found.
func (c *Core) usePermit(now time.Duration, q *queue) {
	if c.ownsRate(q.service) {
		q.pace.Allow(now)
		return
	}
	q.permit.held = false
}

// requestPermit requests a permit from the owner of a service's paced unit. One call is in flight at a time.
func (c *Core) requestPermit(q *queue) {
	if q.permit.requesting {
		return
	}
	view := c.session.View()
	unit := ownership.ServiceUnit(q.service)
	owner := view.Owners[unit]
	address := view.Members[owner.Incarnation].Address
	if owner.Incarnation == c.session.Incarnation() || address == "" || !c.env.Connected(address) {
		c.wake(q, c.env.Now()+permitRetry)
		return
	}
	q.permit.requesting = true
	body := wire.AcquirePermitBody{Service: q.service, Urgent: q.takenOver.liveFront(q) != nil}
	c.env.Call(address, wire.AcquirePermit, wire.Encode(&body), permitTimeout, func(payload []byte, err error) {
		q.permit.requesting = false
		var answer wire.AcquirePermitAnswer
		if err == nil {
			err = wire.Decode(wire.AcquirePermit, payload, &answer)
		}
		now := c.env.Now()
		if err != nil || !answer.Granted {
			c.wake(q, now+max(permitRetry, answer.Wait))
			return
		}
		q.permit.held, q.permit.from = true, now+answer.Wait
		c.dispatch(q)
	})
}

// GrantPermit grants another carrier the next send permit of a service whose rate this carrier limits, or returns how
// long to wait before the next request. Messages that were taken over go before all others, at whichever carrier
// they wait: the delivery guarantee allows a second run of a message that ran just before its carrier was lost
// only shortly after that loss.
func (c *Core) GrantPermit(body wire.AcquirePermitBody) (wire.AcquirePermitAnswer, *wire.RefusalBody) {
	if !c.ownsRate(body.Service) || c.paused {
		return wire.AcquirePermitAnswer{}, &wire.RefusalBody{Code: wire.NotOwner, Reason: "not the owner of " + ownership.ServiceUnit(body.Service)}
	}
	now := c.env.Now()
	q := c.queue(body.Service)
	if body.Urgent {
		q.urgentUntil = now + urgentPeriod
	} else if now < q.urgentUntil || q.takenOver.liveFront(q) != nil {
		return wire.AcquirePermitAnswer{Wait: permitRetry}, nil
	}
	wait := max(0, q.pace.NextAllowed()-now)
	if wait > maxPermitLead {
		return wire.AcquirePermitAnswer{Wait: wait - maxPermitLead}, nil
	}
	q.pace.Allow(now + wait)
	return wire.AcquirePermitAnswer{Granted: true, Wait: wait}, nil
}
