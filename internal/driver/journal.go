package driver

import (
	"context"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/record"
	"granitewing/internal/syncpoint"
)

// journalRetryAfter is the Retry-After of a request that cannot be recorded now.
const journalRetryAfter = time.Second

// settleTimeout is how long shutdown waits for records that are not written yet.
const settleTimeout = 5 * time.Second

// Records configures the recording of requests in a store of record.
type Records struct {
	Journal      *record.Journal
	Store        record.Store
	WriteTimeout time.Duration // of one write, after which it counts as failed
}

// journal connects the driver to the store of record. A goroutine of its own makes one write at a time, so that the
// owner never waits for the store.
type journal struct {
	*record.Journal
	d               *Driver
	store           record.Store
	limit           time.Duration
	writes          chan []record.Record
	timer           *time.Timer
	timerAt         int64 // time for which the timer is set; 0 if it is not
	lastWriteFailed bool  // avoids a log line per failed write
}

// UseRecords makes the driver record requests. It must be called before Run.
func (d *Driver) UseRecords(r Records) {
	d.journal = &journal{Journal: r.Journal, d: d, store: r.Store, limit: r.WriteTimeout, writes: make(chan []record.Record, 1)}
	go d.journal.writeLoop()
}

// writeLoop writes batches to the store and posts each result to the owner.
func (j *journal) writeLoop() {
	for {
		batch, more := syncpoint.Recv(j.writes, j.d.done)
		if !more {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), j.limit)
		err := j.store.Write(ctx, batch)
		cancel()
		j.d.post(func() { j.wrote(err) })
	}
}

// flush starts the next write if there is something to write and no write is under way.
func (j *journal) flush() {
	if batch := j.Batch(j.d.now()); batch != nil {
		syncpoint.Send(j.writes, batch, nil) // never blocks: Batch returns one only after the previous write has finished
	}
	j.armTimer()
}

// armTimer sets the timer for the journal's next deadline.
func (j *journal) armTimer() {
	next := j.Next()
	if next == j.timerAt {
		return
	}
	j.timerAt = next
	if j.timer != nil {
		j.timer.Stop()
	}
	if next == 0 {
		return
	}
	j.timer = j.d.postAfter(time.Duration(next-j.d.now())*time.Microsecond, func() {
		j.timerAt = 0
		out, refuse, changed := j.HandleTimers(j.d.now())
		j.applyReleased(out, refuse, changed)
		j.flush()
	})
}

// wrote handles the result of a write.
func (j *journal) wrote(err error) {
	if err != nil && !j.lastWriteFailed {
		j.d.log.Warn("write to the store of record failed", "cause", err)
	}
	j.lastWriteFailed = err != nil
	out, changed := j.WriteDone(j.d.now(), err)
	j.applyReleased(out, nil, changed)
	if changed {
		released, refuse := j.ReleaseUnavailable(j.d.now())
		j.applyReleased(released, refuse, false)
	}
	j.flush()
}

// applyReleased executes the commands that the journal releases and has the core refuse requests that cannot be
// recorded.
func (j *journal) applyReleased(out []dispatch.Command, refuse []dispatch.ID, changed bool) {
	d := j.d
	if changed {
		state := "closed"
		if j.Breaker.Open() {
			state = "open"
		}
		s := j.Stats()
		d.log.Warn("circuit breaker of the store of record changed", "breaker", state, "opened", j.Breaker.Trips(), "waiting", j.Waiting(), "lost", s.Lost,
			"unrecorded", s.Unrecorded, "overtaken", s.Expired, "refused", s.Refused)
	}
	d.executeNow(out)
	for _, id := range refuse {
		d.execute(d.core.Refuse(d.now(), id, journalRetryAfter.Microseconds()))
	}
}

// flushed reports whether all answered requests are recorded, or shutdown has waited for settleTimeout.
func (j *journal) flushed() bool {
	return j.Waiting() == 0 || time.Since(j.d.stoppedAt) > settleTimeout
}
