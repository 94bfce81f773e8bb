package carrier

import (
	"fmt"
	"sort"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// recoveredMessage is a message merged from the stores' answers.
type recoveredMessage struct {
	listed  wire.ListedMessage
	holders []string
	outcome *message.Outcome
}

// goesBefore reports whether a message is sent before another one of its unit. Without an ordering key the older one
// is, whatever owner its acceptor knew: it may have run just before its carrier was lost.
func (f *recoveredMessage) goesBefore(other *recoveredMessage) bool {
	a, b := &f.listed.Message, &other.listed.Message
	ordered := a.Key != "" || b.Key != ""
	switch {
	case ordered && a.Token != b.Token:
		return a.Token < b.Token
	case ordered && a.Sequence != b.Sequence:
		return a.Sequence < b.Sequence
	case f.listed.Age != other.listed.Age:
		return f.listed.Age > other.listed.Age
	}
	return a.ID < b.ID
}

func (r *recovery) finish() {
	c, u := r.core, r.unit
	u.recovering = false
	messages := r.merge()
	ids := make([]string, 0, len(messages))
	for id := range messages {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return messages[ids[i]].goesBefore(messages[ids[j]]) })
	u.active = true
	pendingCallbacks := 0
	for _, id := range ids {
		if r.adopt(messages[id]) {
			pendingCallbacks++
		}
	}
	if len(u.items)+pendingCallbacks > 0 {
		c.env.LogInfo(fmt.Sprintf("took over unit %s with %d messages and %d pending call-backs in %s", u.name, len(u.items), pendingCallbacks,
			c.env.Now()-r.began))
	}
	if len(u.items) > 0 {
		c.compareAgesSoon()
	}
	if u.relistWanted {
		u.relistWanted = false
		c.recover(u)
	}
	c.settleDeparted()
}

func (r *recovery) merge() map[string]*recoveredMessage {
	c := r.core
	outcomes := map[string]message.Outcome{}
	for _, l := range ordered.Map(r.outcomeRound) {
		for _, outcome := range l.outcomes {
			if old, known := outcomes[outcome.ID]; !known || old.CallbackOwed {
				outcomes[outcome.ID] = outcome
			}
		}
	}
	messages := map[string]*recoveredMessage{}
	for disk, l := range ordered.Map(r.outcomeRound) {
		if !r.isCurrent(l) {
			continue
		}
		for _, listed := range l.messages {
			f := messages[listed.Message.ID]
			if f == nil {
				f = &recoveredMessage{listed: listed}
				messages[listed.Message.ID] = f
			}
			// Each store reports an age that is at most the true one, so the highest is the most accurate.
			f.listed.Age = max(f.listed.Age, listed.Age)
			f.holders = append(f.holders, disk)
			if outcome, completed := outcomes[listed.Message.ID]; completed {
				f.outcome = &outcome
			}
		}
	}
	for disk := range ordered.Map(c.session.View().QuorumDisks()) {
		if r.isCurrent(r.outcomeRound[disk]) {
			continue
		}
		// The disk may hold any of these messages. It has to get their outcomes, or it would list them as pending when
		// another disk does not respond.
		for _, f := range messages {
			f.holders = append(f.holders, disk)
		}
	}
	return messages
}

// adopt takes a message that the stores hold. It returns true if the message has completed and its call-back is
// still due.
func (r *recovery) adopt(f *recoveredMessage) (callbackDue bool) {
	c, u := r.core, r.unit
	m := f.listed.Message
	if f.outcome == nil {
		if outcome, known := c.recent.get(m.ID); known {
			f.outcome = &outcome
		}
	}
	if f.outcome != nil {
		c.stores.recordOutcome(u, f.holders, *f.outcome)
		callbackDue = f.outcome.CallbackOwed && m.Callback != ""
		if callbackDue {
			c.queueCallback(u, m.Callback, *f.outcome, f.holders)
		}
		return callbackDue
	}
	if u.items[m.ID] == nil {
		c.addTakenOver(u, &m, f.holders, c.env.Now()-f.listed.Age)
	}
	return false
}
