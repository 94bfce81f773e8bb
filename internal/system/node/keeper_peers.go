package node

import (
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/link"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/wire"
)

// Bounds of the queue of messages for a peer that is not connected yet.
const (
	queuedAnswerTTL  = 200 * time.Millisecond // the peer repeats its request by then
	maxQueuedPerPeer = 64
)

// send sends a group's messages to other keepers. Messages to a keeper without a connection are dropped, and the group's
// replication resends what is needed. Batches with a response are queued instead, see queueForPeer.
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
		case containsAnswer(batch):
			n.queueForPeer(address, queuedMessages{group: group, messages: batch, expiresAt: n.Now() + queuedAnswerTTL})
			peer.client.RetryNow()
		}
	}
}

// queuedMessages is a batch that waits for the connection to a peer from which a request has just arrived.
type queuedMessages struct {
	group     int
	messages  []agreement.Message
	expiresAt time.Duration
}

// queueForPeer queues a batch until the peer is connected. Beyond maxQueuedPerPeer batches the oldest are dropped.
func (n *keeperNode) queueForPeer(address string, messages queuedMessages) {
	held := append(n.queued[address], messages)
	n.queued[address] = held[max(0, len(held)-maxQueuedPerPeer):]
}

// sendQueued sends the unexpired batches that were queued for a peer, which is connected now.
func (n *keeperNode) sendQueued(address string) {
	for _, held := range n.queued[address] {
		if n.Now() <= held.expiresAt {
			n.send(held.group, held.messages)
		}
	}
	delete(n.queued, address)
}

// containsAnswer reports whether a batch contains a response. A peer that is owed a response has just sent a request, so it
// must be reachable.
func containsAnswer(messages []agreement.Message) bool {
	for _, message := range messages {
		if message.Kind.IsResponse() {
			return true
		}
	}
	return false
}

// handleFrame passes a frame from a subscriber or another keeper to the core. A frame that cannot be decoded closes the
// connection.
func (n *keeperNode) handleFrame(peer *link.Peer, frame wire.Frame) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	err := n.core.Handle(n.Now(), n.subscriberFor(peer), frame.Kind, frame.Payload, peer.Answerer(frame.Call))
	if err != nil {
		log.WithError(err).WithField("peer", peer.RemoteAddr()).Warn("cannot decode frame from peer")
		go peer.Close()
	}
	n.dispatchReady()
}

// handleClosed removes the subscriber of a closed connection.
func (n *keeperNode) handleClosed(peer *link.Peer) {
	n.withLock(func() {
		if number, known := n.subscribers[peer]; known {
			n.core.Unsubscribe(number)
			delete(n.subscribers, peer)
			delete(n.peersBySubscriber, number)
		}
	})
}

// subscriberFor returns the subscriber number of a connection and assigns one on first use.
func (n *keeperNode) subscriberFor(peer *link.Peer) keeper.Subscriber {
	if number, known := n.subscribers[peer]; known {
		return number
	}
	n.lastSubscriber++
	n.subscribers[peer] = n.lastSubscriber
	n.peersBySubscriber[n.lastSubscriber] = peer
	return n.lastSubscriber
}
