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

// Durations of handing a unit over.
const (
	handoverPoll       = 20 * time.Millisecond
	handoverTimeout    = 1500 * time.Millisecond // for started messages to complete; after it this carrier keeps the unit
	releaseRetry       = 50 * time.Millisecond
	reserveRetry       = 15 * time.Millisecond
	reserveRetryPeriod = 60 * time.Millisecond // of requesting a sequence number while the owner changes
)

// handover is a unit's transfer to another carrier. No attempt of a message that has had none is started any more.
// Once all started messages have completed and their outcomes are stored, the unit is released. From the first
// release call to the keepers on, this carrier takes no message for the unit, also while calls fail. It takes messages
// again only if the handover ends without a release: if the keepers refuse the release because the offer is stale, or
// have made or withdrawn an offer since.
type handover struct {
	offer     uint64
	nextOwner string // incarnation
	deadline  time.Duration
	releasing bool
}

// followOffer starts or ends the handover of a unit as the keepers request.
func (c *Core) followOffer(u *unit, owner ownership.Owner) {
	if u.handover != nil && owner.Offer > u.handover.offer {
		c.keepUnit(u)
	}
	if owner.OfferedTo == "" || owner.Offer <= u.declinedOffer || u.handover != nil {
		return
	}
	u.handover = &handover{offer: owner.Offer, nextOwner: owner.OfferedTo, deadline: c.env.Now() + handoverTimeout}
	for _, it := range u.items {
		if it.attempts == 0 {
			it.queued = false
		}
	}
	c.pollHandover(u, u.handover)
}

// keepUnit ends a handover and resumes the unit.
func (c *Core) keepUnit(u *unit) {
	c.env.LogInfo(fmt.Sprintf("handover of unit %s ended without release, this carrier keeps the unit", u.name))
	u.declinedOffer = u.handover.offer
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
	case c.env.Now() > h.deadline:
		c.keepUnit(u)
	default:
		c.env.After(handoverPoll, func() { c.pollHandover(u, h) })
	}
}

// idle reports whether no message of a unit has been started without its outcome being recorded on the stores.
func (u *unit) idle() bool {
	if u.unrecorded > 0 {
		return false
	}
	for _, it := range u.items {
		if it.attempts > 0 {
			return false
		}
	}
	return true
}

// release repeats the release call to the keepers until they answer. The unit stays here, inactive, until the feed
// names its next owner.
func (c *Core) release(u *unit, h *handover) {
	if u.dropped || u.handover != h {
		return
	}
	c.session.Release(u.name, u.token, h.offer, func(err error) {
		switch {
		case u.dropped || u.handover != h:
		case err == nil:
			c.env.LogInfo(fmt.Sprintf("unit %s released to %s", u.name, h.nextOwner))
		case isStaleOffer(err):
			c.keepUnit(u)
		default:
			c.env.After(releaseRetry, func() { c.release(u, h) })
		}
	})
}

func isStaleOffer(err error) bool {
	var refused member.RefusedError
	return errors.As(err, &refused) && refused.Refusal().Code == wire.StaleOffer
}

// isOwnerChanging reports whether a carrier refused a call because the unit is being transferred to it or from it.
func isOwnerChanging(err error) bool {
	var refused member.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	code := refused.Refusal().Code
	return code == wire.NotReady || code == wire.NotOwner
}

// released reports whether no message may be taken for the unit, because its release has been requested.
func (u *unit) released() bool { return u.handover != nil && u.handover.releasing }

// leftToNextOwner reports whether a message of a unit that is being handed over is left to the next owner.
func (it *item) leftToNextOwner() bool {
	return it.unit.handover != nil && (it.attempts == 0 || it.unit.released())
}
