package node

import (
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/wire"
)

// copiedPart is a part of another store's messages, on its way to the goroutine that owns the core.
type copiedPart struct {
	messages []wire.CopiedMessage
	last     bool
}

// copier brings a store whose disk was lost back to all that it ever acknowledged, from the other stores. It runs under
// the node's mutex.
type copier struct {
	node     *storeNode
	parts    chan copiedPart
	after    map[string]uint64 // by node: how far it was copied
	done     map[string]bool
	busy     map[string]bool
	finished bool
}

const (
	copyInterval = 100 * time.Millisecond
	copyTimeout  = 2 * time.Second
	copyAhead    = 4 // parts that may wait for the disk
)

func newCopier(n *storeNode) *copier {
	return &copier{node: n, parts: make(chan copiedPart, copyAhead), after: map[string]uint64{}, done: map[string]bool{},
		busy: map[string]bool{}, finished: n.core.Complete()}
}

func (c *copier) start() {
	if !c.finished {
		log.Warn("the disk is empty; copying from the other stores")
		c.step()
	}
}

// step asks each of the other stores for its next part.
func (c *copier) step() {
	n := c.node
	stores := n.session.View().Stores
	left := 0
	for node, other := range stores {
		if node == n.settings.NodeName || c.done[node] {
			continue
		}
		left++
		if !c.busy[node] && n.Up(other.Address) && len(c.parts) == 0 {
			c.ask(node, other.Address)
		}
	}
	if left == 0 && len(stores) > 1 && len(c.parts) < cap(c.parts) {
		c.parts <- copiedPart{last: true}
		c.finished = true
		return
	}
	n.After(copyInterval, c.step)
}

func (c *copier) ask(node, address string) {
	n := c.node
	c.busy[node] = true
	body := wire.CopyBody{After: c.after[node]}
	n.Call(address, wire.CopyMessages, wire.Encode(&body), copyTimeout, func(payload []byte, err error) {
		c.busy[node] = false
		var answer wire.CopyAnswer
		if err == nil {
			err = wire.Decode(wire.CopyMessages, payload, &answer)
		}
		if err != nil || len(c.parts) == cap(c.parts) {
			return // step asks again
		}
		c.parts <- copiedPart{messages: answer.Messages}
		c.after[node] = answer.Next
		if !answer.More {
			c.done[node] = true
			return
		}
		c.ask(node, address)
	})
}
