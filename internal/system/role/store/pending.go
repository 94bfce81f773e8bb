package store

import (
	"time"

	"granitewing/internal/system/wire"
)

// Times and sizes of what is told about messages that have been pending for long.
const (
	longPendingAfter  = 4 * time.Second
	maxLongPending    = 500  // messages in one query for outcomes
	maxPendingPerUnit = 1000 // messages in one answer to ListPending
)

// longPending reports whether a message has been pending for long.
func (c *Core) longPending(e *entry) bool {
	return e.pending() && c.now-e.arrivedAt >= longPendingAfter
}

// ListPending returns the messages of some units that have been pending for a time. The carrier that is responsible for
// a unit compares them with those that it has.
func (c *Core) ListPending(body wire.PendingBody) wire.PendingAnswer {
	var answer wire.PendingAnswer
	for _, unit := range body.Units {
		count := 0
		for _, e := range c.index.entriesAfter(unit, 0) {
			if count >= maxPendingPerUnit {
				break
			}
			if !e.pending() || c.now-e.arrivedAt < body.MinAge {
				continue
			}
			count++
			answer.Messages = append(answer.Messages, wire.PendingMessage{Unit: unit, ID: e.id, Age: c.now - e.arrivedAt})
		}
	}
	return answer
}

// RaiseAges raises the ages of messages to those that a carrier has measured, where these are greater. done is called
// once that is synced.
func (c *Core) RaiseAges(ages []wire.MessageAge, done func()) {
	for _, known := range ages {
		if e := c.index.get(known.ID); e != nil && e.pending() {
			c.raiseAge(e, known.Age)
		}
	}
	c.answers = append(c.answers, done)
}

func (c *Core) raiseAge(e *entry, age time.Duration) {
	arrivedAt := c.now - age
	if arrivedAt >= e.arrivedAt {
		return
	}
	e.arrivedAt = arrivedAt
	c.append(record{Kind: recordAge, ID: e.id, At: arrivedAt}, nil)
}

// loadAge applies a recorded age during the replay at start.
func (c *Core) loadAge(r *loadedRecord) {
	if e := c.index.get(r.ID); e != nil {
		e.arrivedAt = min(e.arrivedAt, r.At)
	}
}
