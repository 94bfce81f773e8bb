// Package model models the hosts that run jobs, their racks, the network between them and discovery, as state machines
// without sockets or clocks. All times are in microseconds and passed in by the caller.
//
// A Host takes attempts by Offer and Cancel, advances by Advance up to the time that Next returns, and reports what
// happens to its attempts as Notes. A Cell drops repeats of idempotent jobs within a rack, a Store limits fetches of
// data sets, a Fabric models the data exchange of gangs, and a Directory is discovery's list. Two drivers run these
// models: package emulate on real sockets and package virtual in virtual time.
package model

import (
	"math"
	"slices"
)

// Never is the time of an event that does not happen.
const Never = math.MaxInt64

// warmUpSteps is the number of steps in which a host warms up; its capacity is constant between two steps.
const warmUpSteps = 50

// Machine describes a host. Durations are in microseconds; work is in microseconds on one core of speed 1.
type Machine struct {
	Name     string
	Zone     int
	Kind     int
	Cell     int
	Cores    float64
	Speed    float64 // of a core, relative to the reference speed 1
	Slots    float64 // for running jobs
	Memory   float64 // units for running jobs; 0 = not limited
	Queue    int     // waiting jobs at most; beyond them a job is refused unstarted
	Backfill bool    // a waiting job that fits may start before earlier ones that don't; else they start in order
	Knee     int     // jobs held above which the host loses efficiency; 0 = never
	Thrash   float64 // share of the remaining efficiency that each job above the knee costs
	Start    float64 // share of its capacity that a cold host has at its start
	WarmUp   int64   // time from the start until the host is warm
	Window   int64   // time over which the work offered to a cold host is summed
	Multiple float64 // a cold host collapses if that sum exceeds its present capacity times this; 0 = never
	Sets     int     // data sets that fit in the cache; 0 = jobs need none
	Fetch    int64   // time to fetch one from an idle store
	Progress int64   // time between progress notes; 0 = none
	Returns  bool    // a draining host returns jobs that have not started
}

// Job is one attempt as a host sees it.
type Job struct {
	Attempt uint64  // identifier of the attempt, never used twice
	Key     string  // idempotency key by which the hosts of a cell drop repeats; empty = none are dropped
	Work    float64 // microseconds on one core of speed 1
	Slots   float64
	Memory  float64
	Set     uint64 // data set needed; 0 = none
	Part    *Part  // of a gang; nil if the job is not a gang part
}

// NoteKind is the kind of a note.
type NoteKind uint8

// The kinds of notes. Done, Repeat, Full, Failed, Returned and Lost are the last note of an attempt.
const (
	Taken    NoteKind = iota // accepted; it runs or waits
	Started                  // holds its slots
	Running                  // progress; Note.Share is set
	Done                     // the job ran to its end
	Repeat                   // the cell ran the job already and does not run it again
	Full                     // refused unstarted
	Failed                   // an error; it may have run
	Returned                 // returned unstarted after it was taken
	Lost                     // the process was killed; it may have run
)

// Note reports a change of an attempt at a host.
type Note struct {
	Attempt uint64
	At      int64
	Kind    NoteKind
	Share   float64 // of the work that is done
}

// task is an attempt that a host holds.
type task struct {
	Job
	fetching     bool
	fetchLeft    float64 // time left of the fetch
	workLeft     float64 // work left
	started      bool
	nextProgress int64 // when the next progress note is due
}

// Host is the state of one host. It is not safe for concurrent use.
type Host struct {
	Machine
	cell           *Cell
	store          *Store
	fabric         *Fabric
	now            int64
	upSince        int64
	cold           bool
	nextWarmUpStep int64   // when the next step of the warm-up is due
	slowdown       float64 // factor by which the host is slower
	answersErrors  bool    // answers each new job with an error
	draining       bool
	down           bool
	running        []*task
	waiting        []*task
	cachedSets     []uint64    // cached data sets, the most recently used last
	coldOffers     []coldOffer // work offered while cold, within the window
	notes          []Note
	collapses      int
	counts         Counts
	slotRate       float64 // work done in a microsecond on one slot, until the next event
}

// Counts counts the outcomes of the attempts that a host was offered, and its work for them.
type Counts struct {
	Offered   int     `json:"offered"`
	Done      int     `json:"done"`
	Refused   int     `json:"refused"`      // refused, or returned unstarted
	Failed    int     `json:"failed"`       // answered with an error, or lost with the process
	Unstarted int     `json:"called_off"`   // cancelled by their dispatchers while they waited
	Stopped   int     `json:"stopped"`      // cancelled by their dispatchers while they ran or fetched
	Waited    int     `json:"waited"`       // did not start on arrival
	Fetched   int     `json:"fetched"`      // needed their data set first
	Work      float64 `json:"work_us"`      // all work done, in microseconds on a core of speed 1
	Wasted    float64 `json:"vain_work_us"` // of that, for attempts that did not run to their end
}

// Add adds the counts of o.
func (c *Counts) Add(o Counts) {
	c.Offered, c.Done, c.Refused, c.Failed = c.Offered+o.Offered, c.Done+o.Done, c.Refused+o.Refused, c.Failed+o.Failed
	c.Unstarted, c.Stopped, c.Waited, c.Fetched = c.Unstarted+o.Unstarted, c.Stopped+o.Stopped, c.Waited+o.Waited, c.Fetched+o.Fetched
	c.Work, c.Wasted = c.Work+o.Work, c.Wasted+o.Wasted
}

// coldOffer is work offered to a cold host.
type coldOffer struct {
	at   int64
	work float64
}

// NewHost returns a host that has been up since now. cold says whether it has to warm up first.
func NewHost(m Machine, cell *Cell, store *Store, now int64, cold bool) *Host {
	h := &Host{Machine: m, cell: cell, store: store, now: now, upSince: now, slowdown: 1}
	h.startWarmUp(cold)
	return h
}

// startWarmUp starts the warm-up, or marks the host as warm.
func (h *Host) startWarmUp(cold bool) {
	h.cold, h.nextWarmUpStep = cold && h.WarmUp > 0, Never
	if h.cold {
		h.nextWarmUpStep = h.now + max(h.WarmUp/warmUpSteps, 1)
	}
	h.updateRate()
}

// FillCache fills the cache with data sets, the most recently used last.
func (h *Host) FillCache(sets []uint64) {
	if h.Sets > 0 {
		h.cachedSets = append(h.cachedSets, sets[max(len(sets)-h.Sets, 0):]...)
	}
}

// Held returns the number of running and waiting jobs.
func (h *Host) Held() int { return len(h.running) + len(h.waiting) }

// Collapses returns how often the host collapsed.
func (h *Host) Collapses() int { return h.collapses }

// Counts returns the counts so far.
func (h *Host) Counts() Counts { return h.counts }

// Free returns the number of free slots, 0 if the host takes no jobs.
func (h *Host) Free() float64 {
	if h.down || h.draining || h.answersErrors {
		return 0
	}
	free := h.Slots
	for _, t := range h.running {
		free -= t.Slots
	}
	return free
}

// Cold reports whether the host still warms up.
func (h *Host) Cold() bool { return h.cold }

// Queued returns the numbers of waiting jobs: those that need one slot, and those that need more.
func (h *Host) Queued() (one, more int) {
	for _, t := range h.waiting {
		if t.Slots > 1 {
			more++
		} else {
			one++
		}
	}
	return one, more
}

// Down reports whether the process has ended.
func (h *Host) Down() bool { return h.down }

// UpSince returns when the process last started.
func (h *Host) UpSince() int64 { return h.upSince }

// warmUpFactor returns the warm-up factor: the share of its full capacity that the host has reached.
func (h *Host) warmUpFactor() float64 {
	if !h.cold {
		return 1
	}
	steps := float64((h.now - h.upSince) * warmUpSteps / h.WarmUp)
	return h.Start + (1-h.Start)*min(steps/warmUpSteps, 1)
}

// Capacity returns the work that all cores do in a microsecond at present.
func (h *Host) Capacity() float64 { return h.Cores * h.Speed * h.warmUpFactor() / h.slowdown }

// updateRate updates the rate at which each slot works until the next event.
func (h *Host) updateRate() {
	busy := 0.0
	for _, t := range h.running {
		if !t.fetching {
			busy += t.Slots
		}
	}
	rate := h.Speed * h.warmUpFactor() / h.slowdown
	if busy > h.Cores {
		rate *= h.Cores / busy
	}
	if over := h.Held() - h.Knee; h.Knee > 0 && over > 0 {
		rate *= math.Pow(1-h.Thrash, float64(over))
	}
	h.slotRate = rate
}

// Next returns the time of the next event if there are no calls before it, or Never.
func (h *Host) Next() int64 {
	if h.down {
		return Never
	}
	next := h.nextWarmUpStep
	for _, t := range h.running {
		next = min(next, h.completionTime(t))
		if h.Progress > 0 {
			next = min(next, t.nextProgress)
		}
	}
	for _, t := range h.waiting {
		if t.Part != nil {
			next = min(next, max(t.Part.By, h.now))
		}
	}
	return next
}

// completionTime returns when the fetch or work of a running job completes at the present rate.
func (h *Host) completionTime(t *task) int64 {
	left := t.fetchLeft
	if !t.fetching {
		left = t.workLeft / h.slotRate
	}
	if left > 1e15 || t.Part != nil {
		return Never
	}
	return h.now + max(int64(math.Ceil(left)), 0)
}

// Advance moves time on to now and returns the notes until then, valid until the next call.
func (h *Host) Advance(now int64) []Note {
	h.notes = h.notes[:0]
	h.advance(now)
	return h.notes
}

// advance processes all events up to now and adds their notes.
func (h *Host) advance(now int64) {
	for !h.down {
		next := h.Next()
		if next > now {
			break
		}
		h.elapse(next)
		h.processDueEvents()
	}
	h.elapse(max(now, h.now))
}

// elapse moves time on to a point with no event before it.
func (h *Host) elapse(to int64) {
	dt := float64(to - h.now)
	h.now = to
	if dt <= 0 || h.down {
		return
	}
	for _, t := range h.running {
		if t.fetching {
			t.fetchLeft -= dt
		} else if t.Part == nil {
			t.workLeft -= dt * h.slotRate
		}
	}
}

// workTolerance is a rounding tolerance for work and time left; it is less work than the slowest host does in a
// microsecond.
const workTolerance = 1e-6

// processDueEvents processes all events that are due now.
func (h *Host) processDueEvents() {
	if h.now >= h.nextWarmUpStep {
		if h.nextWarmUpStep = h.now + max(h.WarmUp/warmUpSteps, 1); h.now-h.upSince >= h.WarmUp {
			h.cold, h.nextWarmUpStep, h.coldOffers = false, Never, nil
		}
	}
	h.returnOverdueParts()
	h.running = slices.DeleteFunc(h.running, func(t *task) bool {
		switch {
		case t.Part != nil:
			return false
		case t.fetching && t.fetchLeft <= workTolerance:
			h.finishFetch(t)
		case !t.fetching && t.workLeft <= workTolerance:
			h.addNote(t, Done, 1)
			h.updateCell(t, true)
			return true
		}
		if h.Progress > 0 && h.now >= t.nextProgress {
			t.nextProgress = h.now + h.Progress
			h.addNote(t, Running, 1-t.workLeft/t.Work)
		}
		return false
	})
	h.startWaiting()
}

// addNote adds a note and updates the counts.
func (h *Host) addNote(t *task, kind NoteKind, share float64) {
	h.notes = append(h.notes, Note{Attempt: t.Attempt, At: h.now, Kind: kind, Share: share})
	switch kind {
	case Done:
		h.counts.Done++
		h.counts.Work += t.Work * t.Slots
	case Repeat:
		h.counts.Done++
	case Full, Returned:
		h.counts.Refused++
	case Failed, Lost:
		h.counts.Failed++
	}
}

// updateCell updates the cell with the outcome of a keyed job. A job that did not complete may be repeated.
func (h *Host) updateCell(t *task, done bool) {
	if t.Key == "" || h.cell == nil {
		return
	}
	if k, known := h.cell.states[t.Key]; known && !done {
		delete(h.cell.states, t.Key)
	} else if known {
		k.done = true
		h.cell.states[t.Key] = k
	}
}

// Cancel stops an attempt whose dispatcher has given it up. It returns notes like Advance; there is none for the
// attempt itself.
func (h *Host) Cancel(now int64, attempt uint64) []Note {
	h.notes = h.notes[:0]
	h.advance(now)
	gone := func(t *task) bool {
		if t.Attempt != attempt {
			return false
		}
		if t.started {
			h.counts.Stopped++
		} else {
			h.counts.Unstarted++
		}
		h.abandon(t)
		return true
	}
	h.running = slices.DeleteFunc(h.running, gone)
	h.waiting = slices.DeleteFunc(h.waiting, gone)
	h.startWaiting()
	return h.notes
}

// abandon releases what a job holds that did not complete, and counts its work as wasted.
func (h *Host) abandon(t *task) {
	if t.fetching {
		h.store.activeFetches--
		t.fetching = false
	}
	if t.started {
		h.counts.Work += (t.Work - t.workLeft) * t.Slots
		h.counts.Wasted += (t.Work - t.workLeft) * t.Slots
		if t.Part != nil {
			h.fabric.partEnded(h, t)
		}
	}
	h.updateCell(t, false)
}
