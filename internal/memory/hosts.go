package memory

import "granitewing/logic"

// The hosts: what the inventory says of them, cordons by hand, and doubt of what is known.

// Inventory takes what discovery told, or that it could not be asked.
func (c *Core) Inventory(now int64, how logic.ListKind, hosts []Host) []Command {
	c.begin()
	if how == logic.ListFull || how == logic.ListCached {
		listed := map[string]bool{}
		for _, h := range hosts {
			listed[h.Name] = true
		}
		for _, h := range c.hosts {
			if !listed[h.Name] {
				c.remove(h)
			}
		}
	}
	list := make([]logic.WorkerInfo, 0, len(hosts))
	for _, h := range hosts {
		if _, known := c.numbers[h.Name]; !known && len(c.hosts) >= hostsMost {
			continue
		}
		list = append(list, c.info(c.take(h), h))
	}
	c.acts = c.sched.Workers(now, how, list, c.acts)
	return c.finish(now)
}

// info is what the decisions are told of a host: one that is cordoned drains to them, whatever the inventory says.
func (c *Core) info(id logic.WorkerID, h Host) logic.WorkerInfo {
	phase := h.Phase
	if phase == logic.Ready && c.cordons[h.Name] {
		phase = logic.Draining
	}
	return logic.WorkerInfo{ID: id, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, Weight: h.Weight, UpSince: h.UpSince, Phase: phase}
}

// Cordon bars the host of that name by hand (on) or lets it be used again. A cordon holds whatever the inventory says
// until it is lifted; repeating either is harmless. known is false, and nothing changes, for a name that no inventory
// gave and that is not cordoned.
func (c *Core) Cordon(now int64, name string, on bool) (known bool, cmds []Command) {
	c.begin()
	_, listed := c.listed[name]
	if !listed && !c.cordons[name] {
		return false, c.out
	}
	if on == c.cordons[name] {
		return true, c.out
	}
	if on {
		c.cordons[name] = true // bounded, as the names listed are, or as Restore bounds them
	} else {
		delete(c.cordons, name)
	}
	if id, ok := c.numbers[name]; ok {
		h := c.hosts[id]
		if on && h.Phase == logic.Ready {
			c.do(Command{Kind: Leave, Addr: h.Addr})
		}
		c.acts = c.sched.Workers(now, logic.ListDelta, []logic.WorkerInfo{c.info(id, h.Host)}, c.acts)
	}
	return true, c.finish(now)
}

// Doubt takes the news that any host may have drained without this dispatcher being told (on), or that what is known of
// them holds again. Meanwhile nothing new is sent, and messages wait for as long as their clients do.
func (c *Core) Doubt(now int64, on bool) []Command {
	c.begin()
	c.doubt = on
	c.acts = c.sched.Doubt(now, on, c.acts)
	return c.finish(now)
}

// Yield takes the news that another process has this dispatcher's place from now on: what of its requests is still to be sent
// goes to hosts that are warm.
func (c *Core) Yield() { c.sched.Yield() }

// Restore bars a host by hand that an earlier process of this dispatcher barred, whether it is listed or not.
func (c *Core) Restore(now int64, name string) []Command {
	if _, listed := c.listed[name]; !listed && !c.cordons[name] && len(c.cordons) < hostsMost {
		c.cordons[name] = true
	}
	_, cmds := c.Cordon(now, name, true)
	return cmds
}

// Cordons gives the names of the hosts barred by hand, in no order.
func (c *Core) Cordons() []string {
	names := make([]string, 0, len(c.cordons))
	for name := range c.cordons {
		names = append(names, name)
	}
	return names
}

// Census counts the hosts listed and those of them that are not sent new work, whether by hand or since the inventory
// says that they drain.
func (c *Core) Census() (listed, avoided int) {
	for _, h := range c.hosts {
		if h.Phase != logic.Ready || c.cordons[h.Name] {
			avoided++
		}
	}
	return len(c.hosts), avoided
}

// take keeps one entry of the inventory and gives the host's number.
func (c *Core) take(e Host) logic.WorkerID {
	id, known := c.numbers[e.Name]
	if _, seen := c.listed[e.Name]; !seen {
		if len(c.listed) >= 4*hostsMost {
			// Names of hosts long replaced are let go together; a cordon of one of them is then refused.
			clear(c.listed)
		}
		c.listed[e.Name] = struct{}{}
	}
	if !known {
		// The number comes from the name alone, since the decisions of dispatchers that share nothing agree
		// through it; only two names that collide may differ between dispatchers.
		for id = numberOf(e.Name); c.hosts[id] != nil; {
			id++
		}
	}
	old := c.hosts[id]
	if e.Phase == logic.Gone {
		if old != nil {
			c.remove(old)
		}
		return id
	}
	if old != nil && old.Phase == logic.Ready && !c.cordons[e.Name] && (e.Phase != logic.Ready || old.Addr != e.Addr) {
		c.do(Command{Kind: Leave, Addr: old.Addr})
	}
	c.numbers[e.Name] = id
	c.hosts[id] = &host{Host: e, id: id}
	return id
}

func (c *Core) remove(h *host) {
	if h.Phase == logic.Ready {
		c.do(Command{Kind: Leave, Addr: h.Addr})
	}
	delete(c.hosts, h.id)
	delete(c.numbers, h.Name)
}

// takes tells whether a host, if it is known, may be sent anything new.
func (c *Core) takes(h *host) bool {
	return h != nil && h.Phase == logic.Ready && !c.cordons[h.Name] && !c.doubt
}
