// Package ledger keeps what the other dispatchers of a fleet report: the work that each has outstanding at every host,
// the demand that each receives for every data set, its votes on hosts, the run times that it observed at hosts, and
// its load. It also decides how much of that may be trusted.
//
// A dispatcher calls Accept with each report that arrives, PassSums to pass the sums to its own scheduler, and Round to
// learn which reports to send to whom. Votes, Ran and Load give the other sums. Append and Parse are the encoding of a
// report. The package does no I/O and reads no clock; times are microseconds on the caller's clock.
//
// A report is valid for Limits.Validity after it arrived; then it no longer counts. Reports of a process that wakes up
// late are recognized by their incarnation and sequence number and refused. If too few of the members have a valid
// report, PassSums passes on nothing and the dispatcher decides as one that shares nothing.
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

// Limits bound which reports are accepted and for how long they count. A field of zero means its default.
type Limits struct {
	Validity   int64   // microseconds for which a peer's report is valid; default 2 s
	Gap        int64   // minimum microseconds between two reports of a peer; default 20 ms
	Quorum     float64 // share of the other members that must have a valid report; default 0.5
	Peers      int     // maximum number of senders kept; default 2,000
	Hubs       int     // members that sum for the others; 0 means all members up to 12, and the square root of more
	HubTimeout int64   // microseconds without an answer after which a hub is left for the next one; default 1.5 s
}

// Bounds on one report. A dispatcher's outstanding work is bounded by its open messages, so a larger figure is invalid.
const (
	MaxHosts      = 1024 // hosts in one report, both of outstanding work and of runs
	MaxSets       = 48   // data sets in the report of one dispatcher
	maxSumEntries = 512  // data sets, and votes, in a sum
	maxWork       = 1e5  // slot-seconds of one dispatcher at one host
	maxLoad       = 1e5  // slots a second of one dispatcher for one data set
	maxAge        = 60_000_000
	maxRunWork    = 60   // seconds of work in the runs of one dispatcher at a host; limits the weight of a false report
	maxSlowdown   = 1000 // seconds of running time for a second of work
)

// Kind says for whom a report speaks.
type Kind uint8

// The kinds of reports. A member reports itself to its hub. A hub reports its group to the other hubs, and to each
// member of the group the sum of all other members of the fleet.
const (
	Own   Kind = iota // the sender alone
	Group             // the members that report to the sender, and the sender if it is a hub
	Rest              // all members but the receiver
	Moved             // tells the previous hub that another hub counts the sender from now on
	kinds
)

// HostWork is the work outstanding at a host: slots times seconds on a standard core.
type HostWork struct {
	Host logic.WorkerID
	Work float64
}

// SetDemand is the demand, in slots a second, that a dispatcher receives for a data set.
type SetDemand struct {
	Set  uint64
	Load float64
}

// HostRuns is the running time in seconds, and the work in seconds on a standard core, of recent runs at a host.
type HostRuns struct {
	Host      logic.WorkerID
	Run, Work float64
}

// Report is what one dispatcher reports, of itself or of the members that it sums. A higher incarnation of the same
// name is a later process; within an incarnation and a kind, a higher sequence number is a later report.
type Report struct {
	Kind        Kind
	Members     int   // number of dispatchers that a sum covers
	Age         int64 // mean age of the contents when the report was sent, in microseconds
	From        string
	Incarnation uint64
	Seq         uint64
	Held        []HostWork     // outstanding work by host
	Asked       []SetDemand    // demand by data set
	Votes       []verdict.Vote // on hosts
	Ran         []HostRuns     // recent runs by host
	Load        *slack.Load    // nil: the report has no load
}

// The reasons for which a report is refused.
var (
	ErrSelf  = errors.New("ledger: report without a sender or in this dispatcher's own name")
	ErrOld   = errors.New("ledger: report is older than the latest of its sender")
	ErrRange = errors.New("ledger: figure out of range")
	ErrFlood = errors.New("ledger: report came too soon after the last one of its sender")
	ErrFull  = errors.New("ledger: too many senders")
)

// Counts are the reports accepted and refused since the start, by reason.
type Counts struct {
	Heard, Old, Range, Flood, Full, Self int
	UnknownHosts                         int // figures of hosts that this dispatcher does not know
}

// Ledger holds the reports that one dispatcher received. It must not be used by two goroutines at once.
type Ledger struct {
	self       string
	limits     Limits
	members    int // other members, according to membership
	peers      map[source]*peer
	order      []source // keys of peers, sorted: float sums depend on the order, and a simulated run must repeat
	counts     Counts
	workByHost map[logic.WorkerID]float64 // scratch space of PassSums
	loadBySet  map[uint64]float64         // scratch space of PassSums

	hub         string           // the hub that this dispatcher reports to
	hubSince    int64            // when it chose that hub
	avoidUntil  map[string]int64 // hubs that did not answer, until when they are not chosen
	previousHub string           // the hub before, which gets Moved reports
	noticesLeft int              // rounds left to send Moved, or to report to other hubs that this is no hub any more
}

// source identifies a sender and the kind of its reports.
type source struct {
	name string
	kind Kind
}

func (a source) compare(b source) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

// peer is the latest report of a source.
type peer struct {
	members          int   // dispatchers that the report covers
	age              int64 // mean age of its contents when it was sent, in microseconds
	incarnation, seq uint64
	receivedAt       int64
	gone, moved      bool // gone: counts for nothing until a later report; moved: not listed by Peers
	held             []HostWork
	asked            []SetDemand
	votes            []verdict.Vote
	ran              []HostRuns
	load             *slack.Load
}

// New returns an empty ledger of the dispatcher named self.
func New(self string, limits Limits) *Ledger {
	limits.Validity = cmp.Or(limits.Validity, 2_000_000)
	limits.Gap = cmp.Or(limits.Gap, 20_000)
	limits.Quorum = cmp.Or(limits.Quorum, 0.5)
	limits.Peers = cmp.Or(limits.Peers, 2000)
	limits.HubTimeout = cmp.Or(limits.HubTimeout, 1_500_000)
	return &Ledger{self: self, limits: limits, peers: map[source]*peer{}, avoidUntil: map[string]int64{}, workByHost: map[logic.WorkerID]float64{}, loadBySet: map[uint64]float64{}}
}

// Members sets how many other dispatchers are in the fleet. Sums of the reports of fewer are scaled up to this number.
func (l *Ledger) Members(n int) { l.members = n }

// Accept takes a report that arrived at the time now. It returns ErrSelf, ErrOld, ErrRange, ErrFlood or ErrFull for a
// report that it refuses; such a report is counted and changes nothing else.
func (l *Ledger) Accept(now int64, r *Report) error {
	key := source{r.From, r.Kind}
	if r.Kind == Moved {
		key.kind = Own
	}
	p := l.peers[key]
	switch {
	case r.From == l.self || r.From == "":
		l.counts.Self++
		return ErrSelf
	case p != nil && now-p.receivedAt <= forgetFactor*l.limits.Validity && (r.Incarnation < p.incarnation || r.Incarnation == p.incarnation && r.Seq <= p.seq):
		l.counts.Old++
		return ErrOld
	case !inRange(r):
		l.counts.Range++
		return ErrRange
	case p != nil && r.Incarnation == p.incarnation && now-p.receivedAt < l.limits.Gap:
		l.counts.Flood++
		return ErrFlood
	case p == nil && len(l.peers) >= l.limits.Peers:
		if !l.evictSilent(now) {
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
	*p = peer{members: r.Members, age: r.Age, incarnation: r.Incarnation, seq: r.Seq, receivedAt: now, held: append(p.held[:0], r.Held...), asked: append(p.asked[:0], r.Asked...), votes: append(p.votes[:0], r.Votes...), ran: append(p.ran[:0], r.Ran...), load: r.Load}
	switch r.Kind {
	case Own:
		p.members, p.age = 1, 0
	case Moved:
		*p = peer{incarnation: r.Incarnation, seq: r.Seq, receivedAt: now, gone: true, moved: true}
	case Group:
		p.moved = r.Members == 0 // the sender is no longer a hub
	}
	l.counts.Heard++
	return nil
}

// inRange reports whether all figures of a report are within bounds. The bounds of a sum grow with the members it
// covers.
func inRange(r *Report) bool {
	within := func(v, limit float64) bool { return v >= 0 && v <= limit } // false for NaN as well
	covered, sets, votes := 1.0, MaxSets, verdict.MaxVotes
	if r.Kind != Own {
		covered, sets, votes = float64(max(r.Members, 1)), maxSumEntries, maxSumEntries
	}
	return r.Kind < kinds && r.Members >= 0 && r.Members <= maxMembers && r.Age >= 0 && r.Age <= maxAge &&
		len(r.Held) <= MaxHosts && len(r.Asked) <= sets && len(r.Votes) <= votes && oneVoteEach(r.Votes, int(covered)) &&
		len(r.Ran) <= MaxHosts && !slices.ContainsFunc(r.Ran, func(a HostRuns) bool {
		return !within(a.Work, maxRunWork*covered) || !within(a.Run, maxSlowdown*a.Work)
	}) &&
		!slices.ContainsFunc(r.Held, func(h HostWork) bool { return !within(h.Work, maxWork*covered) }) &&
		!slices.ContainsFunc(r.Asked, func(a SetDemand) bool { return !within(a.Load, maxLoad*covered) }) &&
		(r.Load == nil || !slices.ContainsFunc(r.Load[:], func(v float64) bool { return !within(v, maxLoad*covered) }))
}

// oneVoteEach reports whether no host has more votes than the number of dispatchers that the report covers.
func oneVoteEach(votes []verdict.Vote, covered int) bool {
	cast := map[logic.WorkerID]int{}
	return !slices.ContainsFunc(votes, func(v verdict.Vote) bool {
		cast[v.Host] += int(v.Bad) + int(v.Good)
		return cast[v.Host] > covered
	})
}

// maxMembers bounds the number of dispatchers that a sum may claim to cover.
const maxMembers = 10_000

// forgetFactor times Limits.Validity is how long the incarnation of a silent peer is remembered, so that its old
// reports stay refused. No datagram stays in the network for so long. After that the peer's entry may be evicted for
// another sender, and the peer itself may come back with a lower incarnation because its clock was set back.
const forgetFactor = 30

// evictSilent makes space for a new sender by removing the peer that has been silent longest. It reports false if no
// peer has been silent for long enough to be forgotten.
func (l *Ledger) evictSilent(now int64) bool {
	var oldest source
	at := now - forgetFactor*l.limits.Validity
	for key, p := range l.peers {
		if p.receivedAt < at {
			oldest, at = key, p.receivedAt
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

// Gone records that membership has declared a peer's process dead: its reports no longer count. Membership may be wrong
// about a process that was paused or cut off, so later reports of that process count again; earlier ones stay refused.
func (l *Ledger) Gone(name string, incarnation uint64) {
	for kind := range kinds {
		if p := l.peers[source{name, kind}]; p != nil && p.incarnation <= incarnation {
			*p = peer{incarnation: incarnation, seq: p.seq, receivedAt: p.receivedAt, gone: true}
		}
	}
}

// Receiver receives the sums that PassSums makes.
type Receiver interface {
	// RecordOthersBacklog takes the work, in slot-seconds, that the other dispatchers have at a host, as of the time
	// at.
	RecordOthersBacklog(now int64, host logic.WorkerID, work float64, at int64)
	// RecordOthersDemand takes the other dispatchers' demand for a data set, in slots a second, which is valid until a
	// time.
	RecordOthersDemand(set uint64, load float64, until int64)
}

// validPeers returns the reports that count now and the number of members that they cover. These are either the reports
// of this dispatcher's own sources, or the latest Rest report of its hub or its previous hub, whichever covers more
// members. Rest reports of other senders are ignored.
func (l *Ledger) validPeers(now int64) (from []*peer, members int) {
	var rest *peer
	for _, key := range l.order {
		p := l.peers[key]
		switch {
		case p.gone || now-p.receivedAt > l.limits.Validity:
		case key.kind != Rest:
			from, members = append(from, p), members+p.members
		case key.name != l.hub && key.name != l.previousHub:
		case rest == nil || p.receivedAt >= rest.receivedAt:
			rest = p
		}
	}
	if rest != nil && rest.members > members {
		return []*peer{rest}, rest.members
	}
	return from, members
}

// PassSums passes to the receiver the sum of the others' work at each of the given hosts, with the mean time of the
// reports behind it, and the sum of their demand for each data set. It returns the number of members with a valid
// report. Below the quorum it passes nothing on; figures passed on earlier then decay in the receiver as every
// observation does.
func (l *Ledger) PassSums(now int64, hosts []logic.WorkerID, to Receiver) (heard int) {
	clear(l.workByHost)
	clear(l.loadBySet)
	for _, h := range hosts {
		l.workByHost[h] = 0
	}
	at := 0.0
	from, heard := l.validPeers(now)
	for _, p := range from {
		at += float64(p.receivedAt-p.age) * float64(p.members)
		for _, h := range p.held {
			if _, known := l.workByHost[h.Host]; known {
				l.workByHost[h.Host] += h.Work
			} else {
				l.counts.UnknownHosts++
			}
		}
		for _, a := range p.asked {
			l.loadBySet[a.Set] += a.Load
		}
	}
	if heard == 0 || float64(heard) < l.limits.Quorum*float64(l.members) {
		return heard
	}
	// Members without a valid report are assumed to be like those with one.
	scale := math.Max(float64(l.members)/float64(heard), 1)
	when := int64(at / float64(heard))
	for _, h := range hosts {
		to.RecordOthersBacklog(now, h, l.workByHost[h]*scale, when)
	}
	for set, load := range l.loadBySet {
		to.RecordOthersDemand(set, load*scale, when+l.limits.Validity)
	}
	return heard
}

// Believes returns Limits.Validity, the microseconds for which a report is valid.
func (l *Ledger) Believes() int64 { return l.limits.Validity }

// Counts returns the numbers of reports accepted and refused.
func (l *Ledger) Counts() Counts { return l.counts }

// Source gives a dispatcher's own figures.
type Source interface {
	// Outstanding calls tell with the work, in slot-seconds, that the dispatcher has at each host.
	Outstanding(tell func(host logic.WorkerID, work float64))
	// Demand calls tell with the demand, in slots a second, that the dispatcher receives for each data set.
	Demand(now int64, tell func(set uint64, load float64))
}

// OwnReport makes a dispatcher's report of itself. Of the data sets it includes the MaxSets with the highest demand.
func OwnReport(from string, incarnation, seq uint64, now int64, s Source) *Report {
	r := &Report{From: from, Incarnation: incarnation, Seq: seq}
	s.Outstanding(func(host logic.WorkerID, work float64) {
		r.Held = append(r.Held, HostWork{host, min(work, maxWork)})
	})
	s.Demand(now, func(set uint64, load float64) { r.Asked = append(r.Asked, SetDemand{set, min(load, maxLoad)}) })
	r.trim(MaxSets)
	return r
}

// ErrInUse says that another process uses the address at which a dispatcher joins its fleet.
var ErrInUse = errors.New("the address is in use")

// Received is a report with the time at which it arrived.
type Received struct {
	*Report
	At time.Time
}

// Process identifies one process of a dispatcher.
type Process struct {
	Name        string
	Incarnation uint64
}

// Inbox is what membership received since it was last asked.
type Inbox struct {
	Reports []Received
	Gone    []Process // processes that left or were declared dead
	Members []string  // other members that are there now
	Bad     int       // messages that were malformed or dropped for lack of space
	Old     int       // reports dropped because a later one of the same sender was already there
}

// Peer is the state of one sender.
type Peer struct {
	Speaks      int // number of dispatchers that its latest report covers
	Name        string
	Incarnation uint64
	At          int64 // when its latest report arrived, in microseconds
	Gone        bool  // membership has declared it dead
}

// Peers lists all senders except members that moved to another hub and hubs that resigned.
func (l *Ledger) Peers() []Peer {
	out := make([]Peer, 0, len(l.order))
	for _, key := range l.order {
		p := l.peers[key]
		if p.moved {
			continue
		}
		out = append(out, Peer{p.members, key.name, p.incarnation, p.receivedAt, p.gone})
	}
	return out
}
