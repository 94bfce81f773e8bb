package store

import (
	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
	"granitewing/internal/system/wire"
)

// AddCopies adds copies of messages that another store holds.
func (c *Core) AddCopies(messages []wire.CopiedMessage) {
	for i := range messages {
		c.addCopy(&messages[i])
	}
}

func (c *Core) addCopy(copied *wire.CopiedMessage) {
	id := copied.Message.ID
	if copied.Cancelled {
		c.Cancel(id, func(*wire.RefusalBody) {})
		return
	}
	e := c.index.get(id)
	if e != nil && e.void {
		return
	}
	if e == nil || !e.held && copied.Message.Method != "" {
		c.storeCopy(e, copied)
	}
	if copied.Outcome != nil {
		c.PutOutcomes([]message.Outcome{*copied.Outcome}, func() {})
	}
}

func (c *Core) storeCopy(e *entry, copied *wire.CopiedMessage) {
	m := &copied.Message
	if e == nil {
		e = c.index.add(m.ID, m.Unit, c.now-copied.Age)
	}
	c.index.joinUnit(e, m.Unit)
	if m.Method == "" {
		return // only the outcome is known
	}
	e.lifetime, e.hasCallback = m.Delay+m.Retention, m.Callback != ""
	c.append(record{Kind: recordMessage, Message: m, At: e.arrivedAt}, func(position segment.Position) {
		e.held, e.shared, e.position = true, true, position
		c.index.recordChange(e)
	})
}

// FinishBackfill reports that the store has copied everything that too few other disks hold. From now on the store is
// complete, as if its disk had never lost anything.
func (c *Core) FinishBackfill() {
	if c.complete {
		return
	}
	c.complete = true
	c.append(record{Kind: recordComplete}, nil)
}
