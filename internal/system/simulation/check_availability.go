package simulation

import (
	"fmt"
	"sort"
	"time"
)

// Bounds of an outage, a period in which no message is accepted.
const (
	maxOutage         = 2 * time.Second // longest outage without unplanned faults
	minOutageMessages = 20              // fewest messages sent in an outage
)

// checkAvailability checks that no outage is long, except after unplanned faults. Planned operations, however many
// overlap, leave enough machines running, and the system repairs by itself whatever a fault left behind.
func (c *checker) checkAvailability() {
	var since time.Duration
	refused := 0
	for _, r := range c.recordsBySendTime() {
		if r.status != statusRefused && r.status != 0 || !c.undisturbed(r.sentAt) {
			refused = 0
			continue
		}
		if refused++; refused == 1 {
			since = r.sentAt
		}
		if r.sentAt-since > maxOutage && refused >= minOutageMessages {
			c.reportViolation(r.sentAt, "REST", fmt.Sprintf("no message was accepted since %.3f s", since.Seconds()))
			return
		}
	}
}

// recordsBySendTime returns all messages in the order in which they were sent.
func (c *checker) recordsBySendTime() []*messageRecord {
	records := make([]*messageRecord, 0, len(c.records))
	for _, r := range c.records {
		records = append(records, r)
	}
	sort.Slice(records, func(i, j int) bool {
		if records[i].sentAt != records[j].sentAt {
			return records[i].sentAt < records[j].sentAt
		}
		return records[i].id < records[j].id
	})
	return records
}
