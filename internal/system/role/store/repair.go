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

// RepairEnvironment is what a Backfiller and a Drainer need from their driver or from the simulation.
type RepairEnvironment interface {
	loop.Loop
	loop.Peers
	// AddCopies passes copies to the core; last marks the end of a backfill.
	AddCopies(messages []wire.CopiedMessage, last bool)
	// Complete reports whether the store holds all messages that a disk must hold to count toward the write quorum.
	Complete() bool
	// CopiesPending reports whether copies are waiting to be written to disk.
	CopiesPending() bool
	// ListHeld requests a part of this store's list from the core.
	ListHeld(body wire.HeldBody, done func(answer wire.HeldAnswer))
	// Copies requests copies of messages from the core.
	Copies(ids []string, done func(answer wire.CopiesBody, err error))
	// RefuseOutcomes makes the core refuse outcomes and completed callbacks, or accept them again.
	RefuseOutcomes(sealed bool, done func())
	// LogWarning logs an event for the operator.
	LogWarning(event string, err error)
}

// Intervals and sizes of a backfill or drain.
const (
	repairInterval   = 60 * time.Millisecond
	repairTimeout    = 2 * time.Second
	maxCopiesPerCall = 256 // messages
)

// listReader reads the lists of what each store holds into a replicaIndex.
type listReader struct {
	env     RepairEnvironment
	session *member.Client
	disk    string // of this store
	index   *replicaIndex
}

func newListReader(env RepairEnvironment, client *member.Client, disk string, tolerated *tolerance.Tolerance) *listReader {
	return &listReader{env: env, session: client, disk: disk, index: newReplicaIndex(tolerated)}
}

// read requests the next part of the list from the store of each counted disk except this one. Of these stores,
// caughtUp is how many have listed everything accepted under rosters older than epoch, awaited is how many are
// being queried, and missingZones are the zones of those that are not caught up.
func (l *listReader) read(view *member.View, epoch uint64) (caughtUp, awaited int, missingZones []string) {
	for id, other := range ordered.Map(view.Disks) {
		if id == l.disk || !other.Counted {
			continue
		}
		progress := l.index.progressOf(other.Member.Incarnation)
		if progress.caughtUp(epoch) {
			caughtUp++
			continue
		}
		missingZones = append(missingZones, other.Member.Zone)
		if !progress.wrongDisk && l.env.Connected(other.Member.Address) {
			awaited++
			l.requestPart(id, other, progress)
		}
	}
	return caughtUp, awaited, missingZones
}

func (l *listReader) requestPart(id string, other session.Disk, progress *listProgress) {
	if progress.inFlight {
		return
	}
	progress.inFlight = true
	body := wire.HeldBody{After: progress.after}
	l.env.Call(other.Member.Address, wire.ListHeld, wire.Encode(&body), repairTimeout, func(payload []byte, err error) {
		progress.inFlight = false
		var answer wire.HeldAnswer
		if err == nil {
			err = wire.Decode(wire.ListHeld, payload, &answer)
		}
		if err != nil {
			return // the next read asks again
		}
		if answer.Disk != id {
			progress.wrongDisk = true
			return
		}
		l.index.addPart(id, progress, &answer)
		if answer.More {
			l.requestPart(id, other, progress)
		}
	})
}

// readOwn requests the next part of this store's list from the core. It reports whether everything accepted under
// rosters older than epoch has been listed.
func (l *listReader) readOwn(epoch uint64) bool {
	progress := l.index.progressOf(l.session.Incarnation())
	if progress.caughtUp(epoch) {
		return true
	}
	if progress.inFlight {
		return false
	}
	progress.inFlight = true
	l.env.ListHeld(wire.HeldBody{After: progress.after}, func(answer wire.HeldAnswer) {
		progress.inFlight = false
		l.index.addPart(l.disk, progress, &answer)
		if answer.More {
			l.readOwn(epoch)
		}
	})
	return false
}

// readOwnAgain makes the next readOwn read the changes since the last part.
func (l *listReader) readOwnAgain() { l.index.progressOf(l.session.Incarnation()).atEnd = false }

// readAllAgain makes the next reads of all lists read the changes since the last part.
func (l *listReader) readAllAgain() {
	for _, progress := range l.index.progress {
		progress.atEnd = false
	}
}

// recordCopies records in the index the copies that a disk was given, and returns the set of their message ids.
func (l *listReader) recordCopies(disk string, copies []wire.CopiedMessage) map[string]bool {
	copied := map[string]bool{}
	for i := range copies {
		id := copies[i].Message.ID
		copied[id] = true
		l.index.set(disk, id, copiedState(&copies[i]))
	}
	return copied
}

// copiedState returns what a disk holds of a message once it has this copy.
func copiedState(copied *wire.CopiedMessage) wire.HeldState {
	if copied.Cancelled {
		return wire.HeldCancellation
	}
	var state wire.HeldState
	if copied.Message.Method != "" {
		state |= wire.HeldMessage
	}
	if copied.Outcome != nil {
		state |= wire.HeldOutcome
	}
	if copied.Outcome != nil && copied.Outcome.CallbackOwed {
		state |= wire.HeldPendingCallback
	}
	return state
}
