package virtual

import (
	"math/rand/v2"

	"granitewing/internal/dispatch"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// dispatcherCore is the interface of a dispatcher's decisions: dispatch.Core, or a plain policy to compare it with. All
// times are in microseconds. The commands that a call returns are valid until the next call.
type dispatcherCore interface {
	Arrive(now int64, m dispatch.Message, deadline int64) (dispatch.ID, []dispatch.Command)
	Inventory(now int64, how logic.ListKind, hosts []dispatch.Host) []dispatch.Command
	Started(now int64, r dispatch.AttemptID) []dispatch.Command
	Taken(now int64, r dispatch.AttemptID) []dispatch.Command
	Progress(now int64, r dispatch.AttemptID, share float64) []dispatch.Command
	Ended(now int64, r dispatch.AttemptID, result logic.Result, content []byte) []dispatch.Command
	ClientGone(now int64, id dispatch.ID) []dispatch.Command
	Expire(now int64, id dispatch.ID) []dispatch.Command
	Wake(now int64) []dispatch.Command
}

// newCore creates the core that the variant's policy asks for.
func (sim *simulation) newCore(cfg *platform.Config, d *dispatcher) (dispatcherCore, error) {
	switch sim.options.Variant.Policy {
	case "", "module":
		return dispatch.New(cfg.Settings, cfg.Seed)
	}
	return &plainPolicy{policy: sim.options.Variant.Policy, classes: cfg.Settings.Classes, rng: d.rng, maxAttempts: max(cfg.Settings.MaxAttempts, 1),
		messages: map[dispatch.ID]*plainMessage{}, hostIndex: map[string]int{}}, nil
}

// plainPolicy is a simple dispatcher for comparison. It sends each message to a host that its policy chooses, and sends
// it again after a refusal or a failed connection, or after a broken connection if the class is safe to repeat. It
// gives no message up before its deadline.
type plainPolicy struct {
	policy      string
	classes     []logic.Class
	maxAttempts int
	rng         *rand.Rand
	lastID      dispatch.ID
	messages    map[dispatch.ID]*plainMessage
	hosts       []*plainHost
	hostIndex   map[string]int
	ready       []*plainHost
	nextHost    int
	commands    []dispatch.Command // of the current call
	watching    bool
}

type plainHost struct {
	dispatch.Host
	outstanding int // attempts outstanding
}

type plainMessage struct {
	class    int
	deadline int64
	attempts int        // attempts so far
	host     *plainHost // host of the current attempt; nil if there is none
}

func (c *plainPolicy) emit(cmd dispatch.Command) { c.commands = append(c.commands, cmd) }

// chooseHost returns the host that the policy chooses, or nil if none is ready.
func (c *plainPolicy) chooseHost() *plainHost {
	n := len(c.ready)
	if n == 0 {
		return nil
	}
	switch c.policy {
	case "round-robin":
		c.nextHost++
		return c.ready[c.nextHost%n]
	case "two":
		a, b := c.ready[c.rng.IntN(n)], c.ready[c.rng.IntN(n)]
		if b.outstanding < a.outstanding {
			return b
		}
		return a
	case "least":
		// Break ties at random; otherwise all dispatchers would send to the first host.
		from := c.rng.IntN(n)
		best := c.ready[from]
		for i := range n {
			if h := c.ready[(from+i)%n]; h.outstanding < best.outstanding {
				best = h
			}
		}
		return best
	}
	return c.ready[c.rng.IntN(n)]
}

func (c *plainPolicy) Arrive(now int64, m dispatch.Message, deadline int64) (dispatch.ID, []dispatch.Command) {
	c.commands = c.commands[:0]
	c.lastID++
	c.messages[c.lastID] = &plainMessage{class: m.Class, deadline: deadline}
	c.startAttempt(now, c.lastID)
	return c.lastID, c.commands
}

func (c *plainPolicy) startAttempt(now int64, id dispatch.ID) {
	m := c.messages[id]
	h := c.chooseHost()
	if h == nil || m.attempts >= c.maxAttempts {
		c.answer(id, dispatch.Command{Verdict: dispatch.Refused})
		return
	}
	m.host = h
	h.outstanding++
	c.emit(dispatch.Command{Kind: dispatch.Send, Attempt: dispatch.AttemptID{Message: id, Attempt: m.attempts}, Addr: h.Addr, Until: max(m.deadline, now+1)})
	m.attempts++
}

func (c *plainPolicy) answer(id dispatch.ID, cmd dispatch.Command) {
	delete(c.messages, id)
	cmd.Kind, cmd.Attempt = dispatch.Answer, dispatch.AttemptID{Message: id}
	c.emit(cmd)
}

func (c *plainPolicy) Inventory(_ int64, how logic.ListKind, hosts []dispatch.Host) []dispatch.Command {
	c.commands = c.commands[:0]
	if !c.watching || how == logic.ListFailed {
		c.watching = true
		c.emit(dispatch.Command{Kind: dispatch.Watch})
	}
	if how == logic.ListFailed {
		return c.commands
	}
	if how != logic.ListDelta {
		for _, h := range c.hosts {
			h.Phase = logic.Gone
		}
	}
	for _, h := range hosts {
		i, known := c.hostIndex[h.Name]
		if !known {
			i = len(c.hosts)
			c.hostIndex[h.Name] = i
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
	return c.commands
}

func (c *plainPolicy) Started(int64, dispatch.AttemptID) []dispatch.Command           { return nil }
func (c *plainPolicy) Taken(int64, dispatch.AttemptID) []dispatch.Command             { return nil }
func (c *plainPolicy) Progress(int64, dispatch.AttemptID, float64) []dispatch.Command { return nil }
func (c *plainPolicy) Wake(int64) []dispatch.Command                                  { return nil }

func (c *plainPolicy) Ended(now int64, r dispatch.AttemptID, result logic.Result, content []byte) []dispatch.Command {
	c.commands = c.commands[:0]
	m := c.messages[r.Message]
	if m == nil || r.Attempt != m.attempts-1 || m.host == nil {
		return nil
	}
	m.host.outstanding--
	m.host = nil
	switch {
	case result == logic.Served:
		c.answer(r.Message, dispatch.Command{Verdict: dispatch.Served, Content: content})
	case now >= m.deadline || result == logic.TimedOut:
		c.answer(r.Message, dispatch.Command{Verdict: dispatch.Failed})
	case result == logic.Refused, result == logic.ConnectFailed, result == logic.NotSent, c.classes[m.class].Repeat == logic.RepeatSafe:
		c.startAttempt(now, r.Message)
	default:
		c.answer(r.Message, dispatch.Command{Verdict: dispatch.Failed})
	}
	return c.commands
}

func (c *plainPolicy) ClientGone(_ int64, id dispatch.ID) []dispatch.Command {
	c.commands = c.commands[:0]
	if m := c.messages[id]; m != nil {
		if m.host != nil {
			m.host.outstanding--
			c.emit(dispatch.Command{Kind: dispatch.Drop, Attempt: dispatch.AttemptID{Message: id, Attempt: m.attempts - 1}})
		}
		delete(c.messages, id)
	}
	return c.commands
}

func (c *plainPolicy) Expire(_ int64, id dispatch.ID) []dispatch.Command {
	c.commands = c.commands[:0]
	if m := c.messages[id]; m != nil {
		if m.host != nil {
			m.host.outstanding--
			c.emit(dispatch.Command{Kind: dispatch.Drop, Attempt: dispatch.AttemptID{Message: id, Attempt: m.attempts - 1}})
		}
		c.answer(id, dispatch.Command{Verdict: dispatch.Failed})
	}
	return c.commands
}
