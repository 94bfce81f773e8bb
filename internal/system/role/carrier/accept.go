package carrier

import (
	"fmt"
	"strings"
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/wire"
)

// Submission is a client's request to accept a message.
type Submission struct {
	Message message.Message // Submit fills in the version, retention, unit, token and sequence number
	Path    string          // path of the target URL, escaped as the client sent it
	// ClientTimeout is how long the client still waits for an answer, as stated in its request; 0 if it stated nothing.
	ClientTimeout time.Duration
}

// Verdict classifies the answer to a submission.
type Verdict uint8

// The verdicts.
const (
	Accepted      Verdict = iota + 1
	NoRoute               // no route matches; HTTP status 404
	Refused               // not accepted, the message never runs; HTTP status 503
	Indeterminate         // not known whether it was accepted, the message may run; HTTP status 504
)

// Answer is the answer to a client's submission. RetryAfter is set for Refused only; Reason is empty for Accepted.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration
	Reason     string
}

// Durations of accepting a message.
const (
	hedgeDelay         = 70 * time.Millisecond  // if a put has not completed by then, another store is tried too
	maxHold            = 900 * time.Millisecond // bound on the time until a submission is given up
	holdShare          = 0.40                   // share of the client's time after which a submission is given up
	answerShare        = 0.48                   // share of the client's time by which it must be answered
	holdTargetMultiple = 4                      // times the route's acknowledgement target, if the client stated no time
	reserveTimeout     = 250 * time.Millisecond
	confirmTimeout     = 250 * time.Millisecond
	maxCancelTimeout   = 150 * time.Millisecond
	minCancelTimeout   = 25 * time.Millisecond
	defaultRetryAfter  = time.Second
)

// acceptance is a submission whose message is being stored.
type acceptance struct {
	core          *Core
	message       *message.Message
	route         *configuration.Route
	answer        func(Answer)
	received      time.Duration
	clientTimeout time.Duration // as stated by the client, or 0
	// keyedUnordered is set if the client gave an ordering key and the route is not ordered.
	keyedUnordered bool
	deadline       time.Duration
	attempted      []string // disks that may hold the message
	holders        []string // disks that hold the message synced
	pendingPuts    int      // puts that have not been answered
	stored         bool
	done           bool
}

// Submit accepts a message for delivery. It calls answer once, possibly later and possibly before it returns.
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
	inOrder := route.Ordered && s.Message.Key != ""
	if pause := c.serviceRetryAfter(view.Table.Service(route), route, inOrder); pause > 0 {
		c.refuseBusy(answer, pause, "what waits for the service takes too long")
		return
	}
	if !c.stores.enoughReachable() {
		c.refuse(answer, "too few stores are reachable")
		return
	}
	a := &acceptance{core: c, message: &s.Message, route: route, answer: answer, received: c.env.Now(), clientTimeout: s.ClientTimeout}
	a.deadline = a.received + holdDuration(s.ClientTimeout, route)
	a.message.Version = message.Version(view.Table.Document.Version)
	a.message.Retention = route.Retention
	a.applyRoute()
	a.assignUnit(view.Table.Service(route))
}

func holdDuration(clientTimeout time.Duration, route *configuration.Route) time.Duration {
	hold := time.Duration(holdTargetMultiple) * route.TargetAck
	if clientTimeout > 0 {
		hold = time.Duration(holdShare * float64(clientTimeout))
	}
	return min(max(hold, 50*time.Millisecond), maxHold)
}

// cancelTimeout returns how long the stores may take to cancel a submission that is given up now. The client must
// have its answer before half of its stated time has passed.
func (a *acceptance) cancelTimeout() time.Duration {
	if a.clientTimeout == 0 {
		return maxCancelTimeout
	}
	answerBy := a.received + time.Duration(answerShare*float64(a.clientTimeout))
	return min(maxCancelTimeout, max(minCancelTimeout, answerBy-a.core.env.Now()))
}

func (c *Core) refuse(answer func(Answer), reason string) {
	c.refuseFor(answer, defaultRetryAfter, reason)
}

// refuseFor refuses a submission, which the client may repeat after a pause.
func (c *Core) refuseFor(answer func(Answer), pause time.Duration, reason string) {
	c.figures.Refused++
	answer(Answer{Verdict: Refused, RetryAfter: pause, Reason: reason})
}

// applyRoute applies what the route decides about the message: whether it is in order, and whether a call-back is owed.
// What the worker receives does not depend on it.
func (a *acceptance) applyRoute() {
	m := a.message
	if !a.route.Callback {
		m.Callback = ""
	}
	a.keyedUnordered = !a.route.Ordered && m.Key != ""
	if a.keyedUnordered {
		leaveUnordered(m)
	}
}

// leaveUnordered takes a message out of the order of its key. The key stays a header of the request, which workers
// receive unchanged. Earlier builds send such headers, too.
func leaveUnordered(m *message.Message) {
	m.Headers = append(m.Headers, message.Header{Name: wire.HeaderOrderingKey, Value: m.Key})
	m.Key = ""
}

// assignUnit determines the message's unit. A message in order first needs a sequence number from the owner of its
// unit; any other message is stored at once.
func (a *acceptance) assignUnit(service *configuration.Service) {
	m := a.message
	ordered := m.Key != ""
	// The unit of an ordered message depends on its key alone, never on anything that a configuration change may
	// alter. The carrier that assigns sequence numbers for the key therefore knows every message that waits for it,
	// whichever service the message was for when it was accepted.
	switch {
	case ordered:
		m.Unit = ownership.KeyUnit(m.Key)
	case service.Rate > 0 || service.Static != "":
		m.Unit = ownership.ServiceUnit(service.Name)
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

// reserve requests a sequence number from the unit's owner. Nothing is stored yet, so a refusal guarantees that
// the message never runs.
func (a *acceptance) reserve(service string) {
	c := a.core
	body := wire.ReserveBody{Unit: a.message.Unit, ID: a.message.ID, Service: service, Retention: a.message.Retention}
	c.reserve(body, func(reservation wire.ReserveAnswer, err error) {
		if err != nil && isOwnerChanging(err) && c.env.Now()-a.received < reserveRetryPeriod {
			c.env.After(reserveRetry, func() { a.reserve(service) })
			return
		}
		if err != nil {
			c.refuse(a.answer, "the order's owner is not reachable")
			return
		}
		if reservation.RetryAfter > 0 {
			c.refuseBusy(a.answer, reservation.RetryAfter, "what waits for the service takes too long")
			return
		}
		a.message.Token, a.message.Sequence = reservation.Token, reservation.Sequence
		a.store()
	})
}

// confirm passes the stored message to the carrier that delivers it. An ordered message is accepted only once the
// owner of its key has it, so that no message sent afterwards can get ahead of it.
func (a *acceptance) confirm() {
	c := a.core
	m := a.message
	if m.Unit == c.own.name {
		c.addMessage(c.own, m, a.holders, a.received)
		a.accept()
		return
	}
	if strings.HasPrefix(m.Unit, carrierUnitPrefix) {
		// The session under which the message arrived was lost in the meantime. The carrier that took the unit over may
		// have listed it before this message was stored, and then no carrier would deliver it. It is not accepted.
		a.stored = false
		a.giveUp()
		return
	}
	if m.Key == "" {
		a.accept()
		c.forward(m, a.holders, a.received)
		return
	}
	c.confirmAtOwner(a)
}

func (a *acceptance) accept() {
	a.done = true
	a.core.figures.Accepted++
	if a.keyedUnordered {
		a.core.countKeyedUnordered()
	}
	a.answer(Answer{Verdict: Accepted})
}

// countKeyedUnordered counts an accepted message with an ordering key whose route is not ordered. It may come from a
// client that does not know of a configuration change yet.
func (c *Core) countKeyedUnordered() {
	c.figures.KeyedUnordered++
	c.logCountSoon(&c.keyedUnorderedLogged, func() string {
		return fmt.Sprintf("accepted %d messages with an ordering key on routes that are not ordered", c.figures.KeyedUnordered)
	})
}

// MaxBody returns the configured limit on a message body in bytes, or otherwise while no configuration is known.
func (c *Core) MaxBody(otherwise int64) int64 {
	if table := c.session.View().Table; table != nil {
		return int64(table.Document.Limits.MaxBodyBytes)
	}
	return otherwise
}
