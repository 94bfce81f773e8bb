package carrier

import (
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

const (
	// reviewInterval, plus the time that a carrier needs to reach the stores again, bounds how long the new owner of
	// a message does not know an outcome of the former owner. It has to be well below the period after a failure in
	// which the delivery guarantee allows a second run.
	reviewInterval = 800 * time.Millisecond
	maxReviewIDs   = 500 // message IDs in one call
)

// reviewTakenOver queries the stores for the outcomes of waiting messages that were taken over. Their former
// carrier may have been cut off before it could report an outcome, and report it once it is back.
func (c *Core) reviewTakenOver() {
	c.env.After(reviewInterval, c.reviewTakenOver)
	waiting := map[string]*item{}
	byDisk := map[string][]string{}
	for _, u := range c.units {
		for id, it := range u.items {
			if it.takenOver && !it.completed && !it.inFlight {
				waiting[id] = it
			}
		}
	}
	for id, it := range ordered.Map(waiting) {
		for _, disk := range c.stores.recipients(it.holders) {
			if len(byDisk[disk]) < maxReviewIDs {
				byDisk[disk] = append(byDisk[disk], id)
			}
		}
	}
	for disk, ids := range ordered.Map(byDisk) {
		if c.stores.isUp(disk) {
			c.reviewAt(disk, ids, waiting)
		}
	}
}

func (c *Core) reviewAt(disk string, ids []string, waiting map[string]*item) {
	c.stores.findOutcomes(disk, ids, func(answer wire.FindOutcomesAnswer, err error) {
		if err != nil {
			return // the next review queries again
		}
		for _, outcome := range answer.Outcomes {
			if it := waiting[outcome.ID]; it != nil {
				c.completedElsewhere(it, outcome)
			}
		}
	})
}

// completedElsewhere records the outcome of a message that its former carrier completed, and removes the message.
func (c *Core) completedElsewhere(it *item, outcome message.Outcome) {
	if it.completed || it.inFlight || it.unit.dropped {
		return
	}
	c.recordOutcome(it, outcome)
}
