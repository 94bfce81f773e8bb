package carrier

import (
	"time"

	"granitewing/internal/system/link"
	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// reserve requests the next sequence number from the owner of a unit.
func (c *Core) reserve(body wire.ReserveBody, done func(wire.ReserveAnswer, error)) {
	owner := c.session.View().Owners[body.Unit]
	if owner.Incarnation == c.session.Incarnation() {
		answer, refusal := c.Reserve(body)
		if refusal != nil {
			done(wire.ReserveAnswer{}, &link.RefusedError{Body: *refusal})
			return
		}
		done(answer, nil)
		return
	}
	address := c.session.View().Members[owner.Incarnation].Address
	if address == "" || !c.env.Connected(address) {
		done(wire.ReserveAnswer{}, &link.ClosedError{Peer: address})
		return
	}
	c.env.Call(address, wire.ReserveSequence, wire.Encode(&body), reserveTimeout, func(payload []byte, err error) {
		var answer wire.ReserveAnswer
		if err == nil {
			err = wire.Decode(wire.ReserveSequence, payload, &answer)
		}
		done(answer, err)
	})
}

// Reserve assigns the next sequence number of a unit that this carrier owns, while its session is valid, since no
// other owner can assign numbers then. If the service's backlog is too long it assigns none and returns when to
// try again. It refuses with NotOwner or NotReady if this carrier cannot assign one.
func (c *Core) Reserve(body wire.ReserveBody) (wire.ReserveAnswer, *wire.RefusalBody) {
	u := c.units[body.Unit]
	if u == nil || !c.session.LeaseValid() || c.paused {
		return wire.ReserveAnswer{}, &wire.RefusalBody{Code: wire.NotOwner, Reason: "not the owner of " + body.Unit}
	}
	if !u.active || u.released() {
		return wire.ReserveAnswer{}, &wire.RefusalBody{Code: wire.NotReady, Reason: "the unit changes its owner"}
	}
	if pause := c.retryAfter(body.Service, body.Retention); pause > 0 {
		return wire.ReserveAnswer{RetryAfter: pause}, nil
	}
	u.sequence++
	return wire.ReserveAnswer{Token: u.token, Sequence: u.sequence}, nil
}

// confirmAtOwner passes a stored message to the owner of its key. The message is accepted once the owner has it.
func (c *Core) confirmAtOwner(a *acceptance) {
	m := a.message
	body := wire.DeliverBody{Message: *m, Holders: a.attempted, Age: c.env.Now() - a.received}
	owner := c.session.View().Owners[m.Unit]
	finish := func(err error) {
		if a.done {
			return
		}
		if err == nil {
			a.accept()
			return
		}
		c.env.After(confirmRetry, func() {
			if !a.done {
				c.confirmAtOwner(a)
			}
		})
	}
	if owner.Incarnation == c.session.Incarnation() {
		if refusal := c.TakeMessage(body); refusal != nil {
			finish(&link.RefusedError{Body: *refusal})
			return
		}
		finish(nil)
		return
	}
	address := c.session.View().Members[owner.Incarnation].Address
	c.env.Call(address, wire.ConfirmMessage, wire.Encode(&body), confirmTimeout, func(_ []byte, err error) { finish(err) })
}

const (
	confirmRetry = 30 * time.Millisecond
	forwardRetry = 100 * time.Millisecond
)

// TakeMessage takes a stored message for a unit that this carrier owns. It returns nil once this carrier is
// responsible for the message or the message has completed; otherwise it returns a refusal, and the caller tries
// again. A message that arrives twice is taken once, even if it arrived at a former owner before.
func (c *Core) TakeMessage(body wire.DeliverBody) *wire.RefusalBody {
	u := c.units[body.Message.Unit]
	if u == nil || !c.session.LeaseValid() || c.paused || u.token < body.Message.Token {
		return &wire.RefusalBody{Code: wire.NotOwner, Reason: "not the owner of " + body.Message.Unit}
	}
	if !u.active || u.released() {
		return &wire.RefusalBody{Code: wire.NotReady, Reason: "the unit changes its owner"}
	}
	if _, completed := c.recent.get(body.Message.ID); completed || u.items[body.Message.ID] != nil {
		return nil
	}
	if c.mayHaveCompleted(u, &body) {
		c.queryOutcome(u, &body)
		return &wire.RefusalBody{Code: wire.NotReady, Reason: "the stores are asked whether the message has ended"}
	}
	m := body.Message
	c.addMessage(u, &m, body.Holders, c.env.Now()-body.Age)
	return nil
}

// forwarding is an accepted message that is being passed to the owner of its unit. This carrier keeps it until the
// owner has it, however long that takes, within the message's retention.
type forwarding struct {
	core     *Core
	message  *message.Message
	holders  []string
	accepted time.Duration
}

func (c *Core) forward(m *message.Message, holders []string, accepted time.Duration) {
	f := &forwarding{core: c, message: m, holders: holders, accepted: accepted}
	c.waitingBytes += f.bytes()
	f.attempt()
}

func (f *forwarding) bytes() int64 { return headBytes(f.message) + int64(len(f.message.Body)) }

func (f *forwarding) finish() { f.core.waitingBytes -= f.bytes() }

func (f *forwarding) retry() { f.core.env.After(forwardRetry, f.attempt) }

func (f *forwarding) attempt() {
	c, m := f.core, f.message
	owner := c.session.View().Owners[m.Unit]
	body := wire.DeliverBody{Message: *m, Holders: f.holders, Age: c.env.Now() - f.accepted}
	if owner.Incarnation == c.session.Incarnation() {
		if refusal := c.TakeMessage(body); refusal != nil {
			f.retry()
			return
		}
		f.finish()
		return
	}
	if c.env.Now()-f.accepted > m.Retention {
		f.finish()
		return
	}
	address := c.session.View().Members[owner.Incarnation].Address
	if address == "" || !c.env.Connected(address) {
		f.retry()
		return
	}
	c.env.Call(address, wire.ForwardMessage, wire.Encode(&body), confirmTimeout, func(payload []byte, err error) {
		var answer wire.DeliverAnswer
		if err == nil {
			err = wire.Decode(wire.ForwardMessage, payload, &answer)
		}
		if err != nil {
			f.retry()
			return
		}
		f.finish()
		c.setOwnerBusy(m.Unit, answer.RetryAfter)
	})
}
