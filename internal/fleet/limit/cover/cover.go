// Package cover has the keepers of a fleet know, before a dealer gives a right, how many rights each member may hold at
// most. So the next dealer, once it has what a majority of them knows, need not wait until nothing of before can be in use:
// of a member that it has heard it knows what is, and of one that it has not it holds back no more than the cover.
//
// A dealer gives nothing past the cover that a majority keeps. Any two majorities share a keeper, and a keeper takes a table
// only from the one to whom it has promised the post, so the next dealer meets what the one before used at least once; where
// keepers know different tables it goes by the most. A keeper that has just started knows nothing, and says so, until a
// dealer has told it. The package does no I/O and reads no clock.
package cover

import (
	"encoding/binary"
	"hash/fnv"

	"granitewing/internal/fleet/limit/lease"
)

// Table has the most rights that each process may hold, by its key. One that it does not have holds none.
type Table map[uint64]int64

// Key is a process as tables have it.
func Key(o lease.Owner) uint64 {
	h := fnv.New64a()
	h.Write([]byte(o.Name))
	h.Write(binary.BigEndian.AppendUint64(nil, o.Incarnation))
	return h.Sum64()
}

// Sum is how many rights all of them may hold.
func (t Table) Sum() (n int64) {
	for _, v := range t {
		n += v
	}
	return n
}

// Shelf is where a keeper has the table of one limit.
type Shelf struct {
	turn, version int64
	known         bool
	table         Table
}

// Put takes a table of the one to whom the post is promised here, if it was written within the turn in which it is; a later
// one of the turn stays. It tells whether the keeper has this table or a later one.
func (s *Shelf) Put(now, turn, version int64, t Table) bool {
	if turn != now {
		return false // of a promise that has ended meanwhile
	}
	if s.turn != turn || version > s.version {
		s.turn, s.version, s.known, s.table = turn, version, true, t
	}
	return true
}

// Look gives the table, and whether it is known at all.
func (s *Shelf) Look() (Table, bool) { return s.table, s.known }
