// Package memory holds what a dispatcher keeps: the open messages with their relays, and the south side
// hosts. Its Core turns what happens into calls of the decision module, and what that decides into commands.
// It knows no protocol and no socket, so that every front goes through the same decisions and rules.
package memory

import (
	"granitewing/logic"
)

// hostsMost bounds the hosts kept, should an inventory name ever new ones.
const maxHosts = 4096

// fullAfter is when a client may come back who found as many messages open as may be, in microseconds.
const retryAfterFull = 1_000_000

// ID names an open message.
type ID = logic.JobID

// RelayID names one relay of a message; it is never used again while anything late may still speak of it.
type RelayID struct {
	Message ID
	Attempt int
}

// Message is a request as the decisions see it.
type Message struct {
	Name     string // the client's own for it; no two open messages have the same
	Class    int
	Tenant   int     // its number in the settings; -1 for one that they do not name
	Subject  uint64  // what it concerns; 0 = nothing named
	Hint     int64   // expected work in microseconds; 0 = unknown
	Slots    float64 // slots it takes
	Memory   float64 // units of memory it takes
	Repeated bool    // the client has tried before
}

// Host is a south side host as the inventory names it.
type Host struct {
	Name    string // the same at every dispatcher
	Addr    string
	Zone    int
	Kind    int
	Cell    int
	Weight  float64
	UpSince int64 // microseconds; 0 = long ago
	Phase   logic.Phase
}

// CommandKind is what a front or driver shall do.
type CommandKind uint8

// The kinds of command and the fields of Command that each uses.
const (
	Send   CommandKind = iota // Relay, Addr, Until: relay the message to the host at Addr, which may take till then
	Drop                      // Relay: stop the relay; it must be gone before the next command
	Answer                    // Relay.Message, Verdict, After, Content: the final answer
	Wake                      // At: call Core.Wake then
	Watch                     // open the watch on the inventory
	Leave                     // Addr: idle connections to it are of no more use
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The kinds of final answers.
const (
	Served    Verdict = iota // Content is what a host gave for this message
	Refused                  // trying again is harmless
	Failed                   // nothing is promised
	Duplicate                // another open message has its name
)

// Command is something to be done, in order.
type Command struct {
	Kind    CommandKind
	Relay   RelayID
	Addr    string
	Until   int64 // microseconds; the deadline of what the client waits for
	Verdict Verdict
	After   int64
	Content []byte
	At      int64
	Gang    *GangPart // of a Send that is one part of several; else nil
}

// message is an open message.
type message struct {
	name        string
	attempts    []attempt
	outstanding int  // relays without an end
	uncounted   int  // relays that never reached their host, where those do not count as attempts
	mayHaveRun  bool // one of them may have run
	answered    bool // it has its final answer, or nobody waits for one
	class       int
	deadline    int64
	gang        *gangState // nil: it is no gang
}

// relay is one attempt.
type attempt struct {
	worker      logic.WorkerID
	sentAt      int64
	outstanding bool
	mayHaveRun  bool // it has ended, and may have run
}

// host is a known south side host.
type host struct {
	Host
	id logic.WorkerID
}

// Core owns the decisions of one dispatcher. It must not be used by two goroutines at once.
type Core struct {
	cfg         logic.Config
	sched       *logic.Scheduler
	lastID      ID
	messages    map[ID]*message
	openNames   map[string]ID // of messages that have one
	hosts       map[logic.WorkerID]*host
	workerIDs   map[string]logic.WorkerID
	actions     []logic.Action
	commands    []Command
	cordoned    map[string]bool     // hosts barred by hand, by name, listed or not
	everListed  map[string]struct{} // names that any inventory gave, for telling a cordon of an unknown host
	stale       bool                // any host may have drained for all that is known; none is sent to
	limits      Limits              // of the fleet; nil: there are none
	evidence    Evidence            // nil: nobody asks for it
	prices      Prices              // of the fleet; nil: there are none
	retryBudget retryBudget         // rights to attempts beyond the first
	gangs       Gangs               // nil: no class runs as gangs
}

// New makes a core.
func New(cfg logic.Config, seed uint64) (*Core, error) {
	s, err := logic.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	return &Core{cfg: cfg, sched: s, messages: map[ID]*message{}, openNames: map[string]ID{}, hosts: map[logic.WorkerID]*host{},
		workerIDs: map[string]logic.WorkerID{}, cordoned: map[string]bool{}, everListed: map[string]struct{}{}}, nil
}

// Open is how many messages are kept.
func (c *Core) Open() int { return len(c.messages) }

// The calls below take what happened at a time in microseconds and return the commands that follow, valid
// until the next call.

// Arrive takes a message whose client waits until deadline; 0 means as long as its class says.
func (c *Core) Arrive(now int64, m Message, deadline int64) (ID, []Command) {
	c.resetOutput()
	c.lastID++
	for c.messages[c.lastID] != nil {
		c.lastID++
	}
	id := c.lastID
	if _, open := c.openNames[m.Name]; open {
		// Hosts know a job by its name, so to them this would be a second copy of the one that is open.
		c.emit(Command{Kind: Answer, Relay: RelayID{Message: id}, Verdict: Duplicate})
		return id, c.commands
	}
	if c.cfg.MaxOpen > 0 && len(c.messages) >= c.cfg.MaxOpen {
		c.emit(Command{Kind: Answer, Relay: RelayID{Message: id}, Verdict: Refused, After: retryAfterFull})
		return id, c.commands
	}
	deadline, share, in := c.applyLimits(now, id, m, deadline)
	if !in {
		c.emit(Command{Kind: Answer, Relay: RelayID{Message: id}, Verdict: Refused, After: retryAfterOverLimit})
		return id, c.commands
	}
	c.retryBudget.credit()
	c.messages[id] = &message{name: m.Name, class: m.Class, deadline: deadline}
	if m.Name != "" {
		c.openNames[m.Name] = id
	}
	if c.gangs != nil && c.gangs.Takes(m.Class) {
		c.arriveGang(now, id, m, deadline, share)
		return id, c.applyActions(now)
	}
	c.actions = c.sched.Arrive(now, logic.Job{
		ID: id, Key: m.Subject, Class: m.Class, Tenant: m.Tenant, Hint: m.Hint, Slots: m.Slots, Memory: m.Memory,
		Deadline: deadline, Repeated: m.Repeated, Share: share, Price: c.price(),
	}, c.actions)
	c.reportDemand(now)
	return id, c.applyActions(now)
}

// Started takes the news that a relay's host has begun to run it.
func (c *Core) Started(now int64, r RelayID) []Command {
	c.resetOutput()
	if c.outstandingAttempt(r) == nil {
		return c.commands
	}
	if m := c.messages[r.Message]; m.gang != nil {
		c.partStarted(now, r, m)
	} else {
		c.actions = c.sched.Started(now, r.Message, r.Attempt, c.actions)
	}
	return c.applyActions(now)
}

// Taken takes the news that a relay's host has taken the message, which it may run later.
func (c *Core) Taken(now int64, r RelayID) []Command { return c.Progress(now, r, 0) }

// Progress takes the share of a relay's work that is done.
func (c *Core) Progress(now int64, r RelayID, share float64) []Command {
	c.resetOutput()
	if c.outstandingAttempt(r) != nil && c.messages[r.Message].gang == nil {
		c.actions = c.sched.Progress(now, r.Message, r.Attempt, share, c.actions)
	}
	return c.applyActions(now)
}

// Ended takes the end of a relay; content is the result where it was served.
func (c *Core) Ended(now int64, r RelayID, result logic.Result, content []byte) []Command {
	c.resetOutput()
	if c.outstandingAttempt(r) == nil {
		return c.commands
	}
	if m := c.messages[r.Message]; m.gang != nil {
		c.partEnded(now, r, m, result, content)
	} else {
		c.completeAttempt(now, r, result, content)
	}
	return c.applyActions(now)
}

// HangUp takes the news that a message's client has left.
func (c *Core) HangUp(now int64, id ID) []Command {
	c.resetOutput()
	if m := c.messages[id]; m != nil && !m.answered {
		c.markAnswered(id, m)
		c.actions = c.sched.HangUp(now, id, c.actions)
	}
	return c.finishMessage(now, id)
}

// Expire gives up a message whose time is over. The decisions answer before that; this guards the client
// against waiting for ever should they not.
func (c *Core) Expire(now int64, id ID) []Command {
	c.resetOutput()
	if m := c.messages[id]; m != nil && !m.answered {
		c.answer(id, m, Command{Verdict: Failed})
		c.actions = c.sched.HangUp(now, id, c.actions)
	}
	return c.finishMessage(now, id)
}

// Refuse gives up a message that was never sent, since what it needs before it may be sent can't be had; its client may
// come back after some microseconds.
func (c *Core) Refuse(now int64, id ID, after int64) []Command {
	c.resetOutput()
	if m := c.messages[id]; m != nil && !m.answered {
		c.answer(id, m, Command{Verdict: Refused, After: after})
		c.actions = c.sched.HangUp(now, id, c.actions)
	}
	return c.finishMessage(now, id)
}

// Wake takes a time that a Wake command asked for.
func (c *Core) Wake(now int64) []Command {
	c.resetOutput()
	c.actions = c.sched.Wake(now, 0, c.actions)
	return c.applyActions(now)
}

func (c *Core) resetOutput() { c.actions, c.commands = c.actions[:0], c.commands[:0] }

func (c *Core) emit(cmd Command) { c.commands = append(c.commands, cmd) }

// find gives a relay that has no end yet.
func (c *Core) outstandingAttempt(r RelayID) *attempt {
	m := c.messages[r.Message]
	if m == nil || r.Attempt < 0 || r.Attempt >= len(m.attempts) || !m.attempts[r.Attempt].outstanding {
		return nil
	}
	return &m.attempts[r.Attempt]
}

// finish turns actions into commands; an action may bring an outcome at once, which may bring more actions.
func (c *Core) applyActions(now int64) []Command {
	for i := 0; i < len(c.actions); i++ {
		switch a := c.actions[i]; a.Kind {
		case logic.ActSend:
			c.send(now, a)
		case logic.ActCancel:
			r := RelayID{a.Job, a.Attempt}
			if c.outstandingAttempt(r) != nil {
				c.emit(Command{Kind: Drop, Relay: r})
				c.completeAttempt(now, r, logic.Cancelled, nil)
			}
		case logic.ActRefuse, logic.ActFail:
			if m := c.messages[a.Job]; m != nil && !m.answered {
				verdict := Failed
				if a.Kind == logic.ActRefuse {
					verdict = Refused
				}
				c.answer(a.Job, m, Command{Verdict: verdict, After: a.After})
				c.removeIfDone(a.Job, m)
			}
		case logic.ActWake:
			c.emit(Command{Kind: Wake, At: a.At})
		case logic.ActSubscribe:
			c.emit(Command{Kind: Watch})
		}
	}
	return c.commands
}

func (c *Core) finishMessage(now int64, id ID) []Command {
	if m := c.messages[id]; m != nil && m.gang != nil && m.answered {
		c.dropParts(now, id, m)
	}
	c.applyActions(now)
	if m := c.messages[id]; m != nil {
		c.removeIfDone(id, m)
	}
	return c.commands
}

// end closes the books on a relay and tells the decisions.
func (c *Core) completeAttempt(now int64, r RelayID, result logic.Result, content []byte) {
	m := c.messages[r.Message]
	a := &m.attempts[r.Attempt]
	a.outstanding = false
	m.outstanding--
	c.reportHealth(now, a.worker, result)
	a.mayHaveRun = result != logic.ConnectFailed && result != logic.Refused && result != logic.Moot
	m.mayHaveRun = m.mayHaveRun || a.mayHaveRun
	if c.cfg.FreeConnects && result == logic.ConnectFailed {
		m.uncounted++
	}
	if result == logic.Served && !m.answered {
		c.answer(r.Message, m, Command{Verdict: Served, Content: content})
	}
	c.actions = c.sched.Outcome(now, logic.Outcome{
		Job: r.Message, Attempt: r.Attempt, Worker: a.worker, Result: result, Elapsed: now - a.sentAt, Settled: m.answered,
	}, c.actions)
	c.removeIfDone(r.Message, m)
}

// answer gives the one final answer.
func (c *Core) answer(id ID, m *message, cmd Command) {
	c.markAnswered(id, m)
	cmd.Kind, cmd.Relay = Answer, RelayID{Message: id}
	c.emit(cmd)
}

// forget lets go of a message that is answered and has nothing out.
func (c *Core) removeIfDone(id ID, m *message) {
	if m.answered && m.outstanding == 0 {
		delete(c.messages, id)
		delete(c.openNames, m.name)
	}
}
