package carrier

import (
	"time"

	"granitewing/internal/system/message"
)

// recentEnds remembers the latest ends, so that what comes again is known and states are told without asking a store.
type recentEnds struct {
	ends  map[string]message.End
	order []recentEnd
	// forgotten is when the latest of those ends was added that are not remembered any more; 0 where all are.
	forgotten time.Duration
}

// recentEnd is an end's place in the order of time.
type recentEnd struct {
	id string
	at time.Duration
}

const maxRecentEnds = 20000

func newRecentEnds() *recentEnds { return &recentEnds{ends: map[string]message.End{}} }

func (r *recentEnds) add(now time.Duration, end message.End) {
	if _, known := r.ends[end.ID]; !known {
		r.order = append(r.order, recentEnd{id: end.ID, at: now})
	}
	r.ends[end.ID] = end
	if len(r.order) > maxRecentEnds {
		half := len(r.order) / 2
		for _, old := range r.order[:half] {
			delete(r.ends, old.id)
		}
		r.forgotten = r.order[half-1].at
		r.order = append([]recentEnd(nil), r.order[half:]...)
	}
}

func (r *recentEnds) get(id string) (message.End, bool) {
	end, known := r.ends[id]
	return end, known
}
