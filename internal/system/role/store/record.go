// Package store implements the store role, which keeps messages on disk: their bytes, their outcomes, and which of
// them are void (cancelled before any delivery; a void message never runs).
//
// Core is a state machine without I/O or clocks of its own. Its driver replays the log into Load and calls Start.
// It then passes calls to Handle, takes a batch of records with TakeBatch, writes and syncs it, and reports it with
// BatchSynced. Only then do the answers of the batch go out.
//
// Backfiller copies to a new disk what too few other disks hold. Drainer does the reverse for a disk that leaves the
// roster. OutcomeFetcher queries other stores for the outcomes of messages that have been pending for long. These three
// run on an event loop and reach the core through RepairEnvironment or callbacks.
package store

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
)

// recordKind is the type of a record in the log.
type recordKind uint8

const (
	recordStarted  recordKind = iota + 1 // the disk is in use; Incomplete is set if it replaces a lost disk
	recordComplete                       // everything that the lost disk held has been copied from other stores
	recordMessage
	recordVoid         // a message is cancelled
	recordEnd          // the outcome of a message
	recordCallbackDone // the callback with the outcome was made
	recordClock        // carries only its time, so that the log's clock advances while nothing else is written
	recordFenced       // a carrier's unit was taken over: no more messages are accepted for it
	recordAge          // a message arrived earlier, at At, than the log's clock told
)

// record is one record of the log. It is encoded as an array: the order of its fields is part of the stored format.
type record struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Kind       recordKind
	Incomplete bool
	Founder    bool // the disk has been in use since the system was bootstrapped
	Disk       string
	Message    *message.Message
	ID         string
	Unit       string
	End        *message.Outcome
	// At is the log's time (see logClock) of the recorded event: the arrival, the completion, or the writing of
	// the record.
	At time.Duration
}

func (r *record) encode() []byte {
	payload, err := msgpack.Marshal(r)
	if err != nil {
		panic(err) // msgpack can encode every field of a record, so this is a bug
	}
	return payload
}

// RecordError reports a record that can't be decoded although its checksum is valid: it was written by another
// program or a later version.
type RecordError struct {
	Position segment.Position
	Err      error
}

func (e *RecordError) Error() string {
	return "message log, segment " + segmentName(e.Position) + ": " + e.Err.Error()
}

func (e *RecordError) Unwrap() error { return e.Err }

func decodeRecord(position segment.Position, payload []byte) (*record, error) {
	var r record
	if err := msgpack.Unmarshal(payload, &r); err != nil {
		return nil, &RecordError{Position: position, Err: err}
	}
	return &r, nil
}
