package logic

// timerEntry is one timer; job and generation are set for the review of a job.
type timerEntry struct {
	at         int64
	kind       int
	job        int32
	generation uint32
}

// timerHeap is a binary heap with the earliest timer first.
type timerHeap []timerEntry

func (h *timerHeap) push(e timerEntry) {
	*h = append(*h, e)
	t := *h
	for i := len(t) - 1; i > 0; {
		up := (i - 1) / 2
		if t[up].at <= t[i].at {
			return
		}
		t[up], t[i] = t[i], t[up]
		i = up
	}
}

func (h *timerHeap) pop() timerEntry {
	t := *h
	top, last := t[0], len(t)-1
	t[0] = t[last]
	t = t[:last]
	*h = t
	for i := 0; ; {
		c := 2*i + 1
		if c >= last {
			return top
		}
		if c+1 < last && t[c+1].at < t[c].at {
			c++
		}
		if t[i].at <= t[c].at {
			return top
		}
		t[i], t[c] = t[c], t[i]
		i = c
	}
}
