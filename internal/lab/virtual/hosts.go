package virtual

import (
	"granitewing/internal/dispatch"
	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/balance"
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/world"
	"granitewing/logic"
)

// This file models hosts and discovery: it delivers attempts to hosts and applies the day's operations.

// createHosts creates the hosts, their racks and discovery's list.
func (sim *simulation) createHosts() {
	cells := map[int]*model.Cell{}
	store := &model.Store{Room: sim.day.Sets.Store}
	sim.usage = balance.New(sim.day.Machines, sim.day.End.Microseconds())
	sim.fabric = model.NewFabric(sim.day.Fleet.Links.Model())
	var members []model.Member
	for i, m := range sim.day.Machines {
		if cells[m.Cell] == nil {
			cells[m.Cell] = model.NewCell(40_000_000)
		}
		h := &host{sim: sim, number: i, model: model.NewHost(m, cells[m.Cell], store, 0, false), nextEventAt: model.Never, up: i < sim.day.Fleet.Hosts,
			attempts: map[uint64]*attempt{}}
		h.model.FillCache(sim.day.CachedSets[i])
		h.model.SetFabric(sim.fabric)
		sim.hosts = append(sim.hosts, h)
		sim.hostsByName[m.Name] = h
		h.recordUsage()
		if h.up {
			members = append(members, sim.day.Member(i, model.Ready, 0))
			if sim.options.Log != nil {
				sim.options.Log.Listed(0, m.Name, true)
			}
		}
	}
	sim.directory = model.NewDirectory(members)
}

// recordUsage records the host's current state in the usage statistics of the fleet.
func (h *host) recordUsage() {
	h.sim.usage.RecordState(h.sim.now, h.number, h.model, h.up && !h.unreachable && !h.refusesConnections)
}

// deliverNotes delivers a host's notes to the dispatchers and schedules the host's next event.
func (h *host) deliverNotes(notes []model.Note) {
	for _, n := range notes {
		a := h.attempts[n.Attempt]
		if a == nil {
			continue
		}
		h.handleNote(a, n)
	}
	h.recordUsage()
	h.sim.advanceGangs()
	next := h.model.Next()
	if next == model.Never || next >= h.nextEventAt {
		return
	}
	h.nextEventAt = next
	h.sim.schedule(next, func() {
		if h.nextEventAt == next {
			h.nextEventAt = model.Never
			h.deliverNotes(h.model.Advance(h.sim.now))
		}
	})
}

// handleNote reports one change of an attempt to its dispatcher and to the audit log.
func (h *host) handleNote(a *attempt, n model.Note) {
	sim := h.sim
	end := func(e audit.End, result logic.Result, answer string) {
		if sim.options.Log != nil {
			sim.options.Log.Finish(n.At, a.request.name, a.auditHandle, e, answer)
		}
		delete(h.attempts, n.Attempt)
		sim.notifyDispatcher(a, func(d *dispatcher) { d.endAttempt(a, result, answer) })
	}
	switch n.Kind {
	case model.Taken:
		sim.notifyDispatcher(a, func(d *dispatcher) {
			d.execute(d.callCore(func(now int64) []dispatch.Command { return d.core.Taken(now, a.id) }))
		})
	case model.Started:
		sim.notifyDispatcher(a, func(d *dispatcher) {
			d.execute(d.callCore(func(now int64) []dispatch.Command { return d.core.Started(now, a.id) }))
		})
	case model.Running:
		sim.notifyDispatcher(a, func(d *dispatcher) {
			d.execute(d.callCore(func(now int64) []dispatch.Command { return d.core.Progress(now, a.id, n.Share) }))
		})
	case model.Done, model.Repeat:
		end(audit.Done, logic.Served, a.request.name+" done by "+h.model.Name)
	case model.Full, model.Returned:
		end(audit.NeverRan, logic.Refused, "")
	case model.Failed:
		end(audit.Failed, logic.Failed, "")
	case model.Lost:
		end(audit.Lost, logic.Broken, "")
	}
}

// notifyDispatcher calls do for an attempt's dispatcher after the network delay. The call is lost if the dispatcher
// can't be reached, and dropped if its process has ended or it has given the attempt up.
func (sim *simulation) notifyDispatcher(a *attempt, do func(*dispatcher)) {
	if sim.unreachable(a.dispatcher, a.host) {
		return
	}
	sim.after(sim.networkDelay(a.dispatcher, a.host), func() {
		if !a.ended && a.dispatcher.generation == a.generation && !a.dispatcher.down {
			do(a.dispatcher)
		}
	})
}

// crash ends a host's process: its connections are reset.
func (h *host) crash() {
	h.model.Crash(h.sim.now)
	h.closeConnections()
}

// closeConnections ends all connections to a host, with the attempts on them.
func (h *host) closeConnections() {
	h.up = !h.model.Down() && h.up
	h.nextEventAt = model.Never
	h.recordUsage()
	for _, a := range sorted(h.attempts, func(id uint64) int64 { return int64(id) }) {
		if h.sim.options.Log != nil {
			h.sim.options.Log.Finish(h.sim.now, a.request.name, a.auditHandle, audit.Lost, "")
		}
		h.sim.notifyDispatcher(a, func(d *dispatcher) { d.endAttempt(a, logic.Broken, "") })
	}
	clear(h.attempts)
	h.sim.advanceGangs()
}

// deliverAttempt delivers an attempt to a host.
func (sim *simulation) deliverAttempt(a *attempt) {
	h, req := a.host, a.request
	if sim.unreachable(a.dispatcher, h) {
		return // lost on the way without any error
	}
	if !h.up || h.model.Down() || h.refusesConnections {
		sim.notifyDispatcher(a, func(d *dispatcher) { d.endAttempt(a, logic.ConnectFailed, "") })
		return
	}
	part := sim.gangPart(a)
	switch {
	case sim.options.Log == nil:
	case part != nil:
		a.auditHandle = sim.options.Log.AttemptPartArrived(sim.now-sim.networkDelay(a.dispatcher, h), sim.now, req.name, h.model.Name, h.model.Cell, a.dispatcher.number, part.Rank, part.Parts)
	default:
		a.auditHandle = sim.options.Log.AttemptArrived(sim.now-sim.networkDelay(a.dispatcher, h), sim.now, req.name, h.model.Name, h.model.Cell, a.dispatcher.number)
	}
	if h.resetsConnections {
		if sim.options.Log != nil {
			sim.options.Log.Finish(sim.now, req.name, a.auditHandle, audit.Lost, "")
		}
		sim.notifyDispatcher(a, func(d *dispatcher) { d.endAttempt(a, logic.Broken, "") })
		return
	}
	sim.lastAttempt++
	id := sim.lastAttempt
	a.hostAttempt = id
	h.attempts[id] = a
	j := req.job
	sim.usage.RecordAttempt(sim.now, h.number, h.model, a.dispatcher.number)
	notes := h.model.Offer(sim.now, model.Job{Attempt: id, Key: j.key, Work: float64(j.Work.Microseconds()), Slots: j.Slots, Memory: j.Memory, Set: uint64(j.Set), Part: part})
	if h.model.Down() {
		if sim.options.Log != nil {
			sim.options.Log.HostOverrun(sim.now, h.model.Name)
		}
		sim.scheduleListChange(h, model.Gone, sim.day.Discovery.Lag.Hi.Microseconds())
		h.closeConnections()
		return
	}
	h.deliverNotes(notes)
}

// cancelAttempt notifies a host that a dispatcher has given an attempt up.
func (sim *simulation) cancelAttempt(a *attempt) {
	h := a.host
	if sim.unreachable(a.dispatcher, h) {
		// The host is not notified and works on, but the dispatcher has done what it can to end the attempt.
		if sim.options.Log != nil && h.attempts[a.hostAttempt] == a {
			sim.options.Log.Finish(sim.now, a.request.name, a.auditHandle, audit.Closed, "")
		}
		return
	}
	sim.after(sim.networkDelay(a.dispatcher, h), func() {
		if h.attempts[a.hostAttempt] != a {
			return
		}
		if sim.options.Log != nil {
			sim.options.Log.Finish(sim.now, a.request.name, a.auditHandle, audit.Closed, "")
		}
		delete(h.attempts, a.hostAttempt)
		h.deliverNotes(h.model.Cancel(sim.now, a.hostAttempt))
	})
}

// scheduleListChange makes discovery publish a host's new phase after lag microseconds.
func (sim *simulation) scheduleListChange(h *host, phase model.Phase, lag int64) {
	sim.directory.Change(sim.now, lag, sim.day.Member(h.number, phase, h.model.UpSince()))
	sim.scheduleListEvent()
}

// scheduleListEvent schedules discovery's next publication.
func (sim *simulation) scheduleListEvent() {
	next := sim.directory.Next()
	if next == model.Never || next >= sim.directoryEventAt {
		return
	}
	sim.directoryEventAt = next
	sim.schedule(next, func() {
		if sim.directoryEventAt != next {
			return
		}
		sim.directoryEventAt = model.Never
		before := sim.directory.Revision()
		if sim.directory.Advance(sim.now) {
			changed, _ := sim.directory.Since(before)
			if sim.options.Log != nil {
				for _, m := range changed {
					sim.options.Log.Listed(sim.now, m.ID, m.Phase == model.Ready)
				}
			}
			for _, d := range sim.dispatchers {
				d.updateInventory()
			}
		}
		sim.scheduleListEvent()
	})
}

// applyOp executes one operation of the day.
func (sim *simulation) applyOp(op world.Op) {
	var h *host
	if op.Host < len(sim.hosts) {
		h = sim.hosts[op.Host]
	}
	lag := op.Lag.Microseconds()
	switch op.Kind {
	case world.OpSlow:
		h.deliverNotes(h.model.Slow(sim.now, op.Factor))
	case world.OpDrain:
		h.deliverNotes(h.model.Drain(sim.now))
		sim.scheduleListChange(h, model.Draining, lag)
	case world.OpStop, world.OpCrash:
		h.crash()
		h.up = false
		sim.scheduleListChange(h, model.Gone, lag)
	case world.OpRestart, world.OpStart:
		h.model.Restart(sim.now)
		h.up, h.unreachable, h.nextEventAt = true, false, model.Never
		h.deliverNotes(nil)
		sim.scheduleListChange(h, model.Ready, lag)
	case world.OpVanish:
		if h.unreachable = op.On; !op.On {
			h.closeConnections()
		}
	case world.OpReset:
		h.resetsConnections = op.On
	case world.OpErrors:
		h.model.Errors(op.On)
	case world.OpRefuse:
		h.refusesConnections = op.On
		h.recordUsage()
	case world.OpStale:
		sim.directory.Stale(op.On)
		sim.scheduleListEvent()
	case world.OpDown:
		sim.discoveryDown = op.On
		for _, d := range sim.dispatchers {
			if op.On {
				d.failWatch()
			}
		}
	case world.OpSilent:
		sim.discoverySilent = op.On
		for _, d := range sim.dispatchers {
			d.updateInventory() // missed changes arrive at once when the silence ends
		}
		if op.On {
			for _, d := range sim.dispatchers {
				sim.after(5_000_000, func() {
					if sim.discoverySilent {
						d.failWatch()
					}
				})
			}
		}
	case world.OpPartition:
		a, b := min(op.Host, op.Other), max(op.Host, op.Other)
		if op.On {
			sim.partitions[[2]int{a, b}] = true
			return
		}
		delete(sim.partitions, [2]int{a, b})
		// Connections that were open across the partition are reset once it heals.
		for _, h := range sim.hosts {
			for _, d := range sim.dispatchers {
				if min(d.zone, h.model.Zone) == a && max(d.zone, h.model.Zone) == b {
					d.resetConnections(h)
				}
			}
		}
	case world.OpCordon:
		for _, d := range sim.dispatchers {
			d.cordon(sim.day.Machines[op.Host].Name, op.On)
		}
	case world.OpQuiesce:
		d := sim.dispatchers[op.Host]
		d.draining, d.drainingSince = op.On, sim.now
	case world.OpKill:
		sim.dispatchers[op.Host].kill()
	case world.OpRestartDispatcher:
		sim.dispatchers[op.Host].restart()
	}
	// Virtual time has no store of record, so its faults have no effect here.
}
