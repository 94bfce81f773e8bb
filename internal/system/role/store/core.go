package store

import (
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
	"granitewing/internal/system/wire"
)

// Options of a store.
type Options struct {
	// Status is how long after its end a message's state is asked for.
	Status time.Duration
	// DiskBytes is the size of the disk; part of it stays free for what removes things.
	DiskBytes int64
}

// Shares of the disk.
const (
	fullShare  = 0.85 // past it no message is taken
	cleanShare = 0.30 // past it the oldest segments are cleaned
	// cleanGrowth is by how much the log has to grow from one cleaning to the next: each writes again what is needed.
	cleanGrowth = 1.3
)

// Reader reads a record's payload from the log.
type Reader interface {
	Read(position segment.Position) ([]byte, error)
}

// Core is one store.
type Core struct {
	options  Options
	reader   Reader
	clock    logClock
	now      time.Duration // on the log's clock
	index    *index
	batch    []pendingRecord
	answers  []func()
	disk     string
	started  bool
	complete bool
	sealed   bool  // takes no ends: the disk is about to leave the roster
	bytes    int64 // of all segments
	cleaned  int64 // what the last cleaning left
	sizes    map[uint64]int64
	cleaning cleaning
	epoch    uint64 // of the roster that this store follows
	settled  uint64 // of a roster: all that was taken for an older one is synced
	founder  bool
	loader   *loader // nil once the log was read
	// takenOver are the carriers' units that were listed by who takes them over.
	takenOver units
	repeats   Repeats
	// expireDue is when messages are looked for that nobody ended within their retention.
	expireDue time.Duration
}

// New makes a store whose log is about to be replayed.
func New(options Options, reader Reader, now time.Duration) *Core {
	return &Core{options: options, reader: reader, clock: logClock{began: now}, index: newIndex(), sizes: map[uint64]int64{}}
}

func (c *Core) count(position segment.Position, payload []byte) {
	const overhead = 16
	size := int64(len(payload) + overhead)
	c.sizes[position.Segment] += size
	c.bytes += size
}

// Start ends the replay. On an empty disk the store begins as complete where the whole system starts for the first
// time, else as one whose disk was lost.
func (c *Core) Start(bootstrap bool, disk string) {
	c.loader = nil
	c.now = c.clock.read(c.clock.began)
	if c.started {
		return
	}
	c.started, c.complete, c.founder, c.disk = true, bootstrap, bootstrap, disk
	c.appendStarted()
}

func (c *Core) appendStarted() { c.append(c.startedRecord(), nil) }

func (c *Core) startedRecord() record {
	return record{Kind: recordStarted, Incomplete: !c.complete, Founder: c.founder, Disk: c.disk}
}

// Founder tells whether the disk is as old as the system.
func (c *Core) Founder() bool { return c.founder }

// Follow tells the store the roster's epoch, and whether its disk is in it without counting. From then on it takes
// nothing that was meant for an older roster. A disk that was replaced while it was away has to be filled again.
func (c *Core) Follow(epoch uint64, uncounted bool) {
	c.epoch = max(c.epoch, epoch)
	if uncounted && c.complete {
		c.complete, c.founder = false, false
		c.appendStarted()
	}
}

// Epoch is the epoch of the roster that this store follows.
func (c *Core) Epoch() uint64 { return c.epoch }

// Disk is the identity that was drawn on the disk.
func (c *Core) Disk() string { return c.disk }

// Complete tells whether the store holds all that it ever acknowledged.
func (c *Core) Complete() bool { return c.complete }

// Counts tells how many messages the store knows, and how many of them are pending.
func (c *Core) Counts() (known, pending int) {
	for _, e := range c.index.entries {
		if e.pending() {
			pending++
		}
	}
	return len(c.index.entries), pending
}

// Bytes is what the log holds.
func (c *Core) Bytes() int64 { return c.bytes }

// Time tells the store the time of its process's monotonic clock.
func (c *Core) Time(now time.Duration) {
	c.now = c.clock.read(now)
	c.index.forget(c.now, c.options.Status)
	c.expire()
	c.keepClock()
}

// keepClock has the log's clock outlive a stop while messages wait and nothing else is written.
func (c *Core) keepClock() {
	if c.now-c.clock.written < clockInterval || !c.index.anyPending() {
		return
	}
	// A full disk need not keep it: the next one says more.
	c.batch = append(c.batch, pendingRecord{payload: c.encode(record{Kind: recordClock}), refused: func() {}})
}

// Put stores a message at the disks of a roster; the answer is nil once it is synced.
func (c *Core) Put(m *message.Message, epoch uint64, done func(refusal *wire.RefusalBody)) {
	if epoch < c.epoch {
		done(&wire.RefusalBody{Code: wire.StaleRoster, Reason: "the roster of disks has changed"})
		return
	}
	if c.takenOver.has(m.Unit) {
		done(&wire.RefusalBody{Code: wire.NotOwner, Reason: "the carrier's messages were taken over"})
		return
	}
	e := c.index.get(m.ID)
	if e != nil && e.void {
		done(&wire.RefusalBody{Code: wire.Voided, Reason: "the message is void"})
		return
	}
	if e != nil && e.held {
		c.answers = append(c.answers, func() { done(nil) })
		return
	}
	if float64(c.bytes) > fullShare*float64(c.options.DiskBytes) {
		done(&wire.RefusalBody{Code: wire.Failed, Reason: "the disk is full"})
		return
	}
	if e == nil {
		e = c.index.add(m.ID, m.Unit, c.now)
	}
	c.index.join(e, m.Unit)
	e.retention, e.callback, e.putting = m.Retention, m.Callback != "", true
	r := record{Kind: recordMessage, Message: m}
	c.batch = append(c.batch, pendingRecord{payload: c.encode(r), synced: func(position segment.Position) {
		e.held, e.putting, e.position = true, false, position
		c.index.touch(e)
		done(nil)
	}, refused: func() {
		e.putting = false
		done(&wire.RefusalBody{Code: wire.Failed, Reason: "the disk is full"})
	}})
}

// Void makes a message void: it never runs. That is refused where somebody else may know of the message already.
func (c *Core) Void(id string, done func(refusal *wire.RefusalBody)) {
	e := c.index.get(id)
	if e != nil && e.void {
		c.answers = append(c.answers, func() { done(nil) })
		return
	}
	if e != nil && (e.shared || e.phase != message.Pending) {
		done(&wire.RefusalBody{Code: wire.Failed, Reason: "the message may have been delivered"})
		return
	}
	if e == nil {
		e = c.index.add(id, "", c.now)
	}
	c.void(e, c.now)
	c.append(record{Kind: recordVoid, ID: id, Unit: e.unit}, func(segment.Position) { done(nil) })
}

func (c *Core) void(e *entry, at time.Duration) {
	if e.void {
		return
	}
	e.void = true
	c.index.end(e, at)
}
