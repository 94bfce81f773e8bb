package store

import (
	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Maximum sizes of one answer.
const (
	maxAnswerBytes   = 512 << 10
	maxAnswerRecords = 4000
)

// readMessage reads a message from the disk.
func (c *Core) readMessage(e *entry) (*message.Message, error) {
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

// List returns one part of a unit's messages that are pending or whose callback is owed. An error means that a
// message could not be read from the log.
func (c *Core) List(body wire.ListBody) (wire.ListAnswer, error) {
	answer := wire.ListAnswer{Complete: c.complete, Next: body.After}
	size := 0
	for _, e := range c.index.entriesAfter(body.Unit, body.After) {
		if size > maxAnswerBytes || len(answer.Messages) > maxAnswerRecords {
			answer.More = true
			break
		}
		answer.Next = e.sequence
		if !e.listed() {
			continue
		}
		e.shared = true
		m, err := c.readMessage(e)
		if err != nil {
			return answer, err
		}
		size += len(m.Body) + len(m.Target)
		answer.Messages = append(answer.Messages, wire.ListedMessage{Message: *m, Phase: e.phase, Stamp: e.stamp,
			Age: c.now - e.arrivedAt})
	}
	return answer, nil
}

// Find returns what the store knows of a message, with its body on request. An error means that the message could
// not be read from the log.
func (c *Core) Find(body wire.FindBody) (wire.FindAnswer, error) {
	answer := wire.FindAnswer{Complete: c.complete}
	e := c.index.get(body.ID)
	if e == nil || e.void || !e.held && e.phase == message.Pending {
		return answer, nil
	}
	answer.Known, answer.Phase, answer.Stamp = true, e.phase, e.stamp
	if body.WithBody && e.held && e.phase != message.Succeeded {
		m, err := c.readMessage(e)
		if err != nil {
			return answer, err
		}
		answer.Body, answer.HasBody = m.Body, true
	}
	return answer, nil
}

// FindOutcomes returns the outcomes of those of the given messages that have completed.
func (c *Core) FindOutcomes(ids []string) []message.Outcome {
	var ends []message.Outcome
	for _, id := range ids {
		if e := c.index.get(id); e != nil && !e.void && e.phase != message.Pending {
			ends = append(ends, message.Outcome{ID: id, Phase: e.phase, Stamp: e.stamp, CallbackOwed: e.callbackOwed})
		}
	}
	return ends
}

// LongPending returns at most maxLongPending ids of messages that have been pending for at least longPendingAfter.
// Other stores may know their outcomes.
func (c *Core) LongPending() []string {
	var ids []string
	for _, unit := range ordered.Map(c.index.units) {
		for _, e := range unit.entries {
			if len(ids) >= maxLongPending {
				return ids
			}
			if c.longPending(e) {
				ids = append(ids, e.id)
			}
		}
	}
	return ids
}
