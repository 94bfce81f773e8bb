package store

import (
	"sort"
	"time"

	"granitewing/internal/system/member"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// emptyInterval is the time between two steps of emptying a disk.
const emptyInterval = 100 * time.Millisecond

// Emptier empties a leaving disk: it has other disks take copies of what would lie on too few without it, and tells the
// keepers once nothing does.
type Emptier struct {
	env       RepairEnvironment
	session   *member.Client
	disk      string // this store's
	tolerance *tolerance.Tolerance
	lists     *lists
	throttle  throttle
	sending   int
	planned   bool // copies were sent since the lists were read
}

// NewEmptier makes an emptier for a disk, which moves so many bytes a second at the most (0: without a bound); Start begins.
func NewEmptier(env RepairEnvironment, session *member.Client, disk string, tolerated *tolerance.Tolerance, rate float64) *Emptier {
	return &Emptier{env: env, session: session, disk: disk, tolerance: tolerated, throttle: throttle{rate: rate}}
}

// Start begins.
func (e *Emptier) Start() {
	e.env.After(emptyInterval, e.Start)
	view := e.session.View()
	if !view.Disks[e.disk].Leaving {
		e.lists = nil
		return
	}
	if e.lists == nil {
		e.env.Report("this disk is being emptied", nil)
		e.lists = newLists(e.env, e.session, e.disk, e.tolerance)
		e.planned = false
	}
	e.step(view)
}

func (e *Emptier) step(view *member.View) {
	if e.sending > 0 || !e.throttle.free(e.env.Now()) {
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
		e.session.DiskEmptied(func(error) {})
		return
	}
	e.planned = true
	e.learn(view, unlearned)
	e.send(view, lacking)
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
		e.sending++
		body := wire.FetchBody{IDs: ids}
		e.env.Call(view.Disks[disk].Member.Address, wire.FetchCopies, wire.Encode(&body), repairTimeout, func(payload []byte, err error) {
			e.sending--
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

// send gives each message to as many disks as it lacks, one call to a disk.
func (e *Emptier) send(view *member.View, lacking []shortage) {
	batches := map[string][]string{}
	candidates := e.candidates(view)
	for turn := range lacking {
		s := &lacking[turn]
		without := e.without(candidates, s.holders, turn)
		zones := make([]string, 0, len(without))
		for _, disk := range without {
			zones = append(zones, view.Disks[disk].Member.Zone)
		}
		for _, pick := range e.tolerance.Choose(s.zones(view), zones) {
			if disk := without[pick]; len(batches[disk]) < copiesAtOnce {
				batches[disk] = append(batches[disk], s.id)
			}
		}
	}
	for disk, ids := range ordered.Map(batches) {
		e.copyTo(disk, view.Disks[disk].Member.Address, ids)
	}
}

// candidates gives the disks that can take copies, those of this zone first.
func (e *Emptier) candidates(view *member.View) []string {
	zone := view.Disks[e.disk].Member.Zone
	var disks []string
	for id, other := range view.Disks {
		if id != e.disk && holds(other) && e.env.Up(other.Member.Address) {
			disks = append(disks, id)
		}
	}
	sort.Slice(disks, func(i, j int) bool {
		a, b := view.Disks[disks[i]].Member.Zone == zone, view.Disks[disks[j]].Member.Zone == zone
		if a != b {
			return a
		}
		return disks[i] < disks[j]
	})
	return disks
}

// without gives candidates that do not hold a message; those of this zone take turns.
func (e *Emptier) without(candidates, holders []string, turn int) []string {
	held := map[string]bool{}
	for _, disk := range holders {
		held[disk] = true
	}
	view := e.session.View()
	zone := view.Disks[e.disk].Member.Zone
	var near, far []string
	for i := range candidates {
		disk := candidates[(i+turn)%len(candidates)]
		switch {
		case held[disk]:
		case view.Disks[disk].Member.Zone == zone:
			near = append(near, disk)
		default:
			far = append(far, disk)
		}
	}
	return append(near, far...)
}

// copyTo has a store keep copies of messages.
func (e *Emptier) copyTo(disk, address string, ids []string) {
	e.sending++
	read := e.lists // others may have been begun when the answer comes
	e.env.Copies(ids, func(body wire.CopiesBody, err error) {
		if err != nil {
			e.sending--
			e.env.Report("messages of a disk that is being emptied can't be read", err)
			return
		}
		body.More = false
		payload := wire.Encode(&body)
		e.throttle.moved(e.env.Now(), len(payload))
		e.env.Call(address, wire.PutCopies, payload, repairTimeout, func(_ []byte, err error) {
			e.sending--
			if err == nil {
				read.noteCopies(disk, body.Messages)
			}
		})
	})
}
