package store

import "granitewing/internal/system/wire"

// sealedRefusal answers who tells a sealed store of an end.
var sealedRefusal = wire.RefusalBody{Code: wire.Failed, Reason: "this disk is empty and about to leave the roster"}

// Seal has the store refuse ends and call-backs that it is told of, or take them again: its disk is about to leave the roster, and what it would
// take now would lie on it alone.
func (c *Core) Seal(sealed bool) { c.sealed = sealed }

// Handle carries out a call. What it writes is answered once its batch is synced. An error means that nothing was begun.
func (c *Core) Handle(kind wire.Kind, payload []byte, answerer wire.Answerer) error {
	taken := func() { answerer.Answer(&struct{}{}) }
	settled := func(refusal *wire.RefusalBody) {
		if refusal != nil {
			answerer.Refuse(*refusal)
			return
		}
		taken()
	}
	switch kind {
	case wire.PutMessage:
		var body wire.PutBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.Put(&body.Message, body.Epoch, settled)
	case wire.VoidMessage:
		var body wire.VoidBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.Void(body.ID, settled)
	case wire.PutEnds:
		var body wire.EndsBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		if c.sealed {
			answerer.Refuse(sealedRefusal)
			return nil
		}
		c.Ends(body.Ends, taken)
	case wire.CallbackDone:
		var body wire.CallbackDoneBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		if c.sealed {
			answerer.Refuse(sealedRefusal)
			return nil
		}
		c.CallbackDone(body.IDs, taken)
	case wire.PutCopies:
		var body wire.CopiesBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.TakeCopy(body.Messages)
		c.answers = append(c.answers, taken)
	default:
		return c.handleRead(kind, payload, answerer)
	}
	return nil
}

// handleRead carries out the calls that write nothing.
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
				answerer.Refuse(wire.RefusalBody{Code: wire.Failed, Reason: err.Error()})
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
	case wire.FindEnds:
		var body wire.FindEndsBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		return reply(answerer, &wire.FoundEnds{Ends: c.FindEnds(body.IDs), Complete: c.complete}, nil)
	case wire.ListHeld:
		var body wire.HeldBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		answer := c.Held(body)
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
