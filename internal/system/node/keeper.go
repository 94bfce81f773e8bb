package node

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"path/filepath"
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
}

const maxKeeperPeers = 1024

// RunKeeper runs a keeper until the context ends.
func RunKeeper(ctx context.Context, s *settings.Settings) error {
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
	failures := make(chan error, keeper.Groups)
	n.do(func() {
		n.Connect(n.others())
		n.tick()
	})
	for group := range keeper.Groups {
		go n.persist(group, failures)
	}
	log.WithField("keepers", n.peers()).Info("keeper serves")
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
	}
	stopServer(operators, time.Second)
	server.Close()
	return nil
}

func (n *keeperNode) peers() []string { return n.settings.SeedKeepers() }

func (n *keeperNode) others() []string {
	var others []string
	for _, address := range n.peers() {
		if address != n.settings.KeeperAddress(n.settings.IP) {
			others = append(others, address)
		}
	}
	return others
}

func (n *keeperNode) open() error {
	var stored [keeper.Groups]agreement.Stored
	var recovering [keeper.Groups]bool
	for group := range keeper.Groups {
		folder, err := segment.OpenFolder(filepath.Join(n.settings.DataDir, "control-"+strconv.Itoa(group)))
		if err != nil {
			return err
		}
		member, err := disk.Open(folder, n.settings.Bootstrap)
		if err != nil {
			return err
		}
		n.disks[group] = member
		stored[group], recovering[group] = member.Stored(), member.Recovering()
		n.wake[group] = make(chan struct{}, 1)
	}
	core, err := keeper.New(keeper.Options{Self: n.settings.KeeperAddress(n.settings.IP), Peers: n.peers(),
		Random: n.Random, FeedEpoch: member.NewIncarnation(n, n.settings.NodeName)}, stored, recovering, n.Now())
	n.core = core
	return err
}

// tick lets the core's time pass, and sets its next timer.
func (n *keeperNode) tick() {
	n.core.Tick(n.Now())
	n.readCatalog()
	n.after()
	const least = 10 * time.Millisecond
	n.After(max(least, n.core.NextWake()-n.Now()), n.tick)
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
	if err := n.disks[group].Save(ready); err != nil {
		return err
	}
	if ready.Recovered {
		log.WithField("group", group).Info("caught up after a lost disk; counts from now on")
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

func (n *keeperNode) compact(group int) error {
	var stored agreement.Stored
	var compacted, recovering bool
	var err error
	n.do(func() {
		if n.disks[group].WantsCompaction(n.core.LogLength(group)) {
			stored, compacted, err = n.core.Compact(group)
			recovering = n.core.Recovering(group)
		}
	})
	if err != nil || !compacted {
		return err
	}
	return n.disks[group].Compact(stored, recovering)
}

// send passes messages to other keepers; one that can't be reached misses them, which the group makes good.
func (n *keeperNode) send(group int, messages []agreement.Message) {
	byPeer := map[string][]agreement.Message{}
	for _, message := range messages {
		byPeer[message.To] = append(byPeer[message.To], message)
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
	if err := n.handle(peer, frame); err != nil {
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

func (n *keeperNode) handle(peer *link.Peer, frame wire.Frame) error {
	now := n.Now()
	switch frame.Kind {
	case wire.AgreementMessages:
		var body wire.AgreementBody
		if err := wire.Decode(frame.Kind, frame.Payload, &body); err != nil {
			return err
		}
		n.core.Step(now, body.Group, body.Messages)
	case wire.OpenSession:
		var body wire.OpenSessionBody
		if err := wire.Decode(frame.Kind, frame.Payload, &body); err != nil {
			return err
		}
		n.core.OpenSession(now, n.subscriber(peer), body.Member, body.Position, func(err error) {
			answer(peer, frame.Call, &wire.OpenSessionAnswer{Lease: keeper.MemberLease}, err)
			n.push()
		})
	case wire.Heartbeat:
		var body wire.HeartbeatBody
		if err := wire.Decode(frame.Kind, frame.Payload, &body); err != nil {
			return err
		}
		age, err := n.core.Heartbeat(now, body.Incarnation)
		answer(peer, frame.Call, &wire.HeartbeatAnswer{CatalogAge: age}, err)
	case wire.CloseSession:
		var body wire.CloseSessionBody
		if err := wire.Decode(frame.Kind, frame.Payload, &body); err != nil {
			return err
		}
		n.core.CloseSession(now, body.Incarnation, func(err error) { answer(peer, frame.Call, &struct{}{}, err) })
	case wire.SettleDeparted:
		var body wire.SettleBody
		if err := wire.Decode(frame.Kind, frame.Payload, &body); err != nil {
			return err
		}
		n.core.Settle(now, body.Incarnation, func(err error) { answer(peer, frame.Call, &struct{}{}, err) })
	}
	return nil
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

// answer answers a call, or refuses it by the error's type.
func answer(peer *link.Peer, call uint64, body any, err error) {
	var notLeader *agreement.NotLeaderError
	var unknown *keeper.UnknownSessionError
	switch {
	case err == nil:
		peer.Answer(call, body)
	case errors.As(err, &notLeader):
		peer.Refuse(call, wire.RefusalBody{Code: wire.NotLeader, Reason: err.Error(), Leader: notLeader.Leader})
	case errors.As(err, &unknown):
		peer.Refuse(call, wire.RefusalBody{Code: wire.UnknownSession, Reason: err.Error()})
	default:
		peer.Refuse(call, wire.RefusalBody{Code: wire.Failed, Reason: err.Error()})
	}
}

// serveOperators serves the operator's API at the control address.
func (n *keeperNode) serveOperators() (*http.Server, error) {
	e := newEcho()
	e.POST("/-/Config.Replace", n.replaceConfiguration)
	e.GET("/-/Config.Get", n.getConfiguration)
	e.POST("/-/Retire.Start/:node", n.retire)
	e.GET("/-/Retire.Get/:node", n.retire)
	e.GET("/-/ready", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	return startServer(n.settings.Listen.Control, e, nil)
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
	switch {
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
	case errors.As(result.err, &notLeader) && notLeader.Leader != "" && notLeader.Leader != n.settings.KeeperAddress(n.settings.IP):
		location := "http://" + n.settings.ControlAddress(notLeader.Leader) + c.Request().URL.RequestURI()
		return c.Redirect(http.StatusTemporaryRedirect, location)
	}
	return c.JSON(http.StatusServiceUnavailable, &problem{Error: result.err.Error()})
}

// retire is not carried out by this version; the operator is told so and nothing is begun.
func (n *keeperNode) retire(c echo.Context) error {
	return c.JSON(http.StatusNotFound, &problem{Error: "machines are not emptied by this version"})
}
