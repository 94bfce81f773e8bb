package model

// This file holds the external events of a host: crash, restart, slowness, errors and drain.

// kill ends the process. It produces no notes for the attempts that are lost.
func (h *Host) kill() {
	for _, t := range append(h.running, h.waiting...) {
		h.counts.Failed++
		h.abandon(t)
	}
	h.running, h.waiting, h.down, h.coldOffers, h.cachedSets = nil, nil, true, nil, nil
}

// Crash kills the process. It produces no notes; the driver has to fail the attempts.
func (h *Host) Crash(now int64) {
	h.advance(now)
	h.kill()
}

// Restart starts a new process, which has to warm up.
func (h *Host) Restart(now int64) {
	h.kill()
	h.down, h.draining, h.answersErrors, h.slowdown, h.now, h.upSince = false, false, false, 1, now, now
	h.startWarmUp(true)
}

// Slow makes the host slower by a factor; 1 is its normal speed. It returns the notes due until now, like Advance.
func (h *Host) Slow(now int64, factor float64) []Note {
	notes := h.Advance(now)
	h.slowdown = max(factor, 1e-3)
	h.updateRate()
	return notes
}

// Errors makes the host answer each new job with an error, or stops that.
func (h *Host) Errors(on bool) { h.answersErrors = on }

// Drain starts a drain: the host completes the jobs it has. If Machine.Returns is set, it returns waiting jobs
// unstarted.
func (h *Host) Drain(now int64) []Note {
	h.notes = h.notes[:0]
	h.advance(now)
	h.draining = true
	if h.Returns {
		for _, t := range h.waiting {
			h.addNote(t, Returned, 0)
			h.abandon(t)
		}
		h.waiting = nil
		h.updateRate()
	}
	return h.notes
}
