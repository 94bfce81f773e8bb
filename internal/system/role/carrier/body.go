package carrier

import (
	"time"

	"granitewing/internal/system/wire"
)

// releaseBodyIfFull drops a message's body from memory while bodies use too much of it. The stores keep the body,
// and it is read back when the message is due.
func (c *Core) releaseBodyIfFull(it *item) {
	if !c.bodiesFull() || len(it.message.Body) == 0 {
		return
	}
	c.releaseBody(it)
	it.fetchingBody = true
	c.env.After(max(0, it.due-c.env.Now()), func() { c.fetchBody(it, 0) })
}

const (
	fetchRetry        = 200 * time.Millisecond
	fetchWarnAttempts = 25 // attempts between two warnings about a body that no disk returns
)

// BodyNotReadError reports a message that waits because no disk returns its body.
type BodyNotReadError struct{ ID string }

func (e *BodyNotReadError) Error() string { return "message " + e.ID }

// fetchBody reads a message's body back from one of the disks that hold it.
func (c *Core) fetchBody(it *item, attempt int) {
	if it.completed || it.unit.dropped {
		return
	}
	if attempt%fetchWarnAttempts == fetchWarnAttempts-1 {
		c.env.LogWarning("cannot read a message's body back", &BodyNotReadError{ID: it.message.ID})
	}
	holders := c.stores.recipients(it.holders)
	retry := func() { c.env.After(fetchRetry, func() { c.fetchBody(it, attempt+1) }) }
	if len(holders) == 0 {
		retry()
		return
	}
	disk := holders[attempt%len(holders)]
	if c.bodiesFull() || !c.stores.isUp(disk) {
		retry()
		return
	}
	body := wire.FindBody{ID: it.message.ID, WithBody: true}
	c.env.Call(c.stores.address(disk), wire.FindMessage, wire.Encode(&body), listTimeout, func(payload []byte, err error) {
		if it.completed || it.unit.dropped {
			return // its memory is not counted any more
		}
		var answer wire.FindAnswer
		if err == nil {
			err = wire.Decode(wire.FindMessage, payload, &answer)
		}
		if err != nil || !answer.HasBody {
			retry()
			return
		}
		complete := *it.message
		complete.Body = answer.Body
		it.message = &complete
		it.fetchingBody = false
		c.bodyBytes += int64(len(complete.Body))
		c.ready(it)
	})
}
