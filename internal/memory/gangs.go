package memory

import "granitewing/logic"

// Messages that run as gangs: parts at many hosts at once, each a relay of the one message. Where they run is for Gangs; the core carries that out under the rules: nothing to a host that may not be sent to, one final answer, which is the first
// part's result once all parts are served, and no part ever sent again.

// Gangs decides on them. What its calls return is to be done in order, and valid until the next call.
type Gangs interface {
	// Takes tells whether messages of a class are gangs, and Parts of how many parts at most.
	Takes(class int) bool
	Parts(class int) int
	Arrive(now int64, j GangJob) []GangAction
	// Round goes on with all gangs.
	Round(now int64) []GangAction
	// May tells whether a part that was to be sent may still be.
	May(now int64, id ID) bool
	Began(now int64, id ID, rank int)
	Ended(now int64, id ID, rank int, served bool) []GangAction
	// Left takes the news that nobody waits for a gang any more.
	Left(id ID)
}

// GangJob is a message that is a gang.
type GangJob struct {
	ID        ID
	Class     int
	Work      float64 // seconds of each part on a standard core, where there are all parts
	Late      int64   // from when on it is late
	Stretch   float64 // by how much later for each second of work
	Deadline  int64
	Worth     float64
	LateWorth float64 // share that it earns late
	Price     float64 // worth of a slot-second that the fleet has no room for
}

// GangActionKind is what is to be done with a gang.
type GangActionKind uint8

// The kinds of actions.
const (
	GangStart  GangActionKind = iota // Hosts: send a part to each, rank by rank
	GangServe                        // every part was served
	GangGiveUp                       // end what is out and answer, by the class's rules; After is when the client may come back
)

// GangAction is something to be done.
type GangAction struct {
	Kind   GangActionKind
	ID     ID
	Hosts  []logic.WorkerID
	Run    float64 // seconds that each part is expected to hold its slot
	Within int64   // microseconds in which all have to begin
	After  int64
}

// GangPart is what the relay of a part tells its host.
type GangPart struct {
	Rank   int
	Peers  []string // addresses of all parts' hosts, by rank
	Within int64    // microseconds within which all parts have to begin
}

// crew is what the core keeps of a message that is a gang.
type gangState struct {
	work    []float64 // slot-seconds that each part has in its host's backlog
	content []byte    // the first part's result
}

// afterLeast is when a client may come back to a gang that no cause of the fleet's gives another time for.
const minGangRetryAfter = 100_000

// Gang has the core run the messages of some classes as gangs; to be called before the first message.
func (c *Core) Gang(g Gangs) { c.gangs = g }

// Places tells of the hosts that may be sent a part.
func (c *Core) Places(now int64, work float64, tell func(logic.View)) {
	c.sched.View(now, work, func(v logic.View) {
		if v.Trusted && v.Warm && c.acceptsWork(c.hosts[v.ID]) {
			tell(v)
		}
	})
}

// muster takes a message that is a gang.
func (c *Core) arriveGang(now int64, id ID, m Message, deadline int64, share float64) {
	class := &c.cfg.Classes[m.Class]
	if deadline <= 0 {
		deadline = now + class.Deadline
	}
	work := max(float64(m.Hint)/1e6, 1e-3)
	j := GangJob{ID: id, Class: m.Class, Work: work, Deadline: deadline, Worth: class.Worth, LateWorth: class.LateWorth, Stretch: class.Stretch, Price: c.price()}
	j.Late = min(now+class.Aim+int64(class.Stretch*work*1e6), deadline)
	slots := work * float64(c.gangs.Parts(m.Class))
	if c.cfg.WorthByWork {
		j.Worth *= slots
	}
	if share > 0 {
		j.Worth *= share
	}
	if c.prices != nil {
		c.prices.Asked(now, j.Worth, slots, float64(j.Late-now)/1e6-work)
	}
	c.messages[id].gang = &gangState{}
	c.applyGangActions(now, c.gangs.Arrive(now, j))
}

// Gathered goes on with the gangs, once what others have said of slots was heard.
func (c *Core) Gathered(now int64) []Command {
	c.resetOutput()
	if c.gangs != nil {
		c.applyGangActions(now, c.gangs.Round(now))
	}
	return c.applyActions(now)
}

// command carries out what is to be done with gangs.
func (c *Core) applyGangActions(now int64, acts []GangAction) {
	for _, a := range acts {
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
			// Its parts are ended first: they may have run, and what they say then counts no more.
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

// depart sends the parts of a gang, all of them: its hosts were looked at in the same turn of the owner.
func (c *Core) sendParts(now int64, a GangAction, m *message) {
	peers := make([]string, len(a.Hosts))
	for rank, id := range a.Hosts {
		peers[rank] = c.hosts[id].Addr
	}
	for rank, id := range a.Hosts {
		m.attempts = append(m.attempts, attempt{worker: id, sentAt: now, outstanding: true})
		m.gang.work = append(m.gang.work, a.Run)
		m.outstanding++
		c.sched.Occupy(id, a.Run)
		c.emit(Command{Kind: Send, Relay: RelayID{a.ID, rank}, Addr: peers[rank], Until: max(m.deadline, now+1), Gang: &GangPart{rank, peers, a.Within}})
	}
}

// begun takes the news that a part has begun: about half of its time is left from then on, on average.
func (c *Core) partStarted(now int64, r RelayID, m *message) {
	left := m.gang.work[r.Attempt] / 2
	c.sched.Occupy(m.attempts[r.Attempt].worker, left-m.gang.work[r.Attempt])
	m.gang.work[r.Attempt] = left
	c.gangs.Began(now, r.Message, r.Attempt)
}

// partEnded closes the books on a part.
func (c *Core) partEnded(now int64, r RelayID, m *message, result logic.Result, content []byte) {
	a := &m.attempts[r.Attempt]
	a.outstanding = false
	m.outstanding--
	c.sched.Occupy(a.worker, -m.gang.work[r.Attempt])
	m.mayHaveRun = m.mayHaveRun || result != logic.ConnectFailed && result != logic.Refused && result != logic.Moot
	if result == logic.ConnectFailed || result == logic.Broken {
		c.reportHealth(now, a.worker, result) // an error may as well be another part's fault
	}
	if r.Attempt == 0 && result == logic.Served {
		m.gang.content = content
	}
	if !m.answered {
		c.applyGangActions(now, c.gangs.Ended(now, r.Message, r.Attempt, result == logic.Served))
	}
	c.removeIfDone(r.Message, m)
}

// disband ends the parts of a gang that are out.
func (c *Core) dropParts(now int64, id ID, m *message) {
	for rank := range m.attempts {
		if a := &m.attempts[rank]; a.outstanding {
			c.emit(Command{Kind: Drop, Relay: RelayID{id, rank}})
			a.outstanding = false
			m.outstanding--
			m.mayHaveRun = true
			c.sched.Occupy(a.worker, -m.gang.work[rank])
		}
	}
	c.gangs.Left(id)
}
