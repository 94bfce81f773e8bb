// Package dispatch is the core of a dispatcher. It holds the open messages (client requests) with their attempts,
// the back-end hosts with their phase, and the rules that every send has to obey.
//
// Core translates events (a message arrives, an attempt completes, the list of hosts changes, a timer fires) into
// calls of the decision module, package logic, and the decisions into commands for a driver to carry out. It knows
// no protocol and opens no socket, so the same decisions and rules apply behind every front end. Package logic (the
// decision module, or module) has other names for the same things: a message is its job, a host its worker, and a
// message's subject the job's data set (key).
//
// A driver makes a Core with New, attaches the optional fleet-wide parts (Limit, Price, ReportHealthTo, Gang, Retries)
// before the first message, then calls one method for each event and executes the returned commands in order.
// Times are in microseconds. A Core is not safe for concurrent use.
package dispatch

import (
	"granitewing/logic"
)

// maxHosts bounds the hosts kept in memory, in case an inventory keeps naming new ones.
const maxHosts = 4096

// retryAfterFull is the retry advice to a client that is refused because the maximum number of messages is open,
// in microseconds.
const retryAfterFull = 1_000_000

// ID identifies an open message.
type ID = logic.JobID

// AttemptID identifies one attempt of a message. It is not reused while a late event may still refer to it.
type AttemptID struct {
	Message ID
	Attempt int
}

// Message is a client request as the decision module sees it.
type Message struct {
	Name     string // client's identifier; no two open messages share one
	Class    int
	Tenant   int     // index in the settings; -1 for a tenant that they do not name
	Subject  uint64  // data set that the request concerns; 0 = none named
	Hint     int64   // expected work in microseconds; 0 = unknown
	Slots    float64 // slots that the request takes
	Memory   float64 // units of memory that the request takes
	Repeated bool    // the client has sent this request before
}

// Host is a back-end host as the inventory describes it.
type Host struct {
	Name    string // the same at every dispatcher
	Addr    string
	Zone    int
	Kind    int
	Cell    int
	Weight  float64
	UpSince int64 // start time in microseconds; 0 = long ago
	Phase   logic.Phase
}

// CommandKind is what the driver has to do.
type CommandKind uint8

// The kinds of command, each with the fields of Command that it uses.
const (
	Send      CommandKind = iota // Attempt, Addr, Until: send the message to the host at Addr, with Until as the deadline
	Drop                         // Attempt: cancel the attempt; this must be done before the next command
	Answer                       // Attempt.Message, Verdict, After, Content: send the final answer to the client
	Wake                         // At: call Core.Wake at that time
	Watch                        // open the watch on the inventory
	CloseIdle                    // Addr: close the idle connections to this address
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The kinds of final answers.
const (
	Served    Verdict = iota // Content is the result that a host returned for this message
	Refused                  // the message can safely be retried
	Failed                   // the message may or may not have run
	Duplicate                // another open message has the same name
)

// Command is an action for the driver. Commands are executed in order.
type Command struct {
	Kind    CommandKind
	Attempt AttemptID
	Addr    string
	Until   int64 // deadline of the client's wait, in microseconds
	Verdict Verdict
	After   int64 // retry advice in microseconds; 0 = none
	Content []byte
	At      int64     // microseconds
	Gang    *GangPart // set for a Send that is one part of a gang; otherwise nil
}

// message is the state of an open message.
type message struct {
	name        string
	attempts    []attempt
	outstanding int  // attempts without an outcome
	uncounted   int  // attempts that never reached a host, if the settings exempt them from the attempt limit
	mayHaveRun  bool // at least one attempt may have run
	answered    bool // it has its final answer, or its client has left
	class       int
	deadline    int64
	gang        *gangState // nil if the message is not a gang
}

// attempt is one try to run a message at a host.
type attempt struct {
	worker      logic.WorkerID
	sentAt      int64
	outstanding bool
	mayHaveRun  bool // it has completed, and may have run
}

// host is a back-end host that the inventory lists.
type host struct {
	Host
	id logic.WorkerID
}

// Core makes the decisions of one dispatcher. It is not safe for concurrent use.
type Core struct {
	cfg         logic.Config
	sched       *logic.Scheduler
	lastID      ID
	messages    map[ID]*message
	openNames   map[string]ID // open messages that have a name, by name
	hosts       map[logic.WorkerID]*host
	workerIDs   map[string]logic.WorkerID
	actions     []logic.Action
	commands    []Command
	cordoned    map[string]bool     // names cordoned by an operator, whether listed or not
	everListed  map[string]struct{} // names that any inventory listed; a cordon of another name is rejected
	stale       bool                // any host may have drained unnoticed, so none receives new work
	limits      Limits              // fleet-wide limits; nil = none
	evidence    Evidence            // receives observations of hosts; nil = not shared
	prices      Prices              // fleet-wide prices; nil = none
	retryBudget retryBudget         // limits attempts beyond the first
	gangs       Gangs               // nil = no class runs as gangs
}

// New returns a Core without hosts or messages. The error is that of logic.New for an invalid configuration.
func New(cfg logic.Config, seed uint64) (*Core, error) {
	s, err := logic.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	return &Core{cfg: cfg, sched: s, messages: map[ID]*message{}, openNames: map[string]ID{}, hosts: map[logic.WorkerID]*host{},
		workerIDs: map[string]logic.WorkerID{}, cordoned: map[string]bool{}, everListed: map[string]struct{}{}}, nil
}

// Open returns the number of messages in memory, including answered ones with an attempt still outstanding.
func (c *Core) Open() int { return len(c.messages) }

// Each method below takes one event and its time in microseconds, and returns the commands that follow from it.
// The returned slice is valid until the next call.

// Arrive takes a new message whose client waits until deadline; 0 stands for the deadline of its class.
func (c *Core) Arrive(now int64, m Message, deadline int64) (ID, []Command) {
	c.resetOutput()
	c.lastID++
	for c.messages[c.lastID] != nil {
		c.lastID++
	}
	id := c.lastID
	if _, open := c.openNames[m.Name]; open {
		// Hosts identify a job by its name, so to them this would be a second copy of the one that is open.
		c.emit(Command{Kind: Answer, Attempt: AttemptID{Message: id}, Verdict: Duplicate})
		return id, c.commands
	}
	if c.cfg.MaxOpen > 0 && len(c.messages) >= c.cfg.MaxOpen {
		c.emit(Command{Kind: Answer, Attempt: AttemptID{Message: id}, Verdict: Refused, After: retryAfterFull})
		return id, c.commands
	}
	deadline, share, admitted := c.applyLimits(now, id, m, deadline)
	if !admitted {
		c.emit(Command{Kind: Answer, Attempt: AttemptID{Message: id}, Verdict: Refused, After: retryAfterOverLimit})
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
		Deadline: deadline, Repeated: m.Repeated, Share: share, SlotPrice: c.price(),
	}, c.actions)
	c.reportDemand(now)
	return id, c.applyActions(now)
}

// Started records that the host of an attempt has begun to run it.
func (c *Core) Started(now int64, r AttemptID) []Command {
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

// Taken records that the host of an attempt has accepted the message; it may run it later.
func (c *Core) Taken(now int64, r AttemptID) []Command { return c.Progress(now, r, 0) }

// Progress records the completed share (0 to 1) of an attempt's work.
func (c *Core) Progress(now int64, r AttemptID, share float64) []Command {
	c.resetOutput()
	if c.outstandingAttempt(r) != nil && c.messages[r.Message].gang == nil {
		c.actions = c.sched.Progress(now, r.Message, r.Attempt, share, c.actions)
	}
	return c.applyActions(now)
}

// Ended records the outcome of an attempt. content is the result if the outcome is logic.Served.
func (c *Core) Ended(now int64, r AttemptID, result logic.Result, content []byte) []Command {
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

// ClientGone records that the client of a message has disconnected.
func (c *Core) ClientGone(now int64, id ID) []Command {
	c.resetOutput()
	if m := c.messages[id]; m != nil && !m.answered {
		c.markAnswered(id, m)
		c.actions = c.sched.ClientGone(now, id, c.actions)
	}
	return c.finishMessage(now, id)
}

// Expire ends a message whose deadline has passed. The decision module normally answers earlier; this keeps the
// client from waiting forever if it does not.
func (c *Core) Expire(now int64, id ID) []Command {
	c.resetOutput()
	if m := c.messages[id]; m != nil && !m.answered {
		c.answer(id, m, Command{Verdict: Failed})
		c.actions = c.sched.ClientGone(now, id, c.actions)
	}
	return c.finishMessage(now, id)
}

// Refuse ends a message that was never sent because something it needs before a send is not available. The client
// is advised to retry after that many microseconds.
func (c *Core) Refuse(now int64, id ID, after int64) []Command {
	c.resetOutput()
	if m := c.messages[id]; m != nil && !m.answered {
		c.answer(id, m, Command{Verdict: Refused, After: after})
		c.actions = c.sched.ClientGone(now, id, c.actions)
	}
	return c.finishMessage(now, id)
}

// Wake is called at the time that a Wake command named.
func (c *Core) Wake(now int64) []Command {
	c.resetOutput()
	c.actions = c.sched.Wake(now, 0, c.actions)
	return c.applyActions(now)
}

func (c *Core) resetOutput() { c.actions, c.commands = c.actions[:0], c.commands[:0] }

func (c *Core) emit(cmd Command) { c.commands = append(c.commands, cmd) }

// outstandingAttempt returns the attempt, or nil if it is unknown or has an outcome already.
func (c *Core) outstandingAttempt(r AttemptID) *attempt {
	m := c.messages[r.Message]
	if m == nil || r.Attempt < 0 || r.Attempt >= len(m.attempts) || !m.attempts[r.Attempt].outstanding {
		return nil
	}
	return &m.attempts[r.Attempt]
}

// applyActions turns the decided actions into commands. An action may cause an outcome at once, which may append
// more actions.
func (c *Core) applyActions(now int64) []Command {
	for i := 0; i < len(c.actions); i++ {
		switch a := c.actions[i]; a.Kind {
		case logic.ActSend:
			c.send(now, a)
		case logic.ActCancel:
			r := AttemptID{a.Job, a.Attempt}
			if c.outstandingAttempt(r) != nil {
				c.emit(Command{Kind: Drop, Attempt: r})
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

// completeAttempt records the outcome of an attempt and passes it on to the decision module.
func (c *Core) completeAttempt(now int64, r AttemptID, result logic.Result, content []byte) {
	m := c.messages[r.Message]
	a := &m.attempts[r.Attempt]
	a.outstanding = false
	m.outstanding--
	c.reportHealth(now, a.worker, result)
	a.mayHaveRun = result != logic.ConnectFailed && result != logic.Refused && result != logic.NotSent
	m.mayHaveRun = m.mayHaveRun || a.mayHaveRun
	if c.cfg.UncountedConnects && result == logic.ConnectFailed {
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

// answer emits the single final answer of a message.
func (c *Core) answer(id ID, m *message, cmd Command) {
	c.markAnswered(id, m)
	cmd.Kind, cmd.Attempt = Answer, AttemptID{Message: id}
	c.emit(cmd)
}

// removeIfDone removes a message that is answered and has no outstanding attempt.
func (c *Core) removeIfDone(id ID, m *message) {
	if m.answered && m.outstanding == 0 {
		delete(c.messages, id)
		delete(c.openNames, m.name)
	}
}
