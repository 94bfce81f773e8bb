package carrier

import (
	"errors"
	"fmt"
	"time"

	"granitewing/internal/system/member"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/wire"
)

// Times of handing a unit over.
const (
	handoverPoll  = 20 * time.Millisecond
	handoverMost  = 1500 * time.Millisecond // for what was begun to end; after it the unit is kept
	releaseRetry  = 50 * time.Millisecond
	placeRetry    = 15 * time.Millisecond
	placeRetryFor = 60 * time.Millisecond // of asking again for a place in an order whose owner is changing
)

// handover is a unit on its way to another carrier. No message of it is begun any more. Once those that were begun have
// ended and their ends lie on the stores, the unit is released: from the first word about that to the keepers, this
// carrier takes nothing more for it, whatever becomes of that word.
type handover struct {
	offer     uint64
	next      string // incarnation
	until     time.Duration
	releasing bool
}

// followOffer begins, or ends, handing a unit over, as the keepers ask.
func (c *Core) followOffer(u *unit, owner ownership.Owner) {
	if u.handover != nil && owner.Offer > u.handover.offer {
		c.keepUnit(u)
	}
	if owner.Next == "" || owner.Offer <= u.declined || u.handover != nil {
		return
	}
	u.handover = &handover{offer: owner.Offer, next: owner.Next, until: c.env.Now() + handoverMost}
	for _, it := range u.items {
		if it.tries == 0 {
			it.queued = false
		}
	}
	c.pollHandover(u, u.handover)
}

// keepUnit goes on with a unit that is not handed over.
func (c *Core) keepUnit(u *unit) {
	c.env.Inform(fmt.Sprintf("unit %s stays", u.name))
	u.declined = u.handover.offer
	u.handover = nil
	for _, it := range ordered.Map(u.items) {
		c.ready(it)
	}
}

func (c *Core) pollHandover(u *unit, h *handover) {
	switch {
	case u.dropped || u.handover != h:
		return
	case u.idle():
		h.releasing = true
		c.release(u, h)
	case c.env.Now() > h.until:
		c.keepUnit(u)
	default:
		c.env.After(handoverPoll, func() { c.pollHandover(u, h) })
	}
}

// idle tells whether nothing of a unit was begun and has not ended, as far as the stores know.
func (u *unit) idle() bool {
	if u.unrecorded > 0 {
		return false
	}
	for _, it := range u.items {
		if it.tries > 0 {
			return false
		}
	}
	return true
}

// release tells the keepers until they have answered. The unit stays here, at rest, until the feed names its next owner.
func (c *Core) release(u *unit, h *handover) {
	if u.dropped || u.handover != h {
		return
	}
	c.session.Release(u.name, u.token, h.offer, func(err error) {
		switch {
		case u.dropped || u.handover != h:
		case err == nil:
			c.env.Inform(fmt.Sprintf("unit %s goes to %s", u.name, h.next))
		case offerIsStale(err):
			c.keepUnit(u)
		default:
			c.env.After(releaseRetry, func() { c.release(u, h) })
		}
	})
}

func offerIsStale(err error) bool {
	var refused member.RefusedError
	return errors.As(err, &refused) && refused.Refusal().Code == wire.StaleOffer
}

// ownerChanges tells whether a carrier refused since a unit is on its way to it, or from it.
func ownerChanges(err error) bool {
	var refused member.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	code := refused.Refusal().Code
	return code == wire.NotReady || code == wire.NotOwner
}

// rests tells whether nothing may be taken for a unit.
func (u *unit) rests() bool { return u.handover != nil && u.handover.releasing }

// waits tells whether a message of a unit that is being handed over is left to the next owner.
func (it *item) waits() bool { return it.unit.handover != nil && (it.tries == 0 || it.unit.rests()) }
