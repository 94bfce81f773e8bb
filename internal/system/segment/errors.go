package segment

import (
	"errors"
	"fmt"
	"syscall"
)

// FileError is a failed file operation: its name, the file or directory, and the cause.
type FileError struct {
	Operation string
	Name      string
	Err       error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s %s: %v", e.Operation, e.Name, e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// BrokenError is returned by Append, Sync and Rotate after a write or a sync has failed. The content of the disk is
// then unknown, and a later sync that succeeds would prove nothing, so the log accepts no more records.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string {
	return fmt.Sprintf("log accepts no more records: %v", e.Cause)
}

func (e *BrokenError) Unwrap() error { return e.Cause }

// FullError reports that the disk has no space left, or that a quota is exhausted. The records of the failed call
// do not count as written; a later call may succeed.
type FullError struct{ Err error }

func (e *FullError) Error() string { return fmt.Sprintf("the disk is full: %v", e.Err) }

func (e *FullError) Unwrap() error { return e.Err }

// IsFull reports whether an error means that the disk is full: a FullError, or ENOSPC or EDQUOT in its chain.
func IsFull(err error) bool {
	var full *FullError
	return errors.As(asFullError(err), &full)
}

// asFullError wraps ENOSPC and EDQUOT in a FullError and returns other errors unchanged.
func asFullError(err error) error {
	var full *FullError
	if errors.As(err, &full) {
		return err
	}
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &FullError{Err: err}
	}
	return err
}

// MissingRecordError is returned by Read for a position that holds no complete record.
type MissingRecordError struct{ Position Position }

func (e *MissingRecordError) Error() string {
	return fmt.Sprintf("no record at segment %d offset %d", e.Position.Segment, e.Position.Offset)
}
