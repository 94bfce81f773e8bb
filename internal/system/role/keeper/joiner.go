package keeper

import (
	"errors"
	"time"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/wire"
)

// JoinEnvironment is the set of services that the driver or the simulation provides to a Joiner.
type JoinEnvironment interface {
	loop.Loop
	loop.Peers
	// KnownKeepers returns the known addresses of other keepers.
	KnownKeepers() []string
	// Reset discards the state of a group that has removed this keeper and starts over under another identity. It ends
	// with a call of Joiner.ResetDone.
	Reset(group int)
}

// Joiner periodically asks the other keepers to admit this one to each group whose leader it does not know. For the
// groups that this keeper leads, it reports to the leader of the session group which drained machines the groups
// have removed.
type Joiner struct {
	env       JoinEnvironment
	core      *Core
	resetting [Groups]bool
}

const (
	joinInterval = 250 * time.Millisecond
	joinTimeout  = time.Second // a leader may have to confirm with a majority first
)

// NewJoiner creates a Joiner. Step starts it.
func NewJoiner(env JoinEnvironment, core *Core) *Joiner { return &Joiner{env: env, core: core} }

// Step sends the due requests and reports, and schedules itself again.
func (j *Joiner) Step() {
	j.env.After(joinInterval/2+time.Duration(j.env.Random(int64(joinInterval))), j.Step)
	for group := range Groups {
		id, knows, wanted := j.core.JoinState(j.env.Now(), group)
		if wanted && !j.resetting[group] {
			j.requestJoin(group, id, knows)
		}
	}
	j.reportDepartures()
}

// reportDepartures tells the leader of the session group which machines that are being drained have left a group
// that this keeper leads.
func (j *Joiner) reportDepartures() {
	for _, departure := range j.core.Departures(j.env.Now()) {
		leader, self := j.core.Leader(SessionGroup)
		switch {
		case self:
			j.core.GroupRemovedNode(j.env.Now(), departure.Node, departure.Group, func(error) {})
		case j.env.Connected(leader):
			body := wire.GroupRemovedNodeBody{Node: departure.Node, Group: departure.Group}
			j.env.Call(leader, wire.GroupRemovedNode, wire.Encode(&body), joinInterval, func([]byte, error) {})
		}
	}
}

// requestJoin asks every connected keeper to admit this one to a group. Only the leader can.
func (j *Joiner) requestJoin(group int, id string, knows bool) {
	body := wire.Encode(&wire.JoinGroupBody{Group: group, Member: id, HasGroupState: knows})
	for _, address := range j.env.KnownKeepers() {
		if j.env.Connected(address) {
			j.env.Call(address, wire.JoinGroup, body, joinTimeout, func(_ []byte, err error) { j.handleJoinAnswer(group, id, err) })
		}
	}
}

// refusal is the refusal of a call by a peer, as the driver passes it on.
type refusal interface {
	error
	Refusal() wire.RefusalBody
}

// handleJoinAnswer resets the group if its leader answers that it has removed this member. The member can't return
// with its old state.
func (j *Joiner) handleJoinAnswer(group int, id string, err error) {
	var refused refusal
	current, _, _ := j.core.JoinState(j.env.Now(), group)
	if !errors.As(err, &refused) {
		return
	}
	// The leader may not be among the configured seeds. It is asked as soon as a connection to it is up.
	j.core.RememberKeeper(refused.Refusal().Leader)
	if refused.Refusal().Code != wire.RemovedFromGroup || current != id || j.resetting[group] {
		return
	}
	j.resetting[group] = true
	j.env.Reset(group)
}

// ResetDone reports to the Joiner that the reset of a group is complete.
func (j *Joiner) ResetDone(group int) { j.resetting[group] = false }
