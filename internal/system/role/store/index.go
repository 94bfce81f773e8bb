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
	place        uint64 // in its unit's list, in the order of joining; 0 while no unit is known
	changed      uint64 // in the order of changes
	older, newer *entry // those that changed just before and just after
	position     segment.Position
	size         uint32
	held         bool // the message's record is on disk at position
	putting      bool // its record is on its way there
	void         bool
	shared       bool // another process was told of it, or may have been in an earlier life: it can't be made void
	phase        message.Phase
	stamp        string
	callback     bool          // its end is owed to a receiver
	callbackOwed bool          // the end is known and was not told
	arrived      time.Duration // on the log's clock, as endedAt
	retention    time.Duration
	endedAt      time.Duration
}

func (e *entry) pending() bool { return e.held && !e.void && e.phase == message.Pending }

// listed tells whether a unit's owner still has something to do for the message.
func (e *entry) listed() bool {
	return e.held && !e.void && (e.phase == message.Pending || e.callbackOwed)
}

// needsBytes tells whether the message's record has to stay.
func (e *entry) needsBytes() bool { return e.listed() || e.held && e.phase == message.DeadLetter }

// unitIndex is the messages of a unit in the order in which they joined it.
type unitIndex struct {
	entries []*entry // ascending by place
	gone    int      // of them, those that the index has forgotten
}

// segmentUse counts what of a segment is needed.
type segmentUse struct{ records, bytes int }

// index is all that a store knows of its messages, in memory.
type index struct {
	entries map[string]*entry
	units   map[string]*unitIndex
	expiry  []*entry // ended and void ones, ascending by the time of their end
	place   uint64
	change  uint64
	newest  *entry // of those that have changed
}

// touch notes that an entry has changed, so that whoever follows the changes is told of it again.
func (x *index) touch(e *entry) {
	x.unlink(e)
	x.change++
	e.changed = x.change
	e.older = x.newest
	if x.newest != nil {
		x.newest.newer = e
	}
	x.newest = e
}

// unlink takes an entry out of the order of changes.
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

// anyPending tells whether some message waits for its end.
func (x *index) anyPending() bool {
	for _, e := range x.entries {
		if e.pending() {
			return true
		}
	}
	return false
}

func (x *index) get(id string) *entry { return x.entries[id] }

// add makes an entry for an id that is not known; its unit may be empty.
func (x *index) add(id, unit string, arrived time.Duration) *entry {
	e := &entry{id: id, arrived: arrived, phase: message.Pending}
	x.entries[id] = e
	x.touch(e)
	x.join(e, unit)
	return e
}

// join puts an entry at the end of its unit's list once the unit is known. An end may come before its message, and names no unit.
func (x *index) join(e *entry, name string) {
	if name == "" || e.unit != "" {
		return
	}
	unit := x.units[name]
	if unit == nil {
		unit = &unitIndex{}
		x.units[name] = unit
	}
	x.place++
	e.unit, e.place = name, x.place
	unit.entries = append(unit.entries, e)
}

// end marks an entry as ended or void, to be forgotten later.
func (x *index) end(e *entry, at time.Duration) {
	e.endedAt = at
	x.touch(e)
	x.expiry = append(x.expiry, e)
}

// forget drops the entries that ended longer ago than their status is asked for.
func (x *index) forget(now, status time.Duration) {
	count := 0
	for count < len(x.expiry) && now-x.expiry[count].endedAt > status {
		if e := x.expiry[count]; e.callbackOwed && now-e.endedAt < message.OwedTimes*status {
			break // its call-back is still tried
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
	unit.gone++
	e.held, e.void = false, true
	if 2*unit.gone < len(unit.entries) {
		return
	}
	var kept []*entry
	for _, other := range unit.entries {
		if x.entries[other.id] == other {
			kept = append(kept, other)
		}
	}
	unit.entries, unit.gone = kept, 0
	if len(kept) == 0 {
		delete(x.units, e.unit)
	}
}

// after gives the entries of a unit behind a place.
func (x *index) after(unit string, place uint64) []*entry {
	found := x.units[unit]
	if found == nil {
		return nil
	}
	first := sort.Search(len(found.entries), func(i int) bool { return found.entries[i].place > place })
	return found.entries[first:]
}

// changedSince gives the entries that have changed behind a point, in the order of their changes, and no more than most.
func (x *index) changedSince(point uint64, most int) []*entry {
	first := x.newest
	if first == nil || first.changed <= point {
		return nil
	}
	for first.older != nil && first.older.changed > point {
		first = first.older
	}
	var found []*entry
	for e := first; e != nil && len(found) < most; e = e.newer {
		found = append(found, e)
	}
	return found
}
