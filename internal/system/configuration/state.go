package configuration

import (
	"crypto/sha256"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// maxHistory bounds the accepted orders that are remembered, so that a repeat of any of them is acknowledged again.
const maxHistory = 8192

// Order is an operator's request to replace the current configuration.
type Order struct {
	Base uint64 // version that must be current; 0 before the first configuration
	Raw  []byte // the new document, as JSON text
}

// ConflictError is the error for an order whose base version is not the current one.
type ConflictError struct{ Current, Base uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d is in place, the order builds on %d", e.Current, e.Base)
}

// acceptedOrder identifies an order that was committed and accepted.
type acceptedOrder struct {
	Version uint64
	Hash    [sha256.Size]byte // of Order.Raw
}

// State is the replicated state of the configuration shard: the current document and the orders that led to it. It is
// not safe for concurrent use.
type State struct {
	current *Document
	history []acceptedOrder              // ascending by version
	hashes  map[[sha256.Size]byte]uint64 // versions of the orders in history, by the hash of their text
}

// NewState returns the state before the first order.
func NewState() *State { return &State{hashes: map[[sha256.Size]byte]uint64{}} }

// Current returns the current configuration, nil before the first one.
func (s *State) Current() *Document { return s.current }

// Version returns the version of the current configuration, 0 before the first one.
func (s *State) Version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version
}

// Validate validates an order against the state without changing it. It returns true if an order with the same text was
// accepted before, false and no error if the order can be accepted, and otherwise an *InvalidError or a *ConflictError.
func (s *State) Validate(order Order) (known bool, err error) {
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

// Apply applies a committed order. It returns nil if the order is accepted now or was accepted before, and otherwise
// the error of Validate.
func (s *State) Apply(order Order) error {
	known, err := s.Validate(order)
	if known || err != nil {
		return err
	}
	document, err := Parse(order.Raw)
	if err != nil {
		return err
	}
	s.recordAccepted(acceptedOrder{Version: document.Version, Hash: sha256.Sum256(order.Raw)})
	s.current = document
	return nil
}

// recordAccepted appends an order to the history and forgets the oldest one beyond maxHistory.
func (s *State) recordAccepted(order acceptedOrder) {
	s.history = append(s.history, order)
	s.hashes[order.Hash] = order.Version
	if len(s.history) > maxHistory {
		delete(s.hashes, s.history[0].Hash)
		s.history = append([]acceptedOrder(nil), s.history[1:]...)
	}
}

// snapshot is the encoded form of a State. The fields are stored under their names.
type snapshot struct {
	Raw     []byte
	History []acceptedOrder
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	encoded := snapshot{History: s.history}
	if s.current != nil {
		encoded.Raw = s.current.Raw
	}
	return msgpack.Marshal(&encoded)
}

// Restore replaces the state by a snapshot. After an *InvalidError the state is unchanged.
func (s *State) Restore(data []byte) error {
	var decoded snapshot
	if err := msgpack.Unmarshal(data, &decoded); err != nil {
		return &InvalidError{Reason: "snapshot can't be read: " + err.Error()}
	}
	restored := NewState()
	for _, order := range decoded.History {
		restored.recordAccepted(order)
	}
	if len(decoded.Raw) > 0 {
		document, err := Parse(decoded.Raw)
		if err != nil {
			return err
		}
		restored.current = document
	}
	*s = *restored
	return nil
}
