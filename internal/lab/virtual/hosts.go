package virtual

import (
	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/spread"
	"granitewing/internal/lab/world"
	"granitewing/internal/memory"
	"granitewing/logic"
)

// Hosts and discovery: what becomes of attempts, and what the day does to them.

func (p *play) fleet() {
	cells := map[int]*model.Cell{}
	store := &model.Store{Room: p.day.Sets.Store}
	p.watch = spread.New(p.day.Machines, p.day.End.Microseconds())
	p.fabric = model.NewFabric(p.day.Fleet.Links.Model())
	var members []model.Member
	for i, m := range p.day.Machines {
		if cells[m.Cell] == nil {
			cells[m.Cell] = model.NewCell(40_000_000)
		}
		h := &host{p: p, number: i, m: model.NewHost(m, cells[m.Cell], store, 0, false), due: model.Never, up: i < p.day.Fleet.Hosts,
			attempts: map[uint64]*attempt{}}
		h.m.Keep(p.day.Kept[i])
		h.m.Exchange(p.fabric)
		p.hosts = append(p.hosts, h)
		p.index[m.Name] = h
		h.look()
		if h.up {
			members = append(members, p.day.Member(i, model.Ready, 0))
			if p.o.Log != nil {
				p.o.Log.Listed(0, m.Name, true)
			}
		}
	}
	p.dir = model.NewDirectory(members)
}

// look has the figures of the fleet's use take note of it.
func (h *host) look() { h.p.watch.Look(h.p.now, h.number, h.m, h.up && !h.vanish && !h.refuses) }

// tell carries a host's notes to the dispatchers and makes its next event.
func (h *host) tell(notes []model.Note) {
	for _, n := range notes {
		a := h.attempts[n.Attempt]
		if a == nil {
			continue
		}
		h.note(a, n)
	}
	h.look()
	h.p.stepGangs()
	next := h.m.Next()
	if next == model.Never || next >= h.due {
		return
	}
	h.due = next
	h.p.on(next, func() {
		if h.due == next {
			h.due = model.Never
			h.tell(h.m.Advance(h.p.now))
		}
	})
}

func (h *host) note(a *attempt, n model.Note) {
	p := h.p
	end := func(e audit.End, result logic.Result, answer string) {
		if p.o.Log != nil {
			p.o.Log.Finish(n.At, a.t.name, a.handle, e, answer)
		}
		delete(h.attempts, n.Attempt)
		p.toDispatcher(a, func(d *dispatcher) { d.ended(a, result, answer) })
	}
	switch n.Kind {
	case model.Taken:
		p.toDispatcher(a, func(d *dispatcher) { d.do(d.call(func(now int64) []memory.Command { return d.core.Taken(now, a.id) })) })
	case model.Started:
		p.toDispatcher(a, func(d *dispatcher) {
			d.do(d.call(func(now int64) []memory.Command { return d.core.Started(now, a.id) }))
		})
	case model.Running:
		p.toDispatcher(a, func(d *dispatcher) {
			d.do(d.call(func(now int64) []memory.Command { return d.core.Progress(now, a.id, n.Share) }))
		})
	case model.Done, model.Repeat:
		end(audit.Done, logic.Served, a.t.name+" done by "+h.m.Name)
	case model.Full, model.Returned:
		end(audit.Unstarted, logic.Refused, "")
	case model.Failed:
		end(audit.Failed, logic.Failed, "")
	case model.Lost:
		end(audit.Lost, logic.Broken, "")
	}
}

// toDispatcher brings news of an attempt to its dispatcher, unless that is dead, has given it up or can't be reached.
func (p *play) toDispatcher(a *attempt, do func(*dispatcher)) {
	if p.cut(a.d, a.h) {
		return
	}
	p.after(p.delay(a.d, a.h), func() {
		if !a.over && a.d.gen == a.gen && !a.d.dead {
			do(a.d)
		}
	})
}

// crash ends a host's process: its connections are reset.
func (h *host) crash() {
	h.m.Crash(h.p.now)
	h.broken()
}

// broken ends all connections to a host.
func (h *host) broken() {
	h.up = !h.m.Down() && h.up
	h.due = model.Never
	h.look()
	for _, a := range sorted(h.attempts, func(id uint64) int64 { return int64(id) }) {
		if h.p.o.Log != nil {
			h.p.o.Log.Finish(h.p.now, a.t.name, a.handle, audit.Lost, "")
		}
		h.p.toDispatcher(a, func(d *dispatcher) { d.ended(a, logic.Broken, "") })
	}
	clear(h.attempts)
	h.p.stepGangs()
}

// offer brings an attempt to a host.
func (p *play) offer(a *attempt) {
	h, t := a.h, a.t
	if p.cut(a.d, h) {
		return // it is lost on the way, and nobody says so
	}
	if !h.up || h.m.Down() || h.refuses {
		p.toDispatcher(a, func(d *dispatcher) { d.ended(a, logic.ConnectFailed, "") })
		return
	}
	part := p.partOf(a)
	switch {
	case p.o.Log == nil:
	case part != nil:
		a.handle = p.o.Log.CamePart(p.now-p.delay(a.d, h), p.now, t.name, h.m.Name, h.m.Cell, a.d.number, part.Rank, part.Parts)
	default:
		a.handle = p.o.Log.Came(p.now-p.delay(a.d, h), p.now, t.name, h.m.Name, h.m.Cell, a.d.number)
	}
	if h.resets {
		if p.o.Log != nil {
			p.o.Log.Finish(p.now, t.name, a.handle, audit.Lost, "")
		}
		p.toDispatcher(a, func(d *dispatcher) { d.ended(a, logic.Broken, "") })
		return
	}
	p.at++
	id := p.at
	a.at = id
	h.attempts[id] = a
	j := t.job
	p.watch.Came(p.now, h.number, h.m, a.d.number)
	notes := h.m.Offer(p.now, model.Job{Attempt: id, Key: j.key, Work: float64(j.Work.Microseconds()), Slots: j.Slots, Memory: j.Memory, Set: uint64(j.Set), Part: part})
	if h.m.Down() {
		if p.o.Log != nil {
			p.o.Log.Fell(p.now, h.m.Name)
		}
		p.change(h, model.Gone, p.day.Discovery.Lag.Hi.Microseconds())
		h.broken()
		return
	}
	h.tell(notes)
}

// cancel tells a host that a dispatcher has given an attempt up.
func (p *play) cancel(a *attempt) {
	h := a.h
	if p.cut(a.d, h) {
		// The host does not hear of it and works on, but the dispatcher has ended the attempt as far as it can.
		if p.o.Log != nil && h.attempts[a.at] == a {
			p.o.Log.Finish(p.now, a.t.name, a.handle, audit.Closed, "")
		}
		return
	}
	p.after(p.delay(a.d, h), func() {
		if h.attempts[a.at] != a {
			return
		}
		if p.o.Log != nil {
			p.o.Log.Finish(p.now, a.t.name, a.handle, audit.Closed, "")
		}
		delete(h.attempts, a.at)
		h.tell(h.m.Cancel(p.now, a.at))
	})
}

// change has discovery tell of a host after a lag.
func (p *play) change(h *host, phase model.Phase, lag int64) {
	p.dir.Change(p.now, lag, p.day.Member(h.number, phase, h.m.UpSince()))
	p.rearm()
}

func (p *play) rearm() {
	next := p.dir.Next()
	if next == model.Never || next >= p.dirAt {
		return
	}
	p.dirAt = next
	p.on(next, func() {
		if p.dirAt != next {
			return
		}
		p.dirAt = model.Never
		before := p.dir.Revision()
		if p.dir.Advance(p.now) {
			changed, _ := p.dir.Since(before)
			if p.o.Log != nil {
				for _, m := range changed {
					p.o.Log.Listed(p.now, m.ID, m.Phase == model.Ready)
				}
			}
			for _, d := range p.disp {
				d.listen()
			}
		}
		p.rearm()
	})
}

// apply carries out an operation of the day.
func (p *play) apply(op world.Op) {
	var h *host
	if op.Host < len(p.hosts) {
		h = p.hosts[op.Host]
	}
	lag := op.Lag.Microseconds()
	switch op.Kind {
	case world.OpSlow:
		h.tell(h.m.Slow(p.now, op.Factor))
	case world.OpDrain:
		h.tell(h.m.Drain(p.now))
		p.change(h, model.Draining, lag)
	case world.OpStop, world.OpCrash:
		h.crash()
		h.up = false
		p.change(h, model.Gone, lag)
	case world.OpRestart, world.OpStart:
		h.m.Restart(p.now)
		h.up, h.vanish, h.due = true, false, model.Never
		h.tell(nil)
		p.change(h, model.Ready, lag)
	case world.OpVanish:
		if h.vanish = op.On; !op.On {
			h.broken()
		}
	case world.OpReset:
		h.resets = op.On
	case world.OpErrors:
		h.m.Errors(op.On)
	case world.OpRefuse:
		h.refuses = op.On
		h.look()
	case world.OpStale:
		p.dir.Stale(op.On)
		p.rearm()
	case world.OpDown:
		p.down = op.On
		for _, d := range p.disp {
			if op.On {
				d.unheard()
			}
		}
	case world.OpSilent:
		p.quiet = op.On
		for _, d := range p.disp {
			d.listen() // what it has not heard comes at once when the silence ends
		}
		if op.On {
			for _, d := range p.disp {
				p.after(5_000_000, func() {
					if p.quiet {
						d.unheard()
					}
				})
			}
		}
	case world.OpPart:
		a, b := min(op.Host, op.Other), max(op.Host, op.Other)
		if op.On {
			p.parts[[2]int{a, b}] = true
			return
		}
		delete(p.parts, [2]int{a, b})
		// What was open across it is reset once both sides speak again.
		for _, h := range p.hosts {
			for _, d := range p.disp {
				if min(d.zone, h.m.Zone) == a && max(d.zone, h.m.Zone) == b {
					d.reset(h)
				}
			}
		}
	case world.OpCordon:
		for _, d := range p.disp {
			d.cordon(p.day.Machines[op.Host].Name, op.On)
		}
	case world.OpQuiesce:
		d := p.disp[op.Host]
		d.quiesced, d.quiescedAt = op.On, p.now
	case world.OpKill:
		p.disp[op.Host].kill()
	case world.OpRevive:
		p.disp[op.Host].revive()
	}
	// Virtual time has no store of record, so that nothing can happen to it.
}
