package dispatch

// The fleet-wide price of work, as far as this dispatcher knows it.

// Prices is consulted for each message.
type Prices interface {
	// Price returns the value of one slot-second beyond the fleet's capacity; 0 while the fleet has capacity left.
	Price() float64
	// Asked reports the demand of a message: its estimated value, its work in slot-seconds, and the seconds that it
	// can wait.
	Asked(now int64, worth, work, slack float64)
}

// Price attaches fleet-wide prices; call it before the first message.
func (c *Core) Price(p Prices) { c.prices = p }

// price returns the value per slot-second that a new message has to exceed.
func (c *Core) price() float64 {
	if c.prices == nil {
		return 0
	}
	return c.prices.Price()
}

// reportDemand reports the message that has just arrived to the prices.
func (c *Core) reportDemand(now int64) {
	if c.prices != nil {
		worth, work, slack := c.sched.LastJobEstimate()
		c.prices.Asked(now, worth, work, slack)
	}
}

// PendingWork returns this dispatcher's slot-seconds of work waiting at hosts, and the slot-seconds per second that the
// ready hosts can process.
func (c *Core) PendingWork() (work, capacity float64) { return c.sched.PendingWork() }
