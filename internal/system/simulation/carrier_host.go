package simulation

import (
	"time"

	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/wire"
)

// carrierRole names carriers' processes.
const carrierRole = "carrier"

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
	h.process = w.start(m, carrierRole, s.CarrierAddress())
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
