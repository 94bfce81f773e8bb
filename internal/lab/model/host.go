// Package model is the laboratory's model of south side hosts and of discovery: state machines that are fed times and
// events and know neither socket nor clock. Drivers play them on real sockets (emulate) and in virtual time (virtual).
package model

import (
	"math"
	"slices"
)

// Never stands for a time that does not come. Times are microseconds.
const Never = math.MaxInt64

// warmSteps is how many steps a host takes from cold to warm; between two its capacity stands still.
const warmSteps = 50

// Machine is what a host is. Durations are microseconds; work is counted in microseconds on one core of speed 1.
type Machine struct {
	Name     string
	Zone     int
	Kind     int
	Cell     int
	Cores    float64
	Speed    float64 // of a core; 1 is the yardstick
	Slots    float64 // of jobs in work
	Memory   float64 // units for jobs in work; 0 = not counted
	Queue    int     // jobs that wait at most; beyond them one is turned away unseen
	Backfill bool    // whatever fits first starts; else the first waits until it fits
	Knee     int     // jobs held from which on the host loses efficiency; 0 = never
	Thrash   float64 // efficiency lost for each job held beyond the knee, as a share of what is left
	Start    float64 // share of its capacity that a cold host has
	WarmUp   int64   // until it is warm
	Window   int64   // over which the work that a cold host gets is counted
	Multiple float64 // of its present capacity; beyond it a cold host falls over; 0 = it never does
	Sets     int     // data sets kept; 0 = jobs need none
	Fetch    int64   // that fetching one takes from an idle store
	Progress int64   // between notes of progress; 0 = none
	Returns  bool    // a draining host hands back what has not started
}

// Job is one attempt as a host sees it.
type Job struct {
	Attempt uint64 // handle of the attempt, never used twice
	Key     string // under which the hosts of a cell drop repeats; empty where none are dropped
	Work    float64
	Slots   float64
	Memory  float64
	Set     uint64 // data set needed; 0 = none
	Part    *Part  // of a gang; nil where it is none
}

// NoteKind says what a note tells.
type NoteKind uint8

// The kinds of notes. After Done, Full, Failed, Returned and Lost nothing more is said of an attempt.
const (
	Taken NoteKind = iota
	Started
	Running  // Share
	Done     // the job ran to its end
	Repeat   // the cell ran it already, and it is not run again
	Full     // turned away unseen
	Failed   // an error; it may have run
	Returned // handed back unstarted
	Lost     // killed; it may have run
)

// Note is something that a host tells of an attempt.
type Note struct {
	Attempt uint64
	At      int64
	Kind    NoteKind
	Share   float64
}

// run is an attempt that a host holds.
type run struct {
	Job
	fetching bool
	fetch    float64 // of the store's time left
	left     float64 // of the work
	started  bool
	progress int64 // when the next note is due
}

// Host is one host's state.
type Host struct {
	Machine
	cell    *Cell
	store   *Store
	fabric  *Fabric
	now     int64
	upSince int64
	cold    bool
	warmed  int64 // when the next step of warming is due
	slow    float64
	errors  bool
	drains  bool
	down    bool
	running []*run
	waiting []*run
	sets    []uint64 // kept, the latest used last
	got     []offer  // to a cold host, within the window
	notes   []Note
	falls   int
	counts  Counts
	rates   float64 // work done in a microsecond on one slot, while nothing changes
}

// Counts is what became of the attempts that a host was offered, and what it did for them.
type Counts struct {
	Offered   int     `json:"offered"`
	Done      int     `json:"done"`
	Refused   int     `json:"refused"`      // turned away or handed back unstarted
	Failed    int     `json:"failed"`       // answered with an error, or lost with the process
	Unstarted int     `json:"called_off"`   // by their dispatchers, while they waited
	Stopped   int     `json:"stopped"`      // by their dispatchers, while they ran or fetched
	Waited    int     `json:"waited"`       // did not begin when they came
	Fetched   int     `json:"fetched"`      // needed their data set first
	Work      float64 `json:"work_us"`      // done in all, on a core of speed 1
	Vain      float64 `json:"vain_work_us"` // of that, for attempts that did not come to their end
}

// Add sums.
func (c *Counts) Add(o Counts) {
	c.Offered, c.Done, c.Refused, c.Failed = c.Offered+o.Offered, c.Done+o.Done, c.Refused+o.Refused, c.Failed+o.Failed
	c.Unstarted, c.Stopped, c.Waited, c.Fetched = c.Unstarted+o.Unstarted, c.Stopped+o.Stopped, c.Waited+o.Waited, c.Fetched+o.Fetched
	c.Work, c.Vain = c.Work+o.Work, c.Vain+o.Vain
}

type offer struct {
	at   int64
	work float64
}

// NewHost makes a host that has been up since a time, cold then or not.
func NewHost(m Machine, cell *Cell, store *Store, now int64, cold bool) *Host {
	h := &Host{Machine: m, cell: cell, store: store, now: now, upSince: now, slow: 1}
	h.heat(cold)
	return h
}

func (h *Host) heat(cold bool) {
	h.cold, h.warmed = cold && h.WarmUp > 0, Never
	if h.cold {
		h.warmed = h.now + max(h.WarmUp/warmSteps, 1)
	}
	h.pace()
}

// Keep puts data sets there as of old, the latest last.
func (h *Host) Keep(sets []uint64) {
	if h.Sets > 0 {
		h.sets = append(h.sets, sets[max(len(sets)-h.Sets, 0):]...)
	}
}

// Held is how many jobs are in work or waiting.
func (h *Host) Held() int { return len(h.running) + len(h.waiting) }

// Falls is how often it fell over.
func (h *Host) Falls() int { return h.falls }

// Counts tells what became of its attempts so far.
func (h *Host) Counts() Counts { return h.counts }

// Free is how many slots have no job, 0 where it takes none.
func (h *Host) Free() float64 {
	if h.down || h.drains || h.errors {
		return 0
	}
	free := h.Slots
	for _, r := range h.running {
		free -= r.Slots
	}
	return free
}

// Cold tells whether it still warms up.
func (h *Host) Cold() bool { return h.cold }

// Queued counts the jobs that wait unstarted: those that want one slot, and those that want more.
func (h *Host) Queued() (one, more int) {
	for _, r := range h.waiting {
		if r.Slots > 1 {
			more++
		} else {
			one++
		}
	}
	return one, more
}

// Down tells whether the process is gone.
func (h *Host) Down() bool { return h.down }

// UpSince is when its process last started.
func (h *Host) UpSince() int64 { return h.upSince }

// share is the part of its capacity that it has reached.
func (h *Host) share() float64 {
	if !h.cold {
		return 1
	}
	steps := float64((h.now - h.upSince) * warmSteps / h.WarmUp)
	return h.Start + (1-h.Start)*min(steps/warmSteps, 1)
}

// Capacity is the work that all cores do in a microsecond now.
func (h *Host) Capacity() float64 { return h.Cores * h.Speed * h.share() / h.slow }

// pace sets the rate at which each slot works until something changes.
func (h *Host) pace() {
	busy := 0.0
	for _, r := range h.running {
		if !r.fetching {
			busy += r.Slots
		}
	}
	rate := h.Speed * h.share() / h.slow
	if busy > h.Cores {
		rate *= h.Cores / busy
	}
	if over := h.Held() - h.Knee; h.Knee > 0 && over > 0 {
		rate *= math.Pow(1-h.Thrash, float64(over))
	}
	h.rates = rate
}

// Next is when something happens unless something comes before.
func (h *Host) Next() int64 {
	if h.down {
		return Never
	}
	next := h.warmed
	for _, r := range h.running {
		next = min(next, h.due(r))
		if h.Progress > 0 {
			next = min(next, r.progress)
		}
	}
	for _, r := range h.waiting {
		if r.Part != nil {
			next = min(next, max(r.Part.By, h.now))
		}
	}
	return next
}

// due is when a running job's fetch or work is over at the present pace.
func (h *Host) due(r *run) int64 {
	left := r.fetch
	if !r.fetching {
		left = r.left / h.rates
	}
	if left > 1e15 || r.Part != nil {
		return Never
	}
	return h.now + max(int64(math.Ceil(left)), 0)
}

// Advance lets time pass and gives what the host tells of it, valid until the next call.
func (h *Host) Advance(now int64) []Note {
	h.notes = h.notes[:0]
	h.advance(now)
	return h.notes
}

func (h *Host) advance(now int64) {
	for !h.down {
		next := h.Next()
		if next > now {
			break
		}
		h.pass(next)
		h.happen()
	}
	h.pass(max(now, h.now))
}

// pass moves time on without an event.
func (h *Host) pass(to int64) {
	dt := float64(to - h.now)
	h.now = to
	if dt <= 0 || h.down {
		return
	}
	for _, r := range h.running {
		if r.fetching {
			r.fetch -= dt
		} else if r.Part == nil {
			r.left -= dt * h.rates
		}
	}
}

// tiny is less work than a microsecond of the slowest host, and covers rounding.
const tiny = 1e-6

// happen does all that is due now.
func (h *Host) happen() {
	if h.now >= h.warmed {
		if h.warmed = h.now + max(h.WarmUp/warmSteps, 1); h.now-h.upSince >= h.WarmUp {
			h.cold, h.warmed, h.got = false, Never, nil
		}
	}
	h.overdue()
	h.running = slices.DeleteFunc(h.running, func(r *run) bool {
		switch {
		case r.Part != nil:
			return false
		case r.fetching && r.fetch <= tiny:
			h.fetched(r)
		case !r.fetching && r.left <= tiny:
			h.note(r, Done, 1)
			h.settle(r, true)
			return true
		}
		if h.Progress > 0 && h.now >= r.progress {
			r.progress = h.now + h.Progress
			h.note(r, Running, 1-r.left/r.Work)
		}
		return false
	})
	h.fill()
}

func (h *Host) note(r *run, kind NoteKind, share float64) {
	h.notes = append(h.notes, Note{Attempt: r.Attempt, At: h.now, Kind: kind, Share: share})
	switch kind {
	case Done:
		h.counts.Done++
		h.counts.Work += r.Work * r.Slots
	case Repeat:
		h.counts.Done++
	case Full, Returned:
		h.counts.Refused++
	case Failed, Lost:
		h.counts.Failed++
	}
}

// settle tells the cell what became of a keyed job.
func (h *Host) settle(r *run, done bool) {
	if r.Key == "" || h.cell == nil {
		return
	}
	if k, known := h.cell.seen[r.Key]; known && !done {
		delete(h.cell.seen, r.Key)
	} else if known {
		k.done = true
		h.cell.seen[r.Key] = k
	}
}

// Cancel stops an attempt whose dispatcher has given it up.
func (h *Host) Cancel(now int64, attempt uint64) []Note {
	h.notes = h.notes[:0]
	h.advance(now)
	gone := func(r *run) bool {
		if r.Attempt != attempt {
			return false
		}
		if r.started {
			h.counts.Stopped++
		} else {
			h.counts.Unstarted++
		}
		h.drop(r)
		return true
	}
	h.running = slices.DeleteFunc(h.running, gone)
	h.waiting = slices.DeleteFunc(h.waiting, gone)
	h.fill()
	return h.notes
}

// drop lets go of a job that has not come to its end.
func (h *Host) drop(r *run) {
	if r.fetching {
		h.store.active--
		r.fetching = false
	}
	if r.started {
		h.counts.Work += (r.Work - r.left) * r.Slots
		h.counts.Vain += (r.Work - r.left) * r.Slots
		if r.Part != nil {
			h.fabric.gone(h, r)
		}
	}
	h.settle(r, false)
}
