package carrier

import (
	"sort"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Times and sizes of a recovery.
const (
	listTimeout     = 1500 * time.Millisecond
	listRetry       = 150 * time.Millisecond
	listAllWithin   = 1200 * time.Millisecond // after it, the stores that have to answer are enough
	relistAfterGone = 300 * time.Millisecond
	incompleteAgain = 600 * time.Millisecond // between two listings of a store whose disk is being filled
)

// recovery reads a unit's messages from the stores.
type recovery struct {
	core     *Core
	unit     *unit
	began    time.Duration
	listed   map[string]*listing // by disk
	round    map[string]*listing // by disk, those that told everything before the ends were asked for; nil while none are asked for
	againAt  time.Duration       // when incomplete stores are listed anew
	finished bool
}

// listing is what one store told.
type listing struct {
	messages []wire.ListedMessage
	ended    []message.End
	complete bool
	done     bool
	busy     bool
	after    uint64
	epoch    uint64 // of the roster of disks when its last part was asked for
}

func (c *Core) recover(u *unit) {
	u.recovering = true
	r := &recovery{core: c, unit: u, began: c.env.Now(), againAt: c.env.Now() + incompleteAgain, listed: map[string]*listing{}}
	u.recovery = r
	r.ask()
}

// ask lists at the stores, and looks again after a while.
func (r *recovery) ask() {
	if r.finished || r.unit.dropped {
		return
	}
	if now := r.core.env.Now(); now >= r.againAt {
		r.againAt = now + incompleteAgain
		r.forgetIncomplete()
	}
	r.askStores()
	r.judge()
	r.core.env.After(listRetry, r.ask)
}

// forgetIncomplete has the stores be listed anew whose disks were being filled when they told all: they may hold everything
// by now, and without their word the messages may never be known whole.
func (r *recovery) forgetIncomplete() {
	if r.round != nil {
		return
	}
	for _, l := range r.listed {
		if l.done && !l.complete {
			*l = listing{}
		}
	}
}

// told tells whether a store has told everything under the present roster of disks. What it told under an earlier one is worth
// nothing: a message may have lain on disks that have left since, and been copied to this one after it had told.
func (r *recovery) told(l *listing) bool {
	return l != nil && l.done && l.epoch == r.core.session.View().Epoch
}

// askStores lists at those that are there and have not told everything.
func (r *recovery) askStores() {
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
		if l.done && !r.told(l) && r.round == nil {
			*l = listing{}
		}
		if !l.done && !l.busy && c.stores.isUp(disk) {
			r.askStore(disk, l)
		}
	}
}

func (r *recovery) askStore(disk string, l *listing) {
	c := r.core
	l.busy = true
	epoch := c.session.View().Epoch
	body := wire.ListBody{Unit: r.unit.name, After: l.after}
	c.env.Call(c.stores.address(disk), wire.ListUnit, wire.Encode(&body), listTimeout, func(payload []byte, err error) {
		l.busy = false
		var answer wire.ListAnswer
		if err == nil {
			err = wire.Decode(wire.ListUnit, payload, &answer)
		}
		if r.finished || r.unit.dropped {
			return
		}
		if err != nil {
			// The store may have started anew, and counts its places anew then: ask lists it from the start.
			*l = listing{}
			return
		}
		l.messages = append(l.messages, answer.Messages...)
		l.after, l.complete = answer.Next, answer.Complete
		if answer.More {
			r.askStore(disk, l)
			return
		}
		l.done, l.epoch = true, epoch
		r.judge()
	})
}

// judge goes on once enough stores have told everything.
func (r *recovery) judge() {
	if r.finished || r.unit.dropped || !r.enough(r.listed) {
		return
	}
	r.askEnds()
}

// enough tells whether some listings are those of all stores, or, after a while, of all but those that may be lost.
func (r *recovery) enough(listed map[string]*listing) bool {
	late := r.core.env.Now()-r.began >= listAllWithin
	return r.core.stores.heardEnough(late, func(disk string) hearing {
		l := listed[disk]
		switch {
		case !r.told(l):
			return unheard
		case !l.complete:
			return heardInPart
		}
		return heardWhole
	})
}

// askEnds asks all that have told everything for the ends of what any of them lists: they may not agree. What another lists while they
// are asked is no part of it.
func (r *recovery) askEnds() {
	if r.round != nil {
		return
	}
	r.round = map[string]*listing{}
	ids := map[string]bool{}
	for disk, l := range r.listed {
		if !r.told(l) {
			continue
		}
		r.round[disk] = l
		for i := range l.messages {
			ids[l.messages[i].Message.ID] = true
		}
	}
	if len(ids) == 0 {
		r.finished = true
		r.finish()
		return
	}
	body := wire.FindEndsBody{}
	for id := range ids {
		body.IDs = append(body.IDs, id)
	}
	sort.Strings(body.IDs)
	payload := wire.Encode(&body)
	open := len(r.round)
	for disk := range ordered.Map(r.round) {
		r.askEndsAt(disk, payload, func() {
			if open--; open == 0 {
				r.asked()
			}
		})
	}
}

func (r *recovery) askEndsAt(disk string, payload []byte, answered func()) {
	c := r.core
	l := r.round[disk]
	c.env.Call(c.stores.address(disk), wire.FindEnds, payload, listTimeout, func(payload []byte, err error) {
		var answer wire.FoundEnds
		if err == nil {
			err = wire.Decode(wire.FindEnds, payload, &answer)
		}
		if err != nil || !answer.Complete {
			delete(r.round, disk)
			*l = listing{} // it is listed anew
		} else {
			l.ended = answer.Ends
		}
		answered()
	})
}

// asked goes on where all that told everything have told the ends as well, and back to listing where one has not.
func (r *recovery) asked() {
	if r.finished || r.unit.dropped {
		return
	}
	if !r.enough(r.round) {
		r.round = nil // ask comes again
		return
	}
	r.finished = true
	r.finish()
}
