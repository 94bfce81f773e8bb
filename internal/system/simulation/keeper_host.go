package simulation

import (
	"fmt"
	"slices"
	"time"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/agreement/disk"
	"granitewing/internal/system/member"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/segment"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/wire"
)

const peerUpTickDelay = 20 * time.Millisecond // same as in the keeper's driver

// keeperHost runs a keeper and implements keeper.JoinEnvironment.
type keeperHost struct {
	*process
	settings      *settings.Settings
	core          *keeper.Core
	joiner        *keeper.Joiner
	disks         [keeper.Groups]*disk.Storage
	saving        [keeper.Groups]bool
	pendingResets [keeper.Groups]bool
	subscribers   map[*process]keeper.Subscriber
	members       map[keeper.Subscriber]*process
	platform      *platform

	compactAfter [keeper.Groups]time.Duration
}

func startKeeper(w *world, m *machine, s *settings.Settings, platform *platform) (*keeperHost, error) {
	h := &keeperHost{settings: s, subscribers: map[*process]keeper.Subscriber{}, members: map[keeper.Subscriber]*process{},
		platform: platform}
	h.process = w.start(m, "keeper", s.KeeperAddress(s.IP))
	options := keeper.Options{Address: h.address, Tolerance: &s.Tolerance, Random: h.Random,
		FeedEpoch: member.NewIncarnation(h, m.name)}
	var stored [keeper.Groups]agreement.PersistentState
	for group := range keeper.Groups {
		identity := h.identity()
		opened, err := disk.Open(m.disk(w, fmt.Sprintf("control-%d", group)), identity)
		if err != nil {
			return nil, err
		}
		h.disks[group], stored[group], options.IDs[group] = opened, opened.PersistentState(), opened.ID()
		m.identities[group] = opened.ID()
	}
	core, err := keeper.New(options, stored, h.Now())
	if err != nil {
		return nil, err
	}
	h.core = core
	h.joiner = keeper.NewJoiner(h, core)
	h.handleCall = h.handle
	h.handlePush = func(_ string, kind wire.Kind, payload []byte) {
		if err := core.Handle(h.Now(), 0, kind, payload, discardAnswerer{}); err != nil {
			h.LogWarning("frame", err)
		}
		h.advance()
	}
	h.peerUp = func(string) {
		core.PeerUp(h.Now())
		h.After(peerUpTickDelay, func() {
			core.Tick(h.Now())
			h.advance()
		})
	}
	h.tick()
	h.joiner.Step()
	h.shutDown = func() { h.transferLeadership(h.Now() + maxTransferTime) }
	return h, nil
}

// Timing of the transfer of leadership by a keeper that shuts down, same as in the keeper's driver.
const (
	transferInterval = 150 * time.Millisecond
	maxTransferTime  = 900 * time.Millisecond
)

// transferLeadership transfers the leadership of all groups. It ends the process when that is done or a time has passed.
func (h *keeperHost) transferLeadership(until time.Duration) {
	transferred := h.core.TransferLeadership(h.Now())
	h.advance()
	if transferred || h.Now() >= until {
		h.terminate()
		return
	}
	h.After(transferInterval, func() { h.transferLeadership(until) })
}

// identity returns the identity for an empty disk: that of a bootstrap member, or a fresh one.
func (h *keeperHost) identity() disk.Identity {
	bootstrapMembers := h.settings.SeedKeepers()
	if h.settings.Bootstrap && slices.Contains(bootstrapMembers, h.address) {
		return disk.Identity{ID: h.address, Founders: bootstrapMembers}
	}
	return disk.Identity{ID: keeper.FreshIdentity(h.address, member.NewIncarnation(h, h.machine.name))}
}

// KnownKeepers implements keeper.JoinEnvironment.
func (h *keeperHost) KnownKeepers() []string {
	var others []string
	for _, address := range append(h.core.Keepers(), h.settings.SeedKeepers()...) {
		if address != h.address && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	return others
}

// Reset implements keeper.JoinEnvironment.
func (h *keeperHost) Reset(group int) {
	h.pendingResets[group] = true
	h.advance()
}

// tick drives the timers of the keeper, keeps its connections, and reads the inventory when the keeper wants it.
func (h *keeperHost) tick() {
	const minWait = 10 * time.Millisecond
	h.core.Tick(h.Now())
	h.Connect(h.KnownKeepers())
	if h.core.CatalogReadDue(h.Now()) {
		startedAt := h.Now()
		h.platform.callInventory(h.process, func() { h.core.UpdateCatalog(h.Now(), startedAt, h.platform.inventory()) })
	}
	h.advance()
	h.After(max(minWait, h.core.NextWake()-h.Now()), h.tick)
}

func (h *keeperHost) handle(from *process, kind wire.Kind, payload []byte, answerer wire.Answerer) {
	number, known := h.subscribers[from]
	if !known {
		number = keeper.Subscriber(len(h.subscribers) + 1)
		h.subscribers[from], h.members[number] = number, from
	}
	if err := h.core.Handle(h.Now(), number, kind, payload, answerer); err != nil {
		h.LogWarning("call", err)
	}
	h.advance()
}

// advance processes what the groups have ready, and pushes feed updates to subscribers.
func (h *keeperHost) advance() {
	for group := range keeper.Groups {
		h.processReady(group)
	}
	for _, push := range h.core.Pushes() {
		if to := h.members[push.To]; to != nil && to.Connected(h.address) {
			h.pushTo(to, wire.FeedUpdate, push.Payload)
		}
	}
}

func (h *keeperHost) processReady(group int) {
	if h.saving[group] {
		return
	}
	if h.pendingResets[group] {
		h.reset(group)
	}
	ready := h.core.Ready(group)
	if ready.Empty() {
		return
	}
	if !ready.MustSync() {
		h.completeReady(group, &ready)
		return
	}
	h.saving[group] = true
	h.saveReady(group, &ready)
}

// saveReady writes what a group has ready. If the disk is full, it tries again later.
func (h *keeperHost) saveReady(group int, ready *agreement.Ready) {
	err := h.disks[group].Save(ready)
	if segment.IsDiskFull(err) {
		h.After(fullDiskRetryDelay, func() { h.saveReady(group, ready) })
		return
	}
	if err != nil {
		h.LogWarning("disk", err)
		return
	}
	h.After(h.machine.syncTime(), func() {
		h.saving[group] = false
		h.completeReady(group, ready)
	})
}

// compact replaces a group's log by a snapshot if the log has grown enough.
func (h *keeperHost) compact(group int) {
	if h.Now() < h.compactAfter[group] || !h.disks[group].NeedsCompaction(h.core.LogLength(group)) {
		return
	}
	stored, compacted, err := h.core.Compact(group)
	if err == nil && compacted {
		err = h.disks[group].Compact(stored)
	}
	if segment.IsDiskFull(err) {
		h.compactAfter[group] = h.Now() + compactionRetryDelay
		return
	}
	if err != nil {
		h.LogWarning("compaction", err)
	}
}

// completeReady sends the messages of a group and confirms that its entries are stored.
func (h *keeperHost) completeReady(group int, ready *agreement.Ready) {
	for _, message := range ready.Messages {
		address := keeper.AddressOf(message.To)
		if target := h.world.listeners[address]; target != nil && h.Connected(address) {
			body := wire.AgreementBody{Group: group, Messages: []agreement.Message{message}}
			h.pushTo(target, wire.AgreementMessages, wire.Encode(&body))
		}
	}
	if err := h.core.Persisted(h.Now(), group, ready); err != nil {
		h.LogWarning("apply", err)
	}
	h.compact(group)
	h.advance()
}

// reset replaces the state of a group by an empty one with a fresh identity.
func (h *keeperHost) reset(group int) {
	h.pendingResets[group] = false
	identity := disk.Identity{ID: keeper.FreshIdentity(h.address, member.NewIncarnation(h, h.machine.name))}
	err := h.disks[group].StartIdentity(identity)
	if segment.IsDiskFull(err) {
		h.After(fullDiskRetryDelay, func() { h.Reset(group) })
		return
	}
	if err != nil {
		h.LogWarning("disk", err)
		return
	}
	h.machine.identities[group] = identity.ID
	h.core.ResetGroup(h.Now(), group, identity.ID)
	h.joiner.ResetDone(group)
}
