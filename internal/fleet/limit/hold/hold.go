// Package hold reserves slots of several hosts together, all or none, for the length of a lease. The parts of a
// gang run at many hosts at once, and two gangs that each had half of the slots they need would wait for ever.
//
// One Book decides, at the dealer. A Holder at each member reports everything that it wants and has with each ask,
// so a message that is lost, late, duplicated or reordered changes nothing twice. The package does no I/O and
// reads no clock; times are microseconds on the caller's clock.
package hold

import "granitewing/internal/fleet/limit/lease"

// State is the progress of a set of slots at its holder.
type State uint8

// The states.
const (
	Want State = iota // the holder has none of the slots
	Has               // the holder was granted all of them
	Runs              // its parts run; they go on when the lease ends, so the book counts them whatever it has granted
)

// Spot is one slot at a host, unlike topology.Spot, which is a host's location. Rack and Zone are the bytes a second
// that its part sends beyond its rack and its zone; from them others learn how full the uplinks are.
type Spot struct {
	Host       uint32
	Rack, Zone float32
}

// Item is a set of slots that a member wants or has. Each new set needs a new ID: otherwise an answer under way
// for the former set could be taken for the new one.
type Item struct {
	ID    uint64
	State State
	Left  int64 // time until the parts must have begun (Want, Has), or until they are done (Runs)
	Run   int64 // run time of the parts
	Spots []Spot
}

// Busy is a slot that a gang has, or has asked for and will get first.
type Busy struct {
	Spot
	Left int64 // expected time until it is free
}

// Answer is the book's answer to a member: the IDs of the sets that are its own for a lease from when it asked,
// and the slots of all others.
type Answer struct {
	Given        []uint64
	BusyIncluded bool // Busy is set, for members that want something
	Busy         []Busy
}

// Holding is what a book has granted to one member, as of the member's last report.
type Holding struct {
	Who    lease.Owner
	Number int64 // of that report
	Items  []Item
}

// Limits of a member's report.
const (
	MaxItems         = 32
	MaxSpots         = 2048 // in all items together
	MaxHandoverSpots = 4096 // spots in a book that is handed over
)

// ClockMargin is by how much longer than the lease the book counts its grants, and a new book those of an earlier
// one, as a share of the lease: two clocks may differ in speed by this much.
const ClockMargin = 0.1

func withClockMargin(of int64) int64 { return of + int64(ClockMargin*float64(of)) }

// setKey identifies a set of slots in the fleet.
type setKey struct {
	member lease.Owner
	id     uint64
}
