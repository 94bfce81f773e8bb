package node

import (
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/member"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// copiedPart is a part of another store's messages, on its way to the goroutine that owns the core.
type copiedPart struct {
	messages []wire.CopiedMessage
	last     bool
}

// copier fills a disk from the others, first until it may count in the roster, then once more for what was written
// meanwhile at disks of the former roster. It runs under the node's mutex.
type copier struct {
	node    *storeNode
	disk    string // this store's
	parts   chan copiedPart
	running bool
	sources map[string]*copySource // by incarnation: the places of a store are those of one life
	asked   bool                   // to be counted
	began   time.Duration
	epoch   uint64 // of the roster in which this disk was counted; 0 before
	before  int    // counted disks, before that
}

type copySource struct {
	after uint64
	epoch uint64 // that the source followed when it last had no more
	done  bool
	busy  bool
}

const (
	copyInterval = 60 * time.Millisecond
	copyTimeout  = 2 * time.Second
	copyAhead    = 2 // parts that may wait for the disk
	// A newcomer begins to count without a disk being lost only after this time: one whose place it is here to take may
	// have ended without a word, and its session lasts on for a while.
	spareAfter = keeper.SessionLife + time.Second
)

func newCopier(n *storeNode) *copier {
	return &copier{node: n, disk: n.core.Disk(), parts: make(chan copiedPart, copyAhead)}
}

func (c *copier) begin() {
	if c.running {
		return
	}
	log.Warn("a disk is missing or this one is new; it is filled from the other stores")
	c.running, c.asked, c.began, c.epoch = true, false, c.node.Now(), 0
	c.sources = map[string]*copySource{}
	c.step()
}

// step asks each of the other stores for its next part, and goes on to the next stage once enough have told all.
func (c *copier) step() {
	n := c.node
	view := n.session.View()
	others, done, missing := 0, 0, 0
	for id, other := range view.Disks {
		if id == c.disk || !other.Counted {
			continue
		}
		others++
		source := c.source(other)
		if source.done && source.epoch >= c.epoch {
			done++
			continue
		}
		if n.Up(other.Member.Address) {
			missing++
			c.ask(source, other.Member.Address)
		}
	}
	if others > 0 && missing == 0 && done >= c.enough(others) && c.advance(view) {
		return
	}
	n.After(copyInterval, c.step)
}

// enough is how many of the other counted disks have to be copied: all but those that may be lost, of which one whose
// place this disk took is lost already.
func (c *copier) enough(others int) int {
	mayMiss := c.node.settings.Tolerated
	if c.epoch > 0 && others < c.before {
		mayMiss--
	}
	return max(1, others-max(0, mayMiss))
}

func (c *copier) source(other session.Disk) *copySource {
	source := c.sources[other.Member.Incarnation]
	if source == nil {
		source = &copySource{}
		c.sources[other.Member.Incarnation] = source
	}
	return source
}

// advance goes to the next stage; true where the copying is over.
func (c *copier) advance(view *member.View) bool {
	own := view.Disks[c.disk]
	missing := len(view.Missing())
	switch {
	case c.epoch > 0:
		if len(c.parts) > 0 {
			return false
		}
		c.parts <- copiedPart{last: true}
		c.running = false
		return true
	case c.asked && own.Counted && (missing == 0 || !own.Spare):
		c.epoch = view.Epoch
		return false
	case own.Counted && missing == 0:
		c.running = false // the missing one is back
		return true
	case missing == 0 && c.node.Now()-c.began < spareAfter:
		return false
	}
	c.count(view)
	return false
}

// count asks the keepers to let this disk count.
func (c *copier) count(view *member.View) {
	if c.asked {
		return
	}
	c.asked = true
	c.before = 0
	for id := range view.Counted() {
		if id != c.disk {
			c.before++
		}
	}
	c.node.session.CountDisk(func(err error) {
		if err != nil {
			c.asked = false
		}
	})
}

func (c *copier) ask(source *copySource, address string) {
	if source.busy || len(c.parts) > 0 {
		return
	}
	n := c.node
	source.busy = true
	body := wire.CopyBody{After: source.after}
	n.Call(address, wire.CopyMessages, wire.Encode(&body), copyTimeout, func(payload []byte, err error) {
		source.busy = false
		var answer wire.CopyAnswer
		if err == nil {
			err = wire.Decode(wire.CopyMessages, payload, &answer)
		}
		if err != nil || len(c.parts) == cap(c.parts) {
			return // step asks again
		}
		c.parts <- copiedPart{messages: answer.Messages}
		source.after = answer.Next
		source.done, source.epoch = !answer.More, answer.Epoch
	})
}
