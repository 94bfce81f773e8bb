package model

import "slices"

// This file takes an attempt from its arrival at a host to the start of its work.

// Offer gives the host an attempt. It returns the notes that follow at once, valid until the next call. A host that
// collapses under the attempt is down afterwards, without notes for the attempts it held.
func (h *Host) Offer(now int64, j Job) []Note {
	h.notes = h.notes[:0]
	h.advance(now)
	if h.down {
		return nil
	}
	h.counts.Offered++
	j.Slots, j.Work = max(j.Slots, 1), max(j.Work, 1)
	t := &task{Job: j, workLeft: j.Work, nextProgress: Never}
	switch {
	case h.answersErrors:
		h.addNote(t, Failed, 0)
		return h.notes
	case j.Slots > h.Slots, h.Memory > 0 && j.Memory > h.Memory, len(h.waiting) >= h.Queue && !h.fits(t):
		h.addNote(t, Full, 0)
		return h.notes
	}
	if j.Key != "" && h.cell != nil {
		h.cell.expire(now)
		switch k, known := h.cell.states[j.Key]; {
		case known && k.done:
			h.addNote(t, Taken, 0)
			h.addNote(t, Repeat, 1)
			return h.notes
		case known: // it runs or waits in this cell; a second copy is refused
			h.addNote(t, Full, 0)
			return h.notes
		}
		h.cell.states[j.Key] = keyState{seenAt: now}
		h.cell.keysByAge = append(h.cell.keysByAge, j.Key)
	}
	if h.collapseIfOverloaded(now, j) {
		return h.notes
	}
	h.addNote(t, Taken, 0)
	h.waiting = append(h.waiting, t)
	h.startWaiting()
	if slices.Contains(h.waiting, t) {
		h.counts.Waited++
	}
	return h.notes
}

// collapseIfOverloaded reports whether a cold host collapses under the work it was offered, and kills it then. The
// largest job within the window is not counted, so that a single job never brings a host down.
func (h *Host) collapseIfOverloaded(now int64, j Job) bool {
	if !h.cold || h.Multiple <= 0 || h.Window <= 0 {
		return false
	}
	h.coldOffers = slices.DeleteFunc(append(h.coldOffers, coldOffer{now, j.Work * j.Slots}), func(o coldOffer) bool { return now-o.at > h.Window })
	sum, most := 0.0, 0.0
	for _, o := range h.coldOffers {
		sum += o.work
		most = max(most, o.work)
	}
	if sum-most <= h.Multiple*h.Capacity()*float64(h.Window) {
		return false
	}
	h.collapses++
	h.kill()
	return true
}

// fits reports whether a job could start beside the running ones.
func (h *Host) fits(t *task) bool {
	slots, memory := t.Slots, t.Memory
	for _, o := range h.running {
		slots += o.Slots
		memory += o.Memory
	}
	return slots <= h.Slots && (h.Memory <= 0 || memory <= h.Memory)
}

// startWaiting starts the waiting jobs that fit, in order; only with backfill may a job pass one that does not fit.
func (h *Host) startWaiting() {
	for i := 0; i < len(h.waiting); {
		t := h.waiting[i]
		if h.fits(t) {
			h.waiting = slices.Delete(h.waiting, i, i+1)
			h.running = append(h.running, t)
			h.startTask(t)
			continue
		}
		if !h.Backfill {
			break
		}
		i++
	}
	h.updateRate()
}

// startTask starts a job, with a fetch if its data set is not cached. The Started note comes as soon as the job holds
// its slots: on the operators' bench the time from this note to the end includes the fetch, and the time before it does
// not.
func (h *Host) startTask(t *task) {
	t.started = true
	if h.Progress > 0 && t.Part == nil {
		t.nextProgress = h.now + h.Progress
	}
	h.addNote(t, Started, 0)
	if t.Part != nil {
		h.updateRate()
		h.fabric.partStarted(h, t)
		return
	}
	if t.Set != 0 && h.Sets > 0 {
		if i := slices.Index(h.cachedSets, t.Set); i >= 0 {
			h.cachedSets = append(slices.Delete(h.cachedSets, i, i+1), t.Set)
		} else {
			h.store.activeFetches++
			h.counts.Fetched++
			t.fetching = true
			t.fetchLeft = max(float64(h.Fetch)*max(1, float64(h.store.activeFetches)/max(h.store.Room, 1)), 1)
			return
		}
	}
	h.finishFetch(t)
}

// finishFetch continues a job whose data set is present.
func (h *Host) finishFetch(t *task) {
	if t.Set != 0 && h.Sets > 0 && !slices.Contains(h.cachedSets, t.Set) {
		h.cachedSets = append(h.cachedSets, t.Set)
		if len(h.cachedSets) > h.Sets {
			h.cachedSets = h.cachedSets[1:]
		}
	}
	if t.fetching {
		h.store.activeFetches--
		t.fetching = false
	}
	h.updateRate()
}
