package carrier

import (
	"granitewing/internal/system/configuration"
	"granitewing/internal/system/message"
)

// hold is why a message may not be sent to a worker now, be it for the first time or again. Each attempt that is begun was asked for here: a message is
// sent again only once its latest attempt has an outcome that does not end it.
type hold uint8

// The holds.
const (
	mayBeSent          hold = iota
	heldEnded               // its end is known
	heldOut                 // an attempt is out: its outcome decides
	heldNotOurs             // its unit went to another carrier, whose recovery finds the message
	heldHandover            // its unit is on its way to another carrier: what was not begun is left to it
	heldNotDue              // its delay has not passed; pauses after an attempt come before it is asked for
	heldBehind              // another of its ordering key is ahead of it
	heldNoTable             // no configuration is known
	heldOlderTable          // the configuration that is known is older than the one that accepted it
	heldWithoutItsBody      // its bytes are on their way from a disk
)

// due tells whether a message waits for nothing but its turn, the configuration or its bytes: it counts as waiting then.
func (h hold) due() bool {
	switch h {
	case mayBeSent, heldBehind, heldNoTable, heldOlderTable, heldWithoutItsBody:
		return true
	}
	return false
}

// holdOf tells whether a message may be sent now.
func (c *Core) holdOf(it *item) hold {
	table := c.session.View().Table
	switch {
	case it.ended:
		return heldEnded
	case it.flying:
		return heldOut
	case it.unit.dropped:
		return heldNotOurs
	case it.waits():
		return heldHandover
	case it.due > c.env.Now():
		return heldNotDue
	case !c.leads(it):
		return heldBehind
	case table == nil:
		return heldNoTable
	case older(table, it.message):
		return heldOlderTable
	case it.message.Body == nil && it.fetching:
		return heldWithoutItsBody
	}
	return mayBeSent
}

// older tells whether a configuration is older than the one under which a message was accepted: it decides nothing about it.
// A carrier that has just started, and is given a message, may know only such a one yet.
func older(table *configuration.Table, m *message.Message) bool {
	return message.Version(table.Document.Version) < m.Version
}
