package dispatch

import "granitewing/logic"

// Rules that hold whatever the decision module decides. A send that a rule forbids is not made.

// MayStart reports whether an attempt that was decided may still start. While its connection is made, its host may
// begin to drain, leave the list or be cordoned, and the rules apply to the moment at which the first byte of the
// request is sent.
func (c *Core) MayStart(now int64, r AttemptID) bool {
	a := c.outstandingAttempt(r)
	return a != nil && c.acceptsWork(c.hosts[a.worker]) && c.withinRepeatWindow(now, r) && (c.messages[r.Message].gang == nil || c.gangs.May(now, r.Message))
}

// withinRepeatWindow reports whether a host would still drop this attempt of a keyed message as a repeat of the
// earlier ones. The window counts from the first attempt that may have run, and may have ended while a connection
// was made.
func (c *Core) withinRepeatWindow(now int64, r AttemptID) bool {
	m := c.messages[r.Message]
	if m.gang != nil || m.class < 0 || m.class >= len(c.cfg.Classes) || c.cfg.Classes[m.class].Repeat != logic.RepeatKeyed {
		return true
	}
	for _, earlier := range m.attempts[:r.Attempt] {
		if (earlier.outstanding || earlier.mayHaveRun) && now-earlier.sentAt > c.cfg.RepeatWithin(m.class) {
			return false
		}
	}
	return true
}

// send starts an attempt. A send that a rule forbids is not made: the attempt completes at once as never sent.
func (c *Core) send(now int64, a logic.Action) {
	m, h := c.messages[a.Job], c.hosts[a.Worker]
	if m == nil {
		return
	}
	r := AttemptID{a.Job, len(m.attempts)}
	m.attempts = append(m.attempts, attempt{worker: a.Worker, sentAt: now, outstanding: true})
	m.outstanding++
	switch {
	case m.answered, // an answered message needs no more work
		!c.acceptsWork(h), // no new work for a host that is draining, gone or cordoned
		len(m.attempts)-m.uncounted > max(c.cfg.MaxAttempts, 1), // the limit on attempts, Config.MaxAttempts
		m.outstanding > 1 && !c.cfg.MayCopy:                     // one outstanding attempt at a time
		c.completeAttempt(now, r, logic.NotSent, nil)
		return
	case !c.retryBudget.take(len(m.attempts) - m.uncounted):
		if m.outstanding > 1 {
			c.completeAttempt(now, r, logic.NotSent, nil) // the first copy continues
		} else {
			c.giveUp(now, r, m)
		}
		return
	}
	until := now + a.Timeout
	if m.deadline > 0 {
		until = min(until, max(m.deadline, now+1))
	}
	c.emit(Command{Kind: Send, Attempt: r, Addr: h.Addr, Until: until})
}
