package carrier

import (
	"strings"
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/wire"
)

// Submission is a client's request on its way in.
type Submission struct {
	Message message.Message // without unit, route and order
	Path    string          // of the target, decoded as little as the client sent it
	// Left is how long the client waits, as it said, or 0.
	Left time.Duration
}

// Verdict is the answer to a submission.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota + 1
	NoRoute          // 404
	Refused          // 503: not taken, never runs
	Unclear          // 504: it may run
)

// Answer goes to the client.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration
	Reason     string
}

// Times of accepting.
const (
	hedgeAfter     = 70 * time.Millisecond  // a store that is silent for so long is joined by another
	holdAtMost     = 900 * time.Millisecond // a submission is answered by then
	holdPart       = 0.40                   // of the time that the client gave
	answerPart     = 0.48                   // of that time: by then it has an answer, whatever the stores say
	holdOfTarget   = 4                      // times the target, where the client gave no time
	reserveTimeout = 250 * time.Millisecond
	confirmTimeout = 250 * time.Millisecond
	voidTimeout    = 150 * time.Millisecond
	leastVoidTime  = 25 * time.Millisecond
	retryAfterBlip = time.Second
)

// acceptance is a submission that is being stored.
type acceptance struct {
	core    *Core
	message *message.Message
	route   *configuration.Route
	answer  func(Answer)
	at      time.Duration
	left    time.Duration // that the client waits, or 0
	until   time.Duration
	tried   []string // disks that may have it
	holders []string // disks that have it synced
	open    int      // puts without answer
	stored  bool
	done    bool
}

// Submit takes a submission; answer is called once.
func (c *Core) Submit(s *Submission, answer func(Answer)) {
	view := c.session.View()
	if view.Table == nil || !c.session.Joined() || c.paused {
		c.refuse(answer, "not ready")
		return
	}
	route := view.Table.Match(s.Message.Host, s.Path)
	if route == nil {
		answer(Answer{Verdict: NoRoute, Reason: "no route"})
		return
	}
	if c.memoryFull() {
		c.refuseBusy(answer, 0, "too much is waiting")
		return
	}
	if pause := c.overloaded(view.Table.Service(route), route); pause > 0 {
		c.refuseBusy(answer, pause, "what waits for the service takes too long")
		return
	}
	if !c.stores.enoughReachable() {
		c.refuse(answer, "too few stores are reachable")
		return
	}
	a := &acceptance{core: c, message: &s.Message, route: route, answer: answer, at: c.env.Now(), left: s.Left}
	a.until = a.at + holdTime(s.Left, route)
	a.message.Version = message.Version(view.Table.Document.Version)
	a.message.Retention = route.Retention
	a.place(view.Table.Service(route))
}

func holdTime(left time.Duration, route *configuration.Route) time.Duration {
	hold := time.Duration(holdOfTarget) * route.TargetAck
	if left > 0 {
		hold = time.Duration(holdPart * float64(left))
	}
	return min(max(hold, 50*time.Millisecond), holdAtMost)
}

// voidTime is how long the stores may take to make a submission void that is given up now: whoever waits for the answer
// may not wait for half of its time.
func (a *acceptance) voidTime() time.Duration {
	if a.left == 0 {
		return voidTimeout
	}
	answerBy := a.at + time.Duration(answerPart*float64(a.left))
	return min(voidTimeout, max(leastVoidTime, answerBy-a.core.env.Now()))
}

func (c *Core) refuse(answer func(Answer), reason string) {
	c.refuseFor(answer, retryAfterBlip, reason)
}

// refuseFor refuses a submission, which may come again after a pause.
func (c *Core) refuseFor(answer func(Answer), pause time.Duration, reason string) {
	c.figures.Refused++
	answer(Answer{Verdict: Refused, RetryAfter: pause, Reason: reason})
}

// place decides the message's unit, and asks for its place in an order where it needs one.
func (a *acceptance) place(service *configuration.Service) {
	m := a.message
	if !a.route.Callback {
		m.Callback = ""
	}
	ordered := a.route.Ordered && m.Key != ""
	if !a.route.Ordered {
		m.Key = ""
	}
	// An order belongs to its key and to nothing that a change of the configuration may change: who has given places in it knows all
	// that waits in it, whichever service that was meant for when it was accepted.
	switch {
	case ordered:
		m.Unit = ownership.KeyUnit(m.Key)
	case service.Rate > 0 || service.Static != "":
		m.Unit = ownership.PacedUnit(service.Name)
		m.Token = a.core.session.View().Owners[m.Unit].Token
	default:
		m.Unit = a.core.own.name
	}
	if ordered {
		a.reserve(service.Name)
		return
	}
	a.store()
}

// reserve asks the unit's owner for a place in its order. Nothing is stored yet, so that a refusal is a promise kept.
func (a *acceptance) reserve(service string) {
	c := a.core
	body := wire.ReserveBody{Unit: a.message.Unit, ID: a.message.ID, Service: service, Retention: a.message.Retention}
	c.reserve(body, func(place wire.ReserveAnswer, err error) {
		if err != nil && ownerChanges(err) && c.env.Now()-a.at < placeRetryFor {
			c.env.After(placeRetry, func() { a.reserve(service) })
			return
		}
		if err != nil {
			c.refuse(a.answer, "the order's owner is not reachable")
			return
		}
		if place.RetryAfter > 0 {
			c.refuseBusy(a.answer, place.RetryAfter, "what waits for the service takes too long")
			return
		}
		a.message.Token, a.message.Sequence = place.Token, place.Sequence
		a.store()
	})
}

// confirm hands the stored message to who delivers it. One of an order is accepted only once the owner of the order
// knows it, so that nothing that is sent afterwards can be ahead of it.
func (a *acceptance) confirm() {
	c := a.core
	m := a.message
	if m.Unit == c.own.name {
		c.take(c.own, m, a.holders, a.at)
		a.accept()
		return
	}
	if strings.HasPrefix(m.Unit, departedPrefix) {
		// The session under which it came was lost meanwhile. Whoever took that unit over may have listed it before this
		// message was stored, so that nobody would ever deliver it: it is not accepted.
		a.stored = false
		a.giveUp()
		return
	}
	if m.Key == "" {
		a.accept()
		c.forward(m, a.holders, a.at)
		return
	}
	c.confirmAtOwner(a)
}

func (a *acceptance) accept() {
	a.done = true
	a.core.figures.Accepted++
	a.answer(Answer{Verdict: Accepted})
}

// MaxBody is the configuration's bound on a body, or otherwise where there is none yet.
func (c *Core) MaxBody(otherwise int64) int64 {
	if table := c.session.View().Table; table != nil {
		return int64(table.Document.Limits.MaxBodyBytes)
	}
	return otherwise
}
