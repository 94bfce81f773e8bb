package carrier

import (
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// State is the state of a message as reported to a client.
type State struct {
	Known         bool
	Indeterminate bool // not all stores that might know the message have answered
	Phase         message.Phase
	Stamp         string
	Body          []byte
	HasBody       bool
}

const findTimeout = 1200 * time.Millisecond

// find collects the stores' answers about a message.
type find struct {
	state      State
	pending    int
	unanswered int
	answered   bool
	wantBody   bool
	done       func(State)
}

// QueryState reports the state of a message, with its body if withBody is set. It calls done once, with the first
// definite state or once all stores have answered or failed to.
func (c *Core) QueryState(id string, withBody bool, done func(State)) {
	if outcome, known := c.recent.get(id); known && !withBody {
		done(State{Known: true, Phase: outcome.Phase, Stamp: outcome.Stamp})
		return
	}
	q := &find{wantBody: withBody, done: done}
	body := wire.Encode(&wire.FindBody{ID: id, WithBody: withBody})
	var addresses []string
	for id, disk := range ordered.Map(c.session.View().Disks) {
		if c.stores.isUp(id) {
			addresses = append(addresses, disk.Member.Address)
			continue
		}
		q.unanswered++
	}
	q.pending = len(addresses)
	if len(addresses) == 0 {
		done(State{Indeterminate: true})
		return
	}
	for _, address := range addresses {
		c.env.Call(address, wire.FindMessage, body, findTimeout, func(payload []byte, err error) { q.handleAnswer(payload, err) })
	}
}

func (q *find) handleAnswer(payload []byte, err error) {
	q.pending--
	var answer wire.FindAnswer
	if err == nil {
		err = wire.Decode(wire.FindMessage, payload, &answer)
	}
	if err != nil || !answer.Complete && !answer.Known {
		q.unanswered++
	} else {
		q.merge(answer)
	}
	if q.answered {
		return
	}
	enough := q.wantBody && q.state.HasBody || !q.wantBody && q.state.Known && q.state.Phase != message.Pending
	if q.pending > 0 && !enough {
		return
	}
	q.answered = true
	q.state.Indeterminate = !q.state.Known && q.unanswered > 0
	q.done(q.state)
}

func (q *find) merge(answer wire.FindAnswer) {
	if !answer.Known {
		return
	}
	if !q.state.Known || q.state.Phase == message.Pending {
		q.state.Phase, q.state.Stamp = answer.Phase, answer.Stamp
	}
	q.state.Known = true
	if answer.HasBody && !q.state.HasBody {
		q.state.Body, q.state.HasBody = answer.Body, true
	}
}
