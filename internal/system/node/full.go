package node

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/segment"
)

// Pauses after a disk was found full.
const (
	fullPause    = 200 * time.Millisecond // before the next write
	compactPause = 2 * time.Second        // before a log is replaced by a snapshot
)

// whileFull does something on a disk again and again as long as the disk has no room for it, until the context ends: the
// process stays up, and goes on as soon as there is room.
func whileFull(ctx context.Context, do func() error) error {
	for {
		err := do()
		if !segment.IsFull(err) {
			return err
		}
		log.WithError(err).Error("the disk has no room; it is tried again")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(fullPause):
		}
	}
}

// unlessStopped is the error of a role, none where it was told to stop.
func unlessStopped(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}
