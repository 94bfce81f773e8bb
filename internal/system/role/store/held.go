package store

import (
	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// heldRecords is how many messages one part of a list of what is held names at the most.
const heldRecords = 8000

// Held lists a part of what the store holds, in the order of the latest changes.
func (c *Core) Held(body wire.HeldBody) wire.HeldAnswer {
	answer := wire.HeldAnswer{Next: body.After, Epoch: c.settled, Disk: c.disk}
	changed := c.index.changedSince(body.After, heldRecords)
	answer.More = len(changed) == heldRecords
	for _, e := range changed {
		answer.Next = e.changed
		if state := e.state(); state != 0 {
			answer.IDs = append(answer.IDs, e.id)
			answer.States = append(answer.States, state)
		}
	}
	return answer
}

// state is what is held of a message; 0 where that is nothing that another store could want.
func (e *entry) state() wire.HeldState {
	if e.void {
		return wire.HeldVoid
	}
	var state wire.HeldState
	if e.needsBytes() {
		state |= wire.HeldBytes
	}
	if e.phase != message.Pending {
		state |= wire.HeldEnd
	}
	if e.phase != message.Pending && e.callbackOwed {
		state |= wire.HeldOwed
	}
	return state
}

// Copies gives copies of those of some messages that the store holds something of, up to the size of an answer.
func (c *Core) Copies(ids []string) (wire.CopiesBody, error) {
	var answer wire.CopiesBody
	size := 0
	for _, id := range ids {
		if size > answerBytes {
			answer.More = true
			break
		}
		e := c.index.get(id)
		if e == nil || e.state() == 0 {
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

// copyOf is one entry as it is copied.
func (c *Core) copyOf(e *entry) (*wire.CopiedMessage, error) {
	copied := &wire.CopiedMessage{Void: e.void, Age: c.now - e.arrived}
	copied.Message.ID, copied.Message.Unit = e.id, e.unit
	if e.void {
		return copied, nil
	}
	if e.phase != message.Pending {
		copied.End = &message.End{ID: e.id, Phase: e.phase, Stamp: e.stamp, CallbackOwed: e.callbackOwed}
	}
	if e.needsBytes() {
		e.shared = true
		m, err := c.message(e)
		if err != nil {
			return nil, err
		}
		copied.Message = *m
	}
	return copied, nil
}
