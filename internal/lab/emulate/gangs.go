package emulate

import (
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"granitewing/internal/lab/model"
)

// maxStepDelay is how late a gang step may run before it is logged.
const maxStepDelay = 250 * time.Millisecond

// parsePart reads the headers that make a request one part of a gang. It returns nil if the request has no such
// headers, they are malformed, or the class has no gangs.
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

// stepGangs finishes the parts whose gangs have completed or failed, and sets the timer for the next step. The
// caller holds mu.
func (e *Emulator) stepGangs() {
	if e.steppingGangs || e.closed {
		return // a part that finishes in the loop below calls back here through deliverNotes
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
			slog.Warn("gang step ran late", "timer_late_us", fired-next, "lock_waited_us", now-fired)
		}
		e.stepGangs()
	})
}

// GangReport returns what the hosts observed of gangs so far.
func (e *Emulator) GangReport() *model.GangReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fabric.Report()
}
