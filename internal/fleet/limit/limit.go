// Package limit holds a fleet of dispatchers to limits on the whole of it: a tenant's jobs a second, a class's jobs open at
// once. A limit is a sum of rights; one process of a few named ones deals them out (lease says which, rights how), and a
// member lets a job in only against a right that it holds. It does no I/O and reads no clock; times are microseconds on the
// caller's clock.
package limit

import (
	"slices"

	"granitewing/internal/fleet/limit/cover"
	"granitewing/internal/fleet/limit/hold"
	"granitewing/internal/fleet/limit/lease"
	"granitewing/internal/fleet/limit/rights"
)

// Limit is one of the fleet.
type Limit struct {
	Name   string
	Tenant int // whose jobs it counts; -1: anyone's
	Class  int // of which class; -1: any
	Refuse bool
	rights.Limit
}

// covers tells whether a job counts against the limit.
func (l *Limit) appliesTo(tenant, class int) bool {
	return (l.Tenant < 0 || l.Tenant == tenant) && (l.Class < 0 || l.Class == class)
}

// Options say whose part this is.
type Options struct {
	Self    lease.Owner
	Keepers []string // of whom one deals; the same, in the same order, at every member
	Lease   int64    // microseconds for which a right and the dealer's post are given
	Limits  []Limit
	Room    int // slots of a host that may be held together with others; 0: none ever is
}

// Times in shares of the lease.
const (
	dealerTimeoutDivisor = 2  // a dealer that has not answered for half of a lease is left for the next keeper
	retryDivisor         = 8  // asks that brought no answer, or nothing, are so far apart
	askDivisor           = 20 // and others at least so far
)

// Part is one process's part in the limits of its fleet. It must not be used by two goroutines at once.
type Part struct {
	options        Options
	seat           *lease.Seat // nil: it is no keeper
	limits         []*localLimit
	dealers        map[uint64]*limitDealer  // while it has the post
	coverStores    map[uint64]*cover.Shelf  // by limit, of a keeper
	dealingSince   int64                    // of the post in which they deal
	sessionCounter uint64                   // of its sessions so far, in this post and before
	pendingAsks    map[lease.Owner]*Message // that wait for an answer
	slotBook       *hold.Book               // of slots, while it has the post; nil: none are held
	slotHolder     *hold.Holder
	promises       map[string]promise // of keepers, by name
	handover       *slotHandover      // of a dealer that has left; nil: none did

	dealer      lease.Owner // whom it asks
	nextKeeper  int         // which keeper that is where nobody has said
	answeredAt  int64       // when the dealer answered last, or another was chosen
	askedAt     int64
	emptyAnswer bool // the last answer gave nothing: the dealer waits for the end of what was given before it
	refusals    Refusals
}

// Refusals counts what was heard and not taken.
type Refusals struct{ Strange, Late, Full int }

// word is when a keeper promised this process the post last, on its own clock.
type promise struct {
	from lease.Owner
	at   int64
}

// own is a limit as this member has it.
type localLimit struct {
	Limit
	hash   uint64
	holder *rights.Holder
}

// New makes the part of a process that has just started.
func New(now int64, o Options) *Part {
	p := &Part{options: o, pendingAsks: map[lease.Owner]*Message{}, coverStores: map[uint64]*cover.Shelf{}, answeredAt: now, slotHolder: hold.NewHolder(o.Lease), promises: map[string]promise{}}
	if slices.Contains(o.Keepers, o.Self.Name) {
		p.seat = lease.New(now, o.Self, o.Keepers, o.Lease)
	}
	for _, l := range o.Limits {
		p.limits = append(p.limits, &localLimit{l, limitHash(l.Name), rights.NewHolder(now, l.Limit)})
	}
	p.tryNextKeeper(now)
	return p
}

// Change sets other amounts, bursts and floors of limits by their names; what else differs takes a new start.
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

// Verdict is what the limits say of a job.
type Verdict uint8

// The verdicts.
const (
	Free   Verdict = iota // no limit counts it
	Inside                // it has a right of each that does
	Beyond                // it has not, and may run as one beyond its share
	Refuse                // it has not, and is to be refused at once
)

// coverMost is how many limits may count a job: of its tenant and of its class, each by the second and at once.
const maxLimitsPerJob = 4

// Places are those that an open job has taken; they are given back with Done.
type Places [maxLimitsPerJob]struct {
	own   *localLimit
	place rights.Place
}

// Enter says whether a job may start, and takes what it needs of the limits that count it: of all that have it, or of none
// where one that has not refuses. A limit that has nothing for it counts that it was wanted.
func (p *Part) Enter(now int64, tenant, class int) (v Verdict, took Places) {
	var of [maxLimitsPerJob]*localLimit
	n := 0
	for _, o := range p.limits {
		if n < maxLimitsPerJob && o.appliesTo(tenant, class) {
			of[n] = o
			n++
		}
	}
	if n > 0 {
		v = Inside
	}
	for i, o := range of[:n] {
		if o.holder.May(now) {
			continue
		}
		o.holder.Take(now)
		of[i] = nil
		if v = Beyond; o.Refuse {
			return Refuse, took
		}
	}
	for i, o := range of[:n] {
		if o != nil {
			took[i].own = o
			took[i].place, _ = o.holder.Take(now)
		}
	}
	return v, took
}

// Done takes the answer of a job.
func (p *Part) Done(now int64, took Places) {
	for _, t := range took {
		if t.own != nil {
			t.own.holder.Done(now, t.place)
		}
	}
}

// Longest is for how long a job of a class may be open by the limits that count it, microseconds; 0 is as long as it likes.
func (p *Part) Longest(tenant, class int) (most int64) {
	for _, o := range p.limits {
		if o.Kind == rights.Open && o.appliesTo(tenant, class) && (most == 0 || o.Linger < most) {
			most = o.Linger
		}
	}
	return most
}

// Dealer tells whom this member asks, and whether it is the dealer itself.
func (p *Part) Dealer(now int64) (name string, self bool) {
	return p.dealer.Name, p.seat != nil && p.seat.Holds(now)
}

// Refusals tells what was heard and not taken.
func (p *Part) Refusals() Refusals { return p.refusals }

// Status is a limit's state at this member, and at the dealer where it is one.
type Status struct {
	Limit
	rights.State
	Deals   bool
	Out     int64
	Left    float64
	Holders int
}

// Status tells the state of each limit.
func (p *Part) Status(now int64) []Status {
	var out []Status
	for _, o := range p.limits {
		s := Status{Limit: o.Limit, State: o.holder.State(now)}
		if d := p.dealers[o.hash]; d != nil && p.seat.Holds(now) && now >= d.From() {
			s.Deals = true
			s.Out, s.Left, s.Holders = d.Books(now)
		}
		out = append(out, s)
	}
	return out
}
