// Package session is the replicated table of who is in the fleet: members with a session, stores that ever joined, and
// carriers that have gone, each with the carrier that adopted its messages.
package session

import (
	"sort"

	"granitewing/internal/system/tolerance"
)

// Role of a member.
type Role string

// The roles that keep sessions.
const (
	Carrier Role = "carrier"
	Store   Role = "store"
)

// Member is one life of a process in the fleet.
type Member struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string   // drawn at each start
	Node        string   // the machine's name
	Role        Role
	Zone        string
	Address     string // of its peer listener
	Disk        string // identity drawn on the disk, of stores
	Founder     bool   // of stores: the disk is as old as the system
	Replaces    string // incarnation that this process had before its session was lost
	Stopping    bool   // it was asked to stop, and hands over what it owns
}

// Departed is a carrier that has gone and left messages.
type Departed struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Adopter     string // incarnation of the carrier that carries on; empty while there is none
}

// CommandKind tells commands apart.
type CommandKind uint8

// The commands of the table.
const (
	Join         CommandKind = iota + 1
	Leave                    // by itself or by expiry
	Settled                  // a departed carrier's messages have all ended
	Count                    // a disk holds copies of all that the others hold, and counts from now on
	Retire                   // a machine's disks are to be emptied
	DiskEmptied              // all that lies on a leaving disk lies on enough others
	GroupLeft                // a control group does without a machine that is being emptied
	Tolerate                 // what may be lost at one time, as the keepers' settings have it
	CancelRetire             // a machine that is being emptied is to stay
)

// Command changes the table.
type Command struct {
	Kind        CommandKind
	Member      Member
	Incarnation string
	Disk        string
	Node        string // of Retire, CancelRetire and GroupLeft
	Group       int    // of GroupLeft
	Epoch       uint64 // of DiskEmptied: of the roster by which the disk is empty
	Tolerance   *tolerance.Tolerance
}

// State is the replicated table.
type State struct {
	members  map[string]Member
	departed map[string]Departed
	disks    map[string]Disk
	epoch    uint64   // of the roster of disks: rises whenever a disk begins or ceases to count
	replaced []string // disks that another took the place of, the latest last
	retired  []string // machines whose disks are empty, the latest last
	// retirements has the machines that are being emptied, or were, by name.
	retirements map[string]retirement
	turns       uint64 // retirements that were ever asked for
	// tolerance says how many disks must stay; nil before the keepers have told it.
	tolerance *tolerance.Tolerance
}

// NewState is the empty table.
func NewState() *State {
	return &State{members: map[string]Member{}, departed: map[string]Departed{}, disks: map[string]Disk{},
		retirements: map[string]retirement{}}
}

// maxDeparted bounds the departed; past it the oldest name goes first, which no deployment reaches while adopters settle.
const maxDeparted = 4096

// Member gives a live member.
func (s *State) Member(incarnation string) (Member, bool) {
	member, live := s.members[incarnation]
	return member, live
}

// Members gives all live members of a role, sorted by node.
func (s *State) Members(role Role) []Member {
	var found []Member
	for _, member := range s.members {
		if member.Role == role {
			found = append(found, member)
		}
	}
	sort.Slice(found, func(i, j int) bool {
		if found[i].Node != found[j].Node {
			return found[i].Node < found[j].Node
		}
		return found[i].Incarnation < found[j].Incarnation
	})
	return found
}

// Disks gives the roster by identity; it must not be changed.
func (s *State) Disks() map[string]Disk { return s.disks }

// Epoch is the roster's epoch.
func (s *State) Epoch() uint64 { return s.epoch }

// Departed gives the carriers that have gone and are not settled, sorted.
func (s *State) Departed() []Departed {
	found := make([]Departed, 0, len(s.departed))
	for _, gone := range s.departed {
		found = append(found, gone)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Incarnation < found[j].Incarnation })
	return found
}

// Apply carries out a command. The same commands in the same order give the same table everywhere. An error tells that the command
// was refused and has changed nothing.
func (s *State) Apply(command Command) error {
	err := s.carryOut(command)
	s.settleRetirements()
	s.adopt()
	return err
}

func (s *State) carryOut(command Command) error {
	switch command.Kind {
	case Join:
		s.join(command.Member)
	case Leave:
		s.leave(command.Incarnation)
	case Settled:
		delete(s.departed, command.Incarnation)
	case Count:
		s.count(command.Disk)
	case Retire:
		return s.retire(command.Node)
	case CancelRetire:
		return s.cancelRetirement(command.Node)
	case DiskEmptied:
		s.emptied(command.Disk, command.Epoch)
	case GroupLeft:
		s.groupLeft(command.Node, command.Group)
	case Tolerate:
		s.tolerance = command.Tolerance
	}
	return nil
}

func (s *State) join(member Member) {
	for _, other := range s.Members(member.Role) {
		if other.Node == member.Node && other.Incarnation != member.Incarnation {
			s.leave(other.Incarnation)
		}
	}
	s.members[member.Incarnation] = member
	if member.Role == Store {
		s.joinDisk(member)
	}
	if gone, known := s.departed[member.Replaces]; known {
		gone.Adopter = member.Incarnation
		s.departed[member.Replaces] = gone
	}
}

func (s *State) leave(incarnation string) {
	member, live := s.members[incarnation]
	if !live {
		return
	}
	delete(s.members, incarnation)
	if disk, known := s.disks[member.Disk]; known && member.Role == Store && !disk.Counted {
		delete(s.disks, member.Disk)
	}
	s.passSpare(member.Disk)
	if member.Role == Carrier {
		s.departed[incarnation] = Departed{Incarnation: incarnation}
	}
	for len(s.departed) > maxDeparted {
		delete(s.departed, s.Departed()[0].Incarnation)
	}
}

// adopt gives each departed carrier without a live adopter to the carrier that adopted the fewest. An adopter that
// lives keeps what it has: moving it would run messages twice.
func (s *State) adopt() {
	carriers := s.Members(Carrier)
	if len(carriers) == 0 {
		return
	}
	load := map[string]int{}
	for _, gone := range s.departed {
		load[gone.Adopter]++
	}
	for _, gone := range s.Departed() {
		if _, live := s.members[gone.Adopter]; live {
			continue
		}
		least := carriers[0].Incarnation
		for _, carrier := range carriers {
			if load[carrier.Incarnation] < load[least] {
				least = carrier.Incarnation
			}
		}
		load[least]++
		gone.Adopter = least
		s.departed[gone.Incarnation] = gone
	}
}
