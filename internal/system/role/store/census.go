package store

import (
	"sort"

	"granitewing/internal/system/member"
	"granitewing/internal/system/session"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// census knows which disks hold what, from the lists of their stores. It has an entry for each message that any of them
// knows, which the time for which states are asked bounds.
type census struct {
	tolerance *tolerance.Tolerance
	disks     []string              // by number
	numbers   map[string]diskNumber // of the disks
	messages  map[string][]replica
	sources   map[string]*heldSource // by incarnation: the places of a list are those of one life
}

// diskNumber is the place of a disk in a census.
type diskNumber uint16

// replica is what one disk holds of a message.
type replica struct {
	disk  diskNumber
	state wire.HeldState
}

// heldSource is how far the list of one store was read.
type heldSource struct {
	after uint64
	epoch uint64 // as the store told it when it last had no more
	done  bool   // it had no more
	busy  bool
	lost  bool // another disk's store answers at the machine's address
}

func newCensus(tolerated *tolerance.Tolerance) *census {
	return &census{tolerance: tolerated, numbers: map[string]diskNumber{}, messages: map[string][]replica{},
		sources: map[string]*heldSource{}}
}

// source gives how far a store's list was read.
func (c *census) source(incarnation string) *heldSource {
	source := c.sources[incarnation]
	if source == nil {
		source = &heldSource{}
		c.sources[incarnation] = source
	}
	return source
}

// told tells whether a store's list was read to its end, with all that was taken for rosters older than one.
func (s *heldSource) told(epoch uint64) bool { return s.done && s.epoch >= epoch }

// take adds a part of a store's list.
func (c *census) take(disk string, source *heldSource, answer *wire.HeldAnswer) {
	for i, id := range answer.IDs[:min(len(answer.IDs), len(answer.States))] {
		c.note(disk, id, answer.States[i])
	}
	source.after, source.done, source.epoch = answer.Next, !answer.More, answer.Epoch
}

// note has the census know what a disk holds of a message.
func (c *census) note(disk, id string, state wire.HeldState) {
	number, known := c.numbers[disk]
	if !known {
		number = diskNumber(len(c.disks))
		c.numbers[disk] = number
		c.disks = append(c.disks, disk)
	}
	replicas := c.messages[id]
	for i := range replicas {
		if replicas[i].disk == number {
			replicas[i].state = state
			return
		}
	}
	c.messages[id] = append(replicas, replica{disk: number, state: state})
}

// state is what a disk holds of a message.
func (c *census) state(disk, id string) wire.HeldState {
	number, known := c.numbers[disk]
	if !known {
		return 0
	}
	for _, r := range c.messages[id] {
		if r.disk == number {
			return r.state
		}
	}
	return 0
}

// wanted is what has to be held of a message on enough disks: what those hold that know most of it. A disk that has not
// heard that an end was told knows less of it than one that has.
func wanted(replicas []replica) wire.HeldState {
	var pending, owed, told wire.HeldState
	for _, r := range replicas {
		switch {
		case r.state.Has(wire.HeldVoid):
			return wire.HeldVoid
		case r.state.Has(wire.HeldEnd | wire.HeldOwed):
			owed |= r.state
		case r.state.Has(wire.HeldEnd):
			told |= r.state
		default:
			pending |= r.state
		}
	}
	switch {
	case told != 0:
		return told
	case owed != 0:
		return owed
	}
	return pending
}

// shortage is a message that lies on too few disks.
type shortage struct {
	id      string
	wanted  wire.HeldState
	holders []string // disks of the roster that hold it and stay
}

// zones gives the zones of the holders.
func (s *shortage) zones(view *member.View) []string {
	zones := make([]string, 0, len(s.holders))
	for _, disk := range s.holders {
		zones = append(zones, view.Disks[disk].Member.Zone)
	}
	return zones
}

// holds tells whether a disk of the roster holds messages that are counted on.
func holds(disk session.Disk) bool { return disk.Counted && !disk.Leaving }

// shortages gives the messages that lie on too few of a roster's disks, those on the fewest first. What disks knew that are
// out of the roster is not asked for: nobody may have it any more.
func (c *census) shortages(view *member.View) []shortage {
	present, staying := make([]bool, len(c.disks)), make([]bool, len(c.disks))
	for number, name := range c.disks {
		disk, known := view.Disks[name]
		present[number], staying[number] = known, holds(disk)
	}
	var found []shortage
	var replicas []replica
	for id, all := range c.messages {
		replicas = replicas[:0]
		for _, r := range all {
			if present[r.disk] {
				replicas = append(replicas, r)
			}
		}
		lacking := shortage{id: id, wanted: wanted(replicas)}
		if lacking.wanted == 0 {
			continue
		}
		for _, r := range replicas {
			if staying[r.disk] && r.state.Has(lacking.wanted) {
				lacking.holders = append(lacking.holders, c.disks[r.disk])
			}
		}
		if !c.tolerance.Enough(lacking.zones(view)) {
			found = append(found, lacking)
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
