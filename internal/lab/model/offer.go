package model

import "slices"

// From an attempt's coming to its running.

// Offer takes an attempt.
func (h *Host) Offer(now int64, j Job) []Note {
	h.notes = h.notes[:0]
	h.advance(now)
	if h.down {
		return nil
	}
	h.counts.Offered++
	j.Slots, j.Work = max(j.Slots, 1), max(j.Work, 1)
	r := &run{Job: j, left: j.Work, progress: Never}
	switch {
	case h.errors:
		h.note(r, Failed, 0)
		return h.notes
	case j.Slots > h.Slots, h.Memory > 0 && j.Memory > h.Memory, len(h.waiting) >= h.Queue && !h.fits(r):
		h.note(r, Full, 0)
		return h.notes
	}
	if j.Key != "" && h.cell != nil {
		h.cell.forget(now)
		switch k, known := h.cell.seen[j.Key]; {
		case known && k.done:
			h.note(r, Taken, 0)
			h.note(r, Repeat, 1)
			return h.notes
		case known: // it runs or waits in this cell; a second copy is not taken
			h.note(r, Full, 0)
			return h.notes
		}
		h.cell.seen[j.Key] = keyed{at: now}
		h.cell.order = append(h.cell.order, j.Key)
	}
	if h.fall(now, j) {
		return h.notes
	}
	h.note(r, Taken, 0)
	h.waiting = append(h.waiting, r)
	h.fill()
	if slices.Contains(h.waiting, r) {
		h.counts.Waited++
	}
	return h.notes
}

// fall tells whether a cold host falls over under what it gets. The largest job within the window does not count, so
// that a single one never brings a host down.
func (h *Host) fall(now int64, j Job) bool {
	if !h.cold || h.Multiple <= 0 || h.Window <= 0 {
		return false
	}
	h.got = slices.DeleteFunc(append(h.got, offer{now, j.Work * j.Slots}), func(o offer) bool { return now-o.at > h.Window })
	sum, most := 0.0, 0.0
	for _, o := range h.got {
		sum += o.work
		most = max(most, o.work)
	}
	if sum-most <= h.Multiple*h.Capacity()*float64(h.Window) {
		return false
	}
	h.falls++
	h.kill()
	return true
}

// fits tells whether a job could start beside those in work.
func (h *Host) fits(r *run) bool {
	slots, memory := r.Slots, r.Memory
	for _, o := range h.running {
		slots += o.Slots
		memory += o.Memory
	}
	return slots <= h.Slots && (h.Memory <= 0 || memory <= h.Memory)
}

// fill starts what waits and fits.
func (h *Host) fill() {
	for i := 0; i < len(h.waiting); {
		r := h.waiting[i]
		if h.fits(r) {
			h.waiting = slices.Delete(h.waiting, i, i+1)
			h.running = append(h.running, r)
			h.begin(r)
			continue
		}
		if !h.Backfill {
			break
		}
		i++
	}
	h.pace()
}

// begin starts a job, with its fetch where its data set is not here. A job has started, and says so, once it holds its
// slots: on the operators' bench the time from the note of the start to the end has the fetch in it, and the time to the
// note has not.
func (h *Host) begin(r *run) {
	r.started = true
	if h.Progress > 0 && r.Part == nil {
		r.progress = h.now + h.Progress
	}
	h.note(r, Started, 0)
	if r.Part != nil {
		h.pace()
		h.fabric.began(h, r)
		return
	}
	if r.Set != 0 && h.Sets > 0 {
		if i := slices.Index(h.sets, r.Set); i >= 0 {
			h.sets = append(slices.Delete(h.sets, i, i+1), r.Set)
		} else {
			h.store.active++
			h.counts.Fetched++
			r.fetching = true
			r.fetch = max(float64(h.Fetch)*max(1, float64(h.store.active)/max(h.store.Room, 1)), 1)
			return
		}
	}
	h.fetched(r)
}

// fetched goes on with a job that has its data set.
func (h *Host) fetched(r *run) {
	if r.Set != 0 && h.Sets > 0 && !slices.Contains(h.sets, r.Set) {
		h.sets = append(h.sets, r.Set)
		if len(h.sets) > h.Sets {
			h.sets = h.sets[1:]
		}
	}
	if r.fetching {
		h.store.active--
		r.fetching = false
	}
	h.pace()
}
