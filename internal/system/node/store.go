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

// storeCall is a call that waits for the goroutine that owns the core.
type storeCall struct {
	peer  *link.Peer
	frame wire.Frame
}

// storeNode runs a store core in this process. One goroutine owns the core and the log, so that the calls that arrive
// during a sync are batched into the next write. The membership session and the repair of replicas run in the event loop.
type storeNode struct {
	*eventLoop
	settings      *settings.Settings
	core          *store.Core
	log           *segment.Log
	calls         chan storeCall
	session       *member.Client
	backfiller    *store.Backfiller
	coreTasks     chan func() // functions to run on the goroutine that owns the core
	backfillParts chan backfillPart
	rosterState   atomic.Pointer[rosterState]

	complete      atomic.Bool  // copy of the core's state for the backfiller
	pendingParts  atomic.Int32 // backfill parts that are not synced yet
	unsyncedParts int32        // pending parts that the core has taken

	loggedRepeats uint64        // number of repeated runs that were already logged
	nextWriteAt   time.Duration // earliest time of the next write after the disk was full
}

// rosterState is the part of the roster of disks that the goroutine that owns the core needs.
type rosterState struct {
	epoch     uint64
	nonVoting bool // this disk is in the roster and does not count toward the write quorum
}

// Bounds of the store's connections, queues and log.
const (
	maxStorePeers       = 2048
	maxQueuedCalls      = 8192
	maxCallsPerBatch    = 1024
	storeSegmentSize    = 8 << 20
	maintenanceInterval = 500 * time.Millisecond
)

// RunStore runs a store until ctx is cancelled, then writes what is pending and closes its membership session. It applies
// the seeds of settings that arrive on changes. It returns an error when the log or the listener cannot be opened, or when
// a write fails for another reason than lack of space.
func RunStore(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings) error {
	n := &storeNode{eventLoop: newEventLoop(), settings: s, calls: make(chan storeCall, maxQueuedCalls),
		backfillParts: make(chan backfillPart), coreTasks: make(chan func())}
	if err := retryWhileDiskFull(ctx, n.openLog); err != nil {
		return ignoreCancellation(ctx, err)
	}
	server, err := link.Listen(s.StoreAddress(), maxStorePeers, func(peer *link.Peer, frame wire.Frame) {
		select {
		case n.calls <- storeCall{peer: peer, frame: frame}:
		default:
			peer.Refuse(frame.Call, wire.RefusalBody{Code: wire.CallFailed, Reason: "too many calls wait"})
		}
	}, nil)
	if err != nil {
		return err
	}
	n.joinCluster()
	go n.watchSettings(changes, func(changed *settings.Settings) {
		s.Seeds = changed.Seeds
		n.session.SetSeeds(s.SeedKeepers())
		n.applyView(n.session.View())
	})
	known, pending := n.core.Counts()
	log.WithFields(log.Fields{"messages": known, "pending": pending, "complete": n.core.Complete(),
		"after": n.Now().Round(time.Millisecond).String()}).Info("store is serving")
	failure := make(chan error, 1)
	stopped := make(chan struct{})
	go n.runCore(stopped, failure)
	select {
	case err := <-failure:
		return err
	case <-ctx.Done():
	}
	server.Close()
	close(stopped)
	sessionClosed := make(chan struct{}, 1)
	n.withLock(func() { n.session.Close(func(error) { sessionClosed <- struct{}{} }) })
	select {
	case <-sessionClosed:
	case <-time.After(300 * time.Millisecond):
	}
	return <-failure
}

// openLog opens the message log, rebuilds the core from it and writes the records that a new disk starts with.
func (n *storeNode) openLog() error {
	folder, err := segment.OpenDirectory(filepath.Join(n.settings.DataDir, "messages"))
	if err != nil {
		return err
	}
	n.log, err = segment.Open(folder, storeSegmentSize)
	if err != nil {
		return err
	}
	n.core = store.New(store.Options{StatusTime: n.settings.Bounds.Status, DiskBytes: n.settings.Limits.DiskBytes}, n.log,
		n.Now())
	if err := n.replay(); err != nil {
		return err
	}
	n.core.Start(n.settings.Bootstrap, member.NewIncarnation(n, n.settings.NodeName))
	return n.flushBatch()
}

// replay reads the whole log with the garbage collector's pacing turned off, because what is read stays in memory anyway.
// The memory limit still triggers collections.
func (n *storeNode) replay() error {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	return n.log.Replay(n.core.Load)
}

// joinCluster opens the membership session and starts the background repair tasks.
func (n *storeNode) joinCluster() {
	n.events = peerEvents{
		up:   func(address string) { n.session.Up(address) },
		down: func(address string) { n.session.Down(address) },
		push: func(address string, frame wire.Frame) { n.session.Push(address, frame.Payload) },
	}
	s := n.settings
	self := session.Member{Incarnation: member.NewIncarnation(n, s.NodeName), Node: s.NodeName, Role: session.Store,
		Zone: s.Zone, Address: s.StoreAddress(), Disk: n.core.DiskID(), BootstrapDisk: n.core.BootstrapDisk()}
	n.withLock(func() {
		n.session = member.NewClient(n, n, s.SeedKeepers(), self, member.Events{
			Changed: func(_, after *member.View) { n.applyView(after) },
			Keepers: func() { n.applyView(n.session.View()) },
			Fault:   func(err error) { log.WithError(err).Warn("cannot decode feed update") },
		})
		n.backfiller = store.NewBackfiller(n, n.session, n.core.DiskID(), &s.Tolerance, s.RepairRate())
		drainer := store.NewDrainer(n, n.session, n.core.DiskID(), &s.Tolerance, s.RepairRate())
		outcomeRequester := store.NewOutcomeFetcher(n, n.session, n.core.DiskID(), n.longPending, func(ends []message.Outcome) {
			go func() { n.coreTasks <- func() { n.core.PutOutcomes(ends, func() {}) } }()
		})
		orphanReporter := store.NewOrphanReporter(n, n.session, n.longPendingUnits)
		n.Connect(s.SeedKeepers())
		n.session.Start()
		drainer.Start()
		orphanReporter.Start()
		outcomeRequester.Start()
	})
}

// applyView applies a new view of the membership: it passes the roster to the core's goroutine and the view to the
// backfiller, and connects to the keepers and to the other disks' stores.
func (n *storeNode) applyView(view *member.View) {
	addresses := append([]string(nil), n.session.Keepers()...)
	own, known := view.Disks[n.core.DiskID()]
	n.rosterState.Store(&rosterState{epoch: view.Epoch, nonVoting: known && !own.Counted})
	n.backfiller.ApplyRoster(view)
	for id, other := range view.Disks {
		if id != n.core.DiskID() {
			addresses = append(addresses, other.Member.Address)
		}
	}
	n.Connect(addresses)
}

// flushBatch writes and syncs the pending batch, then sends its responses. After the disk was full it does nothing until
// diskFullRetryInterval has passed.
func (n *storeNode) flushBatch() error {
	if n.Now() < n.nextWriteAt {
		return nil
	}
	batch := n.core.TakeBatch()
	var positions []segment.Position
	if len(batch.Payloads) > 0 {
		var err error
		var full *segment.DiskFullError
		positions, err = n.log.Append(batch.Payloads...)
		if errors.As(err, &full) {
			n.nextWriteAt = n.Now() + diskFullRetryInterval
			log.WithError(err).Error("disk is full, refusing new messages")
			n.core.DiskFull(batch)
			return nil
		}
		if err != nil {
			return err
		}
		if err := n.log.Sync(); err != nil {
			return err
		}
	}
	n.core.BatchSynced(n.Now(), batch, positions)
	n.complete.Store(n.core.Complete())
	n.pendingParts.Add(-n.unsyncedParts)
	n.unsyncedParts = 0
	return nil
}

// runCore runs on the goroutine that owns the core. It handles what has arrived, then flushes, until it is stopped. It
// sends exactly one result to failure, which is nil after an orderly stop.
func (n *storeNode) runCore(stopped <-chan struct{}, failure chan<- error) {
	maintenance := time.NewTicker(maintenanceInterval)
	defer maintenance.Stop()
	for {
		select {
		case call := <-n.calls:
			n.updateCore()
			n.handleCall(call)
			n.handleQueuedCalls()
		case part := <-n.backfillParts:
			n.updateCore()
			n.core.AddCopies(part.messages)
			if part.last {
				n.core.FinishBackfill()
				log.Info("backfill finished, the store is complete")
			}
			n.unsyncedParts++
		case do := <-n.coreTasks:
			n.updateCore()
			do()
		case <-maintenance.C:
			n.updateCore()
			n.reportRepeats()
			if err := n.cleanSegments(); err != nil {
				failure <- err
				return
			}
		case <-stopped:
			failure <- n.flushBatch()
			return
		}
		if err := n.flushBatch(); err != nil {
			failure <- err
			return
		}
	}
}

// updateCore passes the current time and roster to the core.
func (n *storeNode) updateCore() {
	n.core.SetTime(n.Now())
	if current := n.rosterState.Load(); current != nil {
		n.core.SetRoster(current.epoch, current.nonVoting)
	}
}

// handleQueuedCalls handles the calls that are already queued, so that they share a batch.
func (n *storeNode) handleQueuedCalls() {
	for range maxCallsPerBatch {
		select {
		case call := <-n.calls:
			n.handleCall(call)
		default:
			return
		}
	}
}

// reportRepeats logs messages that ran again after a success. Every store that holds such a message logs it.
func (n *storeNode) reportRepeats() {
	repeats := n.core.Repeats()
	if repeats.Count > n.loggedRepeats {
		log.WithFields(log.Fields{"messages": repeats.Count - n.loggedRepeats, "latest": repeats.Latest}).Warn("messages ran again after a success")
	}
	n.loggedRepeats = repeats.Count
}

// cleanSegments rewrites what is still needed of old segments and removes segments that hold nothing that is needed.
func (n *storeNode) cleanSegments() error {
	if err := n.core.Clean(n.log.Segments()); err != nil {
		return err
	}
	if err := n.flushBatch(); err != nil {
		return err
	}
	for _, number := range n.core.RemovableSegments(n.log.Segments()) {
		if err := n.log.RemoveOldestSegment(); err != nil {
			return err
		}
		n.core.SegmentRemoved(number)
	}
	return nil
}

// handleCall passes a call to the core, which responds once its batch is synced. A call that the core cannot begin is
// refused.
func (n *storeNode) handleCall(call storeCall) {
	answerer := call.peer.Answerer(call.frame.Call)
	if err := n.core.Handle(call.frame.Kind, call.frame.Payload, answerer); err != nil {
		log.WithError(err).WithField("peer", call.peer.RemoteAddr()).Warn("call failed")
		answerer.Refuse(wire.RefusalBody{Code: wire.CallFailed, Reason: err.Error()})
	}
}
