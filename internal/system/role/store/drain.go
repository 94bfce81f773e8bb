package store

import (
	"time"

	"granitewing/internal/system/member"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// Intervals of draining a disk.
const (
	drainInterval = 100 * time.Millisecond // between two steps
	// maxSealTime is how long a drained disk refuses outcomes while the keepers do not remove it from the roster.
	// A sender whose outcome is refused keeps it for that long.
	maxSealTime = time.Second
)

// Drainer drains a disk that leaves the roster. It copies to other disks the messages that too few disks would hold
// without this one, and reports to the keepers once there are none left.
type Drainer struct {
	env             RepairEnvironment
	session         *member.Client
	disk            string // of this store
	tolerance       *tolerance.Tolerance
	lists           *listReader
	throttle        throttle
	sender          *sender // nil unless the disk is being drained
	fetchesInFlight int
	listsStale      bool // copies were sent or fetched since the lists were last read
	sealed          bool // the store refuses outcomes
	sealPending     bool // a change of sealed is on its way to the core
	sealedAt        time.Duration
}

// NewDrainer returns a Drainer for a disk. It moves at most rate bytes per second; 0 means no limit. It does
// nothing until Start.
func NewDrainer(env RepairEnvironment, session *member.Client, disk string, tolerated *tolerance.Tolerance, rate float64) *Drainer {
	return &Drainer{env: env, session: session, disk: disk, tolerance: tolerated, throttle: throttle{rate: rate}}
}

// Start begins to watch the roster, and drains the disk while the roster marks it as leaving.
func (e *Drainer) Start() {
	e.env.After(drainInterval, e.Start)
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
		e.env.LogWarning("this disk is leaving the roster: draining it to other disks", nil)
		e.lists = newListReader(e.env, e.session, e.disk, e.tolerance)
		e.sender = &sender{lists: e.lists, throttle: &e.throttle}
		e.listsStale = false
	}
	e.step(view)
}

func (e *Drainer) step(view *member.View) {
	if e.sender.inFlight > 0 || e.fetchesInFlight > 0 || e.sealPending || !e.throttle.ready(e.env.Now()) {
		return
	}
	if e.listsStale {
		e.listsStale = false
		e.lists.readAllAgain()
	}
	// Any complete list of the other stores will do. This store's list must include everything that was accepted
	// before the disk was marked as leaving.
	ownCaughtUp := e.lists.readOwn(view.Epoch)
	caughtUp, awaited, missingZones := e.lists.read(view, 0)
	if !ownCaughtUp || caughtUp == 0 || awaited > 0 || !e.tolerance.MayBeLost(missingZones) {
		return
	}
	held, outdated := e.underReplicated(view)
	if len(held) == 0 && len(outdated) == 0 {
		e.finish(view)
		return
	}
	e.seal(false)
	e.listsStale = true
	e.fetchOutcomes(view, outdated)
	e.sender.send(view, held)
}

// finish seals the store, reads once more what it accepted until then, and reports to the keepers that the disk is
// drained. A sender whose outcome is refused meanwhile sends it to the other stores once this disk is out of the
// roster.
func (e *Drainer) finish(view *member.View) {
	switch {
	case !e.sealed:
		e.seal(true)
	case e.env.Now()-e.sealedAt > maxSealTime:
		e.seal(false) // the keepers have not removed the disk yet
	default:
		e.session.ReportDiskDrained(view.Epoch, func(error) {})
	}
}

// seal makes the core refuse or accept outcomes. This store's list is then read for changes up to that point.
func (e *Drainer) seal(sealed bool) {
	if e.sealed == sealed || e.sealPending {
		return
	}
	e.sealPending = true
	e.env.RefuseOutcomes(sealed, func() {
		e.sealPending, e.sealed, e.sealedAt = false, sealed, e.env.Now()
		if e.lists != nil {
			e.lists.readOwnAgain()
		}
	})
}

// underReplicated returns the messages that this disk holds something of and that too few other disks hold. held
// are those that this disk can copy to others. outdated are those whose outcome other disks know and this one does
// not, for example one recorded while this disk was partitioned.
func (e *Drainer) underReplicated(view *member.View) (held, outdated []underReplicatedMessage) {
	for _, m := range e.lists.index.underReplicated(view) {
		own := e.lists.index.state(e.disk, m.id)
		switch {
		case own == 0:
		case own.Has(m.required):
			held = append(held, m)
		case m.required.Has(wire.HeldOutcome) && !own.Has(wire.HeldOutcome) && len(m.holders) > 0:
			outdated = append(outdated, m)
		}
	}
	return held, outdated
}

// fetchOutcomes fetches from other disks what this one lacks of outdated messages, so that it can then copy them
// on.
func (e *Drainer) fetchOutcomes(view *member.View, outdated []underReplicatedMessage) {
	byDisk := map[string][]string{}
	for i, m := range outdated {
		from := m.holders[i%len(m.holders)]
		if len(byDisk[from]) < maxCopiesPerCall {
			byDisk[from] = append(byDisk[from], m.id)
		}
	}
	for disk, ids := range ordered.Map(byDisk) {
		e.fetchesInFlight++
		body := wire.FetchBody{IDs: ids}
		e.env.Call(view.Disks[disk].Member.Address, wire.FetchCopies, wire.Encode(&body), repairTimeout, func(payload []byte, err error) {
			e.fetchesInFlight--
			var answer wire.CopiesBody
			if err == nil {
				err = wire.Decode(wire.FetchCopies, payload, &answer)
			}
			if err == nil {
				e.env.AddCopies(answer.Messages, false)
			}
		})
	}
}
