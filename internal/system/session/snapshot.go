package session

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/tolerance"
)

// MalformedError tells of a command or snapshot that can't be read.
type MalformedError struct{ Err error }

func (e *MalformedError) Error() string { return fmt.Sprintf("session table: %v", e.Err) }

func (e *MalformedError) Unwrap() error { return e.Err }

type stored struct {
	Members  map[string]Member
	Departed map[string]Departed
	Disks    map[string]Disk
	Epoch    uint64
	Replaced []string
	Retired  []string
	// Retirements is not there in snapshots of earlier versions.
	Retirements map[string]retirement
	// What follows is not there in snapshots of versions that let each order to empty a machine begin at once.
	Turns     uint64
	Tolerance *tolerance.Tolerance
}

// Snapshot is the whole table in bytes.
func (s *State) Snapshot() ([]byte, error) {
	return msgpack.Marshal(&stored{Members: s.members, Departed: s.departed, Disks: s.disks, Epoch: s.epoch,
		Replaced: s.replaced, Retired: s.retired, Retirements: s.retirements,
		Turns: s.turns, Tolerance: s.tolerance})
}

// Restore replaces the table by a snapshot.
func (s *State) Restore(data []byte) error {
	var form stored
	if err := msgpack.Unmarshal(data, &form); err != nil {
		return &MalformedError{Err: err}
	}
	fresh := NewState()
	for incarnation, member := range form.Members {
		fresh.members[incarnation] = member
	}
	for incarnation, gone := range form.Departed {
		fresh.departed[incarnation] = gone
	}
	for id, disk := range form.Disks {
		fresh.disks[id] = disk
	}
	for node, entry := range form.Retirements {
		fresh.retirements[node] = entry
	}
	fresh.epoch, fresh.replaced, fresh.retired = form.Epoch, form.Replaced, form.Retired
	fresh.turns, fresh.tolerance = form.Turns, form.Tolerance
	fresh.knowRetirements()
	*s = *fresh
	return nil
}

// knowRetirements makes what a snapshot of an earlier version lacks.
func (s *State) knowRetirements() {
	for _, disk := range s.disks {
		if _, known := s.retirements[disk.Member.Node]; disk.Leaving && !known {
			s.retirements[disk.Member.Node] = retirement{Address: disk.Member.Address}
		}
	}
	for _, node := range s.retired {
		if _, known := s.retirements[node]; !known {
			s.retirements[node] = retirement{}
		}
	}
}
