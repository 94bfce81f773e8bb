package dispatch

import "granitewing/logic"

// State that dispatchers of a fleet share with each other. A host is identified by the id that every dispatcher
// derives from its name (workerIDOf).

// RecordOthersBacklog takes the work in slot-seconds that other dispatchers have at a host, as of a time.
func (c *Core) RecordOthersBacklog(now int64, host logic.WorkerID, work float64, at int64) {
	c.sched.RecordOthersBacklog(now, host, work, at)
}

// RecordOthersDemand takes the demand of other dispatchers for a data set, in slots per second, valid until a time.
func (c *Core) RecordOthersDemand(set uint64, load float64, until int64) {
	c.sched.RecordOthersDemand(set, load, until)
}

// Outstanding calls visit with this dispatcher's outstanding work in slot-seconds at each host that has any.
func (c *Core) Outstanding(visit func(host logic.WorkerID, work float64)) { c.sched.Outstanding(visit) }

// Demand calls visit with this dispatcher's demand for each data set, in slots per second.
func (c *Core) Demand(now int64, visit func(set uint64, load float64)) { c.sched.Demand(now, visit) }

// WorkerIDs appends the ids of the known hosts.
func (c *Core) WorkerIDs(dst []logic.WorkerID) []logic.WorkerID {
	for id := range c.hosts {
		dst = append(dst, id)
	}
	return dst
}
