package simulation

import (
	"time"

	"granitewing/internal/system/member"
	"granitewing/internal/system/message"
	"granitewing/internal/system/role/store"
	"granitewing/internal/system/segment"
	"granitewing/internal/system/session"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/wire"
)

// storeHost runs a store and implements store.RepairEnvironment.
type storeHost struct {
	*process
	settings   *settings.Settings
	core       *store.Core
	log        *segment.Log
	session    *member.Client
	backfiller *store.Backfiller
	flushing   bool
}

func startStore(w *world, m *machine, s *settings.Settings) (*storeHost, error) {
	h := &storeHost{settings: s}
	h.process = w.start(m, "store", s.StoreAddress())
	var err error
	const maxSegments = 16
	segmentLength := uint32(min(1<<20, s.Limits.DiskBytes/maxSegments))
	if h.log, err = segment.Open(m.disk(w, "messages"), segmentLength); err != nil {
		return nil, err
	}
	h.core = store.New(store.Options{StatusTime: s.Bounds.Status, DiskBytes: s.Limits.DiskBytes}, h.log, h.Now())
	if err := h.log.Replay(h.core.Load); err != nil {
		return nil, err
	}
	h.core.Start(s.Bootstrap, member.NewIncarnation(h, s.NodeName))
	self := session.Member{Incarnation: member.NewIncarnation(h, s.NodeName), Node: s.NodeName, Role: session.Store,
		Zone: s.Zone, Address: s.StoreAddress(), Disk: h.core.DiskID(), BootstrapDisk: h.core.BootstrapDisk()}
	h.session = member.NewClient(h, h, s.SeedKeepers(), self, member.Events{
		Changed: func(_, after *member.View) { h.followView(after) },
		Keepers: func() { h.followView(h.session.View()) },
		Fault:   func(err error) { h.LogWarning("feed", err) },
	})
	h.backfiller = store.NewBackfiller(h, h.session, h.core.DiskID(), &s.Tolerance, s.RepairRate())
	h.peerUp, h.peerDown = h.session.Up, h.session.Down
	h.handlePush = func(address string, _ wire.Kind, payload []byte) { h.session.Push(address, payload) }
	h.handleCall = func(_ *process, kind wire.Kind, payload []byte, answerer wire.Answerer) {
		h.updateCore()
		if err := h.core.Handle(kind, payload, answerer); err != nil {
			answerer.Refuse(wire.RefusalBody{Code: wire.CallFailed, Reason: err.Error()})
		}
		h.flush()
	}
	h.Connect(s.SeedKeepers())
	h.flush()
	h.session.Start()
	store.NewDrainer(h, h.session, h.core.DiskID(), &s.Tolerance, s.RepairRate()).Start()
	store.NewOutcomeFetcher(h, h.session, h.core.DiskID(), func(done func([]string)) { done(h.core.LongPending()) }, func(ends []message.Outcome) {
		h.updateCore()
		h.core.PutOutcomes(ends, func() {})
		h.flush()
	}).Start()
	store.NewOrphanReporter(h, h.session, func(done func([]string)) { done(h.core.LongPendingCarrierUnits()) }).Start()
	h.runMaintenance()
	h.shutDown = func() {
		h.session.Close(func(error) {})
		h.After(50*time.Millisecond, h.terminate)
	}
	return h, nil
}

// runMaintenance runs the periodic work of the store: it updates the clock and cleans the log.
func (h *storeHost) runMaintenance() {
	h.updateCore()
	h.clean()
	h.After(500*time.Millisecond, h.runMaintenance)
}

// clean moves live records out of old segments and removes the segments that have become empty.
func (h *storeHost) clean() {
	if err := h.core.Clean(h.log.Segments()); err != nil {
		h.LogWarning("cleaning", err)
	}
	h.flush()
	for _, number := range h.core.RemovableSegments(h.log.Segments()) {
		if err := h.log.RemoveOldestSegment(); err != nil {
			h.LogWarning("cleaning", err)
			return
		}
		h.core.SegmentRemoved(number)
	}
}

func (h *storeHost) followView(view *member.View) {
	h.backfiller.ApplyRoster(view)
	addresses := append([]string(nil), h.session.Keepers()...)
	for id, other := range view.Disks {
		if id != h.core.DiskID() {
			addresses = append(addresses, other.Member.Address)
		}
	}
	h.Connect(addresses)
}

// updateCore updates the clock of the store and its view of the roster of disks.
func (h *storeHost) updateCore() {
	h.core.SetTime(h.Now())
	view := h.session.View()
	own, known := view.Disks[h.core.DiskID()]
	h.core.SetRoster(view.Epoch, known && !own.Counted)
}

// AddCopies implements store.RepairEnvironment.
func (h *storeHost) AddCopies(messages []wire.CopiedMessage, last bool) {
	h.updateCore()
	h.core.AddCopies(messages)
	if last {
		h.core.FinishBackfill()
	}
	h.flush()
}

// Complete implements store.RepairEnvironment.
func (h *storeHost) Complete() bool { return h.core.Complete() }

// CopiesPending implements store.RepairEnvironment.
func (h *storeHost) CopiesPending() bool { return h.flushing }

// RefuseOutcomes implements store.RepairEnvironment.
func (h *storeHost) RefuseOutcomes(sealed bool, done func()) {
	h.After(0, func() {
		h.core.RefuseOutcomes(sealed)
		done()
	})
}

// ListHeld implements store.RepairEnvironment.
func (h *storeHost) ListHeld(body wire.HeldBody, done func(wire.HeldAnswer)) {
	h.After(0, func() {
		h.updateCore()
		done(h.core.ListHeld(body))
	})
}

// Copies implements store.RepairEnvironment.
func (h *storeHost) Copies(ids []string, done func(wire.CopiesBody, error)) {
	h.After(0, func() { done(h.core.Copies(ids)) })
}

// flush writes and syncs the pending batch, unless a sync is in progress. If the disk is full, it tries again later.
func (h *storeHost) flush() {
	if h.flushing {
		return
	}
	batch := h.core.TakeBatch()
	if len(batch.Payloads) == 0 {
		h.core.BatchSynced(h.Now(), batch, nil)
		return
	}
	positions, err := h.log.Append(batch.Payloads...)
	if segment.IsDiskFull(err) {
		h.core.DiskFull(batch)
		h.flushing = true
		h.After(fullDiskRetryDelay, h.resumeFlush)
		return
	}
	if err == nil {
		err = h.log.Sync()
	}
	if err != nil {
		h.LogWarning("disk", err)
		return
	}
	h.flushing = true
	h.After(h.machine.syncTime(), func() {
		h.core.BatchSynced(h.Now(), batch, positions)
		h.resumeFlush()
	})
}

func (h *storeHost) resumeFlush() {
	h.flushing = false
	h.flush()
}
