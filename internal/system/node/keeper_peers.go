package node

import (
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/link"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/wire"
)

// Bounds of what is held for a peer.
const (
	holdAnswers = 200 * time.Millisecond // the one who asked goes on asking after a while
	mostHeld    = 64
)

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
