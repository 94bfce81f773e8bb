// Package session implements the replicated session table of the fleet. It records the members with an open session,
// the roster of disks, the machines that are being retired, and the carriers that have left, each with the carrier
// that adopted its messages.
//
// State is the table. The keepers of the session group apply Commands to it in log order; the result depends on the
// commands alone, so that all replicas stay the same. Snapshot and Restore convert the table from and to bytes. The
// table has no I/O and no clock; whether a session has expired is decided by the leading keeper, which then applies
// Leave.
package session

import (
	"sort"

	"granitewing/internal/system/tolerance"
)

// Role is the role of a member.
type Role string

// The roles whose members open sessions.
const (
	Carrier Role = "carrier" // accepts messages and delivers them to workers
	Store   Role = "store"   // holds messages on a disk
)

// Member is one incarnation of a process in the fleet.
type Member struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Incarnation   string   // drawn at random at each start
	Node          string   // name of the machine
	Role          Role
	Zone          string
	Address       string // of the process's peer listener
	Disk          string // of stores: random identity that is stored on the disk
	BootstrapDisk bool   // of stores: the disk is a bootstrap member of the roster, set up with the system
	Replaces      string // earlier incarnation of this process, whose session was lost
	Stopping      bool   // it is shutting down and hands over what it owns
}

// Departed is a carrier that has left while some of its messages were not complete.
type Departed struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Adopter     string // incarnation of the carrier that took over its messages; empty while there is none
}

// CommandKind is the kind of a Command.
type CommandKind uint8

// The kinds of commands.
const (
	Join             CommandKind = iota + 1 // opens a session
	Leave                                   // ends a session, at its member's request or by expiry
	SettleDeparted                          // all messages of a departed carrier are complete, and it is forgotten
	CountDisk                               // a disk is backfilled from the others, and counts toward the write quorum from now on
	Retire                                  // a machine's disks are to be drained
	DiskDrained                             // all messages on a leaving disk have enough replicas on other disks
	GroupRemovedNode                        // a control group has removed the keeper on a machine that is being retired
	SetTolerance                            // records the tolerance from the keepers' settings
	CancelRetire                            // cancels the retirement of a machine
)

// Command is a change of the table. Which fields are set depends on the kind.
type Command struct {
	Kind        CommandKind
	Member      Member
	Incarnation string
	Adopter     string // of SettleDeparted: incarnation of the carrier that reports it; empty from versions that did not send it
	Disk        string
	Node        string // of Retire, CancelRetire and GroupRemovedNode
	Group       int    // of GroupRemovedNode
	Epoch       uint64 // of DiskDrained: epoch of the roster by which the disk is drained; 0 from versions that did not send it
	Tolerance   *tolerance.Tolerance
}

// State is the session table. It is not safe for concurrent use.
type State struct {
	members         map[string]Member
	departed        map[string]Departed
	disks           map[string]Disk
	epoch           uint64   // of the roster of disks: increases when a disk starts or ceases to count, or starts or stops leaving
	replacedDisks   []string // disks removed from the roster, the most recent last
	retiredMachines []string // machines whose disks are drained, the most recent last
	// retirements holds the machines that are being retired or were retired, by name.
	retirements     map[string]retirement
	retirementCount uint64 // number of retirements ever ordered
	// tolerance determines how many disks must stay, and where; nil until the keepers have recorded it.
	tolerance *tolerance.Tolerance
}

// NewState returns an empty table.
func NewState() *State {
	return &State{members: map[string]Member{}, departed: map[string]Departed{}, disks: map[string]Disk{},
		retirements: map[string]retirement{}}
}

// maxDeparted bounds the departed carriers. Beyond it the one with the lowest incarnation name is dropped. No
// deployment reaches the bound while the carriers that adopt the messages of departed ones complete them and report that
// (SettleDeparted).
const maxDeparted = 4096

// Member returns the member with an open session under an incarnation.
func (s *State) Member(incarnation string) (Member, bool) {
	member, live := s.members[incarnation]
	return member, live
}

// Members returns all members of a role with an open session, sorted by machine name.
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

// Disks returns the roster by disk identity. Callers must not modify it.
func (s *State) Disks() map[string]Disk { return s.disks }

// Epoch returns the epoch of the roster.
func (s *State) Epoch() uint64 { return s.epoch }

// Departed returns the carriers that have left and are not settled, sorted by incarnation.
func (s *State) Departed() []Departed {
	found := make([]Departed, 0, len(s.departed))
	for _, gone := range s.departed {
		found = append(found, gone)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Incarnation < found[j].Incarnation })
	return found
}

// Apply executes a command. The same commands in the same order produce the same table at every replica. An error
// means that the command was refused and has changed nothing.
func (s *State) Apply(command Command) error {
	err := s.execute(command)
	s.reconcileRetirements()
	s.adopt()
	return err
}

// execute executes a command without its consequences for retirements and adoptions.
func (s *State) execute(command Command) error {
	switch command.Kind {
	case Join:
		s.join(command.Member)
	case Leave:
		s.leave(command.Incarnation)
	case SettleDeparted:
		s.settle(command.Incarnation, command.Adopter)
	case CountDisk:
		s.countDisk(command.Disk)
	case Retire:
		return s.retire(command.Node)
	case CancelRetire:
		return s.cancelRetirement(command.Node)
	case DiskDrained:
		s.removeDrainedDisk(command.Disk, command.Epoch)
	case GroupRemovedNode:
		s.groupLeft(command.Node, command.Group)
	case SetTolerance:
		s.tolerance = command.Tolerance
	}
	return nil
}

// join opens a session. It ends other sessions of the same role and machine, and gives a carrier that lost its
// session its messages back.
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

// settle forgets a departed carrier. A report of a carrier that is not its adopter any more changes nothing: the adopter
// may have found messages that the former one had not.
func (s *State) settle(incarnation, adopter string) {
	if adopter == "" || s.departed[incarnation].Adopter == adopter {
		delete(s.departed, incarnation)
	}
}

// leave ends a session. A disk that does not count yet leaves the roster with its store. A carrier becomes departed.
func (s *State) leave(incarnation string) {
	member, live := s.members[incarnation]
	if !live {
		return
	}
	delete(s.members, incarnation)
	if disk, known := s.disks[member.Disk]; known && member.Role == Store && !disk.Counted {
		delete(s.disks, member.Disk)
	}
	s.reassignSpare(member.Disk)
	if member.Role == Carrier {
		s.departed[incarnation] = Departed{Incarnation: incarnation}
	}
	for len(s.departed) > maxDeparted {
		delete(s.departed, s.Departed()[0].Incarnation)
	}
}

// adopt assigns each departed carrier that has no live adopter to the carrier with the fewest adoptions. A live
// adopter keeps its adoptions, as moving them would run messages twice.
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
