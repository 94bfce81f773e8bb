package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/link"
	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/wire"
	"granitewing/internal/system/workers"
)

// carrierNode runs a carrier core in this process and implements carrier.Environment for it.
type carrierNode struct {
	*eventLoop
	settings       *settings.Settings
	core           *carrier.Core
	workers        *workers.Client
	callbackClient *http.Client
	catalogReader  *catalogReader
	draining       atomic.Bool // a graceful shutdown has begun: responses close their connections
}

// maxCarrierPeers bounds the inbound connections from other carriers.
const maxCarrierPeers = 4096

// RunCarrier runs a carrier until ctx is cancelled, then shuts it down gracefully within the grace period. It applies the
// seeds of settings that arrive on changes. It returns an error only when one of its listeners cannot be opened.
func RunCarrier(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings) error {
	n := &carrierNode{eventLoop: newEventLoop(), settings: s, workers: workers.NewClient(), callbackClient: newCallbackClient(),
		catalogReader: newCatalogReader(s.Cloud.Address)}
	peerServer, err := link.Listen(s.CarrierAddress(), maxCarrierPeers, n.handleFrame, nil)
	if err != nil {
		return err
	}
	n.withLock(func() {
		n.core = carrier.New(n, s)
		n.events = peerEvents{up: n.core.PeerUp, down: n.core.PeerDown, push: func(address string, frame wire.Frame) {
			if frame.Kind == wire.FeedUpdate {
				n.core.FeedUpdate(address, frame.Payload)
			}
		}}
		n.core.Start()
	})
	readinessHandler := newEcho()
	readinessHandler.GET("/-/ready", n.handleReady)
	readinessServer, err := startServer(s.Listen.Readiness, readinessHandler)
	if err != nil {
		return err
	}
	connections := newConnectionTracker()
	_, frontListener, err := startTrackedServer(s.Listen.Front, n.frontHandler(), connections.trackState)
	if err != nil {
		return err
	}
	go n.watchSettings(changes, func(changed *settings.Settings) {
		s.Seeds = changed.Seeds
		n.core.SeedsChanged()
	})
	log.WithField("front", s.Listen.Front).Info("carrier is serving")
	<-ctx.Done()
	n.drain(frontListener, connections)
	stopServer(readinessServer, 100*time.Millisecond)
	peerServer.Close()
	return nil
}

// acceptFraction is the fraction of the grace period during which a stopping carrier still accepts new connections: the
// platform needs two readiness checks before it stops sending clients here.
const acceptFraction = 0.40

// drain shuts down gracefully. The readiness check fails at once and every response closes its connection. Clients are
// served until the platform sends no more of them; then the core finishes its work. Requests that still arrive on open
// connections are refused at once.
func (n *carrierNode) drain(frontListener net.Listener, connections *connectionTracker) {
	grace := n.settings.Bounds.Grace
	started := n.Now()
	log.Info("shutting down: readiness checks fail from now on")
	n.draining.Store(true)
	n.withLock(n.core.BeginShutdown)
	time.Sleep(time.Duration(acceptFraction * float64(grace)))
	frontListener.Close()
	done := make(chan struct{})
	n.withLock(func() { n.core.Shutdown(started, func() { close(done) }) })
	remaining := func() time.Duration { return grace - (n.Now() - started) - grace/20 }
	select {
	case <-done:
	case <-time.After(remaining()):
	}
	connections.closeAll(remaining())
	log.WithField("took", (n.Now() - started).String()).Info("stopped")
}

func (n *carrierNode) handleReady(c echo.Context) error {
	ready := false
	n.withLock(func() { ready = n.core.Ready() })
	if !ready {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// handleFrame passes a call from another carrier to the core. A frame that cannot be decoded closes the connection.
func (n *carrierNode) handleFrame(peer *link.Peer, frame wire.Frame) {
	var err error
	n.withLock(func() { err = n.core.Handle(frame.Kind, frame.Payload, peer.Answerer(frame.Call)) })
	if err != nil {
		log.WithError(err).WithField("peer", peer.RemoteAddr()).Warn("cannot decode frame from peer")
		peer.Close()
	}
}

// LogWarning implements carrier.Environment.
func (n *carrierNode) LogWarning(event string, err error) { report(event, err) }

// LogInfo implements carrier.Environment.
func (n *carrierNode) LogInfo(event string) { log.Info(event) }

// report logs a warning for the operator, with err if it is not nil.
func report(event string, err error) {
	if err != nil {
		log.WithError(err).Warn(event)
		return
	}
	log.Warn(event)
}

// ReadCatalog implements carrier.Environment. It reads in the background and calls done under the loop's mutex.
func (n *carrierNode) ReadCatalog(done func(map[string]catalog.Instance, error)) {
	go func() {
		instances, err := n.catalogReader.readAll()
		n.withLock(func() { done(instances, err) })
	}()
}
