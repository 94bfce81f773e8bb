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

// FailedError is returned by Append, Sync and Rotate after a write or a sync has failed. The content of the disk is
// then unknown, and a later sync that succeeds would prove nothing, so the log accepts no more records.
type FailedError struct{ Cause error }

func (e *FailedError) Error() string {
	return fmt.Sprintf("log accepts no more records: %v", e.Cause)
}

func (e *FailedError) Unwrap() error { return e.Cause }

// DiskFullError reports that the disk has no space left, or that a quota is exhausted. The records of the failed call
// do not count as written; a later call may succeed.
type DiskFullError struct{ Err error }

func (e *DiskFullError) Error() string { return fmt.Sprintf("the disk is full: %v", e.Err) }

func (e *DiskFullError) Unwrap() error { return e.Err }

// IsDiskFull reports whether an error means that the disk is full: a DiskFullError, or ENOSPC or EDQUOT in its chain.
func IsDiskFull(err error) bool {
	var full *DiskFullError
	return errors.As(asFullError(err), &full)
}

// asFullError wraps ENOSPC and EDQUOT in a DiskFullError and returns other errors unchanged.
func asFullError(err error) error {
	var full *DiskFullError
	if errors.As(err, &full) {
		return err
	}
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &DiskFullError{Err: err}
	}
	return err
}

// MissingRecordError is returned by Read for a position that holds no complete record.
type MissingRecordError struct{ Position Position }

func (e *MissingRecordError) Error() string {
	return fmt.Sprintf("no record at segment %d offset %d", e.Position.Segment, e.Position.Offset)
}
