// Package ledger keeps what the other dispatchers of a fleet say that they have outstanding at each host and are asked for,
// and says how much of it may be believed. It does no I/O and reads no clock; times are microseconds on the caller's clock.
//
// News has an age: it is the time since it was heard, and past Limits.Believe a peer's news counts for nothing. A process
// that wakes up late is known by its incarnation and sequence. Where too few of the members are heard nothing is told, and
// the decisions are those of a dispatcher that shares nothing.
package ledger

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"granitewing/internal/fleet/slack"
	"granitewing/internal/fleet/verdict"
	"granitewing/logic"
)

// Limits bound what is believed. The zero value of a field means its default.
type Limits struct {
	Believe int64   // microseconds for which a peer's news counts; default 2 s
	Gap     int64   // microseconds that two reports of a peer are apart at least; default 20 ms
	Quorum  float64 // share of the other members that must be heard; default a half
	Peers   int     // default 2,000
	Hubs    int     // members that sum for the others; 0 is all of up to 12, and the square root of more
	Deaf    int64   // microseconds without an answer after which a hub is left for the next; default 1.5 s
}

// Bounds on one report. What a dispatcher has outstanding is bounded by its open messages, so more is nonsense.
const (
	HeldMost  = 1024
	AskedMost = 48  // data sets of one dispatcher
	sumMost   = 512 // data sets of a sum
	workMost  = 1e5 // slot-seconds of one dispatcher at one host
	loadMost  = 1e5 // slots a second of one dispatcher for one data set
	ageMost   = 60_000_000
	ranMost   = 60   // seconds of work in the runs of one dispatcher at a host: one that lies weighs no more
	slowMost  = 1000 // seconds for a second of work
)

// Kind says for whom a report speaks.
type Kind uint8

// The kinds of reports: a member tells its hub of itself, a hub tells the other hubs of its group, and tells each of the
// group of all the rest.
const (
	Own Kind = iota
	Group
	Rest
	Moved // a member tells the hub that it told so far that another counts it from now on
	kinds
)

// Held is slot-work, in seconds on a standard core, outstanding at a host.
type Held struct {
	Host logic.WorkerID
	Work float64
}

// Asked is the slots a second for which a dispatcher is asked with a data set.
type Asked struct {
	Set  uint64
	Load float64
}

// Ran is the running time and the work (seconds on a standard core) of runs at a host of late.
type Ran struct {
	Host      logic.WorkerID
	Run, Work float64
}

// Report is what one dispatcher says, of itself or of those that it sums. Of one name a higher incarnation is a later
// process, and within it and a kind a higher sequence later news.
type Report struct {
	Kind        Kind
	Members     int   // dispatchers for which it speaks, where that is a sum
	Age         int64 // mean age of what is in it when it was sent, microseconds
	From        string
	Incarnation uint64
	Seq         uint64
	Held        []Held
	Asked       []Asked
	Votes       []verdict.Vote
	Ran         []Ran
	Load        *slack.Load // nil: it does not tell
}

// The reasons for which a report is refused.
var (
	ErrSelf  = errors.New("ledger: a report in this dispatcher's own name")
	ErrOld   = errors.New("ledger: older than what was heard of its sender")
	ErrRange = errors.New("ledger: a figure out of range")
	ErrFlood = errors.New("ledger: too soon after the last report of its sender")
	ErrFull  = errors.New("ledger: more senders than are kept")
)

// Counts is what was heard and refused since the start.
type Counts struct {
	Heard, Old, Range, Flood, Full, Self int
	Strange                              int // figures of hosts that this dispatcher does not know
}

// Ledger is one dispatcher's. It must not be used by two goroutines at once.
type Ledger struct {
	self    string
	limits  Limits
	members int // others that are there, as far as membership knows
	peers   map[source]*peer
	order   []source // of peers, sorted: sums of fractions depend on it, and a play has to repeat
	counts  Counts
	told    map[logic.WorkerID]float64 // work of the others, while it is summed
	sets    map[uint64]float64

	hub   string // that this dispatcher tells
	since int64  // from when on
	avoid map[string]int64
	left  string // the hub before, which is told so
	still int    // rounds in which it is, and other hubs are told that this is none any more
}

// source is who speaks, and for whom.
type source struct {
	name string
	kind Kind
}

func (a source) compare(b source) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

type peer struct {
	members          int
	age              int64
	incarnation, seq uint64
	at               int64
	gone, moved      bool
	held             []Held
	asked            []Asked
	votes            []verdict.Vote
	ran              []Ran
	load             *slack.Load
}

// New makes a ledger for the dispatcher named self.
func New(self string, limits Limits) *Ledger {
	limits.Believe = cmp.Or(limits.Believe, 2_000_000)
	limits.Gap = cmp.Or(limits.Gap, 20_000)
	limits.Quorum = cmp.Or(limits.Quorum, 0.5)
	limits.Peers = cmp.Or(limits.Peers, 2000)
	limits.Deaf = cmp.Or(limits.Deaf, 1_500_000)
	return &Ledger{self: self, limits: limits, peers: map[source]*peer{}, avoid: map[string]int64{}, told: map[logic.WorkerID]float64{}, sets: map[uint64]float64{}}
}

// Members says how many other dispatchers are there; news of fewer of them is scaled to all.
func (l *Ledger) Members(n int) { l.members = n }

// Hear takes a report at the time at which it came. One that is refused changes nothing.
func (l *Ledger) Hear(now int64, r *Report) error {
	key := source{r.From, r.Kind}
	if r.Kind == Moved {
		key.kind = Own
	}
	p := l.peers[key]
	switch {
	case r.From == l.self || r.From == "":
		l.counts.Self++
		return ErrSelf
	case p != nil && now-p.at <= forgetAfter*l.limits.Believe && (r.Incarnation < p.incarnation || r.Incarnation == p.incarnation && r.Seq <= p.seq):
		l.counts.Old++
		return ErrOld
	case !inRange(r):
		l.counts.Range++
		return ErrRange
	case p != nil && r.Incarnation == p.incarnation && now-p.at < l.limits.Gap:
		l.counts.Flood++
		return ErrFlood
	case p == nil && len(l.peers) >= l.limits.Peers:
		if !l.room(now) {
			l.counts.Full++
			return ErrFull
		}
	}
	if p == nil {
		p = &peer{}
		l.peers[key] = p
		i, _ := slices.BinarySearchFunc(l.order, key, source.compare)
		l.order = slices.Insert(l.order, i, key)
	}
	*p = peer{members: r.Members, age: r.Age, incarnation: r.Incarnation, seq: r.Seq, at: now, held: append(p.held[:0], r.Held...), asked: append(p.asked[:0], r.Asked...), votes: append(p.votes[:0], r.Votes...), ran: append(p.ran[:0], r.Ran...), load: r.Load}
	switch r.Kind {
	case Own:
		p.members, p.age = 1, 0
	case Moved:
		*p = peer{incarnation: r.Incarnation, seq: r.Seq, at: now, gone: true, moved: true}
	case Group:
		p.moved = r.Members == 0 // it is a hub no more
	}
	l.counts.Heard++
	return nil
}

func inRange(r *Report) bool {
	fine := func(v, most float64) bool { return v >= 0 && v <= most } // false of NaN as well
	speaks, sets, votes := 1.0, AskedMost, verdict.VotesMost
	if r.Kind != Own {
		speaks, sets, votes = float64(max(r.Members, 1)), sumMost, sumMost
	}
	return r.Kind < kinds && r.Members >= 0 && r.Members <= membersMost && r.Age >= 0 && r.Age <= ageMost &&
		len(r.Held) <= HeldMost && len(r.Asked) <= sets && len(r.Votes) <= votes && fair(r.Votes, int(speaks)) &&
		len(r.Ran) <= HeldMost && !slices.ContainsFunc(r.Ran, func(a Ran) bool { return !fine(a.Work, ranMost*speaks) || !fine(a.Run, slowMost*a.Work) }) &&
		!slices.ContainsFunc(r.Held, func(h Held) bool { return !fine(h.Work, workMost*speaks) }) &&
		!slices.ContainsFunc(r.Asked, func(a Asked) bool { return !fine(a.Load, loadMost*speaks) }) &&
		(r.Load == nil || !slices.ContainsFunc(r.Load[:], func(v float64) bool { return !fine(v, loadMost*speaks) }))
}

// fair tells whether nobody has more votes on a host than there are dispatchers for which it speaks.
func fair(votes []verdict.Vote, speaks int) bool {
	cast := map[logic.WorkerID]int{}
	return !slices.ContainsFunc(votes, func(v verdict.Vote) bool {
		cast[v.Host] += int(v.Bad) + int(v.Good)
		return cast[v.Host] > speaks
	})
}

// membersMost bounds the dispatchers for which a sum may speak.
const membersMost = 10_000

// forgetAfter is how many times Believe a silent peer's incarnation is remembered, so that its old news stays refused. No
// datagram is on its way for so long; after that its place may go to another, and it may come back with a clock set back.
const forgetAfter = 30

// room makes a place by forgetting the peer that has been silent longest.
func (l *Ledger) room(now int64) bool {
	var oldest source
	at := now - forgetAfter*l.limits.Believe
	for key, p := range l.peers {
		if p.at < at {
			oldest, at = key, p.at
		}
	}
	if oldest.name == "" {
		return false
	}
	delete(l.peers, oldest)
	i, _ := slices.BinarySearchFunc(l.order, oldest, source.compare)
	l.order = slices.Delete(l.order, i, i+1)
	return true
}

// Gone says that membership has given a peer's process up: what it has counts for nothing. Membership may be wrong, of one
// that stood still or was cut off; so later news of that process counts again, and what it said before stays refused.
func (l *Ledger) Gone(name string, incarnation uint64) {
	for kind := range kinds {
		if p := l.peers[source{name, kind}]; p != nil && p.incarnation <= incarnation {
			*p = peer{incarnation: incarnation, seq: p.seq, at: p.at, gone: true}
		}
	}
}

// Telling is where the sums go.
type Telling interface {
	Heard(now int64, host logic.WorkerID, work float64, at int64)
	HeardDemand(set uint64, load float64, until int64)
}

// believed gives those whose news counts now: this dispatcher's own sources, or the sum of all the rest that its hub, or the
// one before, has told last, whichever speaks for more. Of others that claim to speak for the rest nothing is believed.
func (l *Ledger) believed(now int64) (from []*peer, members int) {
	var rest *peer
	for _, key := range l.order {
		p := l.peers[key]
		switch {
		case p.gone || now-p.at > l.limits.Believe:
		case key.kind != Rest:
			from, members = append(from, p), members+p.members
		case key.name != l.hub && key.name != l.left:
		case rest == nil || p.at >= rest.at:
			rest = p
		}
	}
	if rest != nil && rest.members > members {
		return []*peer{rest}, rest.members
	}
	return from, members
}

// Tell sums what the others have at each of some hosts and tells it, with the mean time of the news that it rests on.
// It tells nothing where less than the quorum was heard; what was told before then fades as any sighting does.
func (l *Ledger) Tell(now int64, hosts []logic.WorkerID, to Telling) (heard int) {
	clear(l.told)
	clear(l.sets)
	for _, h := range hosts {
		l.told[h] = 0
	}
	at := 0.0
	from, heard := l.believed(now)
	for _, p := range from {
		at += float64(p.at-p.age) * float64(p.members)
		for _, h := range p.held {
			if _, known := l.told[h.Host]; known {
				l.told[h.Host] += h.Work
			} else {
				l.counts.Strange++
			}
		}
		for _, a := range p.asked {
			l.sets[a.Set] += a.Load
		}
	}
	if heard == 0 || float64(heard) < l.limits.Quorum*float64(l.members) {
		return heard
	}
	// Those not heard are taken to be like those that are.
	scale := math.Max(float64(l.members)/float64(heard), 1)
	when := int64(at / float64(heard))
	for _, h := range hosts {
		to.Heard(now, h, l.told[h]*scale, when)
	}
	for set, load := range l.sets {
		to.HeardDemand(set, load*scale, when+l.limits.Believe)
	}
	return heard
}

// Believes is for how many microseconds news counts.
func (l *Ledger) Believes() int64 { return l.limits.Believe }

// Counts tells what was heard and refused.
func (l *Ledger) Counts() Counts { return l.counts }

// Source is what a dispatcher knows of itself.
type Source interface {
	Outstanding(tell func(host logic.WorkerID, work float64))
	Demand(now int64, tell func(set uint64, load float64))
}

// Of makes a dispatcher's report of itself; of the data sets it names those that it is asked for most.
func Of(from string, incarnation, seq uint64, now int64, s Source) *Report {
	r := &Report{From: from, Incarnation: incarnation, Seq: seq}
	s.Outstanding(func(host logic.WorkerID, work float64) {
		r.Held = append(r.Held, Held{host, min(work, workMost)})
	})
	s.Demand(now, func(set uint64, load float64) { r.Asked = append(r.Asked, Asked{set, min(load, loadMost)}) })
	r.trim(AskedMost)
	return r
}

// ErrInUse tells that another process has the address at which a dispatcher takes part in its fleet.
var ErrInUse = errors.New("the address is in use")

// News is a report with the time at which it came.
type News struct {
	*Report
	At time.Time
}

// Process is one process of a dispatcher.
type Process struct {
	Name        string
	Incarnation uint64
}

// Heard is what membership has brought since it was last asked.
type Heard struct {
	News    []News
	Gone    []Process
	Members []string // others that are there now
	Bad     int      // messages that were no report, or found no room
	Old     int      // reports of which a later one of the same sender had come already
}

// Peer is what is known of one sender.
type Peer struct {
	Speaks      int // dispatchers that its report speaks for
	Name        string
	Incarnation uint64
	At          int64 // of its last report
	Gone        bool
}

// Peers lists all senders but those that tell another hub now.
func (l *Ledger) Peers() []Peer {
	out := make([]Peer, 0, len(l.order))
	for _, key := range l.order {
		p := l.peers[key]
		if p.moved {
			continue
		}
		out = append(out, Peer{p.members, key.name, p.incarnation, p.at, p.gone})
	}
	return out
}
