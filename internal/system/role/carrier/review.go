package carrier

import (
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

const (
	// reviewInterval bounds, with the time that a carrier needs to reach the stores again, how long after that an end of
	// its is not known to who took its messages over. It has to be well within the time for which a trouble excuses a
	// second run.
	reviewInterval = 800 * time.Millisecond
	reviewMost     = 500 // messages in one call
)

// reviewTaken asks the stores for the ends of messages that were taken over and wait here: their former carrier may have
// been cut off with an end that it could not tell, and tell it once it is back.
func (c *Core) reviewTaken() {
	c.env.After(reviewInterval, c.reviewTaken)
	waiting := map[string]*item{}
	byDisk := map[string][]string{}
	for _, u := range c.units {
		for id, it := range u.items {
			if it.taken && !it.ended && !it.flying {
				waiting[id] = it
			}
		}
	}
	for id, it := range ordered.Map(waiting) {
		for _, disk := range c.stores.recipients(it.holders) {
			if len(byDisk[disk]) < reviewMost {
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
	body := wire.FindEndsBody{IDs: ids}
	c.env.Call(c.stores.address(disk), wire.FindEnds, wire.Encode(&body), listTimeout, func(payload []byte, err error) {
		var answer wire.FoundEnds
		if err != nil || wire.Decode(wire.FindEnds, payload, &answer) != nil {
			return // it is asked again
		}
		for _, end := range answer.Ends {
			if it := waiting[end.ID]; it != nil {
				c.endedElsewhere(it, end)
			}
		}
	})
}

// endedElsewhere lets go of a message that its former carrier saw to its end.
func (c *Core) endedElsewhere(it *item, end message.End) {
	if it.ended || it.flying || it.unit.dropped {
		return
	}
	c.conclude(it, end)
}
