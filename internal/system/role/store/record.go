// Package store is the role that keeps messages on disks: their bytes, their ends, and which of them are void. It is a
// state machine without I/O or clocks; its driver writes the records of a batch, syncs them, and only then lets the
// answers of the batch go.
package store

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
)

// recordKind tells records apart.
type recordKind uint8

const (
	recordStarted  recordKind = iota + 1 // the disk is in use; Incomplete where another was lost
	recordComplete                       // all that the lost disk held was copied from the other stores
	recordMessage
	recordVoid
	recordEnd
	recordCallbackDone
	recordClock  // nothing but its time: the log's clock goes on while nothing else is written
	recordFenced // a carrier's unit was taken over: nothing more is taken for it
)

// record is one record of the log.
type record struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Kind       recordKind
	Incomplete bool
	Founder    bool
	Disk       string
	Message    *message.Message
	ID         string
	Unit       string
	End        *message.End
	// At is the log's time (see logClock) of what the record tells: an arrival, an end, or its writing.
	At time.Duration
}

func (r *record) encode() []byte {
	payload, err := msgpack.Marshal(r)
	if err != nil {
		panic(err) // a record of ours that msgpack doesn't know: a fault of the program
	}
	return payload
}

// RecordError tells of a record that can't be read although its checksum holds: another program's, or a later version's.
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
