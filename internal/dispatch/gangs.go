package dispatch

import "granitewing/logic"

// A gang is a message that runs as parts at many hosts at once; each part is one attempt of that message. Gangs
// decides where and when they run. The core carries that out under the rules: no part goes to a host that must not
// receive new work, the message has one final answer, which is the first part's result once all parts are served,
// and no part is sent twice.

// Gangs decides on gangs. The actions that its methods return have to be executed in order and are valid until the
// next call.
type Gangs interface {
	// Takes reports whether messages of a class run as gangs.
	Takes(class int) bool
	// Parts returns the maximum number of parts of a class.
	Parts(class int) int
	// Arrive takes a new gang.
	Arrive(now int64, j GangJob) []GangAction
	// Round reconsiders all gangs.
	Round(now int64) []GangAction
	// May reports whether a part that was decided may still be sent.
	May(now int64, id ID) bool
	// Began records that a part has started to run.
	Began(now int64, id ID, rank int)
	// Ended records the outcome of a part.
	Ended(now int64, id ID, rank int, served bool) []GangAction
	// Left records that no client waits for a gang any more.
	Left(id ID)
}

// GangJob describes a message that runs as a gang. Times are in microseconds unless a field says otherwise.
type GangJob struct {
	ID        ID
	Class     int
	Work      float64 // seconds of each part on a standard core, with all parts running
	Late      int64   // target: the job counts as late from this time on
	Stretch   float64 // seconds by which the target moves per second of work
	Deadline  int64   // end of the client's wait
	Worth     float64 // value of the message
	LateWorth float64 // share of Worth that it earns when late
	Price     float64 // value of one slot-second beyond the fleet's capacity
}

// GangActionKind is what has to be done with a gang.
type GangActionKind uint8

// The kinds of actions.
const (
	GangStart  GangActionKind = iota // Hosts: send a part to each host, in the order of ranks
	GangServe                        // every part was served: answer the message
	GangGiveUp                       // cancel the outstanding parts and answer by the class's rules, with After as advice
)

// GangAction is an action on one gang.
type GangAction struct {
	Kind   GangActionKind
	ID     ID
	Hosts  []logic.WorkerID
	Run    float64 // expected seconds for which each part holds its slot
	Within int64   // microseconds within which all parts have to start
	After  int64   // retry advice in microseconds
}

// GangPart is what a host is told about its part of a gang.
type GangPart struct {
	Rank   int
	Peers  []string // addresses of the hosts of all parts, by rank
	Within int64    // microseconds within which all parts have to start
}

// gangState is what the core stores about a message that is a gang.
type gangState struct {
	work    []float64 // slot-seconds that each part adds to its host's backlog
	content []byte    // result of the first part
}

// minGangRetryAfter is the least retry advice for a gang that is given up, in microseconds, for when the fleet
// gives no reason for a longer wait.
const minGangRetryAfter = 100_000

// Gang enables gangs, decided by g; call it before the first message.
func (c *Core) Gang(g Gangs) { c.gangs = g }

// EachGangHost calls visit for each host that may be sent a part, with its estimates for a part of that much work.
func (c *Core) EachGangHost(now int64, work float64, visit func(logic.WorkerView)) {
	c.sched.EachWorkerView(now, work, func(v logic.WorkerView) {
		if v.Trusted && v.FullCapacity && c.acceptsWork(c.hosts[v.ID]) {
			visit(v)
		}
	})
}

// arriveGang takes a new message that runs as a gang.
func (c *Core) arriveGang(now int64, id ID, m Message, deadline int64, share float64) {
	class := &c.cfg.Classes[m.Class]
	if deadline <= 0 {
		deadline = now + class.Deadline
	}
	work := max(float64(m.Hint)/1e6, 1e-3)
	j := GangJob{ID: id, Class: m.Class, Work: work, Deadline: deadline, Worth: class.Value, LateWorth: class.LateValue, Stretch: class.TargetPerWork, Price: c.price()}
	j.Late = min(now+class.TargetLatency+int64(class.TargetPerWork*work*1e6), deadline)
	totalWork := work * float64(c.gangs.Parts(m.Class))
	if c.cfg.ValueByWork {
		j.Worth *= totalWork
	}
	if share > 0 {
		j.Worth *= share
	}
	if c.prices != nil {
		c.prices.Asked(now, j.Worth, totalWork, float64(j.Late-now)/1e6-work)
	}
	c.messages[id].gang = &gangState{}
	c.applyGangActions(now, c.gangs.Arrive(now, j))
}

// ReconsiderGangs reconsiders the gangs after the slot reports of the other dispatchers have come in.
func (c *Core) ReconsiderGangs(now int64) []Command {
	c.resetOutput()
	if c.gangs != nil {
		c.applyGangActions(now, c.gangs.Round(now))
	}
	return c.applyActions(now)
}

// applyGangActions executes decided actions.
func (c *Core) applyGangActions(now int64, actions []GangAction) {
	for _, a := range actions {
		m := c.messages[a.ID]
		if m == nil || m.answered {
			continue
		}
		switch a.Kind {
		case GangStart:
			c.sendParts(now, a, m)
		case GangServe:
			c.answer(a.ID, m, Command{Verdict: Served, Content: m.gang.content})
			c.removeIfDone(a.ID, m)
		case GangGiveUp:
			// Cancels the parts first: they may have run, and their outcomes no longer count.
			c.dropParts(now, a.ID, m)
			verdict := Refused
			if m.mayHaveRun && c.cfg.Classes[m.class].Repeat != logic.RepeatSafe {
				verdict = Failed
			}
			c.answer(a.ID, m, Command{Verdict: verdict, After: max(a.After, minGangRetryAfter)})
			c.removeIfDone(a.ID, m)
		}
	}
}

// sendParts sends all parts of a gang. Its hosts were checked in the same event, so none can have become invalid
// since.
func (c *Core) sendParts(now int64, a GangAction, m *message) {
	peers := make([]string, len(a.Hosts))
	for rank, id := range a.Hosts {
		peers[rank] = c.hosts[id].Addr
	}
	for rank, id := range a.Hosts {
		m.attempts = append(m.attempts, attempt{worker: id, sentAt: now, outstanding: true})
		m.gang.work = append(m.gang.work, a.Run)
		m.outstanding++
		c.sched.AdjustBacklog(id, a.Run)
		c.emit(Command{Kind: Send, Attempt: AttemptID{a.ID, rank}, Addr: peers[rank], Until: max(m.deadline, now+1), Gang: &GangPart{rank, peers, a.Within}})
	}
}

// partStarted records that a part has begun to run. From then on about half of its time remains on average.
func (c *Core) partStarted(now int64, r AttemptID, m *message) {
	remaining := m.gang.work[r.Attempt] / 2
	c.sched.AdjustBacklog(m.attempts[r.Attempt].worker, remaining-m.gang.work[r.Attempt])
	m.gang.work[r.Attempt] = remaining
	c.gangs.Began(now, r.Message, r.Attempt)
}

// partEnded records the outcome of a part.
func (c *Core) partEnded(now int64, r AttemptID, m *message, result logic.Result, content []byte) {
	a := &m.attempts[r.Attempt]
	a.outstanding = false
	m.outstanding--
	c.sched.AdjustBacklog(a.worker, -m.gang.work[r.Attempt])
	m.mayHaveRun = m.mayHaveRun || result != logic.ConnectFailed && result != logic.Refused && result != logic.NotSent
	if result == logic.ConnectFailed || result == logic.Broken {
		// Only these count against the host: any other failure may be caused by another part.
		c.reportHealth(now, a.worker, result)
	}
	if r.Attempt == 0 && result == logic.Served {
		m.gang.content = content
	}
	if !m.answered {
		c.applyGangActions(now, c.gangs.Ended(now, r.Message, r.Attempt, result == logic.Served))
	}
	c.removeIfDone(r.Message, m)
}

// dropParts cancels the outstanding parts of a gang.
func (c *Core) dropParts(now int64, id ID, m *message) {
	for rank := range m.attempts {
		if a := &m.attempts[rank]; a.outstanding {
			c.emit(Command{Kind: Drop, Attempt: AttemptID{id, rank}})
			a.outstanding = false
			m.outstanding--
			m.mayHaveRun = true
			c.sched.AdjustBacklog(a.worker, -m.gang.work[rank])
		}
	}
	c.gangs.Left(id)
}
