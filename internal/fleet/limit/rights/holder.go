package rights

import (
	"math"

	"granitewing/internal/fleet/limit/lease"
)

// Holder is a member's side of one limit: the rights that it may use, and the counts that it reports to the
// dealer. It is not safe for concurrent use.
type Holder struct {
	limit Limit

	dealer                   lease.Owner
	session                  uint64
	granted, spent, returned int64
	open                     int64 // places of this session in use
	oldOpen                  int64 // places of earlier sessions in use
	lastAnswered             int64 // time of the latest ask that was answered
	validUntil               int64 // rights may be used until then
	keep                     int64
	epoch                    uint64 // counts sessions, so that a place is returned to the session from which it was taken

	askedAt                         int64 // time of the last ask
	changed                         bool  // a job came or a place was released since the last ask
	attempts                        int64 // jobs that wanted to start since the last ask
	refused                         int64
	released                        int64   // places released since the last ask
	heldSeconds                     float64 // total time for which these places were held
	rate                            float64 // average of jobs a second
	meanHeld                        float64 // average seconds for which a place is held
	floorTokens                     float64
	floorAt                         int64
	floorOpen                       int64
	admitted, beyond, floorAdmitted int64 // totals: jobs admitted, jobs without a right, and jobs admitted by the floor alone
}

// demandWindow is the time constant in seconds of the demand average.
const demandWindow = 3.0

// NewHolder returns a Holder of the limit without any rights.
func NewHolder(now int64, l Limit) *Holder {
	return &Holder{limit: l, floorAt: now, askedAt: now, meanHeld: 1}
}

// Change takes new settings. Only the floor matters to a holder.
func (h *Holder) Change(l Limit) { h.limit.Floor = l.Floor }

func (h *Holder) unused() int64 { return h.granted - h.spent - h.returned - h.open }

// Place is a right or place that a job has taken.
type Place struct {
	epoch uint64
	since int64
	floor bool
}

// CanTake reports whether a job may start now.
func (h *Holder) CanTake(now int64) bool {
	return now < h.validUntil && h.unused() > 0 || h.belowFloor(now)
}

// belowFloor reports whether a holder without valid rights may start a job under the floor.
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

// Take takes a right for a job and reports whether there was one. Otherwise it counts the attempt as demand.
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

// Done releases the place of a job that was answered. Rights of a rate are spent and don't come back.
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

// Ask returns what to report to the dealer now. It reports false if nothing is due: more than half of the lease is
// left, no job was refused, nothing is to be returned, and no right was used up while fewer than the reserve (keep) are
// unused.
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

// updateDemand updates the averages of demand since the last ask: jobs a second, and the mean time for which a
// place is held. Their product is the expected number of places in use.
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

// Granted handles the dealer's answer to the ask that was sent at time asked, on this holder's clock. Answers
// older than a lease are ignored: they may be from an earlier dealer or of a session that is over. Once another
// session has answered, grants of an earlier session are not taken up again, since its books may have passed to
// the later dealer.
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

// State is a holder's state for status and metrics: rights held, unused, and places open; then totals as counted
// by the holder (Beyond: jobs beyond the limit; ByFloor: jobs admitted by the floor alone).
type State struct {
	Held, Free, Open       int64
	Valid                  bool
	Taken, Beyond, ByFloor int64
}

// State returns the state at time now.
func (h *Holder) State(now int64) State {
	return State{h.granted - h.spent - h.returned, h.unused(), h.open + h.oldOpen + h.floorOpen, now < h.validUntil, h.admitted, h.beyond, h.floorAdmitted}
}
