package node

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/segment"
)

// Retry intervals after a write failed because the disk was full.
const (
	diskFullRetryInterval   = 200 * time.Millisecond // before the next write
	compactionRetryInterval = 2 * time.Second        // before the next attempt to replace a log by a snapshot
)

// retryWhileDiskFull repeats a disk operation while it fails because the disk is full, until ctx is cancelled. The process
// stays up and continues as soon as there is free space. Any other error is returned at once.
func retryWhileDiskFull(ctx context.Context, operation func() error) error {
	for {
		err := operation()
		if !segment.IsDiskFull(err) {
			return err
		}
		log.WithError(err).Error("disk is full, retrying")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(diskFullRetryInterval):
		}
	}
}

// ignoreCancellation returns the error of a role, or nil if the error only reports that ctx was cancelled.
func ignoreCancellation(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}
