package memory

import "granitewing/logic"

// Attempts beyond the first, of all messages together: a share of the first ones. Each first attempt makes a part of a right
// at the dispatcher that makes it, so the sum over a fleet is bounded without a word between its members: by the share of
// all first attempts, and what each may save up.

// retries are the rights to attempts beyond the first; the zero value bounds nothing.
type retryBudget struct {
	perMessage float64 // of a right that a message brings
	capacity   float64 // rights saved up at most, and there at the start
	available  float64
	denied     int // messages given up for want of a right
}

// Retries bounds attempts beyond the first to a share of first ones, and some at once; to be called before the first message.
func (c *Core) Retries(share, most float64) {
	c.retryBudget = retryBudget{perMessage: share, capacity: most, available: most}
}

// GivenUp is how many messages were given up for want of a right to another attempt.
func (c *Core) GivenUp() int { return c.retryBudget.denied }

// first takes a message.
func (r *retryBudget) credit() { r.available = min(r.available+r.perMessage, r.capacity) }

// may tells whether a message may have that attempt, and uses a right for one beyond the first.
func (r *retryBudget) take(attempt int) bool {
	if r.capacity == 0 || attempt <= 1 {
		return true
	}
	if r.available < 1 {
		return false
	}
	r.available--
	return true
}

// giveUp answers a message at once for whose next attempt there is no right.
func (c *Core) giveUp(now int64, r RelayID, m *message) {
	c.retryBudget.denied++
	verdict := Refused
	if m.mayHaveRun {
		verdict = Failed
	}
	c.answer(r.Message, m, Command{Verdict: verdict, After: retryAfterOverLimit})
	c.completeAttempt(now, r, logic.Moot, nil)
}
