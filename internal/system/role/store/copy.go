package store

import (
	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
	"granitewing/internal/system/wire"
)

// TakeCopy takes copies of what another store holds.
func (c *Core) TakeCopy(messages []wire.CopiedMessage) {
	for i := range messages {
		c.takeCopied(&messages[i])
	}
}

func (c *Core) takeCopied(copied *wire.CopiedMessage) {
	id := copied.Message.ID
	if copied.Void {
		c.Void(id, func(*wire.RefusalBody) {})
		return
	}
	e := c.index.get(id)
	if e != nil && e.void {
		return
	}
	if e == nil || !e.held && copied.Message.Method != "" {
		c.keepCopy(e, copied)
	}
	if copied.End != nil {
		c.Ends([]message.End{*copied.End}, func() {})
	}
}

func (c *Core) keepCopy(e *entry, copied *wire.CopiedMessage) {
	m := &copied.Message
	if e == nil {
		e = c.index.add(m.ID, m.Unit, c.now-copied.Age)
	}
	c.index.join(e, m.Unit)
	if m.Method == "" {
		return // only its end is known
	}
	e.retention, e.callback = m.Retention, m.Callback != ""
	c.append(record{Kind: recordMessage, Message: m, At: e.arrived}, func(position segment.Position) {
		e.held, e.shared, e.position = true, true, position
		c.index.touch(e)
	})
}

// CopyFinished tells that all was taken that lies on too few other disks: the store counts as if it had never lost anything.
func (c *Core) CopyFinished() {
	if c.complete {
		return
	}
	c.complete = true
	c.append(record{Kind: recordComplete}, nil)
}
