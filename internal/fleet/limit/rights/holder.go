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
	old                      int64 // and of earlier sessions'
	last                     int64 // the latest ask that was answered
	valid                    int64 // it may use what it holds till then
	keep                     int64
	turn                     uint64 // counts sessions, and floors between them, so that a place comes back to where it was taken

	asked            int64 // when it asked last
	changed          bool  // since then something was used that it would have replaced
	came             int64 // jobs since then
	refused          int64
	left             int64   // places that came back since then
	busy             float64 // and for how many seconds in all they were taken
	rate             float64 // jobs a second
	stay             float64 // seconds for which a place is taken
	floorLeft        float64
	floorAt          int64
	floorOpen        int64
	taken, over, low int64 // in all: jobs let in, jobs beyond the limit, and of those let in those by the floor alone
}

// demandSpan is over how many seconds demand is averaged.
const demandSpan = 3.0

// NewHolder makes one that holds nothing.
func NewHolder(now int64, l Limit) *Holder {
	return &Holder{limit: l, floorAt: now, asked: now, stay: 1}
}

// Change takes other settings; what counts of them here is the floor.
func (h *Holder) Change(l Limit) { h.limit.Floor = l.Floor }

func (h *Holder) free() int64 { return h.granted - h.spent - h.returned - h.open }

// Place is one that a job has taken.
type Place struct {
	turn  uint64
	since int64
	floor bool
}

// May tells whether a job may start now.
func (h *Holder) May(now int64) bool { return now < h.valid && h.free() > 0 || h.belowFloor(now) }

// belowFloor tells whether one that holds nothing for which it can vouch may start a job by the floor.
func (h *Holder) belowFloor(now int64) bool {
	if now < h.valid || h.limit.Floor <= 0 {
		return false
	}
	if h.limit.Kind == Open {
		return float64(h.floorOpen+1) <= h.limit.Floor
	}
	h.floorLeft = math.Min(h.floorLeft+h.limit.Floor*float64(now-h.floorAt)/1e6, math.Max(h.limit.Floor, 1))
	h.floorAt = now
	return h.floorLeft >= 1
}

// Take uses a right if there is one, and else counts that one was wanted.
func (h *Holder) Take(now int64) (Place, bool) {
	h.came++
	h.changed = true
	switch {
	case now < h.valid && h.free() > 0:
		h.taken++
		if h.limit.Kind == Rate {
			h.spent++
		} else {
			h.open++
		}
		return Place{turn: h.turn, since: now}, true
	case h.belowFloor(now):
		h.taken++
		h.low++
		if h.limit.Kind == Open {
			h.floorOpen++
		} else {
			h.floorLeft--
		}
		return Place{floor: true, since: now}, true
	}
	h.over++
	h.refused++
	return Place{}, false
}

// Done gives a place back once its job is answered; of a rate there is nothing to give back.
func (h *Holder) Done(now int64, p Place) {
	if h.limit.Kind == Rate {
		return
	}
	h.left++
	h.busy += float64(now-p.since) / 1e6
	switch {
	case p.floor:
		h.floorOpen--
	case p.turn == h.turn:
		h.open--
		h.changed = true
	default:
		h.old--
		h.changed = true
	}
}

// Ask says what to tell a dealer now, or that nothing has to be told: half of its time is left and nothing was used.
func (h *Holder) Ask(now int64, dealer lease.Owner) (Ask, bool) {
	here := dealer == h.dealer && h.session != 0
	surplus := here && now < h.valid && min(h.granted-h.spent-h.returned-h.keep, h.free()) > 0
	if here && h.valid-now > h.limit.Lease/2 && !surplus && !(h.changed && h.free() < h.keep) && h.refused == 0 {
		return Ask{}, false
	}
	missed := float64(h.refused)
	h.learn(now)
	demand := h.rate
	if h.limit.Kind == Open {
		demand = math.Max(h.rate*h.stay, float64(h.open+h.old)+missed)
	}
	if !here {
		return Ask{Demand: demand}, true
	}
	if surplus {
		h.returned += min(h.granted-h.spent-h.returned-h.keep, h.free())
	}
	return Ask{h.session, h.spent, h.returned, h.old, demand}, true
}

// learn brings what it is expected to use up to a time: jobs a second, and of places as many times the mean time for which
// one is taken.
func (h *Holder) learn(now int64) {
	span := float64(now-h.asked) / 1e6
	if span > 0 {
		part := 1 - math.Exp(-span/demandSpan)
		h.rate += (float64(h.came)/span - h.rate) * part
		if h.left > 0 {
			h.stay += (h.busy/float64(h.left) - h.stay) * math.Min(part*4, 1)
		}
	}
	h.asked, h.came, h.refused, h.left, h.busy, h.changed = now, 0, 0, 0, 0, false
}

// Granted takes a dealer's answer to what was asked at a time. An answer that is too old to be of use is none: it may be of a
// dealer before this one, or of a session that is over. Once another session has answered, what an earlier one gave is not
// taken up again: its dealer's book may have passed to the one after.
func (h *Holder) Granted(now, asked int64, dealer lease.Owner, g Grant) {
	if asked > now || asked+h.limit.Lease <= now || g.Session == 0 || g.Granted < 0 {
		return
	}
	if dealer != h.dealer || g.Session != h.session {
		if asked <= h.last && h.session != 0 {
			return
		}
		h.turn++
		h.old += h.open
		h.dealer, h.session = dealer, g.Session
		h.granted, h.spent, h.returned, h.open, h.valid, h.keep = 0, 0, 0, 0, 0, 0
	}
	h.last = max(h.last, asked)
	if asked+h.limit.Lease > h.valid {
		h.valid, h.keep = asked+h.limit.Lease, max(g.Keep, 0)
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
	return State{h.granted - h.spent - h.returned, h.free(), h.open + h.old + h.floorOpen, now < h.valid, h.taken, h.over, h.low}
}
