package dispatch

// Fleet-wide limits, of which this dispatcher holds a part. The core does not know how the parts are allocated. It
// asks once per message, never waits for an answer, and reports when the message is answered.

// LimitResult is the result of a check against the limits.
type LimitResult uint8

// The results of a check.
const (
	Unlimited   LimitResult = iota
	WithinShare             // counts as within the tenant's share
	BeyondShare             // counts as beyond the tenant's share
	OverLimit               // must be refused at once
)

// Limits is consulted once for each message.
type Limits interface {
	// Admit reserves what a message needs under the limits, if it is available. A message that occupies a place must
	// be answered within maxWait microseconds; 0 means no bound.
	Admit(now int64, id ID, tenant, class int) (r LimitResult, maxWait int64)
	// Answered returns the reservation of a message; calling it for a message without one has no effect.
	Answered(id ID)
}

// retryAfterOverLimit is the retry advice to the client of a message beyond a limit, in microseconds.
const retryAfterOverLimit = 1_000_000

// minOverShare is the share of its value that a message beyond its tenant's share keeps if the settings give 0.
// The decision module reads a share of 0 as not set.
const minOverShare = 1e-9

// Limit attaches fleet-wide limits; call it before the first message.
func (c *Core) Limit(l Limits) { c.limits = l }

// applyLimits checks a message against the limits and returns its deadline and share of value; admitted is false if the
// message must be refused.
func (c *Core) applyLimits(now int64, id ID, m Message, deadline int64) (until int64, share float64, admitted bool) {
	if c.limits == nil {
		return deadline, 0, true
	}
	right, maxWait := c.limits.Admit(now, id, m.Tenant, m.Class)
	if maxWait > 0 {
		if deadline <= 0 {
			deadline = now + c.cfg.Classes[min(max(m.Class, 0), len(c.cfg.Classes)-1)].Deadline
		}
		deadline = min(deadline, now+maxWait)
	}
	switch right {
	case WithinShare:
		share = 1
	case BeyondShare:
		share = max(c.cfg.OverQuotaValue, minOverShare)
	}
	return deadline, share, right != OverLimit
}

// markAnswered records that a message has its answer or that its client has left, and returns its reservation.
func (c *Core) markAnswered(id ID, m *message) {
	m.answered = true
	if c.limits != nil {
		c.limits.Answered(id)
	}
}
