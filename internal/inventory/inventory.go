// Package inventory decides how a dispatcher keeps up with discovery: when it asks, which of its connections it listens
// to, which lists it believes, and from when on what it can't know has to be held against it. It is fed time and events
// and knows no socket; the driver carries out its commands.
//
// Discovery tells of changes on a watch, which writes something every 2 s. One clock of silence runs over it: what a
// watch that has fallen silent missed counts as told 6 s after it fell silent, whether it came or not. The budget of these
// 6 s, from the last byte that was heard, and what each part rests on:
//
//	2.4 to 2.8 s  the silence is noticed: a line is 0.4 s late; drawn, so that those who notice together ask apart
//	+ 2.2 s       the first call is lost if nothing has come by then: discovery ends one that waited 2 s with a 503
//	+ 0           a second call is begun at once where the first was lost in silence
//	+ 0.75 s      or, where discovery turned it away, when the decisions ask again (their first gap is 0.25 to 0.75 s)
//	+ 0.8 s       is left for its answer where a host that drains may be sent to for 0.75 s more, as deployments have it
//
// Past the limit the list is in doubt: any host on it may have drained, and nothing new is sent until discovery answers.
//
// A watch that discovery ends is not silent, where lists are asked for: watches end when it goes down, and it tells nothing then.
//
// Where lists are pushed, what discovery has counts at once, so that a list is in doubt soon after its watch has ended and from
// the start of a process on, until the first answer. There discovery that is down is silent and learns nothing: a call that
// waited longer than discovery lets any wait says so, the list holds, and a call always waits for the return.
package inventory

// The parts of the budget, in microseconds.
const (
	Silence              = 2_400_000 // since the last byte, from which a watch counts as silent
	Spread               = 400_000   // drawn on top of it
	Patience             = 2_200_000 // for the answer to a call, its connection included
	ToldSilent           = 6_000_000 // after it fell silent what a watch or call missed counts as told
	ToldMoved            = 4_000_000 // after discovery has moved what it has to tell counts as told
	actMargin            = 250_000   // of the grace for drains, kept for acting on it
	pushedRetryGap       = 200_000   // before a failed call is repeated where lists are pushed; as much again is drawn
	failedValidityFactor = 4         // times the time that a list holds without a watch, after a call that failed
)

// Limits are what a deployment's settings say of lists. Times are microseconds.
type Limits struct {
	Pushed    bool  // what discovery has counts as told at once, whether it is asked or not
	AskWithin int64 // without a watch a list holds for so long; 0 = without end
	Grace     int64 // for which a host may be sent to once it is told that it drains
}

// Call names one connection to discovery; no two have the same.
type Call uint64

// Kind is what shall be done.
type Kind uint8

// The kinds of command and the fields that each uses.
const (
	Dial  Kind = iota // Call, Index: connect to discovery and ask for what changed after Index, or for all it has
	Close             // Call: listen to it no more; nothing is told of it after
	Fail              // asking failed; Ask is to be called when it is time to ask again
	Doubt             // Cause: from now on nothing is sent to any host
	Trust             // that is over
)

// All is the Index that asks for the whole list.
const All = -1

// Command is something to be done, in order.
type Command struct {
	Kind  Kind
	Call  Call
	Index int64
	Cause string
}

// How tells how a connection to discovery ended.
type How uint8

// The ways in which it ends.
const (
	Refused How = iota // discovery or its machine said so: refused, reset, turned away, ended
	Spoilt             // what it told could not be read
)

// call is one connection.
type call struct {
	id            Call
	startedAt     int64
	lastByteAt    int64 // last byte
	jitter        int64 // drawn, of the wait for the next byte
	formerAddress bool  // to an address that discovery has left
}

// Keeper keeps up with discovery. Its methods take the time in microseconds, which never goes back.
type Keeper struct {
	limits   Limits
	random   func() float64
	now      int64
	lastCall Call
	revision int64 // revision of the list that is held, or All where it can't be asked by it
	watch    *call // what is listened to; silent or of an old address it is kept until the next call is answered
	pending  *call // the call whose answer is awaited
	retryAt  int64 // when to ask again, where lists are pushed; 0 = no wait
	wentBack bool  // the last list went back; a whole one is believed next

	failedCallStart int64 // beginning of the last call that failed; 0 = the last one did not
	knownUntil      int64 // up to then all that discovery had to tell is known
	silentSince     int64 // since then discovery may have told what was not heard; 0 = it was not silent
	unresponsive    bool  // it is silent to calls as well; where lists are pushed, it learns nothing then
	movedAt         int64 // when discovery moved; 0 = the present address has answered since
	stale           bool
	commands        []Command
}

// New makes a keeper that holds a list of a revision, or All, from the start on. random gives numbers from 0 to 1.
func New(now int64, l Limits, index int64, random func() float64) *Keeper {
	return &Keeper{limits: l, random: random, now: now, revision: index, knownUntil: now}
}

// Ready gives what is to be done since the last call, valid until the next one.
func (k *Keeper) Ready() []Command {
	out := k.commands
	k.commands = k.commands[:0]
	return out
}

func (k *Keeper) emit(c Command) { k.commands = append(k.commands, c) }

// Ask asks for the watch, unless one is listened to that is good or an answer is awaited.
func (k *Keeper) Ask(now int64) {
	k.advance(now)
	if k.pending == nil && !k.watchHealthy() {
		k.dial()
	}
	k.updateStale()
}

// Moved takes the news that discovery has another address from now on. Its revisions need not be the old one's, so it is
// asked for all it has. The old watch may still bring what was written to it, and is listened to until the answer.
func (k *Keeper) Moved(now int64) {
	k.advance(now)
	k.revision, k.movedAt = All, now
	if k.watch != nil {
		k.watch.formerAddress = true
	}
	k.closeCall(&k.pending)
	k.dial()
	k.updateStale()
}

// Heard takes the news that bytes came on a connection which say that it lives.
func (k *Keeper) Heard(now int64, id Call) {
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

// Listed takes a list that came on a connection and tells whether it is to be believed. One whose revision goes back is not:
// what it says was true before what is known. The connection is then of no use, and the whole list is asked for.
func (k *Keeper) Listed(now int64, id Call, revision int64, complete bool) bool {
	k.advance(now)
	defer k.updateStale()
	former := k.watch != nil && k.watch.id == id
	if !former && (k.pending == nil || k.pending.id != id) {
		return false
	}
	old := former && k.watch.formerAddress
	if !old && revision < k.revision && !(complete && k.wentBack) {
		k.wentBack = true
		if former && k.pending != nil {
			return false
		}
		k.revision = All
		k.emit(Command{Kind: Close, Call: id})
		k.handleEnd(id, Spoilt)
		return false
	}
	if old {
		return true // its revisions say nothing of the new address's
	}
	k.revision, k.wentBack = revision, false
	if former {
		return true
	}
	k.closeCall(&k.watch)
	k.watch, k.pending = k.pending, nil
	k.watch.lastByteAt = now
	k.knownUntil, k.silentSince, k.movedAt, k.failedCallStart, k.retryAt, k.unresponsive = now, 0, 0, 0, 0, false
	return true
}

// Ended takes the end of a connection.
func (k *Keeper) Ended(now int64, id Call, how How) {
	k.advance(now)
	k.handleEnd(id, how)
	k.updateStale()
}

func (k *Keeper) handleEnd(id Call, how How) {
	switch {
	case k.watch != nil && k.watch.id == id:
		switch {
		case !k.limits.Pushed && !k.watch.formerAddress && how == Refused:
			// Watches end when discovery goes down: a silence before that was its going, and it told nothing meanwhile.
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

// again has discovery asked anew. Where lists are pushed, that is at once after a watch, and soon after a call, since what
// discovery has counts at once; else the decisions say when, and space out the calls of all.
func (k *Keeper) retry(how How) {
	switch {
	case !k.limits.Pushed:
		k.emit(Command{Kind: Fail})
	case k.failedCallStart == 0 && how == Refused:
		k.dial()
	default:
		k.retryAt = k.now + pushedRetryGap + int64(k.random()*pushedRetryGap)
	}
}

// Wake takes the time; Next says when it wants to be called.
func (k *Keeper) Wake(now int64) {
	k.advance(now)
	if w := k.watch; w != nil && k.silentSince == 0 && now >= w.lastByteAt+Silence+w.jitter {
		k.silentSince = w.lastByteAt
		if k.pending == nil {
			k.dial()
		}
	}
	if a := k.pending; a != nil && now >= a.lastByteAt+Patience {
		// Lost in silence: nobody has said that discovery is down or busy, so another call is begun at once.
		k.failedCallStart, k.unresponsive = a.startedAt, true
		if k.silentSince == 0 {
			k.silentSince = max(a.lastByteAt, k.knownUntil)
		}
		k.closeCall(&k.pending)
		k.dial()
	}
	if k.retryAt != 0 && now >= k.retryAt && k.pending == nil {
		k.dial()
	}
	k.updateStale()
}

// Next is when Wake is to be called at the latest; 0 = not before something happens.
func (k *Keeper) Next() int64 {
	next := int64(0)
	sooner := func(at int64) {
		if at != 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if w := k.watch; w != nil && k.silentSince == 0 {
		sooner(w.lastByteAt + Silence + w.jitter)
	}
	if k.pending != nil {
		sooner(k.pending.lastByteAt + Patience)
	} else {
		sooner(k.retryAt)
	}
	if at, _ := k.assumedNotifiedAt(); !k.stale && at != 0 {
		sooner(at + k.grace())
	}
	return next
}

// told is when what is not known counts as told, and why; 0 = not before something happens.
func (k *Keeper) assumedNotifiedAt() (at int64, cause string) {
	if k.limits.Pushed && k.unresponsive {
		return 0, ""
	}
	sooner := func(t int64, why string) {
		if at == 0 || t < at {
			at, cause = t, why
		}
	}
	if k.silentSince != 0 {
		sooner(k.silentSince+ToldSilent, "discovery is silent")
	}
	if k.movedAt != 0 {
		sooner(k.movedAt+ToldMoved, "discovery has moved and does not answer")
	}
	switch {
	case k.watch != nil:
		sooner(k.watch.lastByteAt+ToldSilent, "discovery is silent")
	case k.limits.Pushed && k.movedAt == 0:
		sooner(k.knownUntil, "no watch is open and lists are pushed")
	case !k.limits.Pushed && k.limits.AskWithin > 0:
		t := k.knownUntil + k.limits.AskWithin
		if k.failedCallStart != 0 {
			t = max(t, k.failedCallStart+failedValidityFactor*k.limits.AskWithin)
		}
		sooner(t, "no watch is open for longer than the settings allow")
	}
	return at, cause
}

// grace is how long after that sends are tolerated, less the time to act on it.
func (k *Keeper) grace() int64 { return max(k.limits.Grace-actMargin, 0) }

// judge tells when the list comes to be in doubt, and when it is believed again.
func (k *Keeper) updateStale() {
	at, cause := k.assumedNotifiedAt()
	doubt := at != 0 && k.now >= at+k.grace()
	if doubt == k.stale {
		return
	}
	k.stale = doubt
	if doubt {
		k.emit(Command{Kind: Doubt, Cause: cause})
	} else {
		k.emit(Command{Kind: Trust})
	}
}

// good tells whether a watch is listened to that speaks and is the present address's.
func (k *Keeper) watchHealthy() bool {
	return k.watch != nil && !k.watch.formerAddress && k.silentSince == 0
}

func (k *Keeper) advance(now int64) { k.now = max(k.now, now) }

func (k *Keeper) dial() {
	k.lastCall++
	k.retryAt = 0
	k.pending = &call{id: k.lastCall, startedAt: k.now, lastByteAt: k.now, jitter: int64(k.random() * Spread)}
	k.emit(Command{Kind: Dial, Call: k.lastCall, Index: k.revision})
}

func (k *Keeper) closeCall(c **call) {
	if *c != nil {
		k.emit(Command{Kind: Close, Call: (*c).id})
		*c = nil
	}
}
