package store

import (
	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
)

// WantsCleaning tells whether the oldest of the log's segments should be emptied.
func (c *Core) WantsCleaning(segments int) bool {
	grown := float64(c.bytes) > cleanGrowth*float64(c.cleaned)
	return segments > 2 && grown && float64(c.bytes) > cleanShare*float64(c.options.DiskBytes)
}

// Clean writes again what is needed of the segments up to one, so that they can be removed once the batch is synced.
func (c *Core) Clean(oldest uint64) error {
	for _, e := range c.index.changedSince(0, len(c.index.entries)) {
		if err := c.rewrite(e, oldest); err != nil {
			return err
		}
	}
	c.appendStarted()
	return nil
}

// rewrite appends an entry's message and end again. Ends are written for every entry whose message might be, since
// where an end lies is not kept.
func (c *Core) rewrite(e *entry, oldest uint64) error {
	if e.held && e.position.Segment <= oldest {
		if !e.needsBytes() {
			e.held = false
		} else {
			m, err := c.message(e)
			if err != nil {
				return err
			}
			c.append(record{Kind: recordMessage, Message: m, Wall: c.wallOf(e.arrived)}, func(position segment.Position) { e.position = position })
		}
	}
	switch {
	case e.void:
		c.append(record{Kind: recordVoid, ID: e.id, Unit: e.unit, Wall: c.wallOf(e.endedAt)}, nil)
	case e.phase != message.Pending:
		end := message.End{ID: e.id, Phase: e.phase, Stamp: e.stamp, CallbackOwed: e.callbackOwed}
		c.append(record{Kind: recordEnd, ID: e.id, Unit: e.unit, End: &end, Wall: c.wallOf(e.endedAt)}, nil)
	}
	return nil
}

// Removed tells that a segment is gone.
func (c *Core) Removed(number uint64) {
	c.bytes -= c.sizes[number]
	c.cleaned = c.bytes
	delete(c.sizes, number)
}
