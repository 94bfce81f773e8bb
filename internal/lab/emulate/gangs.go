package emulate

import (
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"granitewing/internal/lab/model"
)

// latestStep is how late the hosts may look at their gangs without a word in the log.
const maxStepDelay = 250 * time.Millisecond

// part reads what a request says of being one part of several; nil where it says nothing, or the class has none.
func (e *Emulator) parsePart(req *http.Request, now int64) *model.Part {
	p := &model.Part{Name: req.Header.Get("X-Txn"), Gang: e.day.GangOf(req.Header.Get("X-Lane"))}
	if n, _ := fmt.Sscanf(req.Header.Get("X-Gang-Part"), "%d/%d", &p.Rank, &p.Parts); n != 2 || p.Gang == nil || p.Rank < 0 || p.Rank >= p.Parts {
		return nil
	}
	within, err := strconv.ParseFloat(req.Header.Get("X-Gang-Within"), 64)
	if err != nil {
		return nil
	}
	p.By = now + int64(within*1e6)
	return p
}

// step ends the parts whose gangs have ended, and sets the timer of the next; the lock is held.
func (e *Emulator) stepGangs() {
	if e.steppingGangs || e.closed {
		return // a part that ends is told below
	}
	e.steppingGangs = true
	for {
		ends := e.fabric.Advance(e.now())
		if len(ends) == 0 {
			break
		}
		for _, x := range ends {
			for _, h := range e.hosts {
				if h.model == x.Host {
					h.deliverNotes(h.model.Finish(e.now(), x.Attempt, x.OK))
				}
			}
		}
	}
	e.steppingGangs = false
	if e.gangTimer != nil {
		e.gangTimer.Stop()
	}
	next := e.fabric.Next()
	if next == model.Never {
		return
	}
	e.gangTimer = time.AfterFunc(time.Duration(next-e.now())*time.Microsecond, func() {
		fired := e.now()
		e.mu.Lock()
		defer e.mu.Unlock()
		if now := e.now(); now-next > maxStepDelay.Microseconds() {
			slog.Warn("gangs are looked at late", "timer_late_us", fired-next, "lock_waited_us", now-fired)
		}
		e.stepGangs()
	})
}

// Gangs tells what the hosts saw of gangs.
func (e *Emulator) Gangs() *model.GangReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fabric.Report()
}
