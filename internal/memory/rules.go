package memory

import "granitewing/logic"

// What the rules forbid is not sent, whatever was decided.

// May tells whether a relay that was sent may still be begun: its host may have begun to drain, gone or been cordoned while
// a connection was made, and the rules count from a request's first byte.
func (c *Core) May(now int64, r RelayID) bool {
	a := c.find(r)
	return a != nil && c.takes(c.hosts[a.worker]) && c.within(now, r) && (c.messages[r.Message].crew == nil || c.gangs.May(now, r.Message))
}

// within tells whether a keyed message's relay would still be dropped as a repeat of those before it: while its connection was
// made the window of the first that may have run may have ended.
func (c *Core) within(now int64, r RelayID) bool {
	m := c.messages[r.Message]
	if m.crew != nil || m.class < 0 || m.class >= len(c.cfg.Classes) || c.cfg.Classes[m.class].Repeat != logic.RepeatKeyed {
		return true
	}
	for _, b := range m.relays[:r.Attempt] {
		if (b.out || b.ran) && now-b.sent > c.cfg.RepeatWithin(m.class) {
			return false
		}
	}
	return true
}

// send starts a relay. What the rules forbid is not sent whatever was decided: it ends as one that never was.
func (c *Core) send(now int64, a logic.Action) {
	m, h := c.messages[a.Job], c.hosts[a.Worker]
	if m == nil {
		return
	}
	r := RelayID{a.Job, len(m.relays)}
	m.relays = append(m.relays, relay{worker: a.Worker, sent: now, out: true})
	m.out++
	switch {
	case m.answered, // a message that has its answer needs no more work
		!c.takes(h), // nothing new to a host that drains, is gone or cordoned
		len(m.relays)-m.free > max(c.cfg.MaxAttempts, 1), // no more attempts than the site allows
		m.out > 1 && !c.cfg.MayCopy:                      // one attempt out at a time
		c.end(now, r, logic.Moot, nil)
		return
	case !c.retries.may(len(m.relays) - m.free):
		if m.out > 1 {
			c.end(now, r, logic.Moot, nil) // the first copy goes on
		} else {
			c.giveUp(now, r, m)
		}
		return
	}
	until := now + a.Timeout
	if m.deadline > 0 {
		until = min(until, max(m.deadline, now+1))
	}
	c.do(Command{Kind: Send, Relay: r, Addr: h.Addr, Until: until})
}
