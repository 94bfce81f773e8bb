package carrier

import "granitewing/internal/system/wire"

// Handle carries out a call of another carrier. An error means that the call can't be read.
func (c *Core) Handle(kind wire.Kind, payload []byte, answerer wire.Answerer) error {
	switch kind {
	case wire.ReserveSequence:
		var body wire.ReserveBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		place, refusal := c.Reserve(body)
		if refusal != nil {
			answerer.Refuse(*refusal)
			return nil
		}
		answerer.Answer(&place)
	case wire.TakeTurn:
		var body wire.TakeTurnBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		turn, refusal := c.Turn(body)
		if refusal != nil {
			answerer.Refuse(*refusal)
			return nil
		}
		answerer.Answer(&turn)
	case wire.ConfirmMessage, wire.ForwardMessage:
		var body wire.DeliverBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		if refusal := c.Deliver(body); refusal != nil {
			answerer.Refuse(*refusal)
			return nil
		}
		answerer.Answer(&wire.DeliverAnswer{RetryAfter: c.ownerOverloaded(&body.Message)})
	default:
		return &wire.UnknownCallError{Kind: kind}
	}
	return nil
}
