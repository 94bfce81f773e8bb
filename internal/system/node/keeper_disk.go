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

// openDisks reads what the disk holds of each group, all at once: most of it is waiting for syncs.
func (n *keeperNode) openDisks(ctx context.Context) error {
	var failures [keeper.Groups]error
	var opened sync.WaitGroup
	for group := range keeper.Groups {
		fresh := n.fresh()
		opened.Go(func() {
			failures[group] = whileFull(ctx, func() (err error) {
				n.disks[group], err = n.openDisk(group, fresh)
				return err
			})
		})
	}
	opened.Wait()
	return errors.Join(failures[:]...)
}

func (n *keeperNode) openDisk(group int, fresh disk.Identity) (*disk.Member, error) {
	folder, err := segment.OpenFolder(filepath.Join(n.settings.DataDir, "control-"+strconv.Itoa(group)))
	if err != nil {
		return nil, err
	}
	return disk.Open(folder, fresh)
}

// reset gives a group's member another identity; it runs on the goroutine that owns the group's disk.
func (n *keeperNode) reset(group int) error {
	wanted := false
	n.do(func() { wanted = n.resetting[group] })
	if !wanted {
		return nil
	}
	identity := disk.Identity{ID: keeper.FreshIdentity(n.address(), member.NewIncarnation(n, n.settings.NodeName))}
	log.WithField("group", group).Warn("the group does without this keeper; it joins anew")
	if err := whileFull(n.ctx, func() error { return n.disks[group].Begin(identity) }); err != nil {
		return err
	}
	n.do(func() {
		n.resetting[group] = false
		n.core.ResetGroup(n.Now(), group, identity.ID)
		n.joiner.WasReset(group)
	})
	return nil
}

// persist writes, syncs, sends and applies what a group has ready, one after the other.
func (n *keeperNode) persist(group int, failures chan<- error) {
	for range n.wake[group] {
		if err := n.reset(group); err != nil {
			failures <- err
			return
		}
		for {
			var ready agreement.Ready
			n.do(func() { ready = n.core.Ready(group) })
			if ready.Empty() {
				break
			}
			if err := n.carryOut(group, &ready); err != nil {
				failures <- err
				return
			}
		}
	}
}

func (n *keeperNode) carryOut(group int, ready *agreement.Ready) error {
	if err := n.save(group, ready); err != nil {
		return err
	}
	var failure error
	n.do(func() {
		n.send(group, ready.Messages)
		failure = n.core.Persisted(n.Now(), group, ready)
		n.push()
	})
	if failure != nil {
		return failure
	}
	return n.compact(group)
}

// save writes and syncs; while the disk is full it tries again, and the group goes on without this member.
func (n *keeperNode) save(group int, ready *agreement.Ready) error {
	return whileFull(n.ctx, func() error { return n.disks[group].Save(ready) })
}

// compact replaces a group's log by a snapshot where it has grown; where there is no room for that, it is tried later.
func (n *keeperNode) compact(group int) error {
	if n.Now() < n.compactAfter[group] {
		return nil
	}
	var stored agreement.Stored
	var compacted bool
	var err error
	n.do(func() {
		if n.disks[group].WantsCompaction(n.core.LogLength(group)) {
			stored, compacted, err = n.core.Compact(group)
		}
	})
	if err != nil || !compacted {
		return err
	}
	err = n.disks[group].Compact(stored)
	if !segment.IsFull(err) {
		return err
	}
	log.WithError(err).WithField("group", group).Warn("the log is not replaced by a snapshot until there is room")
	n.compactAfter[group] = n.Now() + compactPause
	return nil
}
