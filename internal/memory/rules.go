package memory

import "granitewing/logic"

// What the rules forbid is not sent, whatever was decided.

// May tells whether a relay that was sent may still be begun: its host may have begun to drain, gone or been cordoned while
// a connection was made, and the rules count from a request's first byte.
func (c *Core) May(now int64, r RelayID) bool {
	a := c.outstandingAttempt(r)
	return a != nil && c.acceptsWork(c.hosts[a.worker]) && c.withinRepeatWindow(now, r) && (c.messages[r.Message].gang == nil || c.gangs.May(now, r.Message))
}

// within tells whether a keyed message's relay would still be dropped as a repeat of those before it: while its connection was
// made the window of the first that may have run may have ended.
func (c *Core) withinRepeatWindow(now int64, r RelayID) bool {
	m := c.messages[r.Message]
	if m.gang != nil || m.class < 0 || m.class >= len(c.cfg.Classes) || c.cfg.Classes[m.class].Repeat != logic.RepeatKeyed {
		return true
	}
	for _, b := range m.attempts[:r.Attempt] {
		if (b.outstanding || b.mayHaveRun) && now-b.sentAt > c.cfg.RepeatWithin(m.class) {
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
	r := RelayID{a.Job, len(m.attempts)}
	m.attempts = append(m.attempts, attempt{worker: a.Worker, sentAt: now, outstanding: true})
	m.outstanding++
	switch {
	case m.answered, // a message that has its answer needs no more work
		!c.acceptsWork(h), // nothing new to a host that drains, is gone or cordoned
		len(m.attempts)-m.uncounted > max(c.cfg.MaxAttempts, 1), // no more attempts than the site allows
		m.outstanding > 1 && !c.cfg.MayCopy:                     // one attempt out at a time
		c.completeAttempt(now, r, logic.Moot, nil)
		return
	case !c.retryBudget.take(len(m.attempts) - m.uncounted):
		if m.outstanding > 1 {
			c.completeAttempt(now, r, logic.Moot, nil) // the first copy goes on
		} else {
			c.giveUp(now, r, m)
		}
		return
	}
	until := now + a.Timeout
	if m.deadline > 0 {
		until = min(until, max(m.deadline, now+1))
	}
	c.emit(Command{Kind: Send, Relay: r, Addr: h.Addr, Until: until})
}
