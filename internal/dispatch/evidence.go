package dispatch

import "granitewing/logic"

// Evidence receives what the outcomes of attempts show about hosts, for a fleet that judges host health together.
type Evidence interface {
	Record(now int64, host logic.WorkerID, ok bool)
}

// ReportHealthTo passes observations of hosts on to e; call it before the first message.
func (c *Core) ReportHealthTo(e Evidence) { c.evidence = e }

// reportHealth reports what an outcome shows about its host. A timeout is not reported: under overload all hosts
// have timeouts.
func (c *Core) reportHealth(now int64, host logic.WorkerID, result logic.Result) {
	if c.evidence == nil {
		return
	}
	switch result {
	case logic.Served:
		c.evidence.Record(now, host, true)
	case logic.Failed, logic.ConnectFailed, logic.Broken:
		c.evidence.Record(now, host, false)
	}
}

// EjectUntil ejects a host that the fleet considers bad, until a time or until its own successful responses show
// otherwise.
func (c *Core) EjectUntil(now int64, host logic.WorkerID, until int64) {
	c.sched.EjectUntil(now, host, until)
}

// Runs calls visit with the running time and the work of this dispatcher's own attempts at each host, weighted
// towards recent ones.
func (c *Core) Runs(now int64, visit func(host logic.WorkerID, run, work float64)) {
	c.sched.Runs(now, visit)
}

// RecordOthersRuns takes the same totals of all other dispatchers together.
func (c *Core) RecordOthersRuns(now int64, host logic.WorkerID, run, work float64) {
	c.sched.RecordOthersRuns(now, host, run, work)
}

// Hosts calls visit for each known host with its worker id, in no particular order.
func (c *Core) Hosts(visit func(id logic.WorkerID, h Host)) {
	for id, h := range c.hosts {
		visit(id, h.Host)
	}
}
