package simulation

import (
	"fmt"
	"sort"
	"time"
)

// Bounds of a rest of the whole service, in which no message is taken on.
const (
	restMost     = 2 * time.Second // without unplanned trouble
	restMessages = 20              // that were sent in it, at least
)

// judgeService sees that the service never rested for long but after unplanned trouble: planned work, however much of it overlaps,
// leaves enough machines, and whatever a trouble left behind is mended by itself.
func (c *checker) judgeService() {
	var since time.Duration
	refused := 0
	for _, r := range c.bySending() {
		if r.verdict != statusRefused && r.verdict != 0 || !c.calm(r.sent) {
			refused = 0
			continue
		}
		if refused++; refused == 1 {
			since = r.sent
		}
		if r.sent-since > restMost && refused >= restMessages {
			c.breakRule(r.sent, "REST", fmt.Sprintf("no message was taken on since %.3f s", since.Seconds()))
			return
		}
	}
}

// bySending gives all messages in the order in which they were sent.
func (c *checker) bySending() []*record {
	records := make([]*record, 0, len(c.records))
	for _, r := range c.records {
		records = append(records, r)
	}
	sort.Slice(records, func(i, j int) bool {
		if records[i].sent != records[j].sent {
			return records[i].sent < records[j].sent
		}
		return records[i].id < records[j].id
	})
	return records
}
