package dispatch

import "granitewing/logic"

// The retry budget limits attempts beyond the first, over all messages together, to a share of the first attempts.
// Each first attempt adds a fraction of a token at its own dispatcher. The total of a fleet is thereby bounded
// without communication: by that share of all first attempts, plus what each dispatcher may save up.

// retryBudget is a token bucket for attempts beyond the first. The zero value sets no limit.
type retryBudget struct {
	perMessage float64 // tokens that each message adds
	capacity   float64 // maximum of saved tokens, and the number at the start
	available  float64
	denied     int // messages given up for lack of a token
}

// Retries limits attempts beyond the first to a share of the first ones, with a burst of capacity; call it before
// the first message.
func (c *Core) Retries(share, capacity float64) {
	c.retryBudget = retryBudget{perMessage: share, capacity: capacity, available: capacity}
}

// GivenUp returns the number of messages given up for lack of a token for another attempt.
func (c *Core) GivenUp() int { return c.retryBudget.denied }

// credit adds the tokens of one message.
func (r *retryBudget) credit() { r.available = min(r.available+r.perMessage, r.capacity) }

// take reports whether an attempt with that number (from 1) may be made, and spends a token if it is not the
// first.
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

// giveUp answers a message whose next attempt has no token.
func (c *Core) giveUp(now int64, r AttemptID, m *message) {
	c.retryBudget.denied++
	verdict := Refused
	if m.mayHaveRun {
		verdict = Failed
	}
	c.answer(r.Message, m, Command{Verdict: verdict, After: retryAfterOverLimit})
	c.completeAttempt(now, r, logic.NotSent, nil)
}
