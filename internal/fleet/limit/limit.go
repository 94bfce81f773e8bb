// Package limit enforces limits on a whole fleet of dispatchers, such as the jobs a second of a tenant or the
// concurrently open jobs of a class.
//
// A limit is split into rights. One process at a time, the dealer, grants rights to the members of the fleet for
// the length of a lease, and a member admits a job only against a right that it holds. Package lease elects the
// dealer among a few named processes, the keepers. Package rights divides one limit into rights, package cover
// lets a new dealer take over without waiting for old rights to expire, and package hold reserves slots of several
// hosts at once for gangs.
//
// The post is the office of the dealer, a Seat is what a keeper knows of the post, and a cover is a table with an upper
// bound for the rights of each member, which a majority of keepers stores before the rights are granted.
// A turn counts how often a keeper has promised the post to another process than before. A place is the right to one
// open job, and a floor is what a member without rights may start nevertheless.
//
// Each process runs one Part: it passes received messages to Receive, calls Round regularly and sends what both
// return, and asks Admit before it starts a job and reports its end with Done. The package does no I/O and reads
// no clock; all times are microseconds on the caller's clock.
package limit

import (
	"slices"

	"granitewing/internal/fleet/limit/cover"
	"granitewing/internal/fleet/limit/hold"
	"granitewing/internal/fleet/limit/lease"
	"granitewing/internal/fleet/limit/rights"
)

// Limit is one limit of the fleet and the jobs that it counts.
type Limit struct {
	Name   string // unique in the fleet
	Tenant int    // tenant whose jobs the limit counts; -1: all tenants
	Class  int    // class whose jobs the limit counts; -1: all classes
	Refuse bool   // refuse jobs without a right; else they may run as work beyond the share
	rights.Limit
}

// appliesTo reports whether a job of the tenant and class counts against the limit.
func (l *Limit) appliesTo(tenant, class int) bool {
	return (l.Tenant < 0 || l.Tenant == tenant) && (l.Class < 0 || l.Class == class)
}

// Options configure the Part of one process.
type Options struct {
	Self         lease.Owner
	Keepers      []string // names of the processes that may become dealer; same names and order at every member
	Lease        int64    // how long a right and the dealer's post last, microseconds
	Limits       []Limit
	SlotsPerHost int // slots of a host that gangs may hold at once; 0: slots are not held at all
}

// Intervals as divisors of the lease.
const (
	dealerTimeoutDivisor = 2  // a member tries the next keeper once the dealer has not answered for half a lease
	retryDivisor         = 8  // interval of asks after one without an answer, or with an empty answer
	askDivisor           = 20 // minimum interval of all other asks
)

// Part is one process's side of the fleet's limits (not a part of a gang): a member, and a keeper or the dealer if it
// is named as one. It is not safe for concurrent use.
type Part struct {
	options        Options
	seat           *lease.Seat // nil: this process is not a keeper
	limits         []*localLimit
	dealers        map[uint64]*limitDealer   // by limit hash; set while this process is the dealer
	coverStores    map[uint64]*cover.Replica // by limit hash; used by a keeper
	dealingSince   int64                     // when this process became the dealer to which dealers and slotBook belong
	sessionCounter uint64                    // last session number; shared by all dealers of this process over all its terms
	pendingAsks    map[lease.Owner]*Message  // not yet answered
	slotBook       *hold.Book                // set while this process is the dealer; nil: no slots are held
	slotHolder     *hold.Holder
	promises       map[string]promise // latest promise of the post by keeper name
	handover       *slotHandover      // from the previous dealer; nil: none was received

	dealer      lease.Owner // the process that this member asks for rights
	nextKeeper  int         // index of the keeper to try next while the dealer is unknown
	answeredAt  int64       // when the dealer last answered, or when another one was chosen
	askedAt     int64
	emptyAnswer bool // the last answer granted nothing: a new dealer waits until earlier grants have expired
	refusals    Refusals
}

// Refusals counts ignored messages: Misaddressed were meant for another process or not for a keeper, Late came out of
// order or from a former dealer or owner of the post, Full exceeded the queue of asks.
type Refusals struct{ Misaddressed, Late, Full int }

// promise records when a keeper last promised this process the post, on the keeper's clock.
type promise struct {
	from lease.Owner
	at   int64
}

// localLimit is a limit with this member's holder of its rights.
type localLimit struct {
	Limit
	hash   uint64
	holder *rights.Holder
}

// New returns the Part of a process that has just started, at time now.
func New(now int64, o Options) *Part {
	p := &Part{options: o, pendingAsks: map[lease.Owner]*Message{}, coverStores: map[uint64]*cover.Replica{}, answeredAt: now, slotHolder: hold.NewHolder(o.Lease), promises: map[string]promise{}}
	if slices.Contains(o.Keepers, o.Self.Name) {
		p.seat = lease.New(now, o.Self, o.Keepers, o.Lease)
	}
	for _, l := range o.Limits {
		p.limits = append(p.limits, &localLimit{l, limitHash(l.Name), rights.NewHolder(now, l.Limit)})
	}
	p.tryNextKeeper(now)
	return p
}

// Change sets new amounts, bursts, floors and refusal flags of existing limits by name. Other changes take a
// restart.
func (p *Part) Change(now int64, limits []Limit) {
	for _, l := range limits {
		for _, o := range p.limits {
			if o.Name != l.Name {
				continue
			}
			o.Amount, o.Burst, o.Floor, o.Refuse = l.Amount, l.Burst, l.Floor, l.Refuse
			o.holder.Change(o.Limit.Limit)
			if d := p.dealers[o.hash]; d != nil {
				d.Change(now, o.Limit.Limit)
			}
		}
	}
}

// Verdict is the decision of the limits on a job.
type Verdict uint8

// The verdicts of Admit.
const (
	Free   Verdict = iota // no limit counts the job
	Inside                // every limit that counts the job had a right for it
	Beyond                // some limit had no right; the job may run with the lower value of work beyond its share
	Refuse                // some limit had no right and refuses such jobs
)

// maxLimitsPerJob bounds the limits that count one job: its tenant's and its class's, each by rate and by
// concurrency.
const maxLimitsPerJob = 4

// Places are the rights and places that an open job occupies, one for each limit. Pass them to Done.
type Places [maxLimitsPerJob]struct {
	limit *localLimit
	place rights.Place
}

// Admit decides whether a job of a tenant and class may start, and takes a right or a place from each limit that
// counts it and has one. If a limit without one refuses, nothing is taken. A limit without a right counts the
// attempt as demand.
func (p *Part) Admit(now int64, tenant, class int) (v Verdict, took Places) {
	var counting [maxLimitsPerJob]*localLimit
	n := 0
	for _, o := range p.limits {
		if n < maxLimitsPerJob && o.appliesTo(tenant, class) {
			counting[n] = o
			n++
		}
	}
	if n > 0 {
		v = Inside
	}
	for i, o := range counting[:n] {
		if o.holder.CanTake(now) {
			continue
		}
		o.holder.Take(now)
		counting[i] = nil
		if v = Beyond; o.Refuse {
			return Refuse, took
		}
	}
	for i, o := range counting[:n] {
		if o != nil {
			took[i].limit = o
			took[i].place, _ = o.holder.Take(now)
		}
	}
	return v, took
}

// Done releases the places of a job that was answered.
func (p *Part) Done(now int64, took Places) {
	for _, t := range took {
		if t.limit != nil {
			t.limit.holder.Done(now, t.place)
		}
	}
}

// MaxOpenTime returns how long a job of the tenant and class may stay open under the limits that count it, in
// microseconds; 0 means without bound.
func (p *Part) MaxOpenTime(tenant, class int) (longest int64) {
	for _, o := range p.limits {
		if o.Kind == rights.Open && o.appliesTo(tenant, class) && (longest == 0 || o.MaxOpenTime < longest) {
			longest = o.MaxOpenTime
		}
	}
	return longest
}

// Dealer returns the name of the process that this member asks for rights, and whether this process is the dealer.
func (p *Part) Dealer(now int64) (name string, self bool) {
	return p.dealer.Name, p.seat != nil && p.seat.Holds(now)
}

// Refusals returns the counts of ignored messages.
func (p *Part) Refusals() Refusals { return p.refusals }

// Status is the state of one limit at this member, and the dealer's books where this process deals: rights
// outstanding (Out), rights that no member has (Unallocated), and the number of holders.
type Status struct {
	Limit
	rights.State
	IsDealer    bool // this process is the dealer and grants now; the fields below are set
	Out         int64
	Unallocated float64
	Holders     int
}

// Status returns the state of each limit.
func (p *Part) Status(now int64) []Status {
	var out []Status
	for _, o := range p.limits {
		s := Status{Limit: o.Limit, State: o.holder.State(now)}
		if d := p.dealers[o.hash]; d != nil && p.seat.Holds(now) && now >= d.From() {
			s.IsDealer = true
			s.Out, s.Unallocated, s.Holders = d.Books(now)
		}
		out = append(out, s)
	}
	return out
}
