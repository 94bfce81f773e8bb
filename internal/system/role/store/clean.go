package store

import (
	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
)

// cleaning is the emptying of the log's oldest segments: what is needed of them is written again, and they are removed
// once that is synced. On a full disk it waits for room, and nothing is removed before.
type cleaning struct {
	running bool
	upTo    uint64 // the last of the segments that are being emptied
	emptied uint64 // segments up to this one hold nothing that is needed
}

// cleanedPart is the part of the segments, the older ones, that is emptied at a time: one in so many.
const cleanedPart = 2

// Clean begins to empty the oldest of the log's segments where they have grown too many.
func (c *Core) Clean(segments []uint64) error {
	grown := float64(c.bytes) > cleanGrowth*float64(c.cleaned)
	if c.cleaning.running || len(segments) <= 2 || !grown || float64(c.bytes) <= cleanShare*float64(c.options.DiskBytes) {
		return nil
	}
	oldest := segments[len(segments)/cleanedPart-1]
	c.cleaning.running, c.cleaning.upTo = true, oldest
	for _, e := range c.index.changedSince(0, len(c.index.entries)) {
		if err := c.rewrite(e, oldest); err != nil {
			return err
		}
	}
	for _, unit := range c.takenOver.order {
		c.append(record{Kind: recordFenced, Unit: unit}, nil)
	}
	// Records are synced in their order, so this one is the last.
	c.append(c.startedRecord(), func(segment.Position) {
		c.cleaning.running, c.cleaning.emptied = false, oldest
	})
	return nil
}

// Removable gives those of the log's segments that hold nothing that is needed, oldest first; the newest is not among them.
func (c *Core) Removable(segments []uint64) []uint64 {
	count := 0
	for count < len(segments)-1 && segments[count] <= c.cleaning.emptied {
		count++
	}
	return segments[:count]
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
			c.append(record{Kind: recordMessage, Message: m, At: e.arrived}, func(position segment.Position) { e.position = position })
		}
	}
	switch {
	case e.void:
		c.append(record{Kind: recordVoid, ID: e.id, Unit: e.unit, At: e.endedAt}, nil)
	case e.phase != message.Pending:
		end := message.End{ID: e.id, Phase: e.phase, Stamp: e.stamp, CallbackOwed: e.callbackOwed}
		c.append(record{Kind: recordEnd, ID: e.id, Unit: e.unit, End: &end, At: e.endedAt}, nil)
	}
	return nil
}

// Removed tells that a segment is gone.
func (c *Core) Removed(number uint64) {
	c.bytes -= c.sizes[number]
	c.cleaned = c.bytes
	delete(c.sizes, number)
}
