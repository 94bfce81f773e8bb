package carrier

import (
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// State is what a client is told of a message.
type State struct {
	Known   bool
	Unclear bool // not all stores that might know it have answered
	Phase   message.Phase
	Stamp   string
	Body    []byte
	HasBody bool
}

const queryTimeout = 1200 * time.Millisecond

// query gathers the stores' answers about a message.
type query struct {
	state    State
	open     int
	missing  int
	answered bool
	wantBody bool
	done     func(State)
}

// Find tells the state of a message, and its bytes where they are wanted.
func (c *Core) Find(id string, withBody bool, done func(State)) {
	if end, known := c.recent.get(id); known && !withBody {
		done(State{Known: true, Phase: end.Phase, Stamp: end.Stamp})
		return
	}
	q := &query{wantBody: withBody, done: done}
	body := wire.Encode(&wire.FindBody{ID: id, WithBody: withBody})
	var asked []string
	for id, disk := range ordered.Map(c.session.View().Disks) {
		if c.stores.isUp(id) {
			asked = append(asked, disk.Member.Address)
			continue
		}
		q.missing++
	}
	q.open = len(asked)
	if len(asked) == 0 {
		done(State{Unclear: true})
		return
	}
	for _, address := range asked {
		c.env.Call(address, wire.FindMessage, body, queryTimeout, func(payload []byte, err error) { q.take(payload, err) })
	}
}

func (q *query) take(payload []byte, err error) {
	q.open--
	var answer wire.FindAnswer
	if err == nil {
		err = wire.Decode(wire.FindMessage, payload, &answer)
	}
	if err != nil || !answer.Complete && !answer.Known {
		q.missing++
	} else {
		q.merge(answer)
	}
	if q.answered {
		return
	}
	enough := q.wantBody && q.state.HasBody || !q.wantBody && q.state.Known && q.state.Phase != message.Pending
	if q.open > 0 && !enough {
		return
	}
	q.answered = true
	q.state.Unclear = !q.state.Known && q.missing > 0
	q.done(q.state)
}

func (q *query) merge(answer wire.FindAnswer) {
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
