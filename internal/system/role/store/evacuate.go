package store

import (
	"time"

	"granitewing/internal/system/member"
	"granitewing/internal/system/message"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// Follower keeps a disk in step with the others: it copies what lies on a leaving disk, and asks the others for the ends of
// messages that have been pending here for long, whose carriers may not know that they lie here too.
type Follower struct {
	env     FillEnvironment
	session *member.Client
	disk    string
	pending func(done func(ids []string)) // asks the core for messages that have been pending for long
	ended   func(ends []message.End)
	sources map[string]*copySource // by incarnation, of leaving disks
}

const (
	followInterval = 100 * time.Millisecond
	askInterval    = 2 * time.Second
)

// NewFollower makes a follower; Start begins.
func NewFollower(env FillEnvironment, session *member.Client, disk string, pending func(done func(ids []string)),
	ended func(ends []message.End)) *Follower {
	return &Follower{env: env, session: session, disk: disk, pending: pending, ended: ended, sources: map[string]*copySource{}}
}

// Start begins.
func (f *Follower) Start() {
	f.copyLeaving()
	f.askEnds()
}

// others gives the other disks of the roster that can be reached.
func (f *Follower) others() map[string]session.Disk {
	found := map[string]session.Disk{}
	for id, disk := range f.session.View().Disks {
		if id != f.disk && f.env.Up(disk.Member.Address) {
			found[id] = disk
		}
	}
	return found
}

// copyLeaving copies from leaving disks, until each is told as copied under the roster's present epoch.
func (f *Follower) copyLeaving() {
	f.env.After(followInterval, f.copyLeaving)
	view := f.session.View()
	if own := view.Disks[f.disk]; !own.Counted || own.Leaving {
		return
	}
	for id, other := range f.others() {
		if !other.Leaving {
			continue
		}
		source := f.sources[other.Member.Incarnation]
		if source == nil {
			source = &copySource{}
			f.sources[other.Member.Incarnation] = source
		}
		f.copyFrom(id, other.Member.Address, source, view.Epoch)
	}
}

func (f *Follower) copyFrom(id, address string, source *copySource, epoch uint64) {
	if source.busy || f.env.Filling() {
		return
	}
	if source.done {
		f.session.CopiedDisk(id, func(error) {})
		return
	}
	source.busy = true
	body := wire.CopyBody{After: source.after}
	f.env.Call(address, wire.CopyMessages, wire.Encode(&body), copyTimeout, func(payload []byte, err error) {
		source.busy = false
		var answer wire.CopyAnswer
		if err == nil {
			err = wire.Decode(wire.CopyMessages, payload, &answer)
		}
		if err != nil {
			return // copyLeaving asks again
		}
		if len(answer.Messages) > 0 {
			f.env.Fill(answer.Messages, false)
		}
		source.after = answer.Next
		// The leaving disk takes nothing more once it follows the epoch that made it leave; what it then had is all. It is
		// told as copied once nothing of it waits for this disk.
		source.done = !answer.More && answer.Epoch >= epoch
	})
}

func (f *Follower) askEnds() {
	f.env.After(askInterval, f.askEnds)
	f.pending(func(ids []string) {
		if len(ids) == 0 {
			return
		}
		body := wire.Encode(&wire.FindEndsBody{IDs: ids})
		for _, other := range f.others() {
			f.env.Call(other.Member.Address, wire.FindEnds, body, copyTimeout, func(payload []byte, err error) {
				var answer wire.EndsBody
				if err == nil && wire.Decode(wire.FindEnds, payload, &answer) == nil && len(answer.Ends) > 0 {
					f.ended(answer.Ends)
				}
			})
		}
	})
}
