package store

import (
	"sort"

	"granitewing/internal/system/member"
	"granitewing/internal/system/session"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// replicaIndex records which disks hold a replica of which message, as read from the lists of their stores. It has
// an entry for each message that any of them knows. Its size is bounded because stores forget messages once their
// status can no longer be queried.
type replicaIndex struct {
	tolerance   *tolerance.Tolerance
	disks       []string              // names, indexed by diskNumber
	diskNumbers map[string]diskNumber // by name
	messages    map[string][]replica  // by message id
	// progress is by incarnation of a store's process, since the positions of a list are valid for one incarnation
	// only.
	progress map[string]*listProgress
}

// diskNumber is the index of a disk in replicaIndex.disks.
type diskNumber uint16

// replica is what one disk holds of a message.
type replica struct {
	disk  diskNumber
	state wire.HeldState
}

// listProgress is how far the list of one store has been read.
type listProgress struct {
	after     uint64 // the list is read on from here
	epoch     uint64 // that the store reported when it last had no more
	atEnd     bool   // the store had no more to list
	inFlight  bool   // a call for the next part is in flight
	wrongDisk bool   // the store of another disk answers at the machine's address
}

func newReplicaIndex(tolerated *tolerance.Tolerance) *replicaIndex {
	return &replicaIndex{tolerance: tolerated, diskNumbers: map[string]diskNumber{}, messages: map[string][]replica{},
		progress: map[string]*listProgress{}}
}

// progressOf returns the progress of a store's list, and starts it at 0 if the store is new.
func (x *replicaIndex) progressOf(incarnation string) *listProgress {
	progress := x.progress[incarnation]
	if progress == nil {
		progress = &listProgress{}
		x.progress[incarnation] = progress
	}
	return progress
}

// caughtUp reports whether the list was read to its end and includes everything that was accepted under rosters
// older than epoch.
func (p *listProgress) caughtUp(epoch uint64) bool { return p.atEnd && p.epoch >= epoch }

// addPart adds one part of a store's list.
func (x *replicaIndex) addPart(disk string, progress *listProgress, answer *wire.HeldAnswer) {
	for i, id := range answer.IDs[:min(len(answer.IDs), len(answer.States))] {
		x.set(disk, id, answer.States[i])
	}
	progress.after, progress.atEnd, progress.epoch = answer.Next, !answer.More, answer.Epoch
}

// set records what a disk holds of a message.
func (x *replicaIndex) set(disk, id string, state wire.HeldState) {
	number, known := x.diskNumbers[disk]
	if !known {
		number = diskNumber(len(x.disks))
		x.diskNumbers[disk] = number
		x.disks = append(x.disks, disk)
	}
	replicas := x.messages[id]
	for i := range replicas {
		if replicas[i].disk == number {
			replicas[i].state = state
			return
		}
	}
	x.messages[id] = append(replicas, replica{disk: number, state: state})
}

// state returns what a disk holds of a message, 0 if nothing is known.
func (x *replicaIndex) state(disk, id string) wire.HeldState {
	number, known := x.diskNumbers[disk]
	if !known {
		return 0
	}
	for _, r := range x.messages[id] {
		if r.disk == number {
			return r.state
		}
	}
	return 0
}

// requiredState returns what enough disks have to hold of a message: the state of the disks that know most about
// it. A disk that still has the callback marked as owed knows less than one that has recorded its delivery.
func requiredState(replicas []replica) wire.HeldState {
	var pending, owed, delivered wire.HeldState
	for _, r := range replicas {
		switch {
		case r.state.Has(wire.HeldCancellation):
			return wire.HeldCancellation
		case r.state.Has(wire.HeldOutcome | wire.HeldPendingCallback):
			owed |= r.state
		case r.state.Has(wire.HeldOutcome):
			delivered |= r.state
		default:
			pending |= r.state
		}
	}
	switch {
	case delivered != 0:
		return delivered
	case owed != 0:
		return owed
	}
	return pending
}

// underReplicatedMessage is a message that too few disks hold.
type underReplicatedMessage struct {
	id       string
	required wire.HeldState
	holders  []string // disks of the roster that hold it and are not leaving
}

// holderZones returns the zones of the holders.
func (m *underReplicatedMessage) holderZones(view *member.View) []string {
	zones := make([]string, 0, len(m.holders))
	for _, disk := range m.holders {
		zones = append(zones, view.Disks[disk].Member.Zone)
	}
	return zones
}

// countsAsHolder reports whether replicas on a disk of the roster count: the disk counts toward the write quorum
// and is not leaving.
func countsAsHolder(disk session.Disk) bool { return disk.Counted && !disk.Leaving }

// underReplicated returns the messages that too few disks of a roster hold, those with the fewest holders first.
// State known only to disks that have left the roster is not required: it may not exist any more.
func (x *replicaIndex) underReplicated(view *member.View) []underReplicatedMessage {
	inRoster, countable := make([]bool, len(x.disks)), make([]bool, len(x.disks))
	for number, name := range x.disks {
		disk, known := view.Disks[name]
		inRoster[number], countable[number] = known, countsAsHolder(disk)
	}
	var found []underReplicatedMessage
	var replicas []replica
	for id, all := range x.messages {
		replicas = replicas[:0]
		for _, r := range all {
			if inRoster[r.disk] {
				replicas = append(replicas, r)
			}
		}
		candidate := underReplicatedMessage{id: id, required: requiredState(replicas)}
		if candidate.required == 0 {
			continue
		}
		for _, r := range replicas {
			if countable[r.disk] && r.state.Has(candidate.required) {
				candidate.holders = append(candidate.holders, x.disks[r.disk])
			}
		}
		if !x.tolerance.SufficientReplicas(candidate.holderZones(view)) {
			found = append(found, candidate)
		}
	}
	sort.Slice(found, func(i, j int) bool {
		if len(found[i].holders) != len(found[j].holders) {
			return len(found[i].holders) < len(found[j].holders)
		}
		return found[i].id < found[j].id
	})
	return found
}
