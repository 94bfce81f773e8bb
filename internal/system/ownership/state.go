// Package ownership is the replicated table of who owns the units of a shard of services: the carrier that orders and
// paces what belongs to a unit, under a fencing token that rises with every change of owner.
package ownership

import (
	"fmt"
	"hash/fnv"
	"sort"

	"github.com/vmihailenco/msgpack/v5"
)

// BucketsOfOrderedService is the number of units that the ordering keys of a service are spread over.
const BucketsOfOrderedService = 8

// Owner of a unit.
type Owner struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Token       uint64
}

// Assignment gives a unit to a carrier.
type Assignment struct {
	Unit        string
	Incarnation string
}

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

// Apply carries out assignments; each raises its unit's token.
func (s *State) Apply(assignments []Assignment) {
	for _, assignment := range assignments {
		token := s.owners[assignment.Unit].Token + 1
		s.owners[assignment.Unit] = Owner{Incarnation: assignment.Incarnation, Token: token}
	}
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

// Assign names an owner for each unit whose owner is not live, the carrier that owns fewest first. Units that have a
// live owner stay where they are.
func (s *State) Assign(units []string, live []string) []Assignment {
	if len(live) == 0 {
		return nil
	}
	load := map[string]int{}
	for _, incarnation := range live {
		load[incarnation] = 0
	}
	var without []string
	for _, unit := range units {
		owner, owned := s.owners[unit]
		if _, isLive := load[owner.Incarnation]; owned && isLive {
			load[owner.Incarnation]++
			continue
		}
		without = append(without, unit)
	}
	sort.Strings(without)
	assignments := make([]Assignment, 0, len(without))
	for _, unit := range without {
		least := live[0]
		for _, incarnation := range live {
			if load[incarnation] < load[least] {
				least = incarnation
			}
		}
		load[least]++
		assignments = append(assignments, Assignment{Unit: unit, Incarnation: least})
	}
	return assignments
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

func bucketUnit(service string, bucket int) string { return fmt.Sprintf("key/%s/%d", service, bucket) }

// PacedUnit is the one unit of a service that is paced or has a single endpoint.
func PacedUnit(service string) string { return "paced/" + service }

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
