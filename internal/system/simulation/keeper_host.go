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

const peerUpTick = 20 * time.Millisecond // as the keeper's driver has it

// keeperHost runs a keeper.
type keeperHost struct {
	*process
	settings    *settings.Settings
	core        *keeper.Core
	joiner      *keeper.Joiner
	disks       [keeper.Groups]*disk.Member
	busy        [keeper.Groups]bool
	resets      [keeper.Groups]bool
	subscribers map[*process]keeper.Subscriber
	members     map[keeper.Subscriber]*process
	platform    *platform

	compactAfter [keeper.Groups]time.Duration
}

func startKeeper(w *world, m *machine, s *settings.Settings, platform *platform) (*keeperHost, error) {
	h := &keeperHost{settings: s, subscribers: map[*process]keeper.Subscriber{}, members: map[keeper.Subscriber]*process{},
		platform: platform}
	h.process = w.start(m, "keeper", s.KeeperAddress(s.IP))
	options := keeper.Options{Address: h.address, Tolerance: &s.Tolerance, Random: h.Random,
		FeedEpoch: member.NewIncarnation(h, m.name)}
	var stored [keeper.Groups]agreement.Stored
	for group := range keeper.Groups {
		identity := h.identity()
		opened, err := disk.Open(m.disk(w, fmt.Sprintf("control-%d", group)), identity)
		if err != nil {
			return nil, err
		}
		h.disks[group], stored[group], options.IDs[group] = opened, opened.Stored(), opened.ID()
		m.identities[group] = opened.ID()
	}
	core, err := keeper.New(options, stored, h.Now())
	if err != nil {
		return nil, err
	}
	h.core = core
	h.joiner = keeper.NewJoiner(h, core)
	h.serve = h.handle
	h.push = func(_ string, kind wire.Kind, payload []byte) {
		if err := core.Handle(h.Now(), 0, kind, payload, nobody{}); err != nil {
			h.Report("frame", err)
		}
		h.goOn()
	}
	h.up = func(string) {
		core.PeerUp(h.Now())
		h.After(peerUpTick, func() {
			core.Tick(h.Now())
			h.goOn()
		})
	}
	h.tick()
	h.joiner.Step()
	h.stop = func() { h.yield(h.Now() + yieldMost) }
	return h, nil
}

// Times of handing over what a stopping keeper leads, as its driver has them.
const (
	yieldInterval = 150 * time.Millisecond
	yieldMost     = 900 * time.Millisecond
)

func (h *keeperHost) yield(until time.Duration) {
	yielded := h.core.Yield(h.Now())
	h.goOn()
	if yielded || h.Now() >= until {
		h.end()
		return
	}
	h.After(yieldInterval, func() { h.yield(until) })
}

func (h *keeperHost) identity() disk.Identity {
	founders := h.settings.SeedKeepers()
	if h.settings.Bootstrap && slices.Contains(founders, h.address) {
		return disk.Identity{ID: h.address, Founders: founders}
	}
	return disk.Identity{ID: keeper.FreshIdentity(h.address, member.NewIncarnation(h, h.machine.name))}
}

// Others implements keeper.JoinEnvironment.
func (h *keeperHost) Others() []string {
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
	h.resets[group] = true
	h.goOn()
}

func (h *keeperHost) tick() {
	const least = 10 * time.Millisecond
	h.core.Tick(h.Now())
	h.Connect(h.Others())
	if h.core.WantsCatalog(h.Now()) {
		begun := h.Now()
		h.platform.read(h.process, func() { h.core.CatalogRead(h.Now(), begun, h.platform.list()) })
	}
	h.goOn()
	h.After(max(least, h.core.NextWake()-h.Now()), h.tick)
}

func (h *keeperHost) handle(from *process, kind wire.Kind, payload []byte, answerer wire.Answerer) {
	number, known := h.subscribers[from]
	if !known {
		number = keeper.Subscriber(len(h.subscribers) + 1)
		h.subscribers[from], h.members[number] = number, from
	}
	if err := h.core.Handle(h.Now(), number, kind, payload, answerer); err != nil {
		h.Report("call", err)
	}
	h.goOn()
}

// goOn carries out what the groups have ready, and pushes the feed.
func (h *keeperHost) goOn() {
	for group := range keeper.Groups {
		h.carryOut(group)
	}
	for _, push := range h.core.Pushes() {
		if to := h.members[push.To]; to != nil && to.Up(h.address) {
			h.pushTo(to, wire.FeedUpdate, push.Payload)
		}
	}
}

func (h *keeperHost) carryOut(group int) {
	if h.busy[group] {
		return
	}
	if h.resets[group] {
		h.reset(group)
	}
	ready := h.core.Ready(group)
	if ready.Empty() {
		return
	}
	if !ready.MustSync() {
		h.finish(group, &ready)
		return
	}
	h.busy[group] = true
	h.save(group, &ready)
}

// save writes what a group has ready; on a full disk it tries again.
func (h *keeperHost) save(group int, ready *agreement.Ready) {
	err := h.disks[group].Save(ready)
	if segment.IsFull(err) {
		h.After(fullPause, func() { h.save(group, ready) })
		return
	}
	if err != nil {
		h.Report("disk", err)
		return
	}
	h.After(h.machine.syncTime(), func() {
		h.busy[group] = false
		h.finish(group, ready)
	})
}

// compact replaces a group's log by a snapshot where it has grown.
func (h *keeperHost) compact(group int) {
	if h.Now() < h.compactAfter[group] || !h.disks[group].WantsCompaction(h.core.LogLength(group)) {
		return
	}
	stored, compacted, err := h.core.Compact(group)
	if err == nil && compacted {
		err = h.disks[group].Compact(stored)
	}
	if segment.IsFull(err) {
		h.compactAfter[group] = h.Now() + compactPause
		return
	}
	if err != nil {
		h.Report("compaction", err)
	}
}

func (h *keeperHost) finish(group int, ready *agreement.Ready) {
	for _, message := range ready.Messages {
		address := keeper.AddressOf(message.To)
		if target := h.world.serving[address]; target != nil && h.Up(address) {
			body := wire.AgreementBody{Group: group, Messages: []agreement.Message{message}}
			h.pushTo(target, wire.AgreementMessages, wire.Encode(&body))
		}
	}
	if err := h.core.Persisted(h.Now(), group, ready); err != nil {
		h.Report("apply", err)
	}
	h.compact(group)
	h.goOn()
}

func (h *keeperHost) reset(group int) {
	h.resets[group] = false
	identity := disk.Identity{ID: keeper.FreshIdentity(h.address, member.NewIncarnation(h, h.machine.name))}
	err := h.disks[group].Begin(identity)
	if segment.IsFull(err) {
		h.After(fullPause, func() { h.Reset(group) })
		return
	}
	if err != nil {
		h.Report("disk", err)
		return
	}
	h.machine.identities[group] = identity.ID
	h.core.ResetGroup(h.Now(), group, identity.ID)
	h.joiner.WasReset(group)
}
