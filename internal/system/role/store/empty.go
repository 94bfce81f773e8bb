package store

import (
	"time"

	"granitewing/internal/system/member"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// Times of emptying a disk.
const (
	emptyInterval = 100 * time.Millisecond // between two steps
	// sealedFor is how long a disk that is empty takes no ends while the keepers do not let it go. Who tells of one keeps it that long.
	sealedFor = time.Second
)

// Emptier empties a leaving disk: it has other disks take copies of what would lie on too few without it, and tells the
// keepers once nothing does.
type Emptier struct {
	env       RepairEnvironment
	session   *member.Client
	disk      string // this store's
	tolerance *tolerance.Tolerance
	lists     *lists
	throttle  throttle
	sender    *sender // while the disk is being emptied
	learning  int     // calls that are out
	planned   bool    // copies were sent since the lists were read
	sealed    bool    // the store takes no ends
	sealing   bool    // the core is being told so, or otherwise
	sealedAt  time.Duration
}

// NewEmptier makes an emptier for a disk, which moves so many bytes a second at the most (0: without a bound); Start begins.
func NewEmptier(env RepairEnvironment, session *member.Client, disk string, tolerated *tolerance.Tolerance, rate float64) *Emptier {
	return &Emptier{env: env, session: session, disk: disk, tolerance: tolerated, throttle: throttle{rate: rate}}
}

// Start begins.
func (e *Emptier) Start() {
	e.env.After(emptyInterval, e.Start)
	view := e.session.View()
	own, known := view.Disks[e.disk]
	if !own.Leaving {
		e.lists, e.sender = nil, nil
		if known {
			e.seal(false)
		}
		return
	}
	if e.lists == nil {
		e.env.Report("this disk is being emptied", nil)
		e.lists = newLists(e.env, e.session, e.disk, e.tolerance)
		e.sender = &sender{lists: e.lists, throttle: &e.throttle}
		e.planned = false
	}
	e.step(view)
}

func (e *Emptier) step(view *member.View) {
	if e.sender.sending > 0 || e.learning > 0 || e.sealing || !e.throttle.free(e.env.Now()) {
		return
	}
	if e.planned {
		e.planned = false
		e.lists.again()
	}
	// Of the others any list will do; of this disk all that it took before it was to leave must be told.
	ownTold := e.lists.readOwn(view.Epoch)
	told, asked, silent := e.lists.read(view, 0)
	if !ownTold || told == 0 || asked > 0 || !e.tolerance.May(silent) {
		return
	}
	lacking, unlearned := e.lacking(view)
	if len(lacking) == 0 && len(unlearned) == 0 {
		e.finish(view)
		return
	}
	e.seal(false)
	e.planned = true
	e.learn(view, unlearned)
	e.sender.send(view, lacking)
}

// finish has the store take no ends any more, looks once more at what it took until then, and tells the keepers that the disk is empty. Whoever is
// refused tells the end to the others once this disk is out of the roster.
func (e *Emptier) finish(view *member.View) {
	switch {
	case !e.sealed:
		e.seal(true)
	case e.env.Now()-e.sealedAt > sealedFor:
		e.seal(false) // the keepers do not let it go yet
	default:
		e.session.DiskEmptied(view.Epoch, func(error) {})
	}
}

// seal has the core take no ends, or take them again; this store's list is read on after that.
func (e *Emptier) seal(sealed bool) {
	if e.sealed == sealed || e.sealing {
		return
	}
	e.sealing = true
	e.env.Seal(sealed, func() {
		e.sealing, e.sealed, e.sealedAt = false, sealed, e.env.Now()
		if e.lists != nil {
			e.lists.againOwn()
		}
	})
}

// lacking gives the messages that this disk holds something of and that lie on too few of the others: those that it can hand
// over, and those of which others know more, as an end that was told while this disk was cut off.
func (e *Emptier) lacking(view *member.View) (held, unlearned []shortage) {
	for _, s := range e.lists.census.shortages(view) {
		own := e.lists.census.state(e.disk, s.id)
		switch {
		case own == 0:
		case own.Has(s.wanted):
			held = append(held, s)
		case s.wanted.Has(wire.HeldEnd) && !own.Has(wire.HeldEnd) && len(s.holders) > 0:
			unlearned = append(unlearned, s)
		}
	}
	return held, unlearned
}

// learn has this disk fetch what others know more of, so that it can be handed over then.
func (e *Emptier) learn(view *member.View, unlearned []shortage) {
	byDisk := map[string][]string{}
	for i, s := range unlearned {
		from := s.holders[i%len(s.holders)]
		if len(byDisk[from]) < copiesAtOnce {
			byDisk[from] = append(byDisk[from], s.id)
		}
	}
	for disk, ids := range ordered.Map(byDisk) {
		e.learning++
		body := wire.FetchBody{IDs: ids}
		e.env.Call(view.Disks[disk].Member.Address, wire.FetchCopies, wire.Encode(&body), repairTimeout, func(payload []byte, err error) {
			e.learning--
			var answer wire.CopiesBody
			if err == nil {
				err = wire.Decode(wire.FetchCopies, payload, &answer)
			}
			if err == nil {
				e.env.Fill(answer.Messages, false)
			}
		})
	}
}
