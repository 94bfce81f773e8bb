package session

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/tolerance"
)

// MalformedError reports a command or snapshot that can't be encoded or decoded.
type MalformedError struct{ Err error }

func (e *MalformedError) Error() string { return fmt.Sprintf("session table: %v", e.Err) }

func (e *MalformedError) Unwrap() error { return e.Err }

// stored is the encoded form of the table. The field names are part of the format.
type stored struct {
	Members  map[string]Member
	Departed map[string]Departed
	Disks    map[string]Disk
	Epoch    uint64
	Replaced []string
	Retired  []string
	// Retirements is missing from snapshots of earlier versions.
	Retirements map[string]retirement
	// The following fields are missing from snapshots of versions that started every drain at once.
	Turns     uint64
	Tolerance *tolerance.Tolerance
}

// Snapshot encodes the whole table.
func (s *State) Snapshot() ([]byte, error) {
	return msgpack.Marshal(&stored{Members: s.members, Departed: s.departed, Disks: s.disks, Epoch: s.epoch,
		Replaced: s.replacedDisks, Retired: s.retiredMachines, Retirements: s.retirements,
		Turns: s.retirementCount, Tolerance: s.tolerance})
}

// Restore replaces the table by a snapshot. It returns a MalformedError, and leaves the table as it is, if the
// snapshot can't be decoded.
func (s *State) Restore(data []byte) error {
	var form stored
	if err := msgpack.Unmarshal(data, &form); err != nil {
		return &MalformedError{Err: err}
	}
	fresh := NewState()
	for incarnation, member := range form.Members {
		fresh.members[incarnation] = member
	}
	for incarnation, departed := range form.Departed {
		fresh.departed[incarnation] = departed
	}
	for id, disk := range form.Disks {
		fresh.disks[id] = disk
	}
	for node, entry := range form.Retirements {
		fresh.retirements[node] = entry
	}
	fresh.epoch, fresh.replacedDisks, fresh.retiredMachines = form.Epoch, form.Replaced, form.Retired
	fresh.retirementCount, fresh.tolerance = form.Turns, form.Tolerance
	fresh.fillRetirements()
	*s = *fresh
	return nil
}

// fillRetirements adds the retirements that are missing from a snapshot of an earlier version.
func (s *State) fillRetirements() {
	for _, disk := range s.disks {
		if _, known := s.retirements[disk.Member.Node]; disk.Leaving && !known {
			s.retirements[disk.Member.Node] = retirement{Address: disk.Member.Address}
		}
	}
	for _, node := range s.retiredMachines {
		if _, known := s.retirements[node]; !known {
			s.retirements[node] = retirement{}
		}
	}
}
