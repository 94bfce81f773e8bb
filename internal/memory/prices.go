package memory

// The price that a whole fleet has for its work, as far as this dispatcher knows it.

// Prices are asked for each message.
type Prices interface {
	// Price is the worth of the work on one slot in a second that the fleet has no room for; 0 where it has room.
	Price() float64
	// Asked tells what a message is taken for: its worth, its slot-work, and for how many seconds it can wait.
	Asked(now int64, worth, work, slack float64)
}

// Price has the core ask for prices; to be called before the first message.
func (c *Core) Price(p Prices) { c.prices = p }

// price is what a message that comes now has to be worth.
func (c *Core) price() float64 {
	if c.prices == nil {
		return 0
	}
	return c.prices.Price()
}

// asked tells the prices of the message that has just come.
func (c *Core) reportDemand(now int64) {
	if c.prices != nil {
		worth, work, slack := c.sched.Weighed()
		c.prices.Asked(now, worth, work, slack)
	}
}

// Waits gives the slot-work of this dispatcher that waits at hosts, and the slot-work a second that the ready hosts can do.
func (c *Core) Waits() (work, capacity float64) { return c.sched.Waits() }
