// Package ownership is the replicated table of who owns the units of a shard of services: the carrier that orders and
// paces what belongs to a unit, under a fencing token that rises with every change of owner.
package ownership

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// BucketsOfOrderedService is the number of units that the ordering keys of a service are spread over.
const BucketsOfOrderedService = 8

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
)

// Change of one unit's owner.
type Change struct {
	Kind        ChangeKind
	Unit        string
	Incarnation string // of the new owner, or of the one that it is offered to; empty takes an offer back
	Token       uint64 // of Offer and Release: the owner's, else nothing changes
	Offer       uint64 // of Offer: the number before it; of Release: the one that is followed
}

// StaleOfferError tells an owner that an offer does not stand any more: the unit stays with it.
type StaleOfferError struct{ Unit string }

func (e *StaleOfferError) Error() string { return "the offer of " + e.Unit + " does not stand" }

// State is the replicated table of one shard.
type State struct{ owners map[string]Owner }

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
		s.owners[change.Unit] = Owner{Incarnation: change.Incarnation, Token: owner.Token + 1}
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
func (s *State) Snapshot() ([]byte, error) { return msgpack.Marshal(s.owners) }

// Restore replaces the table by a snapshot.
func (s *State) Restore(data []byte) error {
	owners := map[string]Owner{}
	if err := msgpack.Unmarshal(data, &owners); err != nil {
		return &MalformedError{Err: err}
	}
	s.owners = owners
	return nil
}

// Shard is the shard of a service, from 0 up to shards.
func Shard(service string, shards int) int { return int(hash(service) % uint32(shards)) }

// KeyUnit is the unit of an ordering key of a service.
func KeyUnit(service, key string) string {
	return bucketUnit(service, int(hash(key)%BucketsOfOrderedService))
}

// KeyUnits gives all units of an ordered service.
func KeyUnits(service string) []string {
	units := make([]string, BucketsOfOrderedService)
	for bucket := range units {
		units[bucket] = bucketUnit(service, bucket)
	}
	return units
}

// Prefixes of units' names.
const (
	keyPrefix   = "key/"
	pacedPrefix = "paced/"
)

func bucketUnit(service string, bucket int) string {
	return fmt.Sprintf("%s%s/%d", keyPrefix, service, bucket)
}

// PacedUnit is the one unit of a service that is paced or has a single endpoint.
func PacedUnit(service string) string { return pacedPrefix + service }

// ServiceOf is the service of a unit of keys or of a paced service, empty for any other name.
func ServiceOf(unit string) string {
	if service, paced := strings.CutPrefix(unit, pacedPrefix); paced {
		return service
	}
	rest, keyed := strings.CutPrefix(unit, keyPrefix)
	if at := strings.LastIndexByte(rest, '/'); keyed && at > 0 {
		return rest[:at]
	}
	return ""
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
