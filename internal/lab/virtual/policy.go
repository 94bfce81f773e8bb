package virtual

import (
	"math/rand/v2"

	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// core is what a play needs of a dispatcher: memory.Core, or a plain policy to compare it with.
type core interface {
	Arrive(now int64, m memory.Message, deadline int64) (memory.ID, []memory.Command)
	Inventory(now int64, how logic.ListKind, hosts []memory.Host) []memory.Command
	Started(now int64, r memory.RelayID) []memory.Command
	Taken(now int64, r memory.RelayID) []memory.Command
	Progress(now int64, r memory.RelayID, share float64) []memory.Command
	Ended(now int64, r memory.RelayID, result logic.Result, content []byte) []memory.Command
	HangUp(now int64, id memory.ID) []memory.Command
	Expire(now int64, id memory.ID) []memory.Command
	Wake(now int64) []memory.Command
}

func (p *play) newCore(cfg *platform.Config, d *dispatcher) (core, error) {
	switch p.o.Variant.Policy {
	case "", "module":
		return memory.New(cfg.Settings, cfg.Seed)
	}
	return &plain{policy: p.o.Variant.Policy, classes: cfg.Settings.Classes, rng: d.rng, attempts: max(cfg.Settings.MaxAttempts, 1),
		open: map[memory.ID]*plainMessage{}, index: map[string]int{}}, nil
}

// plain is a textbook dispatcher: it sends each message to a host that its policy names, and again after a refusal or a
// failed connection, or after a break where the class is safe to repeat. It gives nothing up before its deadline.
type plain struct {
	policy   string
	classes  []logic.Class
	attempts int
	rng      *rand.Rand
	last     memory.ID
	open     map[memory.ID]*plainMessage
	hosts    []*plainHost
	index    map[string]int
	ready    []*plainHost
	turn     int
	out      []memory.Command
	watched  bool
}

type plainHost struct {
	memory.Host
	held int
}

type plainMessage struct {
	class    int
	deadline int64
	tried    int
	on       *plainHost
}

func (c *plain) do(cmd memory.Command) { c.out = append(c.out, cmd) }

// choose names a host, nil where none is ready.
func (c *plain) choose() *plainHost {
	n := len(c.ready)
	if n == 0 {
		return nil
	}
	switch c.policy {
	case "round-robin":
		c.turn++
		return c.ready[c.turn%n]
	case "two":
		a, b := c.ready[c.rng.IntN(n)], c.ready[c.rng.IntN(n)]
		if b.held < a.held {
			return b
		}
		return a
	case "least":
		// Ties fall at random, or all dispatchers would send to the first.
		from := c.rng.IntN(n)
		best := c.ready[from]
		for i := range n {
			if h := c.ready[(from+i)%n]; h.held < best.held {
				best = h
			}
		}
		return best
	}
	return c.ready[c.rng.IntN(n)]
}

func (c *plain) Arrive(now int64, m memory.Message, deadline int64) (memory.ID, []memory.Command) {
	c.out = c.out[:0]
	c.last++
	c.open[c.last] = &plainMessage{class: m.Class, deadline: deadline}
	c.send(now, c.last)
	return c.last, c.out
}

func (c *plain) send(now int64, id memory.ID) {
	m := c.open[id]
	h := c.choose()
	if h == nil || m.tried >= c.attempts {
		c.answer(id, memory.Command{Verdict: memory.Refused})
		return
	}
	m.on = h
	h.held++
	c.do(memory.Command{Kind: memory.Send, Relay: memory.RelayID{Message: id, Attempt: m.tried}, Addr: h.Addr, Until: max(m.deadline, now+1)})
	m.tried++
}

func (c *plain) answer(id memory.ID, cmd memory.Command) {
	delete(c.open, id)
	cmd.Kind, cmd.Relay = memory.Answer, memory.RelayID{Message: id}
	c.do(cmd)
}

func (c *plain) Inventory(_ int64, how logic.ListKind, hosts []memory.Host) []memory.Command {
	c.out = c.out[:0]
	if !c.watched || how == logic.ListFailed {
		c.watched = true
		c.do(memory.Command{Kind: memory.Watch})
	}
	if how == logic.ListFailed {
		return c.out
	}
	if how != logic.ListDelta {
		for _, h := range c.hosts {
			h.Phase = logic.Gone
		}
	}
	for _, h := range hosts {
		i, known := c.index[h.Name]
		if !known {
			i = len(c.hosts)
			c.index[h.Name] = i
			c.hosts = append(c.hosts, &plainHost{})
		}
		c.hosts[i].Host = h
	}
	c.ready = c.ready[:0]
	for _, h := range c.hosts {
		if h.Phase == logic.Ready {
			c.ready = append(c.ready, h)
		}
	}
	return c.out
}

func (c *plain) Started(int64, memory.RelayID) []memory.Command           { return nil }
func (c *plain) Taken(int64, memory.RelayID) []memory.Command             { return nil }
func (c *plain) Progress(int64, memory.RelayID, float64) []memory.Command { return nil }
func (c *plain) Wake(int64) []memory.Command                              { return nil }

func (c *plain) Ended(now int64, r memory.RelayID, result logic.Result, content []byte) []memory.Command {
	c.out = c.out[:0]
	m := c.open[r.Message]
	if m == nil || r.Attempt != m.tried-1 || m.on == nil {
		return nil
	}
	m.on.held--
	m.on = nil
	switch {
	case result == logic.Served:
		c.answer(r.Message, memory.Command{Verdict: memory.Served, Content: content})
	case now >= m.deadline || result == logic.TimedOut:
		c.answer(r.Message, memory.Command{Verdict: memory.Failed})
	case result == logic.Refused, result == logic.ConnectFailed, result == logic.Moot, c.classes[m.class].Repeat == logic.RepeatSafe:
		c.send(now, r.Message)
	default:
		c.answer(r.Message, memory.Command{Verdict: memory.Failed})
	}
	return c.out
}

func (c *plain) HangUp(_ int64, id memory.ID) []memory.Command {
	c.out = c.out[:0]
	if m := c.open[id]; m != nil {
		if m.on != nil {
			m.on.held--
			c.do(memory.Command{Kind: memory.Drop, Relay: memory.RelayID{Message: id, Attempt: m.tried - 1}})
		}
		delete(c.open, id)
	}
	return c.out
}

func (c *plain) Expire(_ int64, id memory.ID) []memory.Command {
	c.out = c.out[:0]
	if m := c.open[id]; m != nil {
		if m.on != nil {
			m.on.held--
			c.do(memory.Command{Kind: memory.Drop, Relay: memory.RelayID{Message: id, Attempt: m.tried - 1}})
		}
		c.answer(id, memory.Command{Verdict: memory.Failed})
	}
	return c.out
}
