package store

import "granitewing/internal/system/wire"

// sealedRefusal answers a sender of outcomes while the store is sealed.
var sealedRefusal = wire.RefusalBody{Code: wire.CallFailed, Reason: "this disk is empty and about to leave the roster"}

// RefuseOutcomes makes the store refuse outcomes and completed callbacks, or accept them again. It is set while the
// disk is about to leave the roster, since the disk would be the only one to hold what it accepts.
func (c *Core) RefuseOutcomes(sealed bool) { c.sealed = sealed }

// Handle executes a call. A call that writes is answered once its batch is synced. An error means that the call had
// no effect.
func (c *Core) Handle(kind wire.Kind, payload []byte, answerer wire.Answerer) error {
	accepted := func() { answerer.Answer(&struct{}{}) }
	answer := func(refusal *wire.RefusalBody) {
		if refusal != nil {
			answerer.Refuse(*refusal)
			return
		}
		accepted()
	}
	switch kind {
	case wire.PutMessage:
		var body wire.PutBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.Put(&body.Message, body.Epoch, answer)
	case wire.CancelMessage:
		var body wire.CancelBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.Cancel(body.ID, answer)
	case wire.PutOutcomes:
		var body wire.OutcomesBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		if c.sealed {
			answerer.Refuse(sealedRefusal)
			return nil
		}
		c.PutOutcomes(body.Outcomes, accepted)
	case wire.CallbackDone:
		var body wire.CallbackDoneBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		if c.sealed {
			answerer.Refuse(sealedRefusal)
			return nil
		}
		c.CallbackDone(body.IDs, accepted)
	case wire.RaiseAges:
		var body wire.AgesBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.RaiseAges(body.Ages, accepted)
	case wire.PutCopies:
		var body wire.CopiesBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.AddCopies(body.Messages)
		c.answers = append(c.answers, accepted)
	default:
		return c.handleRead(kind, payload, answerer)
	}
	return nil
}

// handleRead executes the calls that do not change messages.
func (c *Core) handleRead(kind wire.Kind, payload []byte, answerer wire.Answerer) error {
	switch kind {
	case wire.ListUnit:
		var body wire.ListBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.takeOver(body.Unit, func() {
			answer, err := c.List(body)
			if err != nil {
				answerer.Refuse(wire.RefusalBody{Code: wire.CallFailed, Reason: err.Error()})
				return
			}
			answerer.Answer(&answer)
		})
		return nil
	case wire.FindMessage:
		var body wire.FindBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		answer, err := c.Find(body)
		return reply(answerer, &answer, err)
	case wire.FindOutcomes:
		var body wire.FindOutcomesBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		return reply(answerer, &wire.FindOutcomesAnswer{Outcomes: c.FindOutcomes(body.IDs), Complete: c.complete}, nil)
	case wire.ListPending:
		var body wire.PendingBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		answer := c.ListPending(body)
		return reply(answerer, &answer, nil)
	case wire.ListHeld:
		var body wire.HeldBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		answer := c.ListHeld(body)
		return reply(answerer, &answer, nil)
	case wire.FetchCopies:
		var body wire.FetchBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		answer, err := c.Copies(body.IDs)
		return reply(answerer, &answer, err)
	}
	return &wire.UnknownCallError{Kind: kind}
}

func reply(answerer wire.Answerer, body any, err error) error {
	if err == nil {
		answerer.Answer(body)
	}
	return err
}
