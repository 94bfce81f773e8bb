// Package inventory decides how a dispatcher follows service discovery: when it queries discovery, which connection
// it reads, which lists it accepts, and from when on its list of servers (the membership) is stale. Tracker is a
// state machine that is fed events and times and opens no socket; the driver executes the commands that Tracker.Ready
// returns. Starts converts the reported start times of servers to the dispatcher's own clock.
//
// Discovery reports changes on a watch, a response without end on which it writes something every 2 s. If a watch
// falls silent, the changes that it missed count as notified 6 s later, whether they were received or not; from then
// on a draining host may be sent to only for the drain grace. With a drain grace of 0.75 s, as deployments set it, and
// 0.25 s of it reserved for acting (actMargin), the membership is stale 6 + 0.75 - 0.25 = 6.5 s after the last byte
// received. In the longest case these are used as follows:
//
//	2.4 to 2.8 s  until the silence is detected: a line is 0.4 s overdue. The time is random, so that dispatchers that
//	              detect a silence together do not query together.
//	+ 2.2 s       timeout of the first call: discovery answers a call that waited 2 s with a 503
//	+ 0.75 s      first retry delay of package logic (0.25 to 0.75 s), if discovery rejected the first call; if that
//	              call timed out, the second one starts at once
//	+ 0.75 s      remains for the answer to the second call
//
// A stale membership means that any listed host may have drained, so nothing new is sent until discovery answers.
//
// A watch that discovery ends does not count as silent if lists must be queried (Limits.Pushed is false): watches
// end when discovery goes down, and it reports nothing then.
//
// If lists are pushed, each change counts as notified at once. The membership is then stale soon after its watch has
// ended, and from the start of a process until the first answer. If a call times out in that mode (CallTimeout is
// longer than discovery ever lets a call wait), discovery itself is down. It then learns of no changes, so the list
// stays valid, and calls are repeated until discovery answers.
package inventory

// The parts of the time budget, in microseconds.
const (
	SilenceTimeout       = 2_400_000 // without a byte, after which a watch counts as silent
	SilenceJitter        = 400_000   // maximum of the random time added to SilenceTimeout
	CallTimeout          = 2_200_000 // timeout of a call until its next byte, connecting included
	NotifiedAfterSilence = 6_000_000 // after a watch or call fell silent, its missed changes count as notified
	NotifiedAfterMove    = 4_000_000 // after discovery has moved, its changes count as notified
	actMargin            = 250_000   // part of the drain grace that is reserved for acting on the change
	pushedRetryGap       = 200_000   // wait before a failed call is repeated if lists are pushed; a random part of up to as much is added
	failedValidityFactor = 4         // without a watch, a list stays valid for this multiple of AskWithin after the start of a failed call
)

// Limits are a deployment's settings for lists. Times are in microseconds.
type Limits struct {
	Pushed    bool  // lists are pushed: a change counts as notified at once, whether discovery was queried or not
	AskWithin int64 // how long a list stays valid without a watch; 0 = unlimited
	Grace     int64 // how long a host may still be sent to after it was reported as draining
}

// Call identifies one connection to discovery. Ids are not reused.
type Call uint64

// Kind is what the driver has to do.
type Kind uint8

// The kinds of command, each with the fields of Command that it uses.
const (
	Dial     Kind = iota // Call, Index: connect to discovery and request the changes after Index
	Close                // Call: close the connection; its later events are ignored
	Fail                 // the query failed; call Ask when it is time to query again
	Stale                // Cause: membership is stale, from now on no host is sent anything
	Reliable             // membership is reliable again
)

// All is the Index that requests the whole list instead of changes.
const All = -1

// Command is an action for the driver. Commands are executed in order.
type Command struct {
	Kind  Kind
	Call  Call
	Index int64
	Cause string
}

// EndReason is the way in which a connection to discovery ended.
type EndReason uint8

// The ways in which a connection ends.
const (
	Refused   EndReason = iota // discovery or its machine refused: connection refused or reset, error status, end of the response
	Malformed                  // the response could not be decoded, or its list was older than the current one
)

// call is one connection to discovery.
type call struct {
	id            Call
	startedAt     int64
	lastByteAt    int64 // time of the last byte
	jitter        int64 // random part of the silence timeout
	formerAddress bool  // it goes to an address that discovery has left
}

// Tracker decides how to follow discovery. Its methods take the time in microseconds, which never decreases. It is
// not safe for concurrent use.
type Tracker struct {
	limits   Limits
	random   func() float64
	now      int64
	lastCall Call
	revision int64 // revision of the current list, or All if changes after it cannot be requested
	watch    *call // the open watch; a silent one or one at a former address is kept until the next call is answered
	pending  *call // the call that awaits its answer
	retryAt  int64 // when to repeat a call, if lists are pushed; 0 = no retry scheduled
	wentBack bool  // the last list had a lower revision; the next whole list is accepted

	failedCallStart int64 // start of the last call if it failed; 0 = it succeeded
	knownUntil      int64 // all changes that discovery reported up to this time have been received
	silentSince     int64 // from this time on discovery may have reported changes that were not received; 0 = none
	unresponsive    bool  // calls are not answered either; if lists are pushed, discovery then learns of no changes
	movedAt         int64 // when discovery moved; 0 = its present address has answered since
	stale           bool
	commands        []Command
}

// New returns a Tracker that starts with a list of the revision index, or without one for All. random returns
// numbers from 0 to 1.
func New(now int64, l Limits, index int64, random func() float64) *Tracker {
	return &Tracker{limits: l, random: random, now: now, revision: index, knownUntil: now}
}

// Ready returns the commands that were emitted since its last call, and removes them. The slice is valid until the next
// one is emitted.
func (k *Tracker) Ready() []Command {
	out := k.commands
	k.commands = k.commands[:0]
	return out
}

func (k *Tracker) emit(c Command) { k.commands = append(k.commands, c) }

// Ask opens the watch, unless there is a healthy one or a call awaits its answer.
func (k *Tracker) Ask(now int64) {
	k.advance(now)
	if k.pending == nil && !k.watchHealthy() {
		k.dial()
	}
	k.updateStale()
}

// Moved records that discovery has another address from now on. Its revisions may be unrelated to the old ones, so
// the whole list is requested. The old watch may still deliver changes that were written to it, and is read until
// the new address answers.
func (k *Tracker) Moved(now int64) {
	k.advance(now)
	k.revision, k.movedAt = All, now
	if k.watch != nil {
		k.watch.formerAddress = true
	}
	k.closeCall(&k.pending)
	k.dial()
	k.updateStale()
}

// Heard records bytes on a connection that show that discovery is alive.
func (k *Tracker) Heard(now int64, id Call) {
	k.advance(now)
	for _, c := range [...]*call{k.watch, k.pending} {
		if c == nil || c.id != id {
			continue
		}
		c.lastByteAt, k.unresponsive = now, false
		if c == k.watch && k.watchHealthy() {
			k.knownUntil = now
		}
	}
	k.updateStale()
}

// Listed takes a list received on a connection and reports whether to accept it. A list with a lower revision is
// rejected, since it is older than the current one. The connection is then closed and the whole list is requested.
func (k *Tracker) Listed(now int64, id Call, revision int64, complete bool) bool {
	k.advance(now)
	defer k.updateStale()
	fromWatch := k.watch != nil && k.watch.id == id
	if !fromWatch && (k.pending == nil || k.pending.id != id) {
		return false
	}
	fromFormerAddress := fromWatch && k.watch.formerAddress
	if !fromFormerAddress && revision < k.revision && !(complete && k.wentBack) {
		k.wentBack = true
		if fromWatch && k.pending != nil {
			return false
		}
		k.revision = All
		k.emit(Command{Kind: Close, Call: id})
		k.handleEnd(id, Malformed)
		return false
	}
	if fromFormerAddress {
		return true // revisions of the former address do not apply to the new one
	}
	k.revision, k.wentBack = revision, false
	if fromWatch {
		return true
	}
	k.closeCall(&k.watch)
	k.watch, k.pending = k.pending, nil
	k.watch.lastByteAt = now
	k.knownUntil, k.silentSince, k.movedAt, k.failedCallStart, k.retryAt, k.unresponsive = now, 0, 0, 0, 0, false
	return true
}

// Ended records the end of a connection.
func (k *Tracker) Ended(now int64, id Call, how EndReason) {
	k.advance(now)
	k.handleEnd(id, how)
	k.updateStale()
}

func (k *Tracker) handleEnd(id Call, how EndReason) {
	switch {
	case k.watch != nil && k.watch.id == id:
		switch {
		case !k.limits.Pushed && !k.watch.formerAddress && how == Refused:
			// Discovery ends its watches when it goes down. A silence just before that was its shutdown, and it reported
			// nothing meanwhile.
			k.knownUntil, k.silentSince = k.now, 0
		case k.watchHealthy():
			k.knownUntil = k.now
		}
		k.watch = nil
		if k.pending == nil {
			k.retry(how)
		}
	case k.pending != nil && k.pending.id == id:
		k.failedCallStart, k.unresponsive = k.pending.startedAt, false
		k.pending = nil
		if !k.watchHealthy() {
			k.retry(how)
		}
	}
}

// retry schedules another call. If lists are pushed, every change counts at once: a watch that ended is reopened
// at once and a failed call is repeated shortly after. Otherwise the decision module chooses the time, which
// spreads the calls of all dispatchers.
func (k *Tracker) retry(how EndReason) {
	switch {
	case !k.limits.Pushed:
		k.emit(Command{Kind: Fail})
	case k.failedCallStart == 0 && how == Refused:
		k.dial()
	default:
		k.retryAt = k.now + pushedRetryGap + int64(k.random()*pushedRetryGap)
	}
}

// Wake handles timeouts; call it at the time that Next returns.
func (k *Tracker) Wake(now int64) {
	k.advance(now)
	if w := k.watch; w != nil && k.silentSince == 0 && now >= w.lastByteAt+SilenceTimeout+w.jitter {
		k.silentSince = w.lastByteAt
		if k.pending == nil {
			k.dial()
		}
	}
	if p := k.pending; p != nil && now >= p.lastByteAt+CallTimeout {
		// Timed out: no answer says that discovery is down or busy, so another call starts at once.
		k.failedCallStart, k.unresponsive = p.startedAt, true
		if k.silentSince == 0 {
			k.silentSince = max(p.lastByteAt, k.knownUntil)
		}
		k.closeCall(&k.pending)
		k.dial()
	}
	if k.retryAt != 0 && now >= k.retryAt && k.pending == nil {
		k.dial()
	}
	k.updateStale()
}

// Next returns the time at which Wake must be called; 0 = not before another event.
func (k *Tracker) Next() int64 {
	next := int64(0)
	earliest := func(at int64) {
		if at != 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if w := k.watch; w != nil && k.silentSince == 0 {
		earliest(w.lastByteAt + SilenceTimeout + w.jitter)
	}
	if k.pending != nil {
		earliest(k.pending.lastByteAt + CallTimeout)
	} else {
		earliest(k.retryAt)
	}
	if at, _ := k.assumedNotifiedAt(); !k.stale && at != 0 {
		earliest(at + k.grace())
	}
	return next
}

// assumedNotifiedAt returns the time from which changes that were not received count as notified, and the reason;
// 0 = not before another event.
func (k *Tracker) assumedNotifiedAt() (at int64, cause string) {
	if k.limits.Pushed && k.unresponsive {
		return 0, ""
	}
	earliest := func(t int64, reason string) {
		if at == 0 || t < at {
			at, cause = t, reason
		}
	}
	if k.silentSince != 0 {
		earliest(k.silentSince+NotifiedAfterSilence, "no data from discovery")
	}
	if k.movedAt != 0 {
		earliest(k.movedAt+NotifiedAfterMove, "the new address of discovery has not answered")
	}
	switch {
	case k.watch != nil:
		earliest(k.watch.lastByteAt+NotifiedAfterSilence, "no data from discovery")
	case k.limits.Pushed && k.movedAt == 0:
		earliest(k.knownUntil, "no watch is open and lists are pushed")
	case !k.limits.Pushed && k.limits.AskWithin > 0:
		t := k.knownUntil + k.limits.AskWithin
		if k.failedCallStart != 0 {
			t = max(t, k.failedCallStart+failedValidityFactor*k.limits.AskWithin)
		}
		earliest(t, "no watch has been open for longer than the settings allow")
	}
	return at, cause
}

// grace returns how long after assumedNotifiedAt sends are tolerated, less the time needed to act.
func (k *Tracker) grace() int64 { return max(k.limits.Grace-actMargin, 0) }

// updateStale emits a command when the membership becomes stale or reliable again.
func (k *Tracker) updateStale() {
	at, cause := k.assumedNotifiedAt()
	stale := at != 0 && k.now >= at+k.grace()
	if stale == k.stale {
		return
	}
	k.stale = stale
	if stale {
		k.emit(Command{Kind: Stale, Cause: cause})
	} else {
		k.emit(Command{Kind: Reliable})
	}
}

// watchHealthy reports whether a watch at the present address is open and not silent.
func (k *Tracker) watchHealthy() bool {
	return k.watch != nil && !k.watch.formerAddress && k.silentSince == 0
}

func (k *Tracker) advance(now int64) { k.now = max(k.now, now) }

func (k *Tracker) dial() {
	k.lastCall++
	k.retryAt = 0
	k.pending = &call{id: k.lastCall, startedAt: k.now, lastByteAt: k.now, jitter: int64(k.random() * SilenceJitter)}
	k.emit(Command{Kind: Dial, Call: k.lastCall, Index: k.revision})
}

func (k *Tracker) closeCall(c **call) {
	if *c != nil {
		k.emit(Command{Kind: Close, Call: (*c).id})
		*c = nil
	}
}
