// Package feed provides a table of key-value pairs with a log of its changes, to which other processes subscribe.
//
// A subscriber bootstraps from a snapshot of the Table and then follows the changes from its Position, an offset in the
// log. One that is too far behind, or whose position belongs to another epoch of the table, gets a new snapshot. Each
// Update carries either a snapshot or changes. The package sends nothing itself.
package feed

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// maxChanges is the number of changes that the log keeps at least for subscribers that are behind. It holds up to twice
// as many before it is truncated.
const maxChanges = 4096

// Change sets a key, or deletes it if Value is nil.
type Change struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	Value    []byte
}

// Position is a subscriber's position in the log of a table. The zero value is the position before any snapshot.
type Position struct {
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    string   // of the table that the offset belongs to
	Offset   uint64   // number of changes applied since the table was made
}

// Update brings a subscriber to a later position, by changes or by a snapshot.
type Update struct {
	_msgpack struct{} `msgpack:",as_array"`
	Position Position // after the update
	Base     Position // before the first change; unset in a snapshot
	Snapshot bool     // the update is a snapshot: keys that are not among the changes no longer exist
	Changes  []Change
}

// AppliesAt reports whether a subscriber at a position can apply the update, which brings it forward or leaves it where
// it is. The changes may begin before the position: each one sets or deletes a key, so that applying some of them again
// yields the same table, as long as the update also contains every later change up to the position.
func (u *Update) AppliesAt(position Position) bool {
	if u.Snapshot {
		return true
	}
	return u.Base.Epoch == position.Epoch && u.Base.Offset <= position.Offset && position.Offset <= u.Position.Offset
}

// Table is the source of a feed. It is not safe for concurrent use.
type Table struct {
	epoch   string
	offset  uint64 // of the latest change
	values  *iradix.Tree[[]byte]
	changes []Change // the latest ones, in order; the last one has the offset above
}

// NewTable returns an empty table. The epoch must differ from that of every other table that a subscriber may have
// followed, such as one of an earlier incarnation of the process.
func NewTable(epoch string) *Table { return &Table{epoch: epoch, values: iradix.New[[]byte]()} }

// Set sets a key. It logs no change if the key has that value already.
func (t *Table) Set(key string, value []byte) {
	if old, exists := t.values.Get([]byte(key)); exists && string(old) == string(value) {
		return
	}
	t.values, _, _ = t.values.Insert([]byte(key), value)
	t.appendChange(Change{Key: key, Value: value})
}

// Delete removes a key. It logs no change if there is no such key.
func (t *Table) Delete(key string) {
	values, _, existed := t.values.Delete([]byte(key))
	if !existed {
		return
	}
	t.values = values
	t.appendChange(Change{Key: key})
}

// appendChange appends a change to the log and drops the oldest ones once it has more than twice maxChanges.
func (t *Table) appendChange(change Change) {
	t.offset++
	t.changes = append(t.changes, change)
	if len(t.changes) > 2*maxChanges {
		t.changes = append([]Change(nil), t.changes[maxChanges:]...)
	}
}

// Keys returns all keys with a prefix, in ascending order.
func (t *Table) Keys(prefix string) []string {
	var keys []string
	t.values.Root().WalkPrefix([]byte(prefix), func(key []byte, _ []byte) bool {
		keys = append(keys, string(key))
		return false
	})
	return keys
}

// Offset returns the offset of the latest change, 0 before the first one.
func (t *Table) Offset() uint64 { return t.offset }

// CanResume reports whether the log still has all changes after a position. A subscriber at any other position needs a
// snapshot.
func (t *Table) CanResume(position Position) bool {
	oldest := t.offset - uint64(len(t.changes))
	return position.Epoch == t.epoch && position.Offset >= oldest && position.Offset <= t.offset
}

// UpdateSince returns the update that brings a subscriber at a position to the latest one: the changes after its
// position, or a snapshot if the log does not reach back to it.
func (t *Table) UpdateSince(position Position) Update {
	update := Update{Position: Position{Epoch: t.epoch, Offset: t.offset}}
	oldest := t.offset - uint64(len(t.changes))
	if t.CanResume(position) {
		update.Base = position
		update.Changes = append(update.Changes, t.changes[position.Offset-oldest:]...)
		return update
	}
	update.Snapshot = true
	t.values.Root().Walk(func(key []byte, value []byte) bool {
		update.Changes = append(update.Changes, Change{Key: string(key), Value: value})
		return false
	})
	return update
}
