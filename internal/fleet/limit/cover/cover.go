// Package cover stores at the keepers of a fleet how many rights of a limit each member may hold at most, before a
// dealer grants them. A new dealer that has read this from a majority of keepers does not have to wait until
// earlier grants have expired: of a member that has reported it knows what is held, and for the others it reserves
// no more than the cover.
//
// A dealer grants nothing beyond the table that a majority of keepers has. Any two majorities share a keeper, and
// a keeper accepts a table only from the process to which it has promised the post, so the next dealer reads the
// table that its predecessor used at least once. Where keepers have different tables it uses the highest entries.
// A keeper that has just started reports that it knows no table until a dealer has sent one.
//
// A keeper runs a Replica for each limit and the dealer a Book. The package does no I/O and reads no clock.
package cover

import (
	"encoding/binary"
	"hash/fnv"

	"granitewing/internal/fleet/limit/lease"
)

// Table is the maximum number of rights that each process may hold, by Key. A process without an entry holds none.
type Table map[uint64]int64

// Key returns the hash that identifies a process in tables.
func Key(o lease.Owner) uint64 {
	h := fnv.New64a()
	h.Write([]byte(o.Name))
	h.Write(binary.BigEndian.AppendUint64(nil, o.Incarnation))
	return h.Sum64()
}

// Sum returns the total of all entries.
func (t Table) Sum() (n int64) {
	for _, v := range t {
		n += v
	}
	return n
}

// Replica stores the table of one limit at a keeper.
type Replica struct {
	turn, version int64
	known         bool
	table         Table
}

// Put stores a table if it was written for the keeper's current turn, which is now; a later version of the same
// turn is kept. It reports whether the keeper now has this table or a later one.
func (s *Replica) Put(now, turn, version int64, t Table) bool {
	if turn != now {
		return false // of a promise that has ended meanwhile
	}
	if s.turn != turn || version > s.version {
		s.turn, s.version, s.known, s.table = turn, version, true, t
	}
	return true
}

// Look returns the table and whether one is known.
func (s *Replica) Look() (Table, bool) { return s.table, s.known }
