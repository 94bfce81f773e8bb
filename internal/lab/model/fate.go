package model

// What happens to a host from outside.

// kill ends the process: whoever waits hears nothing from here.
func (h *Host) kill() {
	for _, r := range append(h.running, h.waiting...) {
		h.counts.Failed++
		h.drop(r)
	}
	h.running, h.waiting, h.down, h.got, h.sets = nil, nil, true, nil, nil
}

// Crash ends the process.
func (h *Host) Crash(now int64) {
	h.advance(now)
	h.kill()
}

// Restart starts the process anew, cold.
func (h *Host) Restart(now int64) {
	h.kill()
	h.down, h.drains, h.errors, h.slow, h.now, h.upSince = false, false, false, 1, now, now
	h.heat(true)
}

// Slow makes it slower by a factor; 1 is its own pace.
func (h *Host) Slow(now int64, factor float64) []Note {
	notes := h.Advance(now)
	h.slow = max(factor, 1e-3)
	h.pace()
	return notes
}

// Errors lets it answer each new job with an error, or no more.
func (h *Host) Errors(on bool) { h.errors = on }

// Drain lets it complete what it has; what has not started goes back where it hands such jobs back.
func (h *Host) Drain(now int64) []Note {
	h.notes = h.notes[:0]
	h.advance(now)
	h.drains = true
	if h.Returns {
		for _, r := range h.waiting {
			h.note(r, Returned, 0)
			h.drop(r)
		}
		h.waiting = nil
		h.pace()
	}
	return h.notes
}
