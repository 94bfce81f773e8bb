package node

import (
	"context"
	"errors"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/apex/log"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/agreement/disk"
	"granitewing/internal/system/member"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/segment"
)

// openDisks opens the logs of all groups concurrently, since most of the time is spent waiting for syncs.
func (n *keeperNode) openDisks(ctx context.Context) error {
	var failures [keeper.Groups]error
	var opening sync.WaitGroup
	for group := range keeper.Groups {
		fresh := n.newIdentity()
		opening.Go(func() {
			failures[group] = retryWhileDiskFull(ctx, func() (err error) {
				n.disks[group], err = n.openDisk(group, fresh)
				return err
			})
		})
	}
	opening.Wait()
	return errors.Join(failures[:]...)
}

// openDisk opens the log of a group. The identity is used only if the disk holds no state of the group.
func (n *keeperNode) openDisk(group int, fresh disk.Identity) (*disk.Storage, error) {
	folder, err := segment.OpenDirectory(filepath.Join(n.settings.DataDir, "control-"+strconv.Itoa(group)))
	if err != nil {
		return nil, err
	}
	return disk.Open(folder, fresh)
}

// resetIfRequested gives a group's member a new identity if Reset has requested it. It runs on the goroutine that owns the
// group's log.
func (n *keeperNode) resetIfRequested(group int) error {
	requested := false
	n.withLock(func() { requested = n.resetRequested[group] })
	if !requested {
		return nil
	}
	identity := disk.Identity{ID: keeper.FreshIdentity(n.address(), member.NewIncarnation(n, n.settings.NodeName))}
	log.WithField("group", group).Warn("this keeper was removed from the group, rejoining with a new identity")
	if err := retryWhileDiskFull(n.ctx, func() error { return n.disks[group].StartIdentity(identity) }); err != nil {
		return err
	}
	n.withLock(func() {
		n.resetRequested[group] = false
		n.core.ResetGroup(n.Now(), group, identity.ID)
		n.joiner.ResetDone(group)
	})
	return nil
}

// persist processes a group's ready work batch by batch: it writes, syncs, sends messages and applies committed entries. It
// returns only after a failure, which it sends to failures.
func (n *keeperNode) persist(group int, failures chan<- error) {
	for range n.wake[group] {
		if err := n.resetIfRequested(group); err != nil {
			failures <- err
			return
		}
		for {
			var ready agreement.Ready
			n.withLock(func() { ready = n.core.Ready(group) })
			if ready.Empty() {
				break
			}
			if err := n.processReady(group, &ready); err != nil {
				failures <- err
				return
			}
		}
	}
}

// processReady saves a batch before its messages are sent and its entries applied.
func (n *keeperNode) processReady(group int, ready *agreement.Ready) error {
	if err := n.save(group, ready); err != nil {
		return err
	}
	var failure error
	n.withLock(func() {
		n.send(group, ready.Messages)
		failure = n.core.Persisted(n.Now(), group, ready)
		n.schedulePush()
	})
	if failure != nil {
		return failure
	}
	return n.compact(group)
}

// save writes and syncs a batch. While the disk is full it retries, and the group continues without this member.
func (n *keeperNode) save(group int, ready *agreement.Ready) error {
	return retryWhileDiskFull(n.ctx, func() error { return n.disks[group].Save(ready) })
}

// compact replaces a group's log by a snapshot if the log has grown long enough. If the disk is too full for the snapshot,
// it does nothing until compactionRetryInterval has passed.
func (n *keeperNode) compact(group int) error {
	if n.Now() < n.nextCompaction[group] {
		return nil
	}
	var stored agreement.PersistentState
	var compacted bool
	var err error
	n.withLock(func() {
		if n.disks[group].NeedsCompaction(n.core.LogLength(group)) {
			stored, compacted, err = n.core.Compact(group)
		}
	})
	if err != nil || !compacted {
		return err
	}
	err = n.disks[group].Compact(stored)
	if !segment.IsDiskFull(err) {
		return err
	}
	log.WithError(err).WithField("group", group).Warn("disk is full, log compaction postponed")
	n.nextCompaction[group] = n.Now() + compactionRetryInterval
	return nil
}
