package carrier

import (
	"time"

	"granitewing/internal/system/message"
)

// recentOutcomes remembers the latest outcomes, so that repeated messages are recognized and states are reported
// without a query to the stores.
type recentOutcomes struct {
	outcomes map[string]message.Outcome
	order    []recentOutcome
	// forgottenUntil is when the newest of the discarded outcomes was added; 0 if none was discarded.
	forgottenUntil time.Duration
}

// recentOutcome is an entry in the order in which outcomes were added.
type recentOutcome struct {
	id string
	at time.Duration
}

const maxRecentOutcomes = 20000

func newRecentOutcomes() *recentOutcomes {
	return &recentOutcomes{outcomes: map[string]message.Outcome{}}
}

func (r *recentOutcomes) add(now time.Duration, outcome message.Outcome) {
	if _, known := r.outcomes[outcome.ID]; !known {
		r.order = append(r.order, recentOutcome{id: outcome.ID, at: now})
	}
	r.outcomes[outcome.ID] = outcome
	if len(r.order) > maxRecentOutcomes {
		half := len(r.order) / 2
		for _, old := range r.order[:half] {
			delete(r.outcomes, old.id)
		}
		r.forgottenUntil = r.order[half-1].at
		r.order = append([]recentOutcome(nil), r.order[half:]...)
	}
}

func (r *recentOutcomes) get(id string) (message.Outcome, bool) {
	outcome, known := r.outcomes[id]
	return outcome, known
}
