package simulation

import (
	"time"

	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/wire"
)

// carrierRole is the role name of the carriers' processes.
const carrierRole = "carrier"

// carrierHost runs a carrier and implements its environment.
type carrierHost struct {
	*process
	settings        *settings.Settings
	core            *carrier.Core
	platform        *platform
	closedToClients bool // accepts no new submissions
}

func startCarrier(w *world, m *machine, s *settings.Settings, platform *platform) *carrierHost {
	h := &carrierHost{settings: s, platform: platform}
	h.process = w.start(m, carrierRole, s.CarrierAddress())
	h.core = carrier.New(h, s)
	h.peerUp, h.peerDown = h.core.PeerUp, h.core.PeerDown
	h.handlePush = func(address string, kind wire.Kind, payload []byte) {
		if kind == wire.FeedUpdate {
			h.core.FeedUpdate(address, payload)
		}
	}
	h.handleCall = func(_ *process, kind wire.Kind, payload []byte, answerer wire.Answerer) {
		if err := h.core.Handle(kind, payload, answerer); err != nil {
			h.LogWarning("call", err)
		}
	}
	h.core.Start()
	h.shutDown = h.drain
	return h
}

// drain shuts the carrier down on SIGTERM: it accepts submissions for a part of the grace period, and then drains.
func (h *carrierHost) drain() {
	const acceptShareOfGrace = 0.40
	startedAt := h.Now()
	h.core.BeginShutdown()
	h.After(time.Duration(acceptShareOfGrace*float64(h.settings.Bounds.Grace)), func() {
		h.closedToClients = true
		h.core.Shutdown(startedAt, func() { h.After(0, h.terminate) })
	})
}
