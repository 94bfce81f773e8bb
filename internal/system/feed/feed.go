// Package feed is a table of keyed values with a log of its changes. A subscriber bootstraps from a snapshot and tails
// the changes from an offset; one that is too far behind, or has offsets of another life, gets a new snapshot.
package feed

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// maxChanges is the number of changes that are kept for subscribers that are behind.
const maxChanges = 4096

// Change sets a key, or deletes it where Value is nil.
type Change struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	Value    []byte
}

// Position of a subscriber.
type Position struct {
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    string   // of the table's life
	Offset   uint64
}

// Update brings a subscriber from its position to another.
type Update struct {
	_msgpack struct{} `msgpack:",as_array"`
	Position Position
	Base     Position // that the changes follow, where they are not the whole
	Whole    bool     // the changes are all there is: what isn't named is gone
	Changes  []Change
}

// AppliesAt tells whether an update brings a subscriber at a position further, or leaves it there. Its changes may begin before
// the position: each sets or deletes a key, so that carrying some out once more ends in the same table, as long as none that followed
// them is missing.
func (u *Update) AppliesAt(position Position) bool {
	if u.Whole {
		return true
	}
	return u.Base.Epoch == position.Epoch && u.Base.Offset <= position.Offset && position.Offset <= u.Position.Offset
}

// Table is the source of a feed. It belongs to one goroutine.
type Table struct {
	epoch   string
	offset  uint64 // of the latest change
	values  *iradix.Tree[[]byte]
	changes []Change // the latest ones; the last has offset
}

// NewTable makes an empty table; epoch must differ from that of any other life.
func NewTable(epoch string) *Table { return &Table{epoch: epoch, values: iradix.New[[]byte]()} }

// Set sets a key; nothing happens where it has that value.
func (t *Table) Set(key string, value []byte) {
	if old, held := t.values.Get([]byte(key)); held && string(old) == string(value) {
		return
	}
	t.values, _, _ = t.values.Insert([]byte(key), value)
	t.log(Change{Key: key, Value: value})
}

// Delete removes a key.
func (t *Table) Delete(key string) {
	values, _, held := t.values.Delete([]byte(key))
	if !held {
		return
	}
	t.values = values
	t.log(Change{Key: key})
}

func (t *Table) log(change Change) {
	t.offset++
	t.changes = append(t.changes, change)
	if len(t.changes) > 2*maxChanges {
		t.changes = append([]Change(nil), t.changes[maxChanges:]...)
	}
}

// Keys gives all keys with a prefix.
func (t *Table) Keys(prefix string) []string {
	var keys []string
	t.values.Root().WalkPrefix([]byte(prefix), func(key []byte, _ []byte) bool {
		keys = append(keys, string(key))
		return false
	})
	return keys
}

// Offset is the offset of the latest change.
func (t *Table) Offset() uint64 { return t.offset }

// Reaches tells whether the changes behind a position are still known; who is elsewhere is given the whole table.
func (t *Table) Reaches(position Position) bool {
	oldest := t.offset - uint64(len(t.changes))
	return position.Epoch == t.epoch && position.Offset >= oldest && position.Offset <= t.offset
}

// Since gives what a subscriber at a position lacks.
func (t *Table) Since(position Position) Update {
	update := Update{Position: Position{Epoch: t.epoch, Offset: t.offset}}
	oldest := t.offset - uint64(len(t.changes))
	if t.Reaches(position) {
		update.Base = position
		update.Changes = append(update.Changes, t.changes[position.Offset-oldest:]...)
		return update
	}
	update.Whole = true
	t.values.Root().Walk(func(key []byte, value []byte) bool {
		update.Changes = append(update.Changes, Change{Key: string(key), Value: value})
		return false
	})
	return update
}
