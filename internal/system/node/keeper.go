package node

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/agreement/disk"
	"granitewing/internal/system/configuration"
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
}

const maxKeeperPeers = 1024

// RunKeeper runs a keeper until the context ends.
func RunKeeper(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings) error {
	n := &keeperNode{runner: newRunner(), settings: s, members: map[*link.Peer]keeper.Subscriber{},
		byNumber: map[keeper.Subscriber]*link.Peer{}, reader: newCatalogReader(s.Cloud.Address)}
	if err := n.open(); err != nil {
		return err
	}
	n.events = peerEvents{}
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
	log.WithField("members", n.connected).Info("keeper serves")
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
	}
	stopServer(operators, time.Second)
	server.Close()
	return nil
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
	options := keeper.Options{Address: n.address(), Voters: 2*n.settings.Tolerated + 1, Random: n.Random,
		FeedEpoch: member.NewIncarnation(n, n.settings.NodeName)}
	for group := range keeper.Groups {
		folder, err := segment.OpenFolder(filepath.Join(n.settings.DataDir, "control-"+strconv.Itoa(group)))
		if err != nil {
			return err
		}
		member, err := disk.Open(folder, n.fresh())
		if err != nil {
			return err
		}
		n.disks[group] = member
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
		if peer := n.clients[address]; peer != nil && peer.up {
			peer.client.Push(wire.AgreementMessages, wire.Encode(&wire.AgreementBody{Group: group, Messages: batch}))
		}
	}
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

// serveOperators serves the operator's API at the control address.
func (n *keeperNode) serveOperators() (*http.Server, error) {
	e := newEcho()
	e.POST("/-/Config.Replace", n.replaceConfiguration)
	e.GET("/-/Config.Get", n.getConfiguration)
	e.POST("/-/Retire.Start/:node", n.startRetirement)
	e.GET("/-/Retire.Get/:node", n.getRetirement)
	e.GET("/-/ready", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	return startServer(n.settings.Listen.Control, e)
}

const (
	maxConfigurationBytes = 16 << 20
	versionHeader         = "X-Base-Version"
)

type problem struct {
	Error string `json:"error"`
}

// outcome is how an operator's call went, handed from the loop to the call's goroutine.
type outcome struct {
	raw []byte
	err error
}

func (n *keeperNode) replaceConfiguration(c echo.Context) error {
	base, err := strconv.ParseUint(c.Request().Header.Get(versionHeader), 10, 64)
	if err != nil && c.Request().Header.Get(versionHeader) != "" {
		return c.JSON(http.StatusBadRequest, &problem{Error: versionHeader + " is no number"})
	}
	raw, err := readBody(c.Request(), maxConfigurationBytes)
	if err != nil {
		return c.JSON(http.StatusBadRequest, &problem{Error: err.Error()})
	}
	result := n.ask(func(done func(outcome)) {
		order := configuration.Order{Base: base, Raw: raw}
		n.core.Replace(n.Now(), order, func(err error) { done(outcome{err: err}) })
	})
	return n.answerOperator(c, result)
}

func (n *keeperNode) getConfiguration(c echo.Context) error {
	result := n.ask(func(done func(outcome)) {
		n.core.Read(n.Now(), func(raw []byte, err error) { done(outcome{raw: raw, err: err}) })
	})
	return n.answerOperator(c, result)
}

func (n *keeperNode) ask(begin func(done func(outcome))) outcome {
	answered := make(chan outcome, 1)
	var once sync.Once
	n.do(func() {
		begin(func(result outcome) { once.Do(func() { answered <- result }) })
		n.after()
	})
	select {
	case result := <-answered:
		return result
	case <-time.After(n.settings.Bounds.Ack):
		return outcome{err: &keeper.LostError{}}
	}
}

func (n *keeperNode) answerOperator(c echo.Context, result outcome) error {
	var invalid *configuration.InvalidError
	var conflict *configuration.ConflictError
	var notLeader *agreement.NotLeaderError
	var unknown *keeper.UnknownMachineError
	var tooFew *keeper.TooFewError
	switch {
	case errors.As(result.err, &unknown):
		return c.JSON(http.StatusNotFound, &problem{Error: result.err.Error()})
	case errors.As(result.err, &tooFew):
		return c.JSON(http.StatusConflict, &problem{Error: result.err.Error()})
	case result.err == nil && result.raw != nil:
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, bytes.Clone(result.raw))
	case result.err == nil && c.Request().Method == http.MethodGet:
		return c.JSON(http.StatusServiceUnavailable, &problem{Error: "no configuration yet"})
	case result.err == nil:
		return c.JSON(http.StatusOK, &struct{}{})
	case errors.As(result.err, &invalid):
		return c.JSON(http.StatusBadRequest, &problem{Error: result.err.Error()})
	case errors.As(result.err, &conflict):
		return c.JSON(http.StatusPreconditionFailed, &problem{Error: result.err.Error()})
	case errors.As(result.err, &notLeader) && notLeader.Leader != "" && notLeader.Leader != n.address():
		location := "http://" + n.settings.ControlAddress(notLeader.Leader) + c.Request().URL.RequestURI()
		return c.Redirect(http.StatusTemporaryRedirect, location)
	}
	return c.JSON(http.StatusServiceUnavailable, &problem{Error: result.err.Error()})
}

// startRetirement has a machine's disks emptied. The deadline is the operator's to watch: the emptying goes on past it.
func (n *keeperNode) startRetirement(c echo.Context) error {
	node := c.Param("node")
	result := n.ask(func(done func(outcome)) {
		n.core.RetireMachine(n.Now(), node, func(err error) { done(outcome{err: err}) })
	})
	if result.err == nil {
		log.WithField("machine", node).Info("a machine is being emptied")
	}
	return n.answerOperator(c, result)
}

type retirementForm struct {
	Phase string `json:"phase"`
}

func (n *keeperNode) getRetirement(c echo.Context) error {
	var retired bool
	result := n.ask(func(done func(outcome)) {
		var err error
		retired, err = n.core.Retired(n.Now(), c.Param("node"))
		done(outcome{err: err})
	})
	switch {
	case result.err != nil:
		return n.answerOperator(c, result)
	case retired:
		return c.JSON(http.StatusOK, &retirementForm{Phase: "succeeded"})
	}
	return c.JSON(http.StatusOK, &retirementForm{Phase: "running"})
}
