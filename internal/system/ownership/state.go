// Package ownership is the replicated table of who owns the units of a shard: the carrier that orders or paces what belongs to
// a unit, under a fencing token that rises with every change of owner.
//
// Ordering keys are spread over units by the key alone. The order of a key holds whatever route its messages come by and whatever
// service runs them, and a change of the configuration may give a route to another service while messages wait.
package ownership

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// KeyBuckets is the number of units that all ordering keys are spread over.
const KeyBuckets = 16

// Owner of a unit.
type Owner struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Token       uint64
	// Next is the carrier that the owner is asked to hand the unit to; empty where it keeps it.
	Next string
	// Offer rises whenever Next is set or taken back.
	Offer uint64
}

// OlderThan tells whether another record of the same unit is newer.
func (o Owner) OlderThan(other Owner) bool {
	return o.Token < other.Token || o.Token == other.Token && o.Offer < other.Offer
}

// ChangeKind tells changes apart.
type ChangeKind uint8

// The changes.
const (
	Assign  ChangeKind = iota // names the owner of a unit whose former owner is gone
	Offer                     // asks the owner to hand the unit over, or takes that back
	Release                   // the owner hands the unit over: it does nothing more under its token
	Remove                    // no message needs the unit any more
)

// Change of one unit's owner.
type Change struct {
	Kind        ChangeKind
	Unit        string
	Incarnation string // of the new owner, or of the one that it is offered to; empty takes an offer back
	Token       uint64 // of Offer, Release and Remove: the owner's, else nothing changes
	Offer       uint64 // of Offer: the number before it; of Release: the one that is followed
}

// StaleOfferError tells an owner that an offer does not stand any more: the unit stays with it.
type StaleOfferError struct{ Unit string }

func (e *StaleOfferError) Error() string { return "the offer of " + e.Unit + " does not stand" }

// State is the replicated table of one shard.
type State struct {
	owners map[string]Owner
	// removed is the highest token of any unit that was removed: one that comes back begins above it, so that a carrier's
	// view of a unit never goes back.
	removed uint64
}

// snapshot is the form of a State in bytes.
type snapshot struct {
	_msgpack struct{} `msgpack:",as_array"`
	Owners   map[string]Owner
	Removed  uint64
}

// NewState is the empty table.
func NewState() *State { return &State{owners: map[string]Owner{}} }

// MalformedError tells of a snapshot that can't be read.
type MalformedError struct{ Err error }

func (e *MalformedError) Error() string { return fmt.Sprintf("ownership table: %v", e.Err) }

func (e *MalformedError) Unwrap() error { return e.Err }

// Owners gives the table; it must not be changed.
func (s *State) Owners() map[string]Owner { return s.owners }

// Apply carries out changes. The error is that of the last release that came too late.
func (s *State) Apply(changes []Change) error {
	var failure error
	for _, change := range changes {
		if err := s.apply(change); err != nil {
			failure = err
		}
	}
	return failure
}

func (s *State) apply(change Change) error {
	owner := s.owners[change.Unit]
	switch change.Kind {
	case Assign:
		s.owners[change.Unit] = Owner{Incarnation: change.Incarnation, Token: max(owner.Token, s.removed) + 1}
	case Remove:
		if owner.Token == change.Token {
			s.removed = max(s.removed, owner.Token)
			delete(s.owners, change.Unit)
		}
	case Offer:
		if owner.Token == change.Token && owner.Offer == change.Offer {
			owner.Next, owner.Offer = change.Incarnation, owner.Offer+1
			s.owners[change.Unit] = owner
		}
	case Release:
		switch {
		case owner.Token > change.Token:
			return nil // it was released, or given to another, before
		case owner.Token < change.Token || owner.Offer != change.Offer || owner.Next == "":
			return &StaleOfferError{Unit: change.Unit}
		}
		s.owners[change.Unit] = Owner{Incarnation: owner.Next, Token: owner.Token + 1}
	}
	return nil
}

// Snapshot is the whole table in bytes.
func (s *State) Snapshot() ([]byte, error) {
	return msgpack.Marshal(&snapshot{Owners: s.owners, Removed: s.removed})
}

// Restore replaces the table by a snapshot.
func (s *State) Restore(data []byte) error {
	var restored snapshot
	var err error
	if len(data) > 0 && isMap(data[0]) {
		err = msgpack.Unmarshal(data, &restored.Owners) // an earlier build's: the table alone
	} else {
		err = msgpack.Unmarshal(data, &restored)
	}
	if err != nil {
		return &MalformedError{Err: err}
	}
	if restored.Owners == nil {
		restored.Owners = map[string]Owner{}
	}
	s.owners, s.removed = restored.Owners, restored.Removed
	return nil
}

// Prefixes of units' names.
const (
	keyPrefix   = "key/"
	pacedPrefix = "paced/"
)

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

// keyShard is the shard of all units of ordering keys, so that one leader spreads them evenly.
const keyShard = 0

// Shard is the shard of a unit, from 0 up to shards; -1 where the name is no unit's that has an owner.
func Shard(unit string, shards int) int {
	if service, paced := PacedService(unit); paced {
		return int(hash(service) % uint32(shards))
	}
	text, keyed := strings.CutPrefix(unit, keyPrefix)
	if !keyed {
		return -1
	}
	if slash := strings.LastIndexByte(text, '/'); slash > 0 {
		// Earlier builds spread the keys of each service by themselves. What waits in such a unit is on their disks.
		return int(hash(text[:slash]) % uint32(shards))
	}
	if bucket, err := strconv.Atoi(text); err != nil || bucket < 0 || bucket >= KeyBuckets {
		return -1
	}
	return keyShard
}

// KeyUnit is the unit of an ordering key.
func KeyUnit(key string) string { return keyPrefix + strconv.Itoa(int(hash(key)%KeyBuckets)) }

// KeyUnits gives all units of ordering keys.
func KeyUnits() []string {
	units := make([]string, KeyBuckets)
	for bucket := range units {
		units[bucket] = keyPrefix + strconv.Itoa(bucket)
	}
	return units
}

// PacedUnit is the one unit of a service that is paced or has a single endpoint, of what has no order.
func PacedUnit(service string) string { return pacedPrefix + service }

// PacedService is the service of such a unit; false for any other name.
func PacedService(unit string) (service string, paced bool) {
	service, paced = strings.CutPrefix(unit, pacedPrefix)
	return service, paced && service != ""
}

// CarrierUnit is the unit of what a carrier accepted and delivers by itself.
func CarrierUnit(incarnation string) string { return "carrier/" + incarnation }

func hash(text string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(text)) //nolint:errcheck // never fails
	value := h.Sum32()
	value ^= value >> 16
	value *= 0x85ebca6b
	return value ^ value>>13
}
