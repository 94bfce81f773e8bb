package memory

import "granitewing/logic"

// Evidence takes what the ends of relays say of their hosts, where a fleet judges them together.
type Evidence interface {
	Note(now int64, host logic.WorkerID, ok bool)
}

// Tell has the core tell what it finds of hosts; to be called before the first message.
func (c *Core) Tell(e Evidence) { c.evidence = e }

// note tells what a result says of its host. One that took too long says little: under overload all do.
func (c *Core) reportHealth(now int64, host logic.WorkerID, result logic.Result) {
	if c.evidence == nil {
		return
	}
	switch result {
	case logic.Served:
		c.evidence.Note(now, host, true)
	case logic.Failed, logic.ConnectFailed, logic.Broken:
		c.evidence.Note(now, host, false)
	}
}

// Verdict takes the fleet's word that a host is bad, which holds until a time unless its own signs of life say otherwise.
func (c *Core) Verdict(now int64, host logic.WorkerID, until int64) {
	c.sched.Verdict(now, host, until)
}

// Ran gives the running times and work of this dispatcher's own relays at each host, recent ones weighing most.
func (c *Core) Ran(now int64, tell func(host logic.WorkerID, run, work float64)) {
	c.sched.Ran(now, tell)
}

// HeardRan takes the same of the other dispatchers together.
func (c *Core) HeardRan(now int64, host logic.WorkerID, run, work float64) {
	c.sched.HeardRan(now, host, run, work)
}

// Hosts gives the known hosts by their numbers, in no order.
func (c *Core) Hosts(tell func(id logic.WorkerID, h Host)) {
	for id, h := range c.hosts {
		tell(id, h.Host)
	}
}
