package keeper

import (
	"errors"
	"time"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/wire"
)

// JoinEnvironment is what the driver or the simulation gives a Joiner.
type JoinEnvironment interface {
	loop.Loop
	loop.Peers
	// Others gives the addresses of the other keepers that are known.
	Others() []string
	// Reset begins a group's member anew under another identity, after the group did without it.
	Reset(group int)
}

// Joiner asks, for each group in which a keeper hears no leader, to be let in; and for the groups that it leads tells the
// leader of the sessions which machines they do without.
type Joiner struct {
	env       JoinEnvironment
	core      *Core
	resetting [Groups]bool
}

const (
	joinInterval = 250 * time.Millisecond
	joinTimeout  = time.Second // a leader may have to ask a majority
)

// NewJoiner makes a joiner; Step begins.
func NewJoiner(env JoinEnvironment, core *Core) *Joiner { return &Joiner{env: env, core: core} }

// Step asks now, and again after a while.
func (j *Joiner) Step() {
	j.env.After(joinInterval/2+time.Duration(j.env.Random(int64(joinInterval))), j.Step)
	for group := range Groups {
		id, knows, wanted := j.core.Joining(j.env.Now(), group)
		if wanted && !j.resetting[group] {
			j.ask(group, id, knows)
		}
	}
	j.report()
}

// report tells the leader of the sessions which machines that are being emptied have left a group.
func (j *Joiner) report() {
	for _, departure := range j.core.Departures(j.env.Now()) {
		leader, self := j.core.Leader(SessionGroup)
		switch {
		case self:
			j.core.GroupLeft(j.env.Now(), departure.Node, departure.Group, func(error) {})
		case j.env.Up(leader):
			body := wire.GroupLeftBody{Node: departure.Node, Group: departure.Group}
			j.env.Call(leader, wire.GroupLeft, wire.Encode(&body), joinInterval, func([]byte, error) {})
		}
	}
}

func (j *Joiner) ask(group int, id string, knows bool) {
	body := wire.Encode(&wire.JoinGroupBody{Group: group, Member: id, Knows: knows})
	for _, address := range j.env.Others() {
		if j.env.Up(address) {
			j.env.Call(address, wire.JoinGroup, body, joinTimeout, func(_ []byte, err error) { j.asked(group, id, err) })
		}
	}
}

// refusal is a peer's refusal, as the driver hands it on.
type refusal interface {
	error
	Refusal() wire.RefusalBody
}

// asked begins anew where the group does without this member: its disk's state can't come back.
func (j *Joiner) asked(group int, id string, err error) {
	var refused refusal
	current, _, _ := j.core.Joining(j.env.Now(), group)
	if !errors.As(err, &refused) {
		return
	}
	// The leader need be none of those that the seeds name: it is asked as soon as there is a connection to it.
	j.core.Heard(refused.Refusal().Leader)
	if refused.Refusal().Code != wire.Removed || current != id || j.resetting[group] {
		return
	}
	j.resetting[group] = true
	j.env.Reset(group)
}

// WasReset tells that a group's member began anew.
func (j *Joiner) WasReset(group int) { j.resetting[group] = false }
