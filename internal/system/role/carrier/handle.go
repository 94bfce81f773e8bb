package carrier

import "granitewing/internal/system/wire"

// Handle executes a call from another carrier. It returns an error if the call cannot be decoded or is of an
// unknown kind.
func (c *Core) Handle(kind wire.Kind, payload []byte, answerer wire.Answerer) error {
	switch kind {
	case wire.ReserveSequence:
		var body wire.ReserveBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		reservation, refusal := c.Reserve(body)
		if refusal != nil {
			answerer.Refuse(*refusal)
			return nil
		}
		answerer.Answer(&reservation)
	case wire.AcquirePermit:
		var body wire.AcquirePermitBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		permit, refusal := c.GrantPermit(body)
		if refusal != nil {
			answerer.Refuse(*refusal)
			return nil
		}
		answerer.Answer(&permit)
	case wire.ConfirmMessage, wire.ForwardMessage:
		var body wire.DeliverBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		if refusal := c.TakeMessage(body); refusal != nil {
			answerer.Refuse(*refusal)
			return nil
		}
		answerer.Answer(&wire.DeliverAnswer{RetryAfter: c.ownerRetryAfter(&body.Message)})
	default:
		return &wire.UnknownCallError{Kind: kind}
	}
	return nil
}
