package store

import (
	"time"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/member"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// FillEnvironment is what the driver or the simulation gives a Filler.
type FillEnvironment interface {
	loop.Loop
	loop.Peers
	// Fill hands a part of another store's messages to the core; last is the end of the filling.
	Fill(messages []wire.CopiedMessage, last bool)
	// Filling tells whether parts wait for the disk.
	Filling() bool
	// Report logs what an operator should know.
	Report(event string, err error)
}

// Filler fills a disk from the others, first until it may count in the roster, then once more for what was written
// meanwhile at disks of the former roster.
type Filler struct {
	env       FillEnvironment
	session   *member.Client
	disk      string // this store's
	tolerance *tolerance.Tolerance
	running   bool
	sources   map[string]*copySource // by incarnation: the places of a store are those of one life
	asked     bool                   // to be counted
	began     time.Duration
	epoch     uint64            // of the roster in which this disk was counted; 0 before
	before    map[string]string // counted disks before that, by identity, with their zones
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
	// A newcomer begins to count without a disk being lost only after this time: one whose place it is here to take may
	// have ended without a word, and its session lasts on for a while.
	spareAfter = keeper.SessionLife + time.Second
)

// NewFiller makes a filler for a disk.
func NewFiller(env FillEnvironment, session *member.Client, disk string, tolerated *tolerance.Tolerance) *Filler {
	return &Filler{env: env, session: session, disk: disk, tolerance: tolerated}
}

// Running tells whether the disk is being filled: connections to the other stores are wanted.
func (c *Filler) Running() bool { return c.running }

// Follow begins a filling where the roster calls for one: this disk doesn't count, or it is spare and another is missing.
func (c *Filler) Follow(view *member.View) {
	own, known := view.Disks[c.disk]
	if c.running || !known || own.Counted && (!own.Spare || len(view.Missing()) == 0) {
		return
	}
	c.env.Report("a disk is missing or this one is new: it is filled from the other stores", nil)
	c.running, c.asked, c.began, c.epoch = true, false, c.env.Now(), 0
	c.sources = map[string]*copySource{}
	c.step()
}

// step asks each of the other stores for its next part, and goes on to the next stage once enough have told all.
func (c *Filler) step() {
	view := c.session.View()
	done, asked := 0, 0
	silent := c.replaced(view)
	for id, other := range view.Disks {
		if id == c.disk || !other.Counted {
			continue
		}
		source := c.source(other)
		if source.done && source.epoch >= c.epoch {
			done++
			continue
		}
		silent = append(silent, other.Member.Zone)
		if c.env.Up(other.Member.Address) {
			asked++
			c.ask(source, other.Member.Address)
		}
	}
	if done > 0 && asked == 0 && c.tolerance.May(silent) && c.advance(view) {
		return
	}
	c.env.After(copyInterval, c.step)
}

// replaced gives the zones of disks whose place was taken since this one asked to count: they are lost already, and count
// among those that may be.
func (c *Filler) replaced(view *member.View) []string {
	var zones []string
	if c.epoch == 0 {
		return nil
	}
	for id, zone := range c.before {
		if _, still := view.Disks[id]; !still {
			zones = append(zones, zone)
		}
	}
	return zones
}

func (c *Filler) source(other session.Disk) *copySource {
	source := c.sources[other.Member.Incarnation]
	if source == nil {
		source = &copySource{}
		c.sources[other.Member.Incarnation] = source
	}
	return source
}

// advance goes to the next stage; true where the copying is over.
func (c *Filler) advance(view *member.View) bool {
	own := view.Disks[c.disk]
	missing := len(view.Missing())
	switch {
	case c.epoch > 0:
		if c.env.Filling() {
			return false
		}
		c.env.Fill(nil, true)
		c.running = false
		return true
	case c.asked && own.Counted && (missing == 0 || !own.Spare):
		c.epoch = view.Epoch
		return false
	case own.Counted && missing == 0:
		c.running = false // the missing one is back
		return true
	case missing == 0 && c.env.Now()-c.began < spareAfter:
		return false
	}
	c.count(view)
	return false
}

// count asks the keepers to let this disk count.
func (c *Filler) count(view *member.View) {
	if c.asked {
		return
	}
	c.asked = true
	c.before = map[string]string{}
	for id, other := range view.Counted() {
		if id != c.disk {
			c.before[id] = other.Member.Zone
		}
	}
	c.session.CountDisk(func(err error) {
		if err != nil {
			c.asked = false
		}
	})
}

func (c *Filler) ask(source *copySource, address string) {
	if source.busy || c.env.Filling() {
		return
	}
	source.busy = true
	body := wire.CopyBody{After: source.after}
	c.env.Call(address, wire.CopyMessages, wire.Encode(&body), copyTimeout, func(payload []byte, err error) {
		source.busy = false
		var answer wire.CopyAnswer
		if err == nil {
			err = wire.Decode(wire.CopyMessages, payload, &answer)
		}
		if err != nil {
			return // step asks again
		}
		c.env.Fill(answer.Messages, false)
		source.after = answer.Next
		source.done, source.epoch = !answer.More, answer.Epoch
	})
}
