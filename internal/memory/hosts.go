package memory

import "granitewing/logic"

// The hosts: what the inventory says of them, cordons by hand, and doubt of what is known.

// Inventory takes what discovery told, or that it could not be asked.
func (c *Core) Inventory(now int64, how logic.ListKind, hosts []Host) []Command {
	c.resetOutput()
	if how == logic.ListFull || how == logic.ListCached {
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
	c.actions = c.sched.Workers(now, how, list, c.actions)
	return c.applyActions(now)
}

// info is what the decisions are told of a host: one that is cordoned drains to them, whatever the inventory says.
func (c *Core) workerInfo(id logic.WorkerID, h Host) logic.WorkerInfo {
	phase := h.Phase
	if phase == logic.Ready && c.cordoned[h.Name] {
		phase = logic.Draining
	}
	return logic.WorkerInfo{ID: id, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, Weight: h.Weight, UpSince: h.UpSince, Phase: phase}
}

// Cordon bars the host of that name by hand (on) or lets it be used again. A cordon holds whatever the inventory says
// until it is lifted; repeating either is harmless. known is false, and nothing changes, for a name that no inventory
// gave and that is not cordoned.
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
		c.cordoned[name] = true // bounded, as the names listed are, or as Restore bounds them
	} else {
		delete(c.cordoned, name)
	}
	if id, ok := c.workerIDs[name]; ok {
		h := c.hosts[id]
		if on && h.Phase == logic.Ready {
			c.emit(Command{Kind: Leave, Addr: h.Addr})
		}
		c.actions = c.sched.Workers(now, logic.ListDelta, []logic.WorkerInfo{c.workerInfo(id, h.Host)}, c.actions)
	}
	return true, c.applyActions(now)
}

// Doubt takes the news that any host may have drained without this dispatcher being told (on), or that what is known of
// them holds again. Meanwhile nothing new is sent, and messages wait for as long as their clients do.
func (c *Core) Doubt(now int64, on bool) []Command {
	c.resetOutput()
	c.stale = on
	c.actions = c.sched.Doubt(now, on, c.actions)
	return c.applyActions(now)
}

// Yield takes the news that another process has this dispatcher's place from now on: what of its requests is still to be sent
// goes to hosts that are warm.
func (c *Core) Yield() { c.sched.Yield() }

// Restore bars a host by hand that an earlier process of this dispatcher barred, whether it is listed or not.
func (c *Core) Restore(now int64, name string) []Command {
	if _, listed := c.everListed[name]; !listed && !c.cordoned[name] && len(c.cordoned) < maxHosts {
		c.cordoned[name] = true
	}
	_, cmds := c.Cordon(now, name, true)
	return cmds
}

// Cordons gives the names of the hosts barred by hand, in no order.
func (c *Core) Cordons() []string {
	names := make([]string, 0, len(c.cordoned))
	for name := range c.cordoned {
		names = append(names, name)
	}
	return names
}

// Census counts the hosts listed and those of them that are not sent new work, whether by hand or since the inventory
// says that they drain.
func (c *Core) Census() (listed, avoided int) {
	for _, h := range c.hosts {
		if h.Phase != logic.Ready || c.cordoned[h.Name] {
			avoided++
		}
	}
	return len(c.hosts), avoided
}

// take keeps one entry of the inventory and gives the host's number.
func (c *Core) upsertHost(e Host) logic.WorkerID {
	id, known := c.workerIDs[e.Name]
	if _, seen := c.everListed[e.Name]; !seen {
		if len(c.everListed) >= 4*maxHosts {
			// Names of hosts long replaced are let go together; a cordon of one of them is then refused.
			clear(c.everListed)
		}
		c.everListed[e.Name] = struct{}{}
	}
	if !known {
		// The number comes from the name alone, since the decisions of dispatchers that share nothing agree
		// through it; only two names that collide may differ between dispatchers.
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
		c.emit(Command{Kind: Leave, Addr: old.Addr})
	}
	c.workerIDs[e.Name] = id
	c.hosts[id] = &host{Host: e, id: id}
	return id
}

func (c *Core) removeHost(h *host) {
	if h.Phase == logic.Ready {
		c.emit(Command{Kind: Leave, Addr: h.Addr})
	}
	delete(c.hosts, h.id)
	delete(c.workerIDs, h.Name)
}

// takes tells whether a host, if it is known, may be sent anything new.
func (c *Core) acceptsWork(h *host) bool {
	return h != nil && h.Phase == logic.Ready && !c.cordoned[h.Name] && !c.stale
}
