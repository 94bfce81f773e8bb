package configuration

import (
	"crypto/sha256"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// maxHistory bounds the orders that are remembered, so that a repeat of any of them is acknowledged again.
const maxHistory = 8192

// Order is a configuration that an operator sends, and the version that it builds on.
type Order struct {
	Base uint64
	Raw  []byte
}

// ConflictError answers an order that builds on another version than the current one.
type ConflictError struct{ Current, Base uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d is in place, the order builds on %d", e.Current, e.Base)
}

// taken is one order that was committed.
type taken struct {
	Version uint64
	Hash    [sha256.Size]byte
}

// State is the replicated state of the configuration shard.
type State struct {
	current *Document
	history []taken // ascending by version
	hashes  map[[sha256.Size]byte]uint64
}

// NewState is the state before the first order.
func NewState() *State { return &State{hashes: map[[sha256.Size]byte]uint64{}} }

// Current is the newest configuration, nil before the first.
func (s *State) Current() *Document { return s.current }

// Version is the current version, 0 before the first.
func (s *State) Version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version
}

// Check judges an order against the state: nil and true where this very order was taken already, nil and false where
// it can be taken, else an error.
func (s *State) Check(order Order) (known bool, err error) {
	if _, known := s.hashes[sha256.Sum256(order.Raw)]; known {
		return true, nil
	}
	document, err := Parse(order.Raw)
	if err != nil {
		return false, err
	}
	if order.Base != s.Version() {
		return false, &ConflictError{Current: s.Version(), Base: order.Base}
	}
	if document.Version <= s.Version() {
		return false, &InvalidError{Key: "resource-version",
			Reason: fmt.Sprintf("%d is not higher than the current %d", document.Version, s.Version())}
	}
	return false, nil
}

// Apply takes a committed order: nil where it is, or was already, taken.
func (s *State) Apply(order Order) error {
	known, err := s.Check(order)
	if known || err != nil {
		return err
	}
	document, err := Parse(order.Raw)
	if err != nil {
		return err
	}
	s.remember(taken{Version: document.Version, Hash: sha256.Sum256(order.Raw)})
	s.current = document
	return nil
}

func (s *State) remember(order taken) {
	s.history = append(s.history, order)
	s.hashes[order.Hash] = order.Version
	if len(s.history) > maxHistory {
		delete(s.hashes, s.history[0].Hash)
		s.history = append([]taken(nil), s.history[1:]...)
	}
}

// stored is the snapshot of a State.
type stored struct {
	Raw     []byte
	History []taken
}

// Snapshot is the whole state in bytes.
func (s *State) Snapshot() ([]byte, error) {
	form := stored{History: s.history}
	if s.current != nil {
		form.Raw = s.current.Raw
	}
	return msgpack.Marshal(&form)
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(data []byte) error {
	var form stored
	if err := msgpack.Unmarshal(data, &form); err != nil {
		return &InvalidError{Reason: "snapshot can't be read: " + err.Error()}
	}
	fresh := NewState()
	for _, order := range form.History {
		fresh.remember(order)
	}
	if len(form.Raw) > 0 {
		document, err := Parse(form.Raw)
		if err != nil {
			return err
		}
		fresh.current = document
	}
	*s = *fresh
	return nil
}
