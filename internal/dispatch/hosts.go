package dispatch

import "granitewing/logic"

// Hosts: the inventory, cordons by operators, and stale membership.

// Inventory takes a list of hosts from discovery, or a failure to obtain one. A complete list (logic.ListFull,
// logic.ListCached) also removes all hosts that it does not name.
func (c *Core) Inventory(now int64, kind logic.ListKind, hosts []Host) []Command {
	c.resetOutput()
	if kind == logic.ListFull || kind == logic.ListCached {
		listed := map[string]bool{}
		for _, h := range hosts {
			listed[h.Name] = true
		}
		for _, h := range c.hosts {
			if !listed[h.Name] {
				c.removeHost(h)
			}
		}
	}
	list := make([]logic.WorkerInfo, 0, len(hosts))
	for _, h := range hosts {
		if _, known := c.workerIDs[h.Name]; !known && len(c.hosts) >= maxHosts {
			continue
		}
		list = append(list, c.workerInfo(c.upsertHost(h), h))
	}
	c.actions = c.sched.Workers(now, kind, list, c.actions)
	return c.applyActions(now)
}

// workerInfo describes a host to the decision module. A cordoned host appears as draining, whatever the inventory
// says.
func (c *Core) workerInfo(id logic.WorkerID, h Host) logic.WorkerInfo {
	phase := h.Phase
	if phase == logic.Ready && c.cordoned[h.Name] {
		phase = logic.Draining
	}
	return logic.WorkerInfo{ID: id, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, Weight: h.Weight, UpSince: h.UpSince, Phase: phase}
}

// Cordon bars a host from new work at an operator's request (on), or lifts that bar. A cordon holds until it is
// lifted, whatever the inventory says; repeating a call has no effect. known is false, and nothing changes, if no
// inventory has listed the name and it is not cordoned.
func (c *Core) Cordon(now int64, name string, on bool) (known bool, cmds []Command) {
	c.resetOutput()
	_, listed := c.everListed[name]
	if !listed && !c.cordoned[name] {
		return false, c.commands
	}
	if on == c.cordoned[name] {
		return true, c.commands
	}
	if on {
		c.cordoned[name] = true // bounded: everListed and Restore both bound the names that get here
	} else {
		delete(c.cordoned, name)
	}
	if id, ok := c.workerIDs[name]; ok {
		h := c.hosts[id]
		if on && h.Phase == logic.Ready {
			c.emit(Command{Kind: CloseIdle, Addr: h.Addr})
		}
		c.actions = c.sched.Workers(now, logic.ListDelta, []logic.WorkerInfo{c.workerInfo(id, h.Host)}, c.actions)
	}
	return true, c.applyActions(now)
}

// SetMembershipStale marks the membership as stale (on) or as reliable again. While it is stale any host may have
// drained without a report to this dispatcher, so nothing new is sent and messages wait until their clients give up.
func (c *Core) SetMembershipStale(now int64, on bool) []Command {
	c.resetOutput()
	c.stale = on
	c.actions = c.sched.SetMembershipStale(now, on, c.actions)
	return c.applyActions(now)
}

// YieldSlowStartBudget prepares for another process to take over from this dispatcher: from now on its remaining sends
// go only to hosts that are past their slow start.
func (c *Core) YieldSlowStartBudget() { c.sched.YieldSlowStartBudget() }

// Restore applies a cordon that an earlier process of this dispatcher had, whether the host is listed or not.
func (c *Core) Restore(now int64, name string) []Command {
	if _, listed := c.everListed[name]; !listed && !c.cordoned[name] && len(c.cordoned) < maxHosts {
		c.cordoned[name] = true
	}
	_, cmds := c.Cordon(now, name, true)
	return cmds
}

// Cordons returns the names of the cordoned hosts, in no particular order.
func (c *Core) Cordons() []string {
	names := make([]string, 0, len(c.cordoned))
	for name := range c.cordoned {
		names = append(names, name)
	}
	return names
}

// HostCounts returns the number of listed hosts, and of those that receive no new work because they are cordoned or
// not in the ready phase.
func (c *Core) HostCounts() (listed, avoided int) {
	for _, h := range c.hosts {
		if h.Phase != logic.Ready || c.cordoned[h.Name] {
			avoided++
		}
	}
	return len(c.hosts), avoided
}

// upsertHost applies one entry of the inventory and returns the worker id of the host.
func (c *Core) upsertHost(e Host) logic.WorkerID {
	id, known := c.workerIDs[e.Name]
	if _, seen := c.everListed[e.Name]; !seen {
		if len(c.everListed) >= 4*maxHosts {
			// Drops the names of hosts replaced long ago along with all others. A host that is not listed again can no
			// longer be cordoned.
			clear(c.everListed)
		}
		c.everListed[e.Name] = struct{}{}
	}
	if !known {
		// The id derives from the name alone, because dispatchers that share no state agree on decisions through it.
		// Only for two names that collide may it differ between dispatchers.
		for id = workerIDOf(e.Name); c.hosts[id] != nil; {
			id++
		}
	}
	old := c.hosts[id]
	if e.Phase == logic.Gone {
		if old != nil {
			c.removeHost(old)
		}
		return id
	}
	if old != nil && old.Phase == logic.Ready && !c.cordoned[e.Name] && (e.Phase != logic.Ready || old.Addr != e.Addr) {
		c.emit(Command{Kind: CloseIdle, Addr: old.Addr})
	}
	c.workerIDs[e.Name] = id
	c.hosts[id] = &host{Host: e, id: id}
	return id
}

func (c *Core) removeHost(h *host) {
	if h.Phase == logic.Ready {
		c.emit(Command{Kind: CloseIdle, Addr: h.Addr})
	}
	delete(c.hosts, h.id)
	delete(c.workerIDs, h.Name)
}

// acceptsWork reports whether a host may be sent new work; nil stands for an unknown host.
func (c *Core) acceptsWork(h *host) bool {
	return h != nil && h.Phase == logic.Ready && !c.cordoned[h.Name] && !c.stale
}
