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

// keeperNode runs a keeper.
type keeperNode struct {
	*runner
	settings *settings.Settings
	core     *keeper.Core
	disks    [keeper.Groups]*disk.Member
	wake     [keeper.Groups]chan struct{}
	server   *link.Server
	members  map[*link.Peer]keeper.Subscriber
	byNumber map[keeper.Subscriber]*link.Peer
	last     keeper.Subscriber
	reader   *catalogReader
	pushing  bool

	joiner    *keeper.Joiner
	connected []string
	resetting [keeper.Groups]bool
	leaders   [keeper.Groups]string
	held      map[string][]heldMessages // by peer

	ctx          context.Context // ends with the role
	compactAfter [keeper.Groups]time.Duration
}

const (
	maxKeeperPeers = 1024
	peerUpTick     = 20 * time.Millisecond // after a connection came about, until an election that was hastened by it
)

// RunKeeper runs a keeper until the context ends.
func RunKeeper(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings) error {
	n := &keeperNode{runner: newRunner(), settings: s, members: map[*link.Peer]keeper.Subscriber{},
		byNumber: map[keeper.Subscriber]*link.Peer{}, held: map[string][]heldMessages{}, reader: newCatalogReader(s.Cloud.Address), ctx: ctx}
	if err := n.open(); err != nil {
		return unlessStopped(ctx, err)
	}
	n.events = peerEvents{up: func(address string) {
		n.release(address)
		n.core.PeerUp(n.Now())
		n.After(peerUpTick, func() {
			n.core.Tick(n.Now())
			n.after()
		})
	}}
	server, err := link.Listen(s.KeeperAddress(s.IP), maxKeeperPeers, n.frame, n.closed)
	if err != nil {
		return err
	}
	n.server = server
	operators, err := n.serveOperators()
	if err != nil {
		return err
	}
	go n.follow(changes, func(changed *settings.Settings) { s.Seeds = changed.Seeds })
	failures := make(chan error, keeper.Groups)
	n.do(func() {
		n.connect()
		n.tick()
		n.joiner = keeper.NewJoiner(n, n.core)
		n.joiner.Step()
	})
	for group := range keeper.Groups {
		go n.persist(group, failures)
	}
	log.WithFields(log.Fields{"members": n.connected, "after": n.Now().Round(time.Millisecond).String()}).Info("keeper serves")
	select {
	case err := <-failures:
		return unlessStopped(ctx, err)
	case <-ctx.Done():
	}
	n.yield()
	stopServer(operators, time.Second)
	server.Close()
	return nil
}

// Times of handing over what a stopping keeper leads.
const (
	yieldInterval = 150 * time.Millisecond
	yieldMost     = 900 * time.Millisecond
)

// yield has other keepers lead what this one leads, as far as they can in a while.
func (n *keeperNode) yield() {
	for until := n.Now() + yieldMost; n.Now() < until; time.Sleep(yieldInterval) {
		yielded := false
		n.do(func() {
			yielded = n.core.Yield(n.Now())
			n.after()
		})
		if yielded {
			return
		}
	}
}

// connect keeps connections to all keepers that are known, and to the seeds.
func (n *keeperNode) connect() {
	var others []string
	for _, address := range append(n.core.Keepers(), n.settings.SeedKeepers()...) {
		if address != n.address() && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	if !slices.Equal(others, n.connected) {
		n.connected = others
		n.Connect(others)
	}
}

func (n *keeperNode) address() string { return n.settings.KeeperAddress(n.settings.IP) }

// fresh is the identity of a member on an empty disk: a founder where the whole system starts for the first time and
// the seeds name this machine, else a newcomer.
func (n *keeperNode) fresh() disk.Identity {
	founders := n.settings.SeedKeepers()
	if n.settings.Bootstrap && slices.Contains(founders, n.address()) {
		return disk.Identity{ID: n.address(), Founders: founders}
	}
	return disk.Identity{ID: keeper.FreshIdentity(n.address(), member.NewIncarnation(n, n.settings.NodeName))}
}

func (n *keeperNode) open() error {
	var stored [keeper.Groups]agreement.Stored
	options := keeper.Options{Address: n.address(), Tolerance: &n.settings.Tolerance, Random: n.Random,
		FeedEpoch: member.NewIncarnation(n, n.settings.NodeName)}
	if err := n.openDisks(n.ctx); err != nil {
		return err
	}
	for group, member := range n.disks {
		stored[group], options.IDs[group] = member.Stored(), member.ID()
		n.wake[group] = make(chan struct{}, 1)
	}
	core, err := keeper.New(options, stored, n.Now())
	n.core = core
	return err
}

// Others implements keeper.JoinEnvironment.
func (n *keeperNode) Others() []string { return n.connected }

// Reset implements keeper.JoinEnvironment: the goroutine that owns the group's disk does it.
func (n *keeperNode) Reset(group int) {
	n.resetting[group] = true
	select {
	case n.wake[group] <- struct{}{}:
	default:
	}
}

// tick lets the core's time pass, and sets its next timer.
func (n *keeperNode) tick() {
	n.core.Tick(n.Now())
	n.connect()
	n.noteLeaders()
	n.readCatalog()
	n.after()
	const least = 10 * time.Millisecond
	n.After(max(least, n.core.NextWake()-n.Now()), n.tick)
}

// noteLeaders logs who leads a group whenever that changes.
func (n *keeperNode) noteLeaders() {
	for group := range keeper.Groups {
		leader, _ := n.core.Leader(group)
		if leader != n.leaders[group] {
			n.leaders[group] = leader
			log.WithFields(log.Fields{"group": group, "leader": leader}).Info("leader of a group")
		}
	}
}

// after lets go what the core has made ready: writes by the groups' goroutines, pushes to members.
func (n *keeperNode) after() {
	for group := range n.wake {
		select {
		case n.wake[group] <- struct{}{}:
		default:
		}
	}
	n.push()
}

// pushGather gathers changes of the feed into one update.
const pushGather = 5 * time.Millisecond

func (n *keeperNode) push() {
	if n.pushing {
		return
	}
	n.pushing = true
	n.After(pushGather, func() {
		n.pushing = false
		for _, push := range n.core.Pushes() {
			if peer := n.byNumber[push.To]; peer != nil {
				peer.Push(wire.FeedUpdate, push.Payload)
			}
		}
	})
}

func (n *keeperNode) readCatalog() {
	if n.settings.Cloud.Address == "" || !n.core.WantsCatalog(n.Now()) {
		return
	}
	begun := n.Now()
	go func() {
		instances, err := n.reader.read()
		if err != nil {
			log.WithError(err).Warn("list of workers can't be read")
			return
		}
		n.do(func() {
			n.core.CatalogRead(n.Now(), begun, instances)
			n.push()
		})
	}()
}
