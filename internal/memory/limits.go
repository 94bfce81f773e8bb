package memory

// The limits of a whole fleet, as far as this dispatcher holds rights to them. Who deals them is none of the core's business;
// it asks once a message, waits for nobody, and says when the message has its answer.

// Right is what the limits say of a message.
type Right uint8

// The answers of the limits.
const (
	Unlimited Right = iota
	Inside          // it counts as one within its share
	Beyond          // it counts as one beyond its share
	Over            // it is to be refused at once
)

// Limits are asked for each message.
type Limits interface {
	// Enter takes what a message needs of the limits, if it can be had. A message that needs a place is to be answered
	// within most microseconds; 0 is as long as it likes.
	Enter(now int64, id ID, tenant, class int) (r Right, most int64)
	// Answered gives that back; a message that took nothing is no error.
	Answered(id ID)
}

// overAfter is when the client of a message beyond a limit may come back, in microseconds.
const retryAfterOverLimit = 1_000_000

// least is the share of its worth of a message beyond its share where the settings give it none: the decisions take 0 for
// a share that nobody has decided.
const minOverShare = 1e-9

// Limit has the core ask some limits; to be called before the first message.
func (c *Core) Limit(l Limits) { c.limits = l }

// enter asks the limits for a message, and gives its deadline and share by what they say.
func (c *Core) applyLimits(now int64, id ID, m Message, deadline int64) (until int64, share float64, in bool) {
	if c.limits == nil {
		return deadline, 0, true
	}
	right, most := c.limits.Enter(now, id, m.Tenant, m.Class)
	if most > 0 {
		if deadline <= 0 {
			deadline = now + c.cfg.Classes[min(max(m.Class, 0), len(c.cfg.Classes)-1)].Deadline
		}
		deadline = min(deadline, now+most)
	}
	switch right {
	case Inside:
		share = 1
	case Beyond:
		share = max(c.cfg.OverShare, minOverShare)
	}
	return deadline, share, right != Over
}

// settle marks a message as one that has its answer, or for which nobody waits any more.
func (c *Core) markAnswered(id ID, m *message) {
	m.answered = true
	if c.limits != nil {
		c.limits.Answered(id)
	}
}
