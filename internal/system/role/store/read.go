package store

import (
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Bounds of asking others for ends.
const (
	askEndsAfter = 4 * time.Second
	maxAsked     = 500
)

// Sizes of one answer.
const (
	answerBytes   = 512 << 10
	answerRecords = 4000
)

// message reads a message from the disk.
func (c *Core) message(e *entry) (*message.Message, error) {
	payload, err := c.reader.Read(e.position)
	if err != nil {
		return nil, err
	}
	r, err := decodeRecord(e.position, payload)
	if err != nil {
		return nil, err
	}
	return r.Message, nil
}

// List gives a part of a unit's messages that have not ended or whose call-back is owed.
func (c *Core) List(body wire.ListBody) (wire.ListAnswer, error) {
	answer := wire.ListAnswer{Complete: c.complete, Next: body.After}
	size := 0
	for _, e := range c.index.after(body.Unit, body.After) {
		if size > answerBytes || len(answer.Messages) > answerRecords {
			answer.More = true
			break
		}
		answer.Next = e.place
		if !e.listed() {
			continue
		}
		e.shared = true
		m, err := c.message(e)
		if err != nil {
			return answer, err
		}
		size += len(m.Body) + len(m.Target)
		answer.Messages = append(answer.Messages, wire.ListedMessage{Message: *m, Phase: e.phase, Stamp: e.stamp,
			Age: c.now - e.arrived})
	}
	return answer, nil
}

// Find tells what the store knows of a message.
func (c *Core) Find(body wire.FindBody) (wire.FindAnswer, error) {
	answer := wire.FindAnswer{Complete: c.complete}
	e := c.index.get(body.ID)
	if e == nil || e.void || !e.held && e.phase == message.Pending {
		return answer, nil
	}
	answer.Known, answer.Phase, answer.Stamp = true, e.phase, e.stamp
	if body.WithBody && e.held && e.phase != message.Succeeded {
		m, err := c.message(e)
		if err != nil {
			return answer, err
		}
		answer.Body, answer.HasBody = m.Body, true
	}
	return answer, nil
}

// FindEnds gives the ends of those of some messages that have ended.
func (c *Core) FindEnds(ids []string) []message.End {
	var ends []message.End
	for _, id := range ids {
		if e := c.index.get(id); e != nil && !e.void && e.phase != message.Pending {
			ends = append(ends, message.End{ID: id, Phase: e.phase, Stamp: e.stamp, CallbackOwed: e.callbackOwed})
		}
	}
	return ends
}

// LongPending gives some messages that have been pending for long: others may know of their ends.
func (c *Core) LongPending() []string {
	var ids []string
	for _, unit := range ordered.Map(c.index.units) {
		for _, e := range unit.entries {
			if len(ids) >= maxAsked {
				return ids
			}
			if c.now-e.arrived < askEndsAfter {
				break
			}
			if e.pending() {
				ids = append(ids, e.id)
			}
		}
	}
	return ids
}
