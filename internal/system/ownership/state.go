// Package ownership is the replicated table of the owners of a shard's units. A unit is the part of the messages that
// one carrier at a time orders or rate-limits: a share of the ordering keys (KeyUnit), or the messages of a service that
// is rate-limited or has a single endpoint (ServiceUnit, also called the paced unit of the service). Its owner acts under a fencing token, which rises with every change of
// owner.
//
// State is the table of one shard. The shard's leader computes changes with Assign, Balance and WithdrawOffers,
// replicates them, and every replica carries them out with Apply. A unit moves from a live owner in two steps: an Offer
// names the next owner, and the Release of the current owner makes it the owner.
//
// Ordering keys map to units by the key alone, regardless of route and service: messages of a key keep their order on
// whatever route they arrive and whichever service runs them, and a configuration change may assign a route to another
// service while messages wait.
package ownership

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// KeyBuckets is the number of units over which all ordering keys are spread.
const KeyBuckets = 16

// Owner is the ownership record of a unit: the incarnation of its carrier and the fencing token.
type Owner struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Token       uint64
	// OfferedTo is the incarnation to which the owner is asked to hand over the unit; empty if there is no offer.
	OfferedTo string
	// Offer is a number that rises whenever an offer is made or withdrawn.
	Offer uint64
}

// OlderThan reports whether other is a newer record of the same unit.
func (o Owner) OlderThan(other Owner) bool {
	return o.Token < other.Token || o.Token == other.Token && o.Offer < other.Offer
}

// ChangeKind is the type of a change.
type ChangeKind uint8

// The kinds of changes.
const (
	Assign  ChangeKind = iota // sets the owner of a unit that has none or whose owner is gone
	Offer                     // asks the owner to hand over the unit, or withdraws that
	Release                   // the owner hands over the unit: it does nothing more under its token
	Remove                    // removes a unit that no message needs any more
)

// Change is one change of a unit's ownership record.
type Change struct {
	Kind        ChangeKind
	Unit        string
	Incarnation string // of the new owner, or of the carrier that the unit is offered to; empty withdraws the offer
	Token       uint64 // for Offer, Release and Remove: token of the owner; with another one the change has no effect
	Offer       uint64 // for Offer: number of the previous offer; for Release: number of the offer that is accepted
}

// StaleOfferError is returned for a Release whose offer is no longer valid: the unit stays with its owner.
type StaleOfferError struct{ Unit string }

func (e *StaleOfferError) Error() string {
	return "the offer of " + e.Unit + " does not stand"
}

// State is the replicated table of one shard.
type State struct {
	owners map[string]Owner
	// maxRemovedToken is the highest token of all removed units. A unit that is created again starts above it, so that its
	// token never goes back in the view of any carrier.
	maxRemovedToken uint64
}

// snapshot is the encoded form of a State.
type snapshot struct {
	_msgpack struct{} `msgpack:",as_array"`
	Owners   map[string]Owner
	Removed  uint64
}

// NewState returns an empty table.
func NewState() *State { return &State{owners: map[string]Owner{}} }

// MalformedError reports a snapshot or changes that cannot be encoded or decoded.
type MalformedError struct{ Err error }

func (e *MalformedError) Error() string {
	return fmt.Sprintf("ownership table: %v", e.Err)
}

func (e *MalformedError) Unwrap() error { return e.Err }

// Owners returns the table, by the names of units. The caller must not modify it.
func (s *State) Owners() map[string]Owner { return s.owners }

// Apply carries out the changes in order. Changes that no longer match the table have no effect. The error is the
// StaleOfferError of the last Release whose offer is no longer valid.
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
		s.owners[change.Unit] = Owner{Incarnation: change.Incarnation, Token: max(owner.Token, s.maxRemovedToken) + 1}
	case Remove:
		if owner.Token == change.Token {
			s.maxRemovedToken = max(s.maxRemovedToken, owner.Token)
			delete(s.owners, change.Unit)
		}
	case Offer:
		if owner.Token == change.Token && owner.Offer == change.Offer {
			owner.OfferedTo, owner.Offer = change.Incarnation, owner.Offer+1
			s.owners[change.Unit] = owner
		}
	case Release:
		switch {
		case owner.Token > change.Token:
			return nil // the unit was released or reassigned before
		case owner.Token < change.Token || owner.Offer != change.Offer || owner.OfferedTo == "":
			return &StaleOfferError{Unit: change.Unit}
		}
		s.owners[change.Unit] = Owner{Incarnation: owner.OfferedTo, Token: owner.Token + 1}
	}
	return nil
}

// Snapshot returns the encoded table.
func (s *State) Snapshot() ([]byte, error) {
	return msgpack.Marshal(&snapshot{Owners: s.owners, Removed: s.maxRemovedToken})
}

// Restore replaces the table by a snapshot. The error is a MalformedError; the table is then unchanged.
func (s *State) Restore(data []byte) error {
	var restored snapshot
	var err error
	if len(data) > 0 && isMap(data[0]) {
		err = msgpack.Unmarshal(data, &restored.Owners) // format of earlier builds: the table without the highest removed token
	} else {
		err = msgpack.Unmarshal(data, &restored)
	}
	if err != nil {
		return &MalformedError{Err: err}
	}
	if restored.Owners == nil {
		restored.Owners = map[string]Owner{}
	}
	s.owners, s.maxRemovedToken = restored.Owners, restored.Removed
	return nil
}

// Prefixes of the names of units.
const (
	keyPrefix   = "key/"
	pacedPrefix = "paced/"
)

// isMap reports whether a MessagePack value that starts with this byte is a map.
func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

// keyShard is the shard of all units of ordering keys. They share one so that a single leader balances them.
const keyShard = 0

// Shard returns the shard of a unit, in [0, shards), or -1 if unit is not the name of a unit that can have an owner.
func Shard(unit string, shards int) int {
	if service, paced := ServiceOfUnit(unit); paced {
		return int(hash(service) % uint32(shards))
	}
	text, keyed := strings.CutPrefix(unit, keyPrefix)
	if !keyed {
		return -1
	}
	if slash := strings.LastIndexByte(text, '/'); slash > 0 {
		// Earlier builds had units of ordering keys for each service. Messages on disk may still belong to such a unit.
		return int(hash(text[:slash]) % uint32(shards))
	}
	if bucket, err := strconv.Atoi(text); err != nil || bucket < 0 || bucket >= KeyBuckets {
		return -1
	}
	return keyShard
}

// KeyUnit returns the unit of an ordering key.
func KeyUnit(key string) string { return keyPrefix + strconv.Itoa(int(hash(key)%KeyBuckets)) }

// KeyUnits returns all units of ordering keys.
func KeyUnits() []string {
	units := make([]string, KeyBuckets)
	for bucket := range units {
		units[bucket] = keyPrefix + strconv.Itoa(bucket)
	}
	return units
}

// ServiceUnit returns the single unit of a service that is rate-limited or has a single endpoint. It holds the
// service's messages without an ordering key.
func ServiceUnit(service string) string { return pacedPrefix + service }

// ServiceOfUnit returns the service whose ServiceUnit this is, and false for any other name.
func ServiceOfUnit(unit string) (service string, paced bool) {
	service, paced = strings.CutPrefix(unit, pacedPrefix)
	return service, paced && service != ""
}

// CarrierUnit returns the unit of the messages that a carrier accepted and delivers by itself. It has no entry in the
// table.
func CarrierUnit(incarnation string) string { return "carrier/" + incarnation }

// hash is FNV-1a followed by the first part of the MurmurHash3 finalizer, which mixes the high bits into the low ones.
func hash(text string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(text)) //nolint:errcheck // never fails
	value := h.Sum32()
	value ^= value >> 16
	value *= 0x85ebca6b
	return value ^ value>>13
}
