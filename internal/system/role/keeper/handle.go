package keeper

import (
	"errors"
	"time"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/wire"
)

// Handle carries out a call of a member or another keeper and answers it through answerer. It returns an error if
// the call can't be decoded or its kind is unknown.
func (c *Core) Handle(now time.Duration, from Subscriber, kind wire.Kind, payload []byte, answerer wire.Answerer) error {
	c.now = now
	done := func(err error) { answer(answerer, &struct{}{}, err) }
	switch kind {
	case wire.AgreementMessages:
		var body wire.AgreementBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.Step(now, body.Group, body.Messages)
	case wire.JoinGroup:
		var body wire.JoinGroupBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.JoinGroup(now, body.Group, body.Member, body.HasGroupState, done)
	case wire.OpenSession:
		var body wire.OpenSessionBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.OpenSession(now, from, body, func(err error) {
			answer(answerer, &wire.OpenSessionAnswer{Lease: MemberLease}, err)
		})
	case wire.Heartbeat:
		var body wire.HeartbeatBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.Heartbeat(now, from, body, func(age time.Duration, err error) {
			answer(answerer, &wire.HeartbeatAnswer{CatalogAge: age}, err)
		})
	default:
		return c.handleOrder(now, kind, payload, answerer, done)
	}
	return nil
}

// handleOrder handles the calls that change the replicated session and ownership tables.
func (c *Core) handleOrder(now time.Duration, kind wire.Kind, payload []byte, _ wire.Answerer, done func(err error)) error {
	switch kind {
	case wire.CloseSession:
		var body wire.CloseSessionBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.CloseSession(now, body.Incarnation, done)
	case wire.SettleDeparted:
		var body wire.SettleBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.SettleDeparted(now, body, done)
	case wire.CountDisk:
		var body wire.CountDiskBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.CountDisk(now, body.Disk, done)
	case wire.ReleaseUnit:
		var body wire.ReleaseUnitBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.ReleaseUnit(now, body.Unit, body.Token, body.Offer, done)
	case wire.DiskDrained:
		var body wire.DiskDrainedBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.DiskDrained(now, body.Disk, body.Epoch, done)
	case wire.GroupRemovedNode:
		var body wire.GroupRemovedNodeBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return err
		}
		c.GroupRemovedNode(now, body.Node, body.Group, done)
	default:
		return &wire.UnknownCallError{Kind: kind}
	}
	return nil
}

// answer sends the result of a call, or a refusal whose code depends on the error's type.
func answer(answerer wire.Answerer, body any, err error) {
	var notLeader *agreement.NotLeaderError
	var unknown *UnknownSessionError
	var removed *RemovedError
	var stale *ownership.StaleOfferError
	switch {
	case err == nil:
		answerer.Answer(body)
	case errors.As(err, &removed):
		answerer.Refuse(wire.RefusalBody{Code: wire.RemovedFromGroup, Reason: err.Error()})
	case errors.As(err, &notLeader):
		answerer.Refuse(wire.RefusalBody{Code: wire.NotLeader, Reason: err.Error(), Leader: notLeader.Leader})
	case errors.As(err, &unknown):
		answerer.Refuse(wire.RefusalBody{Code: wire.UnknownSession, Reason: err.Error()})
	case errors.As(err, &stale):
		answerer.Refuse(wire.RefusalBody{Code: wire.StaleOffer, Reason: err.Error()})
	default:
		answerer.Refuse(wire.RefusalBody{Code: wire.CallFailed, Reason: err.Error()})
	}
}
