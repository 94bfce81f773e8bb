package store

import (
	"time"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/member"
	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

const (
	askInterval = 2 * time.Second
	askTimeout  = 2 * time.Second
)

// EndsEnvironment is what the driver or the simulation gives an EndsAsker.
type EndsEnvironment interface {
	loop.Loop
	loop.Peers
}

// EndsAsker asks the other stores for the ends of messages that have been pending here for long: their carriers may not
// know that they lie here too.
type EndsAsker struct {
	env     EndsEnvironment
	session *member.Client
	disk    string
	pending func(done func(ids []string)) // asks the core for messages that have been pending for long
	ended   func(ends []message.End)
}

// NewEndsAsker makes one; Start begins.
func NewEndsAsker(env EndsEnvironment, session *member.Client, disk string, pending func(done func(ids []string)),
	ended func(ends []message.End)) *EndsAsker {
	return &EndsAsker{env: env, session: session, disk: disk, pending: pending, ended: ended}
}

// Start begins.
func (a *EndsAsker) Start() {
	a.env.After(askInterval, a.Start)
	a.pending(func(ids []string) {
		if len(ids) == 0 {
			return
		}
		body := wire.Encode(&wire.FindEndsBody{IDs: ids})
		for id, other := range a.session.View().Disks {
			if id != a.disk && a.env.Up(other.Member.Address) {
				a.ask(other.Member.Address, body)
			}
		}
	})
}

func (a *EndsAsker) ask(address string, body []byte) {
	a.env.Call(address, wire.FindEnds, body, askTimeout, func(payload []byte, err error) {
		var answer wire.EndsBody
		if err == nil && wire.Decode(wire.FindEnds, payload, &answer) == nil && len(answer.Ends) > 0 {
			a.ended(answer.Ends)
		}
	})
}
