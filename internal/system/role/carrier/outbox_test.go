package carrier

import (
	"errors"
	"testing"

	"granitewing/internal/system/message"
)

// Guards against records that are dropped without a report: a disk that accepts nothing for long has more pending
// records than its outbox holds.
func TestDroppedRecordsAreReported(t *testing.T) {
	r := newFixture()
	r.store("disk-1").unresponsive = true
	u := r.core.own
	for range maxOutbox + 1 {
		r.core.stores.recordOutcome(u, []string{"disk-1", "disk-2"}, message.Outcome{ID: "m", Phase: message.Succeeded})
	}
	var dropped *RecordsDroppedError
	for _, err := range r.reports {
		if errors.As(err, &dropped) && dropped.Disk == "disk-1" && dropped.Count == maxOutbox/2 {
			return
		}
	}
	t.Errorf("reported %v", r.reports)
}
