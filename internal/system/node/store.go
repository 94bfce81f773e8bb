package node

import (
	"context"
	"errors"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/link"
	"granitewing/internal/system/member"
	"granitewing/internal/system/message"
	"granitewing/internal/system/role/store"
	"granitewing/internal/system/segment"
	"granitewing/internal/system/session"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/wire"
)

// storeCall is a frame that waits for the store's goroutine.
type storeCall struct {
	peer  *link.Peer
	frame wire.Frame
}

// storeNode runs a store: one goroutine owns the core and the log, so that what gathers while it syncs goes into the
// next batch.
type storeNode struct {
	*runner
	settings *settings.Settings
	core     *store.Core
	log      *segment.Log
	calls    chan storeCall
	session  *member.Client
	filler   *store.Filler
	work     chan func() // things for the goroutine that owns the core
	parts    chan filledPart
	roster   atomic.Pointer[roster]

	complete     atomic.Bool  // as the core is, for the filler
	waitingParts atomic.Int32 // parts of a filling that don't lie on the disk
	unwritten    int32        // those of them that the core has taken

	repeats   uint64        // runs after a success that were logged
	fullUntil time.Duration // no write is tried before
}

// roster is what the goroutine that owns the core has to know of the roster of disks.
type roster struct {
	epoch     uint64
	uncounted bool // this disk is in the roster and doesn't count
}

const (
	maxStorePeers    = 2048
	maxWaitingCalls  = 8192
	maxCallsInBatch  = 1024
	storeSegmentSize = 8 << 20
	storeIdle        = 500 * time.Millisecond
)

// RunStore runs a store until the context ends.
func RunStore(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings) error {
	n := &storeNode{runner: newRunner(), settings: s, calls: make(chan storeCall, maxWaitingCalls),
		parts: make(chan filledPart), work: make(chan func())}
	if err := whileFull(ctx, n.open); err != nil {
		return unlessStopped(ctx, err)
	}
	server, err := link.Listen(s.StoreAddress(), maxStorePeers, func(peer *link.Peer, frame wire.Frame) {
		select {
		case n.calls <- storeCall{peer: peer, frame: frame}:
		default:
			peer.Refuse(frame.Call, wire.RefusalBody{Code: wire.Failed, Reason: "too many calls wait"})
		}
	}, nil)
	if err != nil {
		return err
	}
	n.join()
	go n.follow(changes, func(changed *settings.Settings) {
		s.Seeds = changed.Seeds
		n.session.SetSeeds(s.SeedKeepers())
		n.connect(n.session.View())
	})
	known, pending := n.core.Counts()
	log.WithFields(log.Fields{"messages": known, "pending": pending, "complete": n.core.Complete(),
		"after": n.Now().Round(time.Millisecond).String()}).Info("store serves")
	failure := make(chan error, 1)
	stopped := make(chan struct{})
	go n.own(stopped, failure)
	select {
	case err := <-failure:
		return err
	case <-ctx.Done():
	}
	server.Close()
	close(stopped)
	left := make(chan struct{}, 1)
	n.do(func() { n.session.Close(func(error) { left <- struct{}{} }) })
	select {
	case <-left:
	case <-time.After(300 * time.Millisecond):
	}
	return <-failure
}

func (n *storeNode) open() error {
	folder, err := segment.OpenFolder(filepath.Join(n.settings.DataDir, "messages"))
	if err != nil {
		return err
	}
	n.log, err = segment.Open(folder, storeSegmentSize)
	if err != nil {
		return err
	}
	n.core = store.New(store.Options{Status: n.settings.Bounds.Status, DiskBytes: n.settings.Limits.DiskBytes}, n.log,
		n.Now())
	if err := n.replay(); err != nil {
		return err
	}
	n.core.Start(n.settings.Bootstrap, member.NewIncarnation(n, n.settings.NodeName))
	return n.flush()
}

// replay reads the whole log, without the collector's turns: what is read is kept, and the limit on memory stands.
func (n *storeNode) replay() error {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	return n.log.Replay(n.core.Load)
}

func (n *storeNode) join() {
	n.events = peerEvents{
		up:   func(address string) { n.session.Up(address) },
		down: func(address string) { n.session.Down(address) },
		push: func(address string, frame wire.Frame) { n.session.Push(address, frame.Payload) },
	}
	s := n.settings
	self := session.Member{Incarnation: member.NewIncarnation(n, s.NodeName), Node: s.NodeName, Role: session.Store,
		Zone: s.Zone, Address: s.StoreAddress(), Disk: n.core.Disk(), Founder: n.core.Founder()}
	n.do(func() {
		n.session = member.NewClient(n, n, s.SeedKeepers(), self, member.Events{
			Changed: func(_, after *member.View) { n.connect(after) },
			Keepers: func() { n.connect(n.session.View()) },
			Fault:   func(err error) { log.WithError(err).Warn("feed is unreadable") },
		})
		n.filler = store.NewFiller(n, n.session, n.core.Disk(), &s.Tolerance, s.RepairRate())
		emptier := store.NewEmptier(n, n.session, n.core.Disk(), &s.Tolerance, s.RepairRate())
		asker := store.NewEndsAsker(n, n.session, n.core.Disk(), n.longPending, func(ends []message.End) {
			go func() { n.work <- func() { n.core.Ends(ends, func() {}) } }()
		})
		n.Connect(s.SeedKeepers())
		n.session.Start()
		emptier.Start()
		asker.Start()
	})
}

func (n *storeNode) connect(view *member.View) {
	addresses := append([]string(nil), n.session.Keepers()...)
	own, known := view.Disks[n.core.Disk()]
	n.roster.Store(&roster{epoch: view.Epoch, uncounted: known && !own.Counted})
	n.filler.Follow(view)
	for id, other := range view.Disks {
		if id != n.core.Disk() {
			addresses = append(addresses, other.Member.Address)
		}
	}
	n.Connect(addresses)
}

// flush writes, syncs and answers the batch that has gathered.
func (n *storeNode) flush() error {
	if n.Now() < n.fullUntil {
		return nil
	}
	batch := n.core.Take()
	var positions []segment.Position
	if len(batch.Payloads) > 0 {
		var err error
		var full *segment.FullError
		positions, err = n.log.Append(batch.Payloads...)
		if errors.As(err, &full) {
			n.fullUntil = n.Now() + fullPause
			log.WithError(err).Error("nothing is taken until there is room")
			n.core.Full(batch)
			return nil
		}
		if err != nil {
			return err
		}
		if err := n.log.Sync(); err != nil {
			return err
		}
	}
	n.core.Synced(n.Now(), batch, positions)
	n.complete.Store(n.core.Complete())
	n.waitingParts.Add(-n.unwritten)
	n.unwritten = 0
	return nil
}

// own owns the core: it handles what has come, then flushes, until it is stopped.
func (n *storeNode) own(stopped <-chan struct{}, failure chan<- error) {
	idle := time.NewTicker(storeIdle)
	defer idle.Stop()
	for {
		select {
		case call := <-n.calls:
			n.catchUp()
			n.handle(call)
			n.gather()
		case part := <-n.parts:
			n.catchUp()
			n.core.TakeCopy(part.messages)
			if part.last {
				n.core.CopyFinished()
				log.Info("all that lay on too few disks was copied; complete from now on")
			}
			n.unwritten++
		case do := <-n.work:
			n.catchUp()
			do()
		case <-idle.C:
			n.catchUp()
			n.reportRepeats()
			if err := n.clean(); err != nil {
				failure <- err
				return
			}
		case <-stopped:
			failure <- n.flush()
			return
		}
		if err := n.flush(); err != nil {
			failure <- err
			return
		}
	}
}

// catchUp tells the core the time and the roster.
func (n *storeNode) catchUp() {
	n.core.Time(n.Now())
	if followed := n.roster.Load(); followed != nil {
		n.core.Follow(followed.epoch, followed.uncounted)
	}
}

func (n *storeNode) gather() {
	for range maxCallsInBatch {
		select {
		case call := <-n.calls:
			n.handle(call)
		default:
			return
		}
	}
}

// reportRepeats logs that messages have run again after a success. Each store that holds them logs it.
func (n *storeNode) reportRepeats() {
	repeats := n.core.Repeats()
	if repeats.Count > n.repeats {
		log.WithFields(log.Fields{"messages": repeats.Count - n.repeats, "latest": repeats.Latest}).Warn("messages ran again after a success")
	}
	n.repeats = repeats.Count
}

// clean has old segments emptied, and removes those that are.
func (n *storeNode) clean() error {
	if err := n.core.Clean(n.log.Segments()); err != nil {
		return err
	}
	if err := n.flush(); err != nil {
		return err
	}
	for _, number := range n.core.Removable(n.log.Segments()) {
		if err := n.log.RemoveOldest(); err != nil {
			return err
		}
		n.core.Removed(number)
	}
	return nil
}

func (n *storeNode) handle(call storeCall) {
	answerer := call.peer.Answerer(call.frame.Call)
	if err := n.core.Handle(call.frame.Kind, call.frame.Payload, answerer); err != nil {
		log.WithError(err).WithField("peer", call.peer.Remote()).Warn("call was not carried out")
		answerer.Refuse(wire.RefusalBody{Code: wire.Failed, Reason: err.Error()})
	}
}
