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

// carrierNode runs a carrier, and is its environment.
type carrierNode struct {
	*runner
	settings *settings.Settings
	core     *carrier.Core
	workers  *workers.Client
	posts    *http.Client
	reader   *catalogReader
	draining atomic.Bool
}

const maxCarrierPeers = 4096

// RunCarrier runs a carrier until the context ends, and then drains it.
func RunCarrier(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings) error {
	n := &carrierNode{runner: newRunner(), settings: s, workers: workers.NewClient(), posts: newPostClient(),
		reader: newCatalogReader(s.Cloud.Address)}
	peers, err := link.Listen(s.CarrierAddress(), maxCarrierPeers, n.frame, nil)
	if err != nil {
		return err
	}
	n.do(func() {
		n.core = carrier.New(n, s)
		n.events = peerEvents{up: n.core.PeerUp, down: n.core.PeerDown, push: func(address string, frame wire.Frame) {
			if frame.Kind == wire.FeedUpdate {
				n.core.FeedUpdate(address, frame.Payload)
			}
		}}
		n.core.Start()
	})
	readiness := newEcho()
	readiness.GET("/-/ready", n.ready)
	ready, err := startServer(s.Listen.Readiness, readiness)
	if err != nil {
		return err
	}
	connections := newIdleConnections()
	_, front, err := startTracked(s.Listen.Front, n.frontHandler(), connections.note)
	if err != nil {
		return err
	}
	go n.follow(changes, func(changed *settings.Settings) {
		s.Seeds = changed.Seeds
		n.core.SeedsChanged()
	})
	log.WithField("front", s.Listen.Front).Info("carrier serves")
	<-ctx.Done()
	n.drain(front, connections)
	stopServer(ready, 100*time.Millisecond)
	peers.Close()
	return nil
}

// acceptForPart of the grace a stopping carrier still takes new connections: the platform needs two looks to send none.
const acceptForPart = 0.40

// drain stops in order: not ready at once; each answer closes its connection; clients are served until the platform sends no
// more; then the core ends its work. What comes on connections that are still open is refused at once.
func (n *carrierNode) drain(front net.Listener, connections *idleConnections) {
	grace := n.settings.Bounds.Grace
	began := n.Now()
	log.Info("stopping: clients are sent elsewhere")
	n.draining.Store(true)
	n.do(n.core.StopReady)
	time.Sleep(time.Duration(acceptForPart * float64(grace)))
	front.Close()
	done := make(chan struct{})
	n.do(func() { n.core.Drain(began, func() { close(done) }) })
	left := func() time.Duration { return grace - (n.Now() - began) - grace/20 }
	select {
	case <-done:
	case <-time.After(left()):
	}
	connections.endAll(left())
	log.WithField("took", (n.Now() - began).String()).Info("stopped")
}

func (n *carrierNode) ready(c echo.Context) error {
	ready := false
	n.do(func() { ready = n.core.Ready() })
	if !ready {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// frame takes a call of another carrier.
func (n *carrierNode) frame(peer *link.Peer, frame wire.Frame) {
	var err error
	n.do(func() { err = n.core.Handle(frame.Kind, frame.Payload, peer.Answerer(frame.Call)) })
	if err != nil {
		log.WithError(err).WithField("peer", peer.Remote()).Warn("peer's frame is unreadable")
		peer.Close()
	}
}

// Report implements carrier.Environment.
func (n *carrierNode) Report(event string, err error) { report(event, err) }

// Inform implements carrier.Environment.
func (n *carrierNode) Inform(event string) { log.Info(event) }

// report logs what an operator should know.
func report(event string, err error) {
	if err != nil {
		log.WithError(err).Warn(event)
		return
	}
	log.Warn(event)
}

// ReadCatalog implements carrier.Environment.
func (n *carrierNode) ReadCatalog(done func(map[string]catalog.Instance, error)) {
	go func() {
		instances, err := n.reader.read()
		n.do(func() { done(instances, err) })
	}()
}
