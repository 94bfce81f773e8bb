package memory

import "granitewing/logic"

// What a fleet of dispatchers that share what they know has to do with the decisions. A host goes by the number that every
// dispatcher knows it by (numberOf).

// Heard takes the slot-work that other dispatchers have at a host, as of a time.
func (c *Core) Heard(now int64, host logic.WorkerID, work float64, at int64) {
	c.sched.Heard(now, host, work, at)
}

// HeardDemand takes the slots a second for which other dispatchers are asked with a data set.
func (c *Core) HeardDemand(set uint64, load float64, until int64) {
	c.sched.HeardDemand(set, load, until)
}

// Outstanding gives the slot-work that this dispatcher has at each host where it has any.
func (c *Core) Outstanding(tell func(host logic.WorkerID, work float64)) { c.sched.Outstanding(tell) }

// Demand gives the slots a second for which this dispatcher is asked with each data set.
func (c *Core) Demand(now int64, tell func(set uint64, load float64)) { c.sched.Demand(now, tell) }

// Numbers appends the numbers of the known hosts.
func (c *Core) Numbers(to []logic.WorkerID) []logic.WorkerID {
	for id := range c.hosts {
		to = append(to, id)
	}
	return to
}
