package driver

import (
	"context"
	"time"

	"granitewing/internal/memory"
	"granitewing/internal/record"
	"granitewing/internal/seam"
)

// refusedFor is when a client may come back whose request can't be recorded now.
const refusedFor = time.Second

// settleLimit is how long the end of the dispatcher waits for what is not written yet.
const settleLimit = 5 * time.Second

// Records has the driver keep a store of record.
type Records struct {
	Journal *record.Journal
	Store   record.Store
	Limit   time.Duration // of one write, after which it counts as failed
}

// journal is the driver's side of the store: one write at a time, made by a goroutine of its own, so that the owner
// never waits for it.
type journal struct {
	*record.Journal
	d      *Driver
	store  record.Store
	limit  time.Duration
	writes chan []record.Record
	timer  *time.Timer
	due    int64 // for which the timer is set
	failed bool  // the last write did
}

// Keep has the driver record requests; to be called before Run.
func (d *Driver) Keep(r Records) {
	d.journal = &journal{Journal: r.Journal, d: d, store: r.Store, limit: r.Limit, writes: make(chan []record.Record, 1)}
	go d.journal.writing()
}

// writing makes the writes.
func (j *journal) writing() {
	for {
		batch, more := seam.Recv(j.writes, j.d.done)
		if !more {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), j.limit)
		err := j.store.Write(ctx, batch)
		cancel()
		j.d.post(func() { j.wrote(err) })
	}
}

// flush begins the next write if there is something to write and none is under way.
func (j *journal) flush() {
	if batch := j.Batch(j.d.now()); batch != nil {
		seam.Send(j.writes, batch, nil) // never waits: Batch gives one only when the last is done
	}
	j.arm()
}

// arm sets the timer for what the journal next waits for.
func (j *journal) arm() {
	next := j.Next()
	if next == j.due {
		return
	}
	j.due = next
	if j.timer != nil {
		j.timer.Stop()
	}
	if next == 0 {
		return
	}
	j.timer = j.d.after(time.Duration(next-j.d.now())*time.Microsecond, func() {
		j.due = 0
		out, refuse, changed := j.Due(j.d.now())
		j.settle(out, refuse, changed)
		j.flush()
	})
}

// wrote takes the end of a write.
func (j *journal) wrote(err error) {
	if err != nil && !j.failed {
		j.d.log.Warn("store of record", "cause", err)
	}
	j.failed = err != nil
	out, changed := j.Wrote(j.d.now(), err)
	j.settle(out, nil, changed)
	if changed {
		more, refuse := j.Trouble(j.d.now())
		j.settle(more, refuse, false)
	}
	j.flush()
}

// settle carries out what the journal lets go, and has the core refuse what can't be recorded.
func (j *journal) settle(out []memory.Command, refuse []memory.ID, changed bool) {
	d := j.d
	if changed {
		state := "closed"
		if j.Breaker.Open() {
			state = "open"
		}
		s := j.Stats()
		d.log.Warn("store of record", "breaker", state, "opened", j.Breaker.Opened(), "waiting", j.Waiting(), "lost", s.Lost,
			"unrecorded", s.Unrecorded, "overtaken", s.Overtaken, "refused", s.Refused)
	}
	d.carry(out)
	for _, id := range refuse {
		d.do(d.core.Refuse(d.now(), id, refusedFor.Microseconds()))
	}
}

// settled tells whether all that was answered is written, or has been waited for long enough.
func (j *journal) settled() bool {
	return j.Waiting() == 0 || time.Since(j.d.stopped) > settleLimit
}
