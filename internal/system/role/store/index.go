package store

import (
	"fmt"
	"sort"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
)

func segmentName(position segment.Position) string { return fmt.Sprintf("%016x", position.Segment) }

// entry is what the index knows of a message.
type entry struct {
	id           string
	unit         string
	sequence     uint64 // position in its unit's list, in the order of joining; 0 while the unit is not known
	changeNumber uint64 // position in the order of changes
	older, newer *entry // neighbours in the order of changes
	position     segment.Position
	held         bool // the message's record is on disk at position
	writing      bool // the message's record is waiting to be synced
	void         bool // the message was cancelled
	// shared is set once another process may know the message: this incarnation of the store has named it to one, or
	// an earlier incarnation may have. Such a message can't be cancelled (void).
	shared       bool
	phase        message.Phase
	stamp        string
	hasCallback  bool          // the outcome is to be delivered to a callback URL
	callbackOwed bool          // the outcome is known and not yet delivered to the callback URL
	arrivedAt    time.Duration // on the log's clock, as is completedAt
	lifetime     time.Duration // the delay and the retention
	completedAt  time.Duration
}

func (e *entry) pending() bool { return e.held && !e.void && e.phase == message.Pending }

// listed reports whether a unit's owner still has work to do for the message.
func (e *entry) listed() bool {
	return e.held && !e.void && (e.phase == message.Pending || e.callbackOwed)
}

// needsBytes reports whether the message's record must be kept: while it is listed, and if it is a dead letter, whose
// body may still be requested.
func (e *entry) needsBytes() bool { return e.listed() || e.held && e.phase == message.DeadLetter }

// unitIndex is the messages of a unit in the order in which they joined it.
type unitIndex struct {
	entries []*entry // ascending by sequence
	dropped int      // how many of the entries the index has dropped
}

// index is everything that a store knows of its messages, in memory.
type index struct {
	entries      map[string]*entry
	units        map[string]*unitIndex
	expiry       []*entry // completed and void entries, ascending by completion
	lastSequence uint64
	lastChange   uint64
	newest       *entry // the entry that changed last
}

// recordChange moves an entry to the end of the order of changes, so that readers of the changes see it again.
func (x *index) recordChange(e *entry) {
	x.unlink(e)
	x.lastChange++
	e.changeNumber = x.lastChange
	e.older = x.newest
	if x.newest != nil {
		x.newest.newer = e
	}
	x.newest = e
}

// unlink removes an entry from the order of changes.
func (x *index) unlink(e *entry) {
	if e.older != nil {
		e.older.newer = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	}
	if x.newest == e {
		x.newest = e.older
	}
	e.older, e.newer = nil, nil
}

func newIndex() *index { return &index{entries: map[string]*entry{}, units: map[string]*unitIndex{}} }

// anyPending reports whether any message is pending.
func (x *index) anyPending() bool {
	for _, e := range x.entries {
		if e.pending() {
			return true
		}
	}
	return false
}

func (x *index) get(id string) *entry { return x.entries[id] }

// add creates an entry for an id that is not known. Its unit may be empty.
func (x *index) add(id, unit string, arrived time.Duration) *entry {
	e := &entry{id: id, arrivedAt: arrived, phase: message.Pending}
	x.entries[id] = e
	x.recordChange(e)
	x.joinUnit(e, unit)
	return e
}

// joinUnit appends an entry to its unit's list once the unit is known. An outcome, which may arrive before its
// message, does not name the unit.
func (x *index) joinUnit(e *entry, name string) {
	if name == "" || e.unit != "" {
		return
	}
	unit := x.units[name]
	if unit == nil {
		unit = &unitIndex{}
		x.units[name] = unit
	}
	x.lastSequence++
	e.unit, e.sequence = name, x.lastSequence
	unit.entries = append(unit.entries, e)
}

// complete records that an entry has completed or is void, so that it is dropped later.
func (x *index) complete(e *entry, at time.Duration) {
	e.completedAt = at
	x.recordChange(e)
	x.expiry = append(x.expiry, e)
}

// dropExpired drops the entries that completed longer ago than their status can be queried.
func (x *index) dropExpired(now, status time.Duration) {
	count := 0
	for count < len(x.expiry) && now-x.expiry[count].completedAt > status {
		if e := x.expiry[count]; e.callbackOwed && now-e.completedAt < message.OwedCallbackFactor*status {
			break // its callback is still being tried
		}
		x.drop(x.expiry[count])
		count++
	}
	if count > 0 {
		x.expiry = append([]*entry(nil), x.expiry[count:]...)
	}
}

func (x *index) drop(e *entry) {
	if x.entries[e.id] != e {
		return
	}
	delete(x.entries, e.id)
	x.unlink(e)
	unit := x.units[e.unit]
	if unit == nil {
		return
	}
	unit.dropped++
	e.held, e.void = false, true
	if 2*unit.dropped < len(unit.entries) {
		return
	}
	var kept []*entry
	for _, other := range unit.entries {
		if x.entries[other.id] == other {
			kept = append(kept, other)
		}
	}
	unit.entries, unit.dropped = kept, 0
	if len(kept) == 0 {
		delete(x.units, e.unit)
	}
}

// entriesAfter returns the entries of a unit after a sequence number.
func (x *index) entriesAfter(unit string, sequence uint64) []*entry {
	found := x.units[unit]
	if found == nil {
		return nil
	}
	first := sort.Search(len(found.entries), func(i int) bool { return found.entries[i].sequence > sequence })
	return found.entries[first:]
}

// changedSince returns at most limit entries that changed after a change number, in the order of their changes.
func (x *index) changedSince(after uint64, limit int) []*entry {
	first := x.newest
	if first == nil || first.changeNumber <= after {
		return nil
	}
	for first.older != nil && first.older.changeNumber > after {
		first = first.older
	}
	var found []*entry
	for e := first; e != nil && len(found) < limit; e = e.newer {
		found = append(found, e)
	}
	return found
}
