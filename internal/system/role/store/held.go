package store

import (
	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// maxListedEntries is the maximum number of changed entries that one part of a list by ListHeld covers.
const maxListedEntries = 8000

// ListHeld lists one part of what the store holds, ordered by latest change.
func (c *Core) ListHeld(body wire.HeldBody) wire.HeldAnswer {
	answer := wire.HeldAnswer{Next: body.After, Epoch: c.syncedEpoch, Disk: c.disk}
	changed := c.index.changedSince(body.After, maxListedEntries)
	answer.More = len(changed) == maxListedEntries
	for _, e := range changed {
		answer.Next = e.changeNumber
		if state := e.heldState(); state != 0 {
			answer.IDs = append(answer.IDs, e.id)
			answer.States = append(answer.States, state)
		}
	}
	return answer
}

// heldState returns what is held of a message, 0 if nothing that another store could need.
func (e *entry) heldState() wire.HeldState {
	if e.void {
		return wire.HeldCancellation
	}
	var state wire.HeldState
	if e.needsBytes() {
		state |= wire.HeldMessage
	}
	if e.phase != message.Pending {
		state |= wire.HeldOutcome
	}
	if e.phase != message.Pending && e.callbackOwed {
		state |= wire.HeldPendingCallback
	}
	return state
}

// Copies returns copies of the given messages, as far as the store holds something of them and an answer has space.
// More is set if the answer was cut short. An error means that a message could not be read from the log.
func (c *Core) Copies(ids []string) (wire.CopiesBody, error) {
	var answer wire.CopiesBody
	size := 0
	for _, id := range ids {
		if size > maxAnswerBytes {
			answer.More = true
			break
		}
		e := c.index.get(id)
		if e == nil || e.heldState() == 0 {
			continue
		}
		copied, err := c.copyOf(e)
		if err != nil {
			return answer, err
		}
		size += len(copied.Message.Body) + len(copied.Message.Target)
		answer.Messages = append(answer.Messages, *copied)
	}
	return answer, nil
}

// copyOf returns one entry in the form in which it is copied.
func (c *Core) copyOf(e *entry) (*wire.CopiedMessage, error) {
	copied := &wire.CopiedMessage{Cancelled: e.void, Age: c.now - e.arrivedAt}
	copied.Message.ID, copied.Message.Unit = e.id, e.unit
	if e.void {
		return copied, nil
	}
	if e.phase != message.Pending {
		copied.Outcome = &message.Outcome{ID: e.id, Phase: e.phase, Stamp: e.stamp, CallbackOwed: e.callbackOwed}
	}
	if e.needsBytes() {
		e.shared = true
		m, err := c.readMessage(e)
		if err != nil {
			return nil, err
		}
		copied.Message = *m
	}
	return copied, nil
}
