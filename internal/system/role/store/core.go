package store

import (
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
	"granitewing/internal/system/wire"
)

// Options configures a store.
type Options struct {
	// StatusTime is how long after its completion a message's state can be queried.
	StatusTime time.Duration
	// DiskBytes is the size of the disk in bytes. Part of it is left free for the records that cleaning and
	// outcomes need.
	DiskBytes int64
}

// Thresholds of disk use, as shares of Options.DiskBytes.
const (
	fullThreshold  = 0.85 // above it new messages are refused
	cleanThreshold = 0.30 // above it the oldest segments are cleaned
	// minCleanGrowth is the factor by which the log has to grow from one cleaning to the next, since each cleaning
	// writes the needed records again.
	minCleanGrowth = 1.3
)

// Reader reads the payload of a record from the log.
type Reader interface {
	Read(position segment.Position) ([]byte, error)
}

// Core is the state machine of one store. It is not safe for concurrent use.
type Core struct {
	options            Options
	reader             Reader
	clock              logClock
	now                time.Duration // on the log's clock
	index              *index
	batch              []pendingRecord
	answers            []func()
	disk               string
	started            bool
	complete           bool
	sealed             bool  // refuses outcomes: the disk is about to leave the roster
	logBytes           int64 // size of all segments
	bytesAfterCleaning int64 // size of the log after the last cleaning
	segmentSizes       map[uint64]int64
	cleaning           cleaning
	epoch              uint64 // of the roster that this store follows
	syncedEpoch        uint64 // everything accepted under rosters older than this epoch is synced
	bootstrapDisk      bool
	loader             *loader // nil once the log has been read
	// takenOver holds the carriers' units that were listed by a node that takes them over.
	takenOver takenOverUnits
	repeats   Repeats
	// nextExpiry is when to look next for messages that did not complete within their retention.
	nextExpiry time.Duration
}

// New returns a store whose log has yet to be replayed with Load. now is the process's monotonic clock.
func New(options Options, reader Reader, now time.Duration) *Core {
	return &Core{options: options, reader: reader, clock: logClock{openedAt: now}, index: newIndex(), segmentSizes: map[uint64]int64{}}
}

func (c *Core) addSize(position segment.Position, payload []byte) {
	const overhead = 16
	size := int64(len(payload) + overhead)
	c.segmentSizes[position.Segment] += size
	c.logBytes += size
}

// Start ends the replay. A store on an empty disk starts as complete if the whole system starts for the first time
// (bootstrap), else as incomplete, like one that replaces a lost disk. disk is the identity to record on an empty
// disk.
func (c *Core) Start(bootstrap bool, disk string) {
	c.loader = nil
	c.now = c.clock.timeAt(c.clock.openedAt)
	if c.started {
		return
	}
	c.started, c.complete, c.bootstrapDisk, c.disk = true, bootstrap, bootstrap, disk
	c.appendStarted()
}

func (c *Core) appendStarted() { c.append(c.startedRecord(), nil) }

func (c *Core) startedRecord() record {
	return record{Kind: recordStarted, Incomplete: !c.complete, Founder: c.bootstrapDisk, Disk: c.disk}
}

// BootstrapDisk reports whether the disk has been in use since the system was bootstrapped.
func (c *Core) BootstrapDisk() bool { return c.bootstrapDisk }

// SetRoster sets the epoch of the roster, and whether the store's disk is in it without counting toward the write
// quorum. From then on the store refuses messages that were sent under an older roster. A disk that was replaced
// while it was away has to be backfilled again.
func (c *Core) SetRoster(epoch uint64, uncounted bool) {
	c.epoch = max(c.epoch, epoch)
	if uncounted && c.complete {
		c.complete, c.bootstrapDisk = false, false
		c.appendStarted()
	}
}

// RosterEpoch returns the epoch of the roster that this store follows.
func (c *Core) RosterEpoch() uint64 { return c.epoch }

// DiskID returns the random identity that was recorded on the disk.
func (c *Core) DiskID() string { return c.disk }

// Complete reports whether the store holds all messages that a disk must hold to count toward the write quorum. It is
// false on a disk that is new or was replaced while it was away, until its backfill has ended.
func (c *Core) Complete() bool { return c.complete }

// Counts returns how many messages the store knows, and how many of them are pending.
func (c *Core) Counts() (known, pending int) {
	for _, e := range c.index.entries {
		if e.pending() {
			pending++
		}
	}
	return len(c.index.entries), pending
}

// LogBytes returns the size of the log in bytes.
func (c *Core) LogBytes() int64 { return c.logBytes }

// SetTime sets the time of the process's monotonic clock, forgets old outcomes and completes overdue messages.
func (c *Core) SetTime(now time.Duration) {
	c.now = c.clock.timeAt(now)
	c.index.dropExpired(c.now, c.options.StatusTime)
	c.expire()
	c.persistClock()
}

// persistClock records the log's clock while messages are pending and nothing else is written, so that it survives
// a restart.
func (c *Core) persistClock() {
	if c.now-c.clock.lastWritten < clockInterval || !c.index.anyPending() {
		return
	}
	// A full disk may drop this record: the next one carries a later time.
	c.batch = append(c.batch, pendingRecord{payload: c.encode(record{Kind: recordClock}), onDiskFull: func() {}})
}

// Put stores a message that was sent to the disks of the roster with the given epoch. done is called with nil once
// the message is synced, or with the reason for a refusal.
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
		done(&wire.RefusalBody{Code: wire.Cancelled, Reason: "the message is void"})
		return
	}
	if e != nil && e.held {
		c.answers = append(c.answers, func() { done(nil) })
		return
	}
	if float64(c.logBytes) > fullThreshold*float64(c.options.DiskBytes) {
		done(&wire.RefusalBody{Code: wire.CallFailed, Reason: "the disk is full"})
		return
	}
	if e == nil {
		e = c.index.add(m.ID, m.Unit, c.now)
	}
	c.index.joinUnit(e, m.Unit)
	e.lifetime, e.hasCallback, e.writing = m.Delay+m.Retention, m.Callback != "", true
	r := record{Kind: recordMessage, Message: m}
	c.batch = append(c.batch, pendingRecord{payload: c.encode(r), onSynced: func(position segment.Position) {
		e.held, e.writing, e.position = true, false, position
		c.index.recordChange(e)
		done(nil)
	}, onDiskFull: func() {
		e.writing = false
		done(&wire.RefusalBody{Code: wire.CallFailed, Reason: "the disk is full"})
	}})
}

// Cancel cancels a message: it never runs. The request is refused if another process may already know of the message.
// done is called with nil once the cancellation is synced.
func (c *Core) Cancel(id string, done func(refusal *wire.RefusalBody)) {
	e := c.index.get(id)
	if e != nil && e.void {
		c.answers = append(c.answers, func() { done(nil) })
		return
	}
	if e != nil && (e.shared || e.phase != message.Pending) {
		done(&wire.RefusalBody{Code: wire.CallFailed, Reason: "the message may have been delivered"})
		return
	}
	if e == nil {
		e = c.index.add(id, "", c.now)
	}
	c.markVoid(e, c.now)
	c.append(record{Kind: recordVoid, ID: id, Unit: e.unit}, func(segment.Position) { done(nil) })
}

func (c *Core) markVoid(e *entry, at time.Duration) {
	if e.void {
		return
	}
	e.void = true
	c.index.complete(e, at)
}
