package store

import (
	"slices"
	"time"

	"granitewing/internal/system/member"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// sendTimeout is how long a backfill waits for a disk that can take under-replicated messages held here, before it
// continues without.
const sendTimeout = 5 * time.Second

// countRetryInterval is how long a backfilled disk waits to be counted in the roster before it asks again. The
// keepers may have answered for a roster that did not include the disk, after its session was lost.
const countRetryInterval = 1500 * time.Millisecond

// spareDelay is how long a new disk waits before it asks to be counted although no disk is missing. The disk that
// it is meant to replace may have crashed, and its session remains until it expires.
const spareDelay = keeper.SessionTimeout + time.Second

// Backfiller backfills a disk with the messages that too few other disks hold: a first time until the disk may be
// counted in the roster, then again for what was written to disks of the former roster meanwhile.
type Backfiller struct {
	env       RepairEnvironment
	session   *member.Client
	disk      string // of this store
	tolerance *tolerance.Tolerance
	throttle  throttle
	running   bool
	lists     *listReader
	plan      *fetchPlan // nil until the lists have been read
	sender    *sender    // copies out under-replicated messages held here, as for a lost disk
	// The backfill has three stages: copying while countRequested is false, waiting to be counted once it is true, and
	// copying again, from the disks of the former roster, once epoch is over 0. See advance.
	countRequested   bool // the keepers were asked to count this disk
	countRequestedAt time.Duration
	startedAt        time.Duration
	epoch            uint64            // of the roster in which this disk was found to count; 0 before
	previousDisks    map[string]string // zones of the disks that counted when the keepers were asked to count this one, by disk identity
	replacedZone     []string          // zone of the disk that this one replaces, added to those of the disks that can't be read; "" if not known; empty if none
	complete         bool              // everything was fetched, and the core has been notified
}

// NewBackfiller returns a Backfiller for a disk. It moves at most rate bytes per second; 0 means no limit. It does
// nothing until ApplyRoster.
func NewBackfiller(env RepairEnvironment, session *member.Client, disk string, tolerated *tolerance.Tolerance, rate float64) *Backfiller {
	return &Backfiller{env: env, session: session, disk: disk, tolerance: tolerated, throttle: throttle{rate: rate}}
}

// Running reports whether a backfill is in progress and needs connections to the other stores.
func (f *Backfiller) Running() bool { return f.running }

// ApplyRoster starts a backfill if the roster calls for one: this disk does not count, or it is spare and another disk
// is missing, or a backfill of a counted disk was interrupted.
func (f *Backfiller) ApplyRoster(view *member.View) {
	own, known := view.Disks[f.disk]
	interrupted := own.Counted && !f.complete && !f.env.Complete()
	if f.running || !known || own.Counted && !interrupted && (!own.Spare || len(view.MissingDisks()) == 0) {
		return
	}
	f.env.LogWarning("a disk is missing or this one is new: backfilling this disk from the other stores", nil)
	f.running, f.complete, f.countRequested, f.startedAt, f.epoch, f.replacedZone = true, false, false, f.env.Now(), 0, nil
	if interrupted {
		// The disk counts, but its process stopped before it had fetched everything. Which disk it replaced is
		// not known any more.
		f.epoch, f.replacedZone = view.Epoch, []string{""}
	}
	f.lists, f.plan = newListReader(f.env, f.session, f.disk, f.tolerance), nil
	f.sender = &sender{lists: f.lists, throttle: &f.throttle}
	f.step()
}

// step runs the current stage and schedules the next step unless the backfill is over.
func (f *Backfiller) step() {
	if f.runStage(f.session.View()) {
		return
	}
	f.env.After(repairInterval, f.step)
}

// runStage reads the lists of the stores, then fetches what too few disks hold, then goes on to the next stage. It
// reports whether the backfill is over.
func (f *Backfiller) runStage(view *member.View) bool {
	ownCaughtUp := f.lists.readOwn(0)
	caughtUp, awaited, missingZones := f.lists.read(view, f.epoch)
	missingZones = append(missingZones, f.replacedZone...)
	if !ownCaughtUp || caughtUp == 0 || awaited > 0 || !f.tolerance.MayBeLost(missingZones) {
		return false
	}
	if f.plan == nil {
		f.plan = newFetchPlan(f, view)
	}
	if !f.plan.fetchRemaining(view) || f.env.CopiesPending() {
		return false
	}
	if f.sender.inFlight > 0 {
		return false
	}
	if f.plan.failed || f.plan.localSent {
		f.plan = nil
		f.lists.readAllAgain()
		return false
	}
	if len(f.plan.local) > 0 {
		f.plan.localSent = f.throttle.ready(f.env.Now()) && f.sender.send(view, f.plan.local) > 0
		if f.plan.localSent || f.env.Now()-f.plan.startedAt < sendTimeout {
			return false
		}
	}
	return f.advance(view)
}

// findReplacedZone returns the zone of the disk that this one replaces. There is at most one: other disks that have
// left the roster since were drained, or have a replacement of their own that is queried.
func (f *Backfiller) findReplacedZone(view *member.View) []string {
	for id, zone := range ordered.Map(f.previousDisks) {
		if _, still := view.Disks[id]; !still {
			return []string{zone}
		}
	}
	return nil
}

// advance goes to the next stage and reports whether the backfill is over.
func (f *Backfiller) advance(view *member.View) bool {
	own := view.Disks[f.disk]
	missing := len(view.MissingDisks())
	switch {
	case f.epoch > 0:
		f.complete = true
		f.env.AddCopies(nil, true)
		f.stop()
		return true
	case f.countRequested && own.Counted && (missing == 0 || !own.Spare):
		f.epoch, f.replacedZone = view.Epoch, f.findReplacedZone(view)
		f.plan = nil
		f.lists.readAllAgain()
		return false
	case own.Counted && missing == 0:
		f.stop() // the missing disk is back
		return true
	case missing == 0 && f.env.Now()-f.startedAt < spareDelay:
		return false
	}
	f.requestCounting(view)
	return false
}

// stop ends the backfill and releases its state of the other disks.
func (f *Backfiller) stop() {
	f.running = false
	f.lists, f.plan, f.sender = nil, nil, nil
}

// requestCounting asks the keepers to count this disk. It is called repeatedly until they do.
func (f *Backfiller) requestCounting(view *member.View) {
	if f.countRequested && f.env.Now()-f.countRequestedAt < countRetryInterval {
		return
	}
	f.countRequested, f.countRequestedAt = true, f.env.Now()
	f.previousDisks = map[string]string{}
	for id, other := range view.QuorumDisks() {
		if id != f.disk {
			f.previousDisks[id] = other.Member.Zone
		}
	}
	f.session.ReportDiskBackfilled(func(err error) {
		if err != nil {
			f.countRequested = false
		}
	})
}

// zonesWithOwn returns the zones of the disks that hold a message, including this disk, which is about to count.
func (f *Backfiller) zonesWithOwn(view *member.View, m *underReplicatedMessage) []string {
	zones := m.holderZones(view)
	if !slices.Contains(m.holders, f.disk) {
		zones = append(zones, view.Disks[f.disk].Member.Zone)
	}
	return zones
}

// fetchPlan lists which messages a backfill fetches from which store: those that too few disks hold and this one
// does not.
type fetchPlan struct {
	backfiller *Backfiller
	startedAt  time.Duration
	queues     map[string][]string      // message ids by source disk, those with the fewest holders first
	inFlight   map[string]bool          // by source disk
	failed     bool                     // some messages could not be fetched or no longer existed
	local      []underReplicatedMessage // messages that this disk and too few others hold
	localSent  bool                     // copies of these were sent to other disks
}

func newFetchPlan(f *Backfiller, view *member.View) *fetchPlan {
	p := &fetchPlan{backfiller: f, startedAt: f.env.Now(), queues: map[string][]string{}, inFlight: map[string]bool{}}
	for _, m := range f.lists.index.underReplicated(view) {
		if f.lists.index.state(f.disk, m.id).Has(m.required) {
			if !f.tolerance.SufficientReplicas(f.zonesWithOwn(view, &m)) {
				p.local = append(p.local, m)
			}
			continue
		}
		if from := p.chooseSource(view, m.holders); from != "" {
			p.queues[from] = append(p.queues[from], m.id)
		}
	}
	return p
}

// chooseSource chooses the holder to fetch from: one in this disk's zone if possible, and among those the one with
// the shortest queue. It returns "" if no holder is reachable.
func (p *fetchPlan) chooseSource(view *member.View, holders []string) string {
	zone := p.backfiller.session.View().Disks[p.backfiller.disk].Member.Zone
	best, bestCost := "", 0
	for _, disk := range holders {
		other := view.Disks[disk].Member
		if disk == p.backfiller.disk || !p.backfiller.env.Connected(other.Address) {
			continue
		}
		const otherZoneCost = 1 << 30
		cost := len(p.queues[disk])
		if other.Zone != zone {
			cost += otherZoneCost
		}
		if best == "" || cost < bestCost {
			best, bestCost = disk, cost
		}
	}
	return best
}

// fetchRemaining continues the fetches and reports whether nothing is left to fetch.
func (p *fetchPlan) fetchRemaining(view *member.View) bool {
	done := true
	for disk, ids := range ordered.Map(p.queues) {
		if len(ids) == 0 {
			continue
		}
		address := view.Disks[disk].Member.Address
		if !p.inFlight[disk] && !p.backfiller.env.Connected(address) {
			p.queues[disk], p.failed = nil, true
			continue
		}
		done = false
		p.fetch(disk, address)
	}
	return done
}

func (p *fetchPlan) fetch(disk, address string) {
	f := p.backfiller
	if p.inFlight[disk] || f.env.CopiesPending() || !f.throttle.ready(f.env.Now()) {
		return
	}
	p.inFlight[disk] = true
	ids := p.queues[disk][:min(maxCopiesPerCall, len(p.queues[disk]))]
	body := wire.FetchBody{IDs: ids}
	f.env.Call(address, wire.FetchCopies, wire.Encode(&body), repairTimeout, func(payload []byte, err error) {
		p.inFlight[disk] = false
		f.throttle.add(f.env.Now(), len(payload))
		var answer wire.CopiesBody
		if err == nil {
			err = wire.Decode(wire.FetchCopies, payload, &answer)
		}
		if err != nil || f.plan != p {
			p.failed = true
			p.queues[disk] = nil
			return
		}
		f.env.AddCopies(answer.Messages, false)
		copied := f.lists.recordCopies(f.disk, answer.Messages)
		p.queues[disk] = p.remaining(disk, ids, copied, answer.More)
	})
}

// remaining returns what is left to fetch from a disk after an answer to a call for ids. A message missing from an
// answer that was not cut short (more) no longer exists at that disk.
func (p *fetchPlan) remaining(disk string, ids []string, copied map[string]bool, more bool) []string {
	var again []string
	for _, id := range ids {
		switch {
		case copied[id]:
		case more:
			again = append(again, id)
		default:
			p.backfiller.lists.index.set(disk, id, 0)
		}
	}
	return append(again, p.queues[disk][len(ids):]...)
}
