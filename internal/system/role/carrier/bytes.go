package carrier

import (
	"time"

	"granitewing/internal/system/wire"
)

// limitBytes leaves a message's bytes on the stores while much is waiting here; they are read back when it is due.
func (c *Core) limitBytes(it *item) {
	if !c.bodiesFull() || len(it.message.Body) == 0 {
		return
	}
	c.forgetBytes(it)
	it.fetching = true
	c.env.After(max(0, it.due-c.env.Now()), func() { c.fetch(it, 0) })
}

const fetchPause = 200 * time.Millisecond

// fetch reads a message's bytes back from one of its holders.
func (c *Core) fetch(it *item, turn int) {
	if it.ended || it.unit.dropped {
		return
	}
	holders := c.stores.recipients(it.holders)
	retry := func() { c.env.After(fetchPause, func() { c.fetch(it, turn+1) }) }
	if len(holders) == 0 {
		retry()
		return
	}
	disk := holders[turn%len(holders)]
	if c.bodiesFull() || !c.stores.isUp(disk) {
		retry()
		return
	}
	body := wire.FindBody{ID: it.message.ID, WithBody: true}
	c.env.Call(c.stores.address(disk), wire.FindMessage, wire.Encode(&body), listTimeout, func(payload []byte, err error) {
		var answer wire.FindAnswer
		if err == nil {
			err = wire.Decode(wire.FindMessage, payload, &answer)
		}
		if err != nil || !answer.HasBody {
			retry()
			return
		}
		whole := *it.message
		whole.Body = answer.Body
		it.message = &whole
		it.fetching = false
		c.bodyBytes += int64(len(whole.Body))
		c.ready(it)
	})
}
