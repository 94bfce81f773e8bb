package simulation

import (
	"fmt"
	"slices"
	"time"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/agreement/disk"
	"granitewing/internal/system/member"
	"granitewing/internal/system/message"
	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/role/store"
	"granitewing/internal/system/segment"
	"granitewing/internal/system/session"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/wire"
)

const peerUpTick = 20 * time.Millisecond // as the keeper's driver has it

const syncTime = 4 * time.Millisecond

func (m *machine) disk(w *world, name string) *simulatedDisk {
	d := m.disks[name]
	if d == nil {
		d = newDisk(w, syncTime)
		m.disks[name] = d
	}
	d.sync = syncTime * time.Duration(max(1, m.slowDisk))
	return d
}

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
	if err := h.disks[group].Save(&ready); err != nil {
		h.Report("disk", err)
		return
	}
	h.busy[group] = true
	h.After(syncTime*time.Duration(max(1, h.machine.slowDisk)), func() {
		h.busy[group] = false
		h.finish(group, &ready)
	})
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
	h.goOn()
}

func (h *keeperHost) reset(group int) {
	h.resets[group] = false
	identity := disk.Identity{ID: keeper.FreshIdentity(h.address, member.NewIncarnation(h, h.machine.name))}
	if err := h.disks[group].Begin(identity); err != nil {
		h.Report("disk", err)
		return
	}
	h.core.ResetGroup(h.Now(), group, identity.ID)
	h.joiner.WasReset(group)
}

// storeHost runs a store.
type storeHost struct {
	*process
	settings *settings.Settings
	core     *store.Core
	log      *segment.Log
	session  *member.Client
	filler   *store.Filler
	busy     bool
}

func startStore(w *world, m *machine, s *settings.Settings) (*storeHost, error) {
	h := &storeHost{settings: s}
	h.process = w.start(m, "store", s.StoreAddress())
	var err error
	if h.log, err = segment.Open(m.disk(w, "messages"), 1<<20); err != nil {
		return nil, err
	}
	h.core = store.New(store.Options{Status: s.Bounds.Status, DiskBytes: s.Limits.DiskBytes}, h.log, h.Now(), h.Wall())
	if err := h.log.Replay(h.core.Load); err != nil {
		return nil, err
	}
	h.core.Start(s.Bootstrap, member.NewIncarnation(h, s.NodeName))
	self := session.Member{Incarnation: member.NewIncarnation(h, s.NodeName), Node: s.NodeName, Role: session.Store,
		Zone: s.Zone, Address: s.StoreAddress(), Disk: h.core.Disk(), Founder: h.core.Founder()}
	h.session = member.NewClient(h, h, s.SeedKeepers(), self, member.Events{
		Changed: func(_, after *member.View) { h.follow(after) },
		Keepers: func() { h.follow(h.session.View()) },
		Fault:   func(err error) { h.Report("feed", err) },
	})
	h.filler = store.NewFiller(h, h.session, h.core.Disk(), &s.Tolerance, s.RepairRate())
	h.up, h.down = h.session.Up, h.session.Down
	h.push = func(address string, _ wire.Kind, payload []byte) { h.session.Push(address, payload) }
	h.serve = func(_ *process, kind wire.Kind, payload []byte, answerer wire.Answerer) {
		h.catchUp()
		if err := h.core.Handle(kind, payload, answerer); err != nil {
			answerer.Refuse(wire.RefusalBody{Code: wire.Failed, Reason: err.Error()})
		}
		h.flush()
	}
	h.Connect(s.SeedKeepers())
	h.flush()
	h.session.Start()
	store.NewEmptier(h, h.session, h.core.Disk(), &s.Tolerance, s.RepairRate()).Start()
	store.NewEndsAsker(h, h.session, h.core.Disk(), func(done func([]string)) { done(h.core.LongPending()) }, func(ends []message.End) {
		h.catchUp()
		h.core.Ends(ends, func() {})
		h.flush()
	}).Start()
	h.idle()
	h.stop = func() {
		h.session.Close(func(error) {})
		h.After(50*time.Millisecond, h.end)
	}
	return h, nil
}

func (h *storeHost) idle() {
	h.catchUp()
	h.flush()
	h.After(500*time.Millisecond, h.idle)
}

func (h *storeHost) follow(view *member.View) {
	h.filler.Follow(view)
	addresses := append([]string(nil), h.session.Keepers()...)
	for id, other := range view.Disks {
		if id != h.core.Disk() {
			addresses = append(addresses, other.Member.Address)
		}
	}
	h.Connect(addresses)
}

func (h *storeHost) catchUp() {
	h.core.Time(h.Now(), h.Wall())
	view := h.session.View()
	own, known := view.Disks[h.core.Disk()]
	h.core.Follow(view.Epoch, known && !own.Counted)
}

// Fill implements store.RepairEnvironment.
func (h *storeHost) Fill(messages []wire.CopiedMessage, last bool) {
	h.catchUp()
	h.core.TakeCopy(messages)
	if last {
		h.core.CopyFinished()
	}
	h.flush()
}

// Filling implements store.RepairEnvironment.
func (h *storeHost) Filling() bool { return h.busy }

// Held implements store.RepairEnvironment.
func (h *storeHost) Held(body wire.HeldBody, done func(wire.HeldAnswer)) {
	h.After(0, func() {
		h.catchUp()
		done(h.core.Held(body))
	})
}

// Copies implements store.RepairEnvironment.
func (h *storeHost) Copies(ids []string, done func(wire.CopiesBody, error)) {
	h.After(0, func() { done(h.core.Copies(ids)) })
}

func (h *storeHost) flush() {
	if h.busy {
		return
	}
	batch := h.core.Take()
	if len(batch.Payloads) == 0 {
		h.core.Synced(h.Now(), batch, nil)
		return
	}
	positions, err := h.log.Append(batch.Payloads...)
	if err == nil {
		err = h.log.Sync()
	}
	if err != nil {
		h.Report("disk", err)
		return
	}
	h.busy = true
	h.After(syncTime*time.Duration(max(1, h.machine.slowDisk)), func() {
		h.busy = false
		h.core.Synced(h.Now(), batch, positions)
		h.flush()
	})
}

// carrierHost runs a carrier.
type carrierHost struct {
	*process
	settings *settings.Settings
	core     *carrier.Core
	platform *platform
	closed   bool // takes no clients
}

func startCarrier(w *world, m *machine, s *settings.Settings, platform *platform) *carrierHost {
	h := &carrierHost{settings: s, platform: platform}
	h.process = w.start(m, "carrier", s.CarrierAddress())
	h.core = carrier.New(h, s)
	h.up, h.down = h.core.PeerUp, h.core.PeerDown
	h.push = func(address string, kind wire.Kind, payload []byte) {
		if kind == wire.FeedUpdate {
			h.core.FeedUpdate(address, payload)
		}
	}
	h.serve = func(_ *process, kind wire.Kind, payload []byte, answerer wire.Answerer) {
		if err := h.core.Handle(kind, payload, answerer); err != nil {
			h.Report("call", err)
		}
	}
	h.core.Start()
	h.stop = h.drain
	return h
}

func (h *carrierHost) drain() {
	const acceptForPart = 0.40
	began := h.Now()
	h.core.StopReady()
	h.After(time.Duration(acceptForPart*float64(h.settings.Bounds.Grace)), func() {
		h.closed = true
		h.core.Drain(began, func() { h.After(0, h.end) })
	})
}
