package rights

import (
	"math"

	"granitewing/internal/fleet/limit/lease"
)

// Holder is a member's side of one limit: what it may use, and what it tells the dealer.
type Holder struct {
	limit Limit

	dealer                   lease.Owner
	session                  uint64
	granted, spent, returned int64
	open                     int64 // of this session's places
	oldOpen                  int64 // and of earlier sessions'
	lastAnswered             int64 // the latest ask that was answered
	validUntil               int64 // it may use what it holds till then
	keep                     int64
	epoch                    uint64 // counts sessions, and floors between them, so that a place comes back to where it was taken

	askedAt                         int64 // when it asked last
	changed                         bool  // since then something was used that it would have replaced
	attempts                        int64 // jobs since then
	refused                         int64
	released                        int64   // places that came back since then
	heldSeconds                     float64 // and for how many seconds in all they were taken
	rate                            float64 // jobs a second
	meanHeld                        float64 // seconds for which a place is taken
	floorTokens                     float64
	floorAt                         int64
	floorOpen                       int64
	admitted, beyond, floorAdmitted int64 // in all: jobs let in, jobs beyond the limit, and of those let in those by the floor alone
}

// demandSpan is over how many seconds demand is averaged.
const demandWindow = 3.0

// NewHolder makes one that holds nothing.
func NewHolder(now int64, l Limit) *Holder {
	return &Holder{limit: l, floorAt: now, askedAt: now, meanHeld: 1}
}

// Change takes other settings; what counts of them here is the floor.
func (h *Holder) Change(l Limit) { h.limit.Floor = l.Floor }

func (h *Holder) unused() int64 { return h.granted - h.spent - h.returned - h.open }

// Place is one that a job has taken.
type Place struct {
	epoch uint64
	since int64
	floor bool
}

// May tells whether a job may start now.
func (h *Holder) May(now int64) bool {
	return now < h.validUntil && h.unused() > 0 || h.belowFloor(now)
}

// belowFloor tells whether one that holds nothing for which it can vouch may start a job by the floor.
func (h *Holder) belowFloor(now int64) bool {
	if now < h.validUntil || h.limit.Floor <= 0 {
		return false
	}
	if h.limit.Kind == Open {
		return float64(h.floorOpen+1) <= h.limit.Floor
	}
	h.floorTokens = math.Min(h.floorTokens+h.limit.Floor*float64(now-h.floorAt)/1e6, math.Max(h.limit.Floor, 1))
	h.floorAt = now
	return h.floorTokens >= 1
}

// Take uses a right if there is one, and else counts that one was wanted.
func (h *Holder) Take(now int64) (Place, bool) {
	h.attempts++
	h.changed = true
	switch {
	case now < h.validUntil && h.unused() > 0:
		h.admitted++
		if h.limit.Kind == Rate {
			h.spent++
		} else {
			h.open++
		}
		return Place{epoch: h.epoch, since: now}, true
	case h.belowFloor(now):
		h.admitted++
		h.floorAdmitted++
		if h.limit.Kind == Open {
			h.floorOpen++
		} else {
			h.floorTokens--
		}
		return Place{floor: true, since: now}, true
	}
	h.beyond++
	h.refused++
	return Place{}, false
}

// Done gives a place back once its job is answered; of a rate there is nothing to give back.
func (h *Holder) Done(now int64, p Place) {
	if h.limit.Kind == Rate {
		return
	}
	h.released++
	h.heldSeconds += float64(now-p.since) / 1e6
	switch {
	case p.floor:
		h.floorOpen--
	case p.epoch == h.epoch:
		h.open--
		h.changed = true
	default:
		h.oldOpen--
		h.changed = true
	}
}

// Ask says what to tell a dealer now, or that nothing has to be told: half of its time is left and nothing was used.
func (h *Holder) Ask(now int64, dealer lease.Owner) (Ask, bool) {
	here := dealer == h.dealer && h.session != 0
	surplus := here && now < h.validUntil && min(h.granted-h.spent-h.returned-h.keep, h.unused()) > 0
	if here && h.validUntil-now > h.limit.Lease/2 && !surplus && !(h.changed && h.unused() < h.keep) && h.refused == 0 {
		return Ask{}, false
	}
	missed := float64(h.refused)
	h.updateDemand(now)
	demand := h.rate
	if h.limit.Kind == Open {
		demand = math.Max(h.rate*h.meanHeld, float64(h.open+h.oldOpen)+missed)
	}
	if !here {
		return Ask{Demand: demand}, true
	}
	if surplus {
		h.returned += min(h.granted-h.spent-h.returned-h.keep, h.unused())
	}
	return Ask{h.session, h.spent, h.returned, h.oldOpen, demand}, true
}

// learn brings what it is expected to use up to a time: jobs a second, and of places as many times the mean time for which
// one is taken.
func (h *Holder) updateDemand(now int64) {
	span := float64(now-h.askedAt) / 1e6
	if span > 0 {
		part := 1 - math.Exp(-span/demandWindow)
		h.rate += (float64(h.attempts)/span - h.rate) * part
		if h.released > 0 {
			h.meanHeld += (h.heldSeconds/float64(h.released) - h.meanHeld) * math.Min(part*4, 1)
		}
	}
	h.askedAt, h.attempts, h.refused, h.released, h.heldSeconds, h.changed = now, 0, 0, 0, 0, false
}

// Granted takes a dealer's answer to what was asked at a time. An answer that is too old to be of use is none: it may be of a
// dealer before this one, or of a session that is over. Once another session has answered, what an earlier one gave is not
// taken up again: its dealer's book may have passed to the one after.
func (h *Holder) Granted(now, asked int64, dealer lease.Owner, g Grant) {
	if asked > now || asked+h.limit.Lease <= now || g.Session == 0 || g.Granted < 0 {
		return
	}
	if dealer != h.dealer || g.Session != h.session {
		if asked <= h.lastAnswered && h.session != 0 {
			return
		}
		h.epoch++
		h.oldOpen += h.open
		h.dealer, h.session = dealer, g.Session
		h.granted, h.spent, h.returned, h.open, h.validUntil, h.keep = 0, 0, 0, 0, 0, 0
	}
	h.lastAnswered = max(h.lastAnswered, asked)
	if asked+h.limit.Lease > h.validUntil {
		h.validUntil, h.keep = asked+h.limit.Lease, max(g.Keep, 0)
	}
	h.granted = max(h.granted, g.Granted)
}

// State is what a holder has, for its figures.
type State struct {
	Held, Free, Open int64
	Valid            bool
	Taken, Over, Low int64
}

// State tells what it has.
func (h *Holder) State(now int64) State {
	return State{h.granted - h.spent - h.returned, h.unused(), h.open + h.oldOpen + h.floorOpen, now < h.validUntil, h.admitted, h.beyond, h.floorAdmitted}
}
