package store

import (
	"time"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/member"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/session"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// RepairEnvironment is what the driver or the simulation gives a Filler and an Emptier.
type RepairEnvironment interface {
	loop.Loop
	loop.Peers
	// Fill hands copies to the core; last is the end of the filling.
	Fill(messages []wire.CopiedMessage, last bool)
	// Complete tells whether the store holds all that its disk has to hold.
	Complete() bool
	// Filling tells whether copies wait for the disk.
	Filling() bool
	// Held asks the core for a part of what this store holds.
	Held(body wire.HeldBody, done func(answer wire.HeldAnswer))
	// Copies asks the core for copies of messages.
	Copies(ids []string, done func(answer wire.CopiesBody, err error))
	// Seal has the core refuse ends and call-backs that it is told of, or take them again.
	Seal(sealed bool, done func())
	// Report logs what an operator should know.
	Report(event string, err error)
}

// Times and sizes of a repair.
const (
	repairInterval = 60 * time.Millisecond
	repairTimeout  = 2 * time.Second
	copiesAtOnce   = 256 // messages in one call
)

// lists reads the lists of what stores hold into a census.
type lists struct {
	env     RepairEnvironment
	session *member.Client
	disk    string // this store's
	census  *census
}

func newLists(env RepairEnvironment, client *member.Client, disk string, tolerated *tolerance.Tolerance) *lists {
	return &lists{env: env, session: client, disk: disk, census: newCensus(tolerated)}
}

// read asks each store of the counted disks, this one's among them, for the next part of its list. told is how many of the
// others have told all that was taken for rosters older than one, asked how many are being asked, silent are the zones of
// those that have not told.
func (l *lists) read(view *member.View, epoch uint64) (told, asked int, silent []string) {
	for id, other := range ordered.Map(view.Disks) {
		if id == l.disk || !other.Counted {
			continue
		}
		source := l.census.source(other.Member.Incarnation)
		if source.told(epoch) {
			told++
			continue
		}
		silent = append(silent, other.Member.Zone)
		if !source.lost && l.env.Up(other.Member.Address) {
			asked++
			l.ask(id, other, source)
		}
	}
	return told, asked, silent
}

func (l *lists) ask(id string, other session.Disk, source *heldSource) {
	if source.busy {
		return
	}
	source.busy = true
	body := wire.HeldBody{After: source.after}
	l.env.Call(other.Member.Address, wire.ListHeld, wire.Encode(&body), repairTimeout, func(payload []byte, err error) {
		source.busy = false
		var answer wire.HeldAnswer
		if err == nil {
			err = wire.Decode(wire.ListHeld, payload, &answer)
		}
		if err != nil {
			return // it is asked again
		}
		if answer.Disk != id {
			source.lost = true
			return
		}
		l.census.take(id, source, &answer)
		if answer.More {
			l.ask(id, other, source)
		}
	})
}

// readOwn asks this store's core for the next part of its list; it tells whether all was told that was taken for rosters
// older than one.
func (l *lists) readOwn(epoch uint64) bool {
	source := l.census.source(l.session.Incarnation())
	if source.told(epoch) {
		return true
	}
	if source.busy {
		return false
	}
	source.busy = true
	l.env.Held(wire.HeldBody{After: source.after}, func(answer wire.HeldAnswer) {
		source.busy = false
		l.census.take(l.disk, source, &answer)
		if answer.More {
			l.readOwn(epoch)
		}
	})
	return false
}

// againOwn has this store's list be read on for what has changed since.
func (l *lists) againOwn() { l.census.source(l.session.Incarnation()).done = false }

// again has all lists be read on for what has changed since.
func (l *lists) again() {
	for _, source := range l.census.sources {
		source.done = false
	}
}

// noteCopies has the census know of copies that a disk was given, and gives their messages.
func (l *lists) noteCopies(disk string, copies []wire.CopiedMessage) map[string]bool {
	copied := map[string]bool{}
	for i := range copies {
		id := copies[i].Message.ID
		copied[id] = true
		l.census.note(disk, id, stateOf(&copies[i]))
	}
	return copied
}

// stateOf is what a disk holds of a message by a copy.
func stateOf(copied *wire.CopiedMessage) wire.HeldState {
	if copied.Void {
		return wire.HeldVoid
	}
	var state wire.HeldState
	if copied.Message.Method != "" {
		state |= wire.HeldBytes
	}
	if copied.End != nil {
		state |= wire.HeldEnd
	}
	if copied.End != nil && copied.End.CallbackOwed {
		state |= wire.HeldOwed
	}
	return state
}
