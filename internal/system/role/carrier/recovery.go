package carrier

import (
	"maps"
	"slices"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Durations of a recovery.
const (
	listTimeout              = 1500 * time.Millisecond
	listRetry                = 150 * time.Millisecond
	listAllPeriod            = 1200 * time.Millisecond // after it, stores that may be lost need not answer
	relistDelay              = 300 * time.Millisecond
	incompleteRelistInterval = 600 * time.Millisecond // between two listings of a store whose disk is being backfilled
)

// recovery reads a unit's messages from the stores when this carrier takes the unit over. It lists the unit at the
// stores, then queries the stores that have listed everything for the outcomes of all listed messages.
type recovery struct {
	core         *Core
	unit         *unit
	began        time.Duration
	listed       map[string]*listing // by disk
	outcomeRound map[string]*listing // by disk: listings used by the current outcome query; nil while there is none
	relistAt     time.Duration       // when incomplete stores are listed again
	finished     bool
}

// listing is what one store has listed.
type listing struct {
	messages     []wire.ListedMessage
	outcomes     []message.Outcome
	complete     bool
	done         bool
	callInFlight bool
	after        uint64
	epoch        uint64 // epoch of the disk roster when its last part was requested
}

func (c *Core) recover(u *unit) {
	u.recovering = true
	r := &recovery{core: c, unit: u, began: c.env.Now(), relistAt: c.env.Now() + incompleteRelistInterval, listed: map[string]*listing{}}
	u.recovery = r
	r.listUntilFinished()
}

// listUntilFinished lists the unit at the stores, and repeats this until the recovery is finished.
func (r *recovery) listUntilFinished() {
	if r.finished || r.unit.dropped {
		return
	}
	if now := r.core.env.Now(); now >= r.relistAt {
		r.relistAt = now + incompleteRelistInterval
		r.resetIncomplete()
	}
	r.listStores()
	r.queryOutcomesIfEnough()
	r.core.env.After(listRetry, r.listUntilFinished)
}

// resetIncomplete restarts the listing of stores whose disks were being backfilled when they answered. They may
// hold everything by now, and without them the set of messages may never be known to be complete.
func (r *recovery) resetIncomplete() {
	if r.outcomeRound != nil {
		return
	}
	for _, l := range r.listed {
		if l.done && !l.complete {
			*l = listing{}
		}
	}
}

// isCurrent reports whether a store has listed everything under the current disk roster. A listing under an
// earlier roster is not used: a message may have been on disks that have left since, and been copied to this disk
// after its store had answered.
func (r *recovery) isCurrent(l *listing) bool {
	return l != nil && l.done && l.epoch == r.core.session.View().Epoch
}

// listStores lists the unit at the reachable stores that have not listed everything.
func (r *recovery) listStores() {
	if r.finished || r.unit.dropped {
		return
	}
	c := r.core
	for disk := range ordered.Map(c.session.View().Disks) {
		l := r.listed[disk]
		if l == nil {
			l = &listing{}
			r.listed[disk] = l
		}
		if l.done && !r.isCurrent(l) && r.outcomeRound == nil {
			*l = listing{}
		}
		if !l.done && !l.callInFlight && c.stores.isUp(disk) {
			r.listStore(disk, l)
		}
	}
}

func (r *recovery) listStore(disk string, l *listing) {
	c := r.core
	l.callInFlight = true
	epoch := c.session.View().Epoch
	body := wire.ListBody{Unit: r.unit.name, After: l.after}
	c.env.Call(c.stores.address(disk), wire.ListUnit, wire.Encode(&body), listTimeout, func(payload []byte, err error) {
		l.callInFlight = false
		var answer wire.ListAnswer
		if err == nil {
			err = wire.Decode(wire.ListUnit, payload, &answer)
		}
		if r.finished || r.unit.dropped {
			return
		}
		if err != nil {
			// The store may have restarted, and then its list positions start anew: listUntilFinished lists it from the
			// start.
			*l = listing{}
			return
		}
		l.messages = append(l.messages, answer.Messages...)
		l.after, l.complete = answer.Next, answer.Complete
		if answer.More {
			r.listStore(disk, l)
			return
		}
		l.done, l.epoch = true, epoch
		r.queryOutcomesIfEnough()
	})
}

// queryOutcomesIfEnough goes on to the outcomes once enough stores have listed everything.
func (r *recovery) queryOutcomesIfEnough() {
	if r.finished || r.unit.dropped || !r.enough(r.listed) {
		return
	}
	r.queryOutcomes()
}

// enough reports whether the listings cover all stores or, after listAllPeriod, all except those that may be lost.
func (r *recovery) enough(listed map[string]*listing) bool {
	late := r.core.env.Now()-r.began >= listAllPeriod
	return r.core.stores.enoughAnswered(late, func(disk string) diskAnswer {
		l := listed[disk]
		switch {
		case !r.isCurrent(l):
			return notAnswered
		case !l.complete:
			return answeredInPart
		}
		return answeredFully
	})
}

// queryOutcomes queries all stores that have listed everything for the outcomes of all listed messages, since the
// stores may not agree. A listing that arrives while the query is pending is not used.
func (r *recovery) queryOutcomes() {
	if r.outcomeRound != nil {
		return
	}
	r.outcomeRound = map[string]*listing{}
	ids := map[string]bool{}
	for disk, l := range r.listed {
		if !r.isCurrent(l) {
			continue
		}
		r.outcomeRound[disk] = l
		for i := range l.messages {
			ids[l.messages[i].Message.ID] = true
		}
	}
	if len(ids) == 0 {
		r.finished = true
		r.finish()
		return
	}
	sorted := slices.Sorted(maps.Keys(ids))
	pending := len(r.outcomeRound)
	for disk := range ordered.Map(r.outcomeRound) {
		r.queryOutcomesAt(disk, sorted, func() {
			if pending--; pending == 0 {
				r.outcomesAnswered()
			}
		})
	}
}

func (r *recovery) queryOutcomesAt(disk string, ids []string, answered func()) {
	l := r.outcomeRound[disk]
	r.core.stores.findOutcomes(disk, ids, func(answer wire.FindOutcomesAnswer, err error) {
		if err != nil || !answer.Complete {
			delete(r.outcomeRound, disk)
			*l = listing{} // listed again from the start
		} else {
			l.outcomes = answer.Outcomes
		}
		answered()
	})
}

// outcomesAnswered finishes the recovery if enough stores have listed everything and reported outcomes. Otherwise
// it goes back to listing.
func (r *recovery) outcomesAnswered() {
	if r.finished || r.unit.dropped {
		return
	}
	if !r.enough(r.outcomeRound) {
		r.outcomeRound = nil // listUntilFinished queries again
		return
	}
	r.finished = true
	r.finish()
}
