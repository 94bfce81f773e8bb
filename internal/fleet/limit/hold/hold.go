// Package hold gives out slots of hosts together, all or none, for a lease: the parts of a gang run at many hosts at once, and
// where two gangs each had half of what they need, both would wait for ever. One book decides, the dealer's; a member tells it
// all that it wants and has, anew each time, so a message that is lost, late, doubled or overtaken changes nothing twice. It
// does no I/O and reads no clock; times are microseconds on the caller's.
package hold

import "granitewing/internal/fleet/limit/lease"

// State is how far a holder has come.
type State uint8

// The states.
const (
	Want State = iota // it has none of the slots
	Has               // it was given all of them
	Runs              // its parts run there; they go on where the lease ends, so the book counts them whatever it gave
)

// Spot is a slot at a host. What a part sends beyond its rack and its zone, in bytes a second, tells others how full the
// uplinks are.
type Spot struct {
	Host       uint32
	Rack, Zone float32
}

// Item is a set of slots that a member wants or has. Another set is another ID: an answer that was under way for the former one
// must not be taken for this one.
type Item struct {
	ID    uint64
	State State
	Left  int64 // until its parts must have begun, where it wants them; until they are done, where they run
	Run   int64 // for how long its parts will run
	Spots []Spot
}

// Busy is a slot that a gang has, or has asked for and will get first.
type Busy struct {
	Spot
	Left int64 // until it is free, as holders expect
}

// Answer is what the book gives a member: which of the sets that it told are its own for a lease from when it asked, and what
// all others have.
type Answer struct {
	Given []uint64
	Told  bool // Busy is told, to those that want something
	Busy  []Busy
}

// Holding is what a book has given to one member, by what that told last.
type Holding struct {
	Who    lease.Owner
	Number int64 // of that telling
	Items  []Item
}

// Bounds of what a member may tell.
const (
	ItemsMost = 32
	SpotsMost = 2048 // of all its items
	HandMost  = 4096 // spots of a book that is handed over
)

// LapseShare is by how much longer than the lease the book counts what it gave, and a new one what an earlier one may have
// given: two clocks may run apart by so much.
const LapseShare = 0.1

func withClockMargin(of int64) int64 { return of + int64(LapseShare*float64(of)) }

// key names a set of slots over the fleet.
type setKey struct {
	member lease.Owner
	id     uint64
}
