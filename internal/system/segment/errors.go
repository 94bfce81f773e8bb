package segment

import (
	"errors"
	"fmt"
	"syscall"
)

// FileError is a failed call on a file.
type FileError struct {
	Operation string
	Name      string
	Err       error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s %s: %v", e.Operation, e.Name, e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// BrokenError answers every call after a write or a sync failed: whether the disk holds what was written is not known,
// and a later sync that succeeds would prove nothing.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string {
	return fmt.Sprintf("the log takes no more records: %v", e.Cause)
}

func (e *BrokenError) Unwrap() error { return e.Cause }

// FullError tells that the disk has no room. Nothing of the write counts; a later one may succeed.
type FullError struct{ Err error }

func (e *FullError) Error() string { return fmt.Sprintf("the disk is full: %v", e.Err) }

func (e *FullError) Unwrap() error { return e.Err }

// IsFull tells whether an error says that the disk has no room.
func IsFull(err error) bool {
	var full *FullError
	return errors.As(noRoom(err), &full)
}

// noRoom makes a FullError of an error that says so, and leaves others.
func noRoom(err error) error {
	var full *FullError
	if errors.As(err, &full) {
		return err
	}
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &FullError{Err: err}
	}
	return err
}

// MissingRecordError answers a read of a place that holds no whole record.
type MissingRecordError struct{ Position Position }

func (e *MissingRecordError) Error() string {
	return fmt.Sprintf("no record at segment %d offset %d", e.Position.Segment, e.Position.Offset)
}
