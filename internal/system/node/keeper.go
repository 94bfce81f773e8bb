package node

import (
	"context"
	"errors"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/agreement/disk"
	"granitewing/internal/system/link"
	"granitewing/internal/system/member"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/segment"
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
}

const (
	maxKeeperPeers = 1024
	peerUpTick     = 20 * time.Millisecond // after a connection came about, until an election that was hastened by it
)

// RunKeeper runs a keeper until the context ends.
func RunKeeper(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings) error {
	n := &keeperNode{runner: newRunner(), settings: s, members: map[*link.Peer]keeper.Subscriber{},
		byNumber: map[keeper.Subscriber]*link.Peer{}, held: map[string][]heldMessages{}, reader: newCatalogReader(s.Cloud.Address)}
	if err := n.open(); err != nil {
		return err
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
		return err
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
	if err := n.openDisks(); err != nil {
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

// openDisks reads what the disk holds of each group, all at once: most of it is waiting for syncs.
func (n *keeperNode) openDisks() error {
	var failures [keeper.Groups]error
	var opened sync.WaitGroup
	for group := range keeper.Groups {
		fresh := n.fresh()
		opened.Go(func() {
			folder, err := segment.OpenFolder(filepath.Join(n.settings.DataDir, "control-"+strconv.Itoa(group)))
			if err != nil {
				failures[group] = err
				return
			}
			n.disks[group], failures[group] = disk.Open(folder, fresh)
		})
	}
	opened.Wait()
	return errors.Join(failures[:]...)
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

// reset gives a group's member another identity; it runs on the goroutine that owns the group's disk.
func (n *keeperNode) reset(group int) error {
	wanted := false
	n.do(func() { wanted = n.resetting[group] })
	if !wanted {
		return nil
	}
	identity := disk.Identity{ID: keeper.FreshIdentity(n.address(), member.NewIncarnation(n, n.settings.NodeName))}
	log.WithField("group", group).Warn("the group does without this keeper; it joins anew")
	if err := n.disks[group].Begin(identity); err != nil {
		return err
	}
	n.do(func() {
		n.resetting[group] = false
		n.core.ResetGroup(n.Now(), group, identity.ID)
		n.joiner.WasReset(group)
	})
	return nil
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
				peer.Push(wire.FeedUpdate, &push.Update)
			}
		}
	})
}

// persist writes, syncs, sends and applies what a group has ready, one after the other.
func (n *keeperNode) persist(group int, failures chan<- error) {
	for range n.wake[group] {
		if err := n.reset(group); err != nil {
			failures <- err
			return
		}
		for {
			var ready agreement.Ready
			n.do(func() { ready = n.core.Ready(group) })
			if ready.Empty() {
				break
			}
			if err := n.carryOut(group, &ready); err != nil {
				failures <- err
				return
			}
		}
	}
}

func (n *keeperNode) carryOut(group int, ready *agreement.Ready) error {
	if err := n.save(group, ready); err != nil {
		return err
	}
	var failure error
	n.do(func() {
		n.send(group, ready.Messages)
		failure = n.core.Persisted(n.Now(), group, ready)
		n.push()
	})
	if failure != nil {
		return failure
	}
	return n.compact(group)
}

// save writes and syncs; while the disk is full it tries again, and the group goes on without this member.
func (n *keeperNode) save(group int, ready *agreement.Ready) error {
	for {
		err := n.disks[group].Save(ready)
		var full *segment.FullError
		if !errors.As(err, &full) {
			return err
		}
		log.WithError(err).WithField("group", group).Error("the group's member stands still until there is room")
		time.Sleep(fullPause)
	}
}

func (n *keeperNode) compact(group int) error {
	var stored agreement.Stored
	var compacted bool
	var err error
	n.do(func() {
		if n.disks[group].WantsCompaction(n.core.LogLength(group)) {
			stored, compacted, err = n.core.Compact(group)
		}
	})
	if err != nil || !compacted {
		return err
	}
	return n.disks[group].Compact(stored)
}

// send passes messages to other keepers; one that can't be reached misses them, which the group makes good.
func (n *keeperNode) send(group int, messages []agreement.Message) {
	byPeer := map[string][]agreement.Message{}
	for _, message := range messages {
		address := keeper.AddressOf(message.To)
		byPeer[address] = append(byPeer[address], message)
	}
	for address, batch := range byPeer {
		switch peer := n.clients[address]; {
		case peer == nil:
		case peer.up:
			peer.client.Push(wire.AgreementMessages, wire.Encode(&wire.AgreementBody{Group: group, Messages: batch}))
		case answers(batch):
			n.hold(address, heldMessages{group: group, messages: batch, until: n.Now() + holdAnswers})
			peer.client.Hurry()
		}
	}
}

// heldMessages wait for the connection to one that has just been heard.
type heldMessages struct {
	group    int
	messages []agreement.Message
	until    time.Duration
}

// Bounds of what is held for a peer.
const (
	holdAnswers = 200 * time.Millisecond // the one who asked goes on asking after a while
	mostHeld    = 64
)

func (n *keeperNode) hold(address string, messages heldMessages) {
	held := append(n.held[address], messages)
	n.held[address] = held[max(0, len(held)-mostHeld):]
}

// release sends what was held for a peer that is connected now.
func (n *keeperNode) release(address string) {
	for _, held := range n.held[address] {
		if n.Now() <= held.until {
			n.send(held.group, held.messages)
		}
	}
	delete(n.held, address)
}

// answers tells whether messages go to one that has just been heard, so that it must be there.
func answers(messages []agreement.Message) bool {
	for _, message := range messages {
		if message.Kind.IsAnswer() {
			return true
		}
	}
	return false
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

// frame takes a frame of a member or another keeper.
func (n *keeperNode) frame(peer *link.Peer, frame wire.Frame) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	err := n.core.Handle(n.Now(), n.subscriber(peer), frame.Kind, frame.Payload, peer.Answerer(frame.Call))
	if err != nil {
		log.WithError(err).WithField("peer", peer.Remote()).Warn("peer's frame is unreadable")
		go peer.Close()
	}
	n.after()
}

func (n *keeperNode) closed(peer *link.Peer) {
	n.do(func() {
		if number, known := n.members[peer]; known {
			n.core.Unsubscribe(number)
			delete(n.members, peer)
			delete(n.byNumber, number)
		}
	})
}

func (n *keeperNode) subscriber(peer *link.Peer) keeper.Subscriber {
	if number, known := n.members[peer]; known {
		return number
	}
	n.last++
	n.members[peer] = n.last
	n.byNumber[n.last] = peer
	return n.last
}
