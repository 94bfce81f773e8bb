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

// sendPatience is how long a filling waits for a disk that can take what lies on too few, before it goes on without.
const sendPatience = 5 * time.Second

// askAgain is how long a filled disk waits for its place in the roster before it asks again. An answer may speak of a roster
// that did not know it, after its session was lost.
const askAgain = 1500 * time.Millisecond

// A newcomer begins to count without a disk being lost only after this time: one whose place it is here to take may have
// ended without a word, and its session lasts on for a while.
const spareAfter = keeper.SessionLife + time.Second

// Filler fills a disk with what lies on too few others, first until it may count in the roster, then once more with what
// was written meanwhile at disks of the former roster.
type Filler struct {
	env       RepairEnvironment
	session   *member.Client
	disk      string // this store's
	tolerance *tolerance.Tolerance
	throttle  throttle
	running   bool
	lists     *lists
	plan      *fetchPlan // nil until the lists were read
	sender    *sender    // of what lies here and on too few others, as on a disk that is lost
	asked     bool       // to be counted
	askedAt   time.Duration
	began     time.Duration
	epoch     uint64            // of the roster in which this disk was counted; 0 before
	before    map[string]string // counted disks before that, by identity, with their zones
	lost      []string          // zone of the one whose place this disk has: it is among those that may be silent
	finished  bool              // all was fetched, and the core is told so
}

// NewFiller makes a filler for a disk, which moves so many bytes a second at the most (0: without a bound).
func NewFiller(env RepairEnvironment, session *member.Client, disk string, tolerated *tolerance.Tolerance, rate float64) *Filler {
	return &Filler{env: env, session: session, disk: disk, tolerance: tolerated, throttle: throttle{rate: rate}}
}

// Running tells whether the disk is being filled: connections to the other stores are wanted.
func (f *Filler) Running() bool { return f.running }

// Follow begins a filling where the roster calls for one: this disk doesn't count, or it is spare and another is missing.
func (f *Filler) Follow(view *member.View) {
	own, known := view.Disks[f.disk]
	interrupted := own.Counted && !f.finished && !f.env.Complete()
	if f.running || !known || own.Counted && !interrupted && (!own.Spare || len(view.Missing()) == 0) {
		return
	}
	f.env.Report("a disk is missing or this one is new: it is filled from the other stores", nil)
	f.running, f.finished, f.asked, f.began, f.epoch, f.lost = true, false, false, f.env.Now(), 0, nil
	if interrupted {
		// It counts, and was stopped before it had all. Which disk's place it has is not known any more.
		f.epoch, f.lost = view.Epoch, []string{""}
	}
	f.lists, f.plan = newLists(f.env, f.session, f.disk, f.tolerance), nil
	f.sender = &sender{lists: f.lists, throttle: &f.throttle}
	f.step()
}

// step reads the stores' lists, has what lies on too few disks be fetched, and goes on to the next stage after that.
func (f *Filler) step() {
	if f.stage(f.session.View()) {
		return
	}
	f.env.After(repairInterval, f.step)
}

// stage tells whether the filling is over.
func (f *Filler) stage(view *member.View) bool {
	ownTold := f.lists.readOwn(0)
	told, asked, silent := f.lists.read(view, f.epoch)
	silent = append(silent, f.lost...)
	if !ownTold || told == 0 || asked > 0 || !f.tolerance.May(silent) {
		return false
	}
	if f.plan == nil {
		f.plan = newFetchPlan(f, view)
	}
	if !f.plan.fetched(view) || f.env.Filling() {
		return false
	}
	if f.sender.sending > 0 {
		return false
	}
	if f.plan.failed || f.plan.sent {
		f.plan = nil
		f.lists.again()
		return false
	}
	if len(f.plan.here) > 0 {
		f.plan.sent = f.throttle.free(f.env.Now()) && f.sender.send(view, f.plan.here) > 0
		if f.plan.sent || f.env.Now()-f.plan.began < sendPatience {
			return false
		}
	}
	return f.advance(view)
}

// replaced gives the zone of the disk whose place this one was given: one disk at the most, as others that are out of the
// roster since were emptied, or have a successor of their own that is asked.
func (f *Filler) replaced(view *member.View) []string {
	for id, zone := range ordered.Map(f.before) {
		if _, still := view.Disks[id]; !still {
			return []string{zone}
		}
	}
	return nil
}

// advance goes to the next stage; true where the filling is over.
func (f *Filler) advance(view *member.View) bool {
	own := view.Disks[f.disk]
	missing := len(view.Missing())
	switch {
	case f.epoch > 0:
		f.finished = true
		f.env.Fill(nil, true)
		f.stop()
		return true
	case f.asked && own.Counted && (missing == 0 || !own.Spare):
		f.epoch, f.lost = view.Epoch, f.replaced(view)
		f.plan = nil
		f.lists.again()
		return false
	case own.Counted && missing == 0:
		f.stop() // the missing one is back
		return true
	case missing == 0 && f.env.Now()-f.began < spareAfter:
		return false
	}
	f.count(view)
	return false
}

// stop ends the filling, and lets go of what was known of the other disks.
func (f *Filler) stop() {
	f.running = false
	f.lists, f.plan, f.sender = nil, nil, nil
}

// count asks the keepers to let this disk count, again and again until it does.
func (f *Filler) count(view *member.View) {
	if f.asked && f.env.Now()-f.askedAt < askAgain {
		return
	}
	f.asked, f.askedAt = true, f.env.Now()
	f.before = map[string]string{}
	for id, other := range view.Counted() {
		if id != f.disk {
			f.before[id] = other.Member.Zone
		}
	}
	f.session.CountDisk(func(err error) {
		if err != nil {
			f.asked = false
		}
	})
}

// withOwn gives the zones of the disks that hold a message, with this one's, which is to count.
func (f *Filler) withOwn(view *member.View, lacking *shortage) []string {
	zones := lacking.zones(view)
	if !slices.Contains(lacking.holders, f.disk) {
		zones = append(zones, view.Disks[f.disk].Member.Zone)
	}
	return zones
}

// fetchPlan is what a filling fetches from which store: what lies on too few disks, and not on this one.
type fetchPlan struct {
	filler *Filler
	began  time.Duration
	queues map[string][]string // messages by the disk that they are fetched from, those with the fewest copies first
	busy   map[string]bool
	failed bool       // some could not be fetched, or were not there any more
	here   []shortage // messages that lie here, and on too few others
	sent   bool       // others were given copies of these
}

func newFetchPlan(f *Filler, view *member.View) *fetchPlan {
	p := &fetchPlan{filler: f, began: f.env.Now(), queues: map[string][]string{}, busy: map[string]bool{}}
	for _, lacking := range f.lists.census.shortages(view) {
		if f.lists.census.state(f.disk, lacking.id).Has(lacking.wanted) {
			if !f.tolerance.Enough(f.withOwn(view, &lacking)) {
				p.here = append(p.here, lacking)
			}
			continue
		}
		if from := p.nearest(view, lacking.holders); from != "" {
			p.queues[from] = append(p.queues[from], lacking.id)
		}
	}
	return p
}

// nearest chooses the holder to fetch from: one of this zone before others, and then the one with the shortest queue.
func (p *fetchPlan) nearest(view *member.View, holders []string) string {
	zone := p.filler.session.View().Disks[p.filler.disk].Member.Zone
	best, bestCost := "", 0
	for _, disk := range holders {
		other := view.Disks[disk].Member
		if disk == p.filler.disk || !p.filler.env.Up(other.Address) {
			continue
		}
		const awayCost = 1 << 30
		cost := len(p.queues[disk])
		if other.Zone != zone {
			cost += awayCost
		}
		if best == "" || cost < bestCost {
			best, bestCost = disk, cost
		}
	}
	return best
}

// fetched fetches on, and tells whether nothing is left to be fetched.
func (p *fetchPlan) fetched(view *member.View) bool {
	done := true
	for disk, ids := range ordered.Map(p.queues) {
		if len(ids) == 0 {
			continue
		}
		address := view.Disks[disk].Member.Address
		if !p.busy[disk] && !p.filler.env.Up(address) {
			p.queues[disk], p.failed = nil, true
			continue
		}
		done = false
		p.fetch(disk, address)
	}
	return done
}

func (p *fetchPlan) fetch(disk, address string) {
	f := p.filler
	if p.busy[disk] || f.env.Filling() || !f.throttle.free(f.env.Now()) {
		return
	}
	p.busy[disk] = true
	ids := p.queues[disk][:min(copiesAtOnce, len(p.queues[disk]))]
	body := wire.FetchBody{IDs: ids}
	f.env.Call(address, wire.FetchCopies, wire.Encode(&body), repairTimeout, func(payload []byte, err error) {
		p.busy[disk] = false
		f.throttle.moved(f.env.Now(), len(payload))
		var answer wire.CopiesBody
		if err == nil {
			err = wire.Decode(wire.FetchCopies, payload, &answer)
		}
		if err != nil || f.plan != p {
			p.failed = true
			p.queues[disk] = nil
			return
		}
		f.env.Fill(answer.Messages, false)
		copied := f.lists.noteCopies(f.disk, answer.Messages)
		p.queues[disk] = p.rest(disk, ids, copied, answer.More)
	})
}

// rest gives what is left to be fetched from a disk, after an answer for some messages. What the answer passed over though
// it was not cut short is not there any more.
func (p *fetchPlan) rest(disk string, ids []string, copied map[string]bool, more bool) []string {
	var again []string
	for _, id := range ids {
		switch {
		case copied[id]:
		case more:
			again = append(again, id)
		default:
			p.filler.lists.census.note(disk, id, 0)
		}
	}
	return append(again, p.queues[disk][len(ids):]...)
}
