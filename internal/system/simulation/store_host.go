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
	const mostSegments = 16
	segmentLength := uint32(min(1<<20, s.Limits.DiskBytes/mostSegments))
	if h.log, err = segment.Open(m.disk(w, "messages"), segmentLength); err != nil {
		return nil, err
	}
	h.core = store.New(store.Options{Status: s.Bounds.Status, DiskBytes: s.Limits.DiskBytes}, h.log, h.Now())
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
	h.clean()
	h.After(500*time.Millisecond, h.idle)
}

// clean has old segments emptied, and removes those that are.
func (h *storeHost) clean() {
	if err := h.core.Clean(h.log.Segments()); err != nil {
		h.Report("cleaning", err)
	}
	h.flush()
	for _, number := range h.core.Removable(h.log.Segments()) {
		if err := h.log.RemoveOldest(); err != nil {
			h.Report("cleaning", err)
			return
		}
		h.core.Removed(number)
	}
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
	h.core.Time(h.Now())
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

// Complete implements store.RepairEnvironment.
func (h *storeHost) Complete() bool { return h.core.Complete() }

// Filling implements store.RepairEnvironment.
func (h *storeHost) Filling() bool { return h.busy }

// Seal implements store.RepairEnvironment.
func (h *storeHost) Seal(sealed bool, done func()) {
	h.After(0, func() {
		h.core.Seal(sealed)
		done()
	})
}

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
	if segment.IsFull(err) {
		h.core.Full(batch)
		h.busy = true
		h.After(fullPause, h.flushAgain)
		return
	}
	if err == nil {
		err = h.log.Sync()
	}
	if err != nil {
		h.Report("disk", err)
		return
	}
	h.busy = true
	h.After(h.machine.syncTime(), func() {
		h.core.Synced(h.Now(), batch, positions)
		h.flushAgain()
	})
}

func (h *storeHost) flushAgain() {
	h.busy = false
	h.flush()
}
