package store

import (
	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
)

// cleaning is the state of cleaning the log: the records still needed from the oldest segments are appended again,
// and the segments are removed once those records are synced. On a full disk the records wait for space, and no
// segment is removed before that.
type cleaning struct {
	running       bool
	upTo          uint64 // the last of the segments that are being cleaned
	removableUpTo uint64 // segments up to this one hold nothing that is needed
}

// cleanedDivisor sets how much is cleaned at a time: the oldest 1/cleanedDivisor of the segments.
const cleanedDivisor = 2

// Clean begins to clean the oldest segments if the log has grown enough since the last cleaning. Segments are given
// by number, oldest first. An error means that a message could not be read from the log.
func (c *Core) Clean(segments []uint64) error {
	grown := float64(c.logBytes) > minCleanGrowth*float64(c.bytesAfterCleaning)
	if c.cleaning.running || len(segments) <= 2 || !grown || float64(c.logBytes) <= cleanThreshold*float64(c.options.DiskBytes) {
		return nil
	}
	oldest := segments[len(segments)/cleanedDivisor-1]
	c.cleaning.running, c.cleaning.upTo = true, oldest
	for _, e := range c.index.changedSince(0, len(c.index.entries)) {
		if err := c.rewrite(e, oldest); err != nil {
			return err
		}
	}
	for _, unit := range c.takenOver.order {
		c.append(record{Kind: recordFenced, Unit: unit}, nil)
	}
	// Records are synced in the order in which they are appended, so all others are durable once this last one is.
	c.append(c.startedRecord(), func(segment.Position) {
		c.cleaning.running, c.cleaning.removableUpTo = false, oldest
	})
	return nil
}

// RemovableSegments returns those of the log's segments that hold nothing that is needed, oldest first. The newest
// segment is never among them.
func (c *Core) RemovableSegments(segments []uint64) []uint64 {
	count := 0
	for count < len(segments)-1 && segments[count] <= c.cleaning.removableUpTo {
		count++
	}
	return segments[:count]
}

// rewrite appends an entry's message again if it lies in a segment that is being cleaned, and its outcome in any
// case: the index does not record in which segment an outcome lies.
func (c *Core) rewrite(e *entry, oldest uint64) error {
	if e.held && e.position.Segment <= oldest {
		if !e.needsBytes() {
			e.held = false
		} else {
			m, err := c.readMessage(e)
			if err != nil {
				return err
			}
			c.append(record{Kind: recordMessage, Message: m, At: e.arrivedAt}, func(position segment.Position) { e.position = position })
		}
	}
	switch {
	case e.void:
		c.append(record{Kind: recordVoid, ID: e.id, Unit: e.unit, At: e.completedAt}, nil)
	case e.phase != message.Pending:
		end := message.Outcome{ID: e.id, Phase: e.phase, Stamp: e.stamp, CallbackOwed: e.callbackOwed}
		c.append(record{Kind: recordEnd, ID: e.id, Unit: e.unit, End: &end, At: e.completedAt}, nil)
	}
	return nil
}

// SegmentRemoved reports that a segment was deleted from the disk.
func (c *Core) SegmentRemoved(number uint64) {
	c.logBytes -= c.segmentSizes[number]
	c.bytesAfterCleaning = c.logBytes
	delete(c.segmentSizes, number)
}
