package carrier

import "granitewing/internal/system/message"

// recentEnds remembers the latest ends, so that what comes again is known and states are told without asking a store.
type recentEnds struct {
	ends  map[string]message.End
	order []string
}

const maxRecentEnds = 20000

func newRecentEnds() *recentEnds { return &recentEnds{ends: map[string]message.End{}} }

func (r *recentEnds) add(end message.End) {
	if _, known := r.ends[end.ID]; !known {
		r.order = append(r.order, end.ID)
	}
	r.ends[end.ID] = end
	if len(r.order) > maxRecentEnds {
		half := len(r.order) / 2
		for _, id := range r.order[:half] {
			delete(r.ends, id)
		}
		r.order = append([]string(nil), r.order[half:]...)
	}
}

func (r *recentEnds) get(id string) (message.End, bool) {
	end, known := r.ends[id]
	return end, known
}
