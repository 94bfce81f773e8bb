package carrier

import (
	"granitewing/internal/system/configuration"
	"granitewing/internal/system/message"
)

// sendBlock is the reason why a message may not be sent to a worker now, whether for the first time or again.
// blockOf is checked before every attempt: a message is sent again only once its latest attempt has an outcome
// that does not complete the message.
type sendBlock uint8

// The reasons.
const (
	mayBeSent                 sendBlock = iota
	blockedCompleted                    // the message's outcome is known
	blockedInFlight                     // an attempt is in flight and its outcome decides
	blockedUnitDropped                  // its unit moved to another carrier, whose recovery finds the message
	blockedByHandover                   // its unit is being handed over, and the message is left to the next owner
	blockedNotDue                       // its delay has not passed; pauses after an attempt precede the check
	blockedByOrder                      // another message of its ordering key is ahead
	blockedNoConfiguration              // no configuration is known
	blockedOlderConfiguration           // the known configuration is older than the one at acceptance
	blockedFetchingBody                 // its body is being read from a disk
)

// countsAsDue reports whether a message waits only for capacity, its place in the key's order, the configuration
// or its body. It then counts toward the backlog.
func (b sendBlock) countsAsDue() bool {
	switch b {
	case mayBeSent, blockedByOrder, blockedNoConfiguration, blockedOlderConfiguration, blockedFetchingBody:
		return true
	}
	return false
}

// blockOf returns why a message may not be sent now, or mayBeSent.
func (c *Core) blockOf(it *item) sendBlock {
	table := c.session.View().Table
	switch {
	case it.completed:
		return blockedCompleted
	case it.inFlight:
		return blockedInFlight
	case it.unit.dropped:
		return blockedUnitDropped
	case it.leftToNextOwner():
		return blockedByHandover
	case it.due > c.env.Now():
		return blockedNotDue
	case !c.firstOfKey(it):
		return blockedByOrder
	case table == nil:
		return blockedNoConfiguration
	case isOlderThanAcceptance(table, it.message):
		return blockedOlderConfiguration
	case it.message.Body == nil && it.fetchingBody:
		return blockedFetchingBody
	}
	return mayBeSent
}

// isOlderThanAcceptance reports whether a configuration is older than the one under which a message was accepted.
// Such a configuration must not be used for the message. A carrier that has just started may know only an older
// one when it is passed a message.
func isOlderThanAcceptance(table *configuration.Table, m *message.Message) bool {
	return message.Version(table.Document.Version) < m.Version
}
