package node

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/agreement/disk"
	"granitewing/internal/system/link"
	"granitewing/internal/system/member"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/wire"
)

// keeperNode runs a keeper core in this process. One goroutine per control group writes and syncs that group's log.
type keeperNode struct {
	*eventLoop
	settings          *settings.Settings
	core              *keeper.Core
	disks             [keeper.Groups]*disk.Storage
	wake              [keeper.Groups]chan struct{}
	server            *link.Server
	subscribers       map[*link.Peer]keeper.Subscriber
	peersBySubscriber map[keeper.Subscriber]*link.Peer
	lastSubscriber    keeper.Subscriber
	catalogReader     *catalogReader
	pushScheduled     bool

	joiner         *keeper.Joiner
	otherKeepers   []string
	resetRequested [keeper.Groups]bool
	leaders        [keeper.Groups]string
	queued         map[string][]queuedMessages // by peer address; see queueForPeer

	ctx            context.Context // cancelled when the role stops
	nextCompaction [keeper.Groups]time.Duration
}

const (
	maxKeeperPeers  = 1024
	peerUpTickDelay = 20 * time.Millisecond // between a new connection and the election that it may hasten
)

// RunKeeper runs a keeper until ctx is cancelled, then transfers leadership of its groups and stops. It applies the seeds
// of settings that arrive on changes. It returns an error when the disk or a listener cannot be opened, or when a write to
// the disk fails for another reason than lack of space.
func RunKeeper(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings) error {
	n := &keeperNode{eventLoop: newEventLoop(), settings: s, subscribers: map[*link.Peer]keeper.Subscriber{},
		peersBySubscriber: map[keeper.Subscriber]*link.Peer{}, queued: map[string][]queuedMessages{},
		catalogReader: newCatalogReader(s.Cloud.Address), ctx: ctx}
	if err := n.openState(); err != nil {
		return ignoreCancellation(ctx, err)
	}
	n.events = peerEvents{up: func(address string) {
		n.sendQueued(address)
		n.core.PeerUp(n.Now())
		n.After(peerUpTickDelay, func() {
			n.core.Tick(n.Now())
			n.dispatchReady()
		})
	}}
	server, err := link.Listen(s.KeeperAddress(s.IP), maxKeeperPeers, n.handleFrame, n.handleClosed)
	if err != nil {
		return err
	}
	n.server = server
	operatorServer, err := n.serveOperatorAPI()
	if err != nil {
		return err
	}
	go n.watchSettings(changes, func(changed *settings.Settings) { s.Seeds = changed.Seeds })
	failures := make(chan error, keeper.Groups)
	n.withLock(func() {
		n.connectKeepers()
		n.tick()
		n.joiner = keeper.NewJoiner(n, n.core)
		n.joiner.Step()
	})
	for group := range keeper.Groups {
		go n.persist(group, failures)
	}
	log.WithFields(log.Fields{"members": n.otherKeepers, "after": n.Now().Round(time.Millisecond).String()}).Info("keeper is serving")
	select {
	case err := <-failures:
		return ignoreCancellation(ctx, err)
	case <-ctx.Done():
	}
	n.transferLeadership()
	stopServer(operatorServer, time.Second)
	server.Close()
	return nil
}

// Timing of the leadership transfer when a keeper stops.
const (
	transferInterval = 150 * time.Millisecond
	maxTransferTime  = 900 * time.Millisecond
)

// transferLeadership asks other keepers to take over the groups that this one leads. It gives up after maxTransferTime.
func (n *keeperNode) transferLeadership() {
	for until := n.Now() + maxTransferTime; n.Now() < until; time.Sleep(transferInterval) {
		transferred := false
		n.withLock(func() {
			transferred = n.core.TransferLeadership(n.Now())
			n.dispatchReady()
		})
		if transferred {
			return
		}
	}
}

// connectKeepers maintains connections to all known keepers and to the seeds.
func (n *keeperNode) connectKeepers() {
	var others []string
	for _, address := range append(n.core.Keepers(), n.settings.SeedKeepers()...) {
		if address != n.address() && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	if !slices.Equal(others, n.otherKeepers) {
		n.otherKeepers = others
		n.Connect(others)
	}
}

func (n *keeperNode) address() string { return n.settings.KeeperAddress(n.settings.IP) }

// newIdentity returns the identity of a group member on an empty disk: a bootstrap member if the whole system starts for
// the first time and the seeds name this machine, else a new member that has to join.
func (n *keeperNode) newIdentity() disk.Identity {
	bootstrapMembers := n.settings.SeedKeepers()
	if n.settings.Bootstrap && slices.Contains(bootstrapMembers, n.address()) {
		return disk.Identity{ID: n.address(), Founders: bootstrapMembers}
	}
	return disk.Identity{ID: keeper.FreshIdentity(n.address(), member.NewIncarnation(n, n.settings.NodeName))}
}

// openState reads the state of all groups from the disk and creates the core from it.
func (n *keeperNode) openState() error {
	var stored [keeper.Groups]agreement.PersistentState
	options := keeper.Options{Address: n.address(), Tolerance: &n.settings.Tolerance, Random: n.Random,
		FeedEpoch: member.NewIncarnation(n, n.settings.NodeName)}
	if err := n.openDisks(n.ctx); err != nil {
		return err
	}
	for group, member := range n.disks {
		stored[group], options.IDs[group] = member.PersistentState(), member.ID()
		n.wake[group] = make(chan struct{}, 1)
	}
	core, err := keeper.New(options, stored, n.Now())
	n.core = core
	return err
}

// KnownKeepers implements keeper.JoinEnvironment.
func (n *keeperNode) KnownKeepers() []string { return n.otherKeepers }

// Reset implements keeper.JoinEnvironment. The goroutine that owns the group's log carries it out.
func (n *keeperNode) Reset(group int) {
	n.resetRequested[group] = true
	select {
	case n.wake[group] <- struct{}{}:
	default:
	}
}

// tick advances the core's clock, does the periodic work and schedules the next tick.
func (n *keeperNode) tick() {
	n.core.Tick(n.Now())
	n.connectKeepers()
	n.logLeaderChanges()
	n.readCatalog()
	n.dispatchReady()
	const minInterval = 10 * time.Millisecond
	n.After(max(minInterval, n.core.NextWake()-n.Now()), n.tick)
}

// logLeaderChanges logs the leader of each group whose leader has changed.
func (n *keeperNode) logLeaderChanges() {
	for group := range keeper.Groups {
		leader, _ := n.core.Leader(group)
		if leader != n.leaders[group] {
			n.leaders[group] = leader
			log.WithFields(log.Fields{"group": group, "leader": leader}).Info("group leader changed")
		}
	}
}

// dispatchReady starts the work that the core has prepared: writes by the groups' goroutines and pushes to subscribers.
func (n *keeperNode) dispatchReady() {
	for group := range n.wake {
		select {
		case n.wake[group] <- struct{}{}:
		default:
		}
	}
	n.schedulePush()
}

// pushBatchDelay is the time over which changes of the feed are batched into one update.
const pushBatchDelay = 5 * time.Millisecond

// schedulePush pushes pending feed updates to subscribers after pushBatchDelay.
func (n *keeperNode) schedulePush() {
	if n.pushScheduled {
		return
	}
	n.pushScheduled = true
	n.After(pushBatchDelay, func() {
		n.pushScheduled = false
		for _, push := range n.core.Pushes() {
			if peer := n.peersBySubscriber[push.To]; peer != nil {
				peer.Push(wire.FeedUpdate, push.Payload)
			}
		}
	})
}

// readCatalog reads the platform's list of workers in the background when the core wants a new reading.
func (n *keeperNode) readCatalog() {
	if n.settings.Cloud.Address == "" || !n.core.CatalogReadDue(n.Now()) {
		return
	}
	started := n.Now()
	go func() {
		instances, err := n.catalogReader.readAll()
		if err != nil {
			log.WithError(err).Warn("cannot read the list of workers")
			return
		}
		n.withLock(func() {
			n.core.UpdateCatalog(n.Now(), started, instances)
			n.schedulePush()
		})
	}()
}
