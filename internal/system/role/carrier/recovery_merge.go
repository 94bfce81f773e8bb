package carrier

import (
	"fmt"
	"sort"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// found is a message put together from what the stores told.
type found struct {
	listed  wire.ListedMessage
	holders []string
	end     *message.End
}

func (r *recovery) finish() {
	c, u := r.core, r.unit
	u.recovering = false
	messages := r.merge()
	ids := make([]string, 0, len(messages))
	for id := range messages {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		one, other := &messages[ids[i]].listed, &messages[ids[j]].listed
		a, b := &one.Message, &other.Message
		if a.Token != b.Token {
			return a.Token < b.Token
		}
		if a.Sequence != b.Sequence {
			return a.Sequence < b.Sequence
		}
		if one.Age != other.Age {
			return one.Age > other.Age
		}
		return a.ID < b.ID
	})
	u.active = true
	owed := 0
	for _, id := range ids {
		if r.adopt(messages[id]) {
			owed++
		}
	}
	if len(u.items)+owed > 0 {
		c.env.Inform(fmt.Sprintf("unit %s is taken over with %d messages and %d owed call-backs, after %s", u.name, len(u.items), owed,
			c.env.Now()-r.began))
	}
	c.settleDeparted()
}

func (r *recovery) merge() map[string]*found {
	c := r.core
	ends := map[string]message.End{}
	for _, l := range ordered.Map(r.round) {
		for _, end := range l.ended {
			if old, known := ends[end.ID]; !known || old.CallbackOwed {
				ends[end.ID] = end
			}
		}
	}
	messages := map[string]*found{}
	for disk, l := range ordered.Map(r.round) {
		if !r.told(l) {
			continue
		}
		for _, listed := range l.messages {
			f := messages[listed.Message.ID]
			if f == nil {
				f = &found{listed: listed}
				messages[listed.Message.ID] = f
			}
			// Each store's age is no more than the true one, so the greatest is the nearest to it.
			f.listed.Age = max(f.listed.Age, listed.Age)
			f.holders = append(f.holders, disk)
			if end, ended := ends[listed.Message.ID]; ended {
				f.end = &end
			}
		}
	}
	for disk := range ordered.Map(c.session.View().Counted()) {
		if r.told(r.round[disk]) {
			continue
		}
		// It may hold any of them. It has to learn their ends, or it would list them as pending when another disk is silent.
		for _, f := range messages {
			f.holders = append(f.holders, disk)
		}
	}
	return messages
}

// adopt takes a message that the stores hold; true where it has ended and its call-back is owed.
func (r *recovery) adopt(f *found) (owed bool) {
	c, u := r.core, r.unit
	m := f.listed.Message
	if f.end == nil {
		if end, known := c.recent.get(m.ID); known {
			f.end = &end
		}
	}
	if f.end != nil {
		c.stores.recordEnd(u, f.holders, *f.end)
		owed = f.end.CallbackOwed && m.Callback != ""
		if owed {
			c.tell(u, m.Callback, *f.end, f.holders)
		}
		return owed
	}
	if u.items[m.ID] == nil {
		c.takeBack(u, &m, f.holders, c.env.Now()-f.listed.Age)
	}
	return false
}
