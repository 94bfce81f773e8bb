// Package rights divides a limit of the whole fleet into rights that members hold for the length of a lease. Of a
// limit on a rate, a right allows one job to start. Of a limit on concurrency, a right is a place for one open
// job.
//
// The Dealer grants rights and a Holder at each member uses them. They exchange counts that only grow within a
// session (granted, spent, returned), so a message that is lost, late, duplicated or reordered changes nothing
// twice. A holder counts the lease of a grant from when it asked, the dealer from when it received that ask, so
// the dealer counts a right as outstanding for as long as it may be used.
//
// The package does no I/O and reads no clock. Times are microseconds, the dealer's on its own clock and a holder's
// on its own.
package rights

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"granitewing/internal/fleet/limit/cover"
	"granitewing/internal/fleet/limit/lease"
)

// Kind is what a limit counts.
type Kind uint8

// The kinds of limits.
const (
	Rate Kind = iota // jobs started a second; each right is spent once
	Open             // jobs open at once; a place is released when its job is answered
)

// Limit holds the settings of one limit of the fleet.
type Limit struct {
	Kind   Kind
	Amount float64 // jobs a second, or places
	Burst  float64 // of a rate: rights that may exist unused at once, in jobs
	Lease  int64   // how long a right is valid from when it was asked for, microseconds
	// MaxOpenTime is the longest time to an answer, microseconds: a job that starts at the end of the lease may stay
	// open this long.
	MaxOpenTime int64
	Floor       float64 // of a rate: jobs a second that a member without rights may start; else: its places; 0: none
}

// total returns how many rights may exist at once.
func (l *Limit) total() float64 {
	if l.Kind == Rate {
		return l.Burst
	}
	return l.Amount
}

// outstandingFor returns how long the dealer counts a grant as outstanding from when it received the ask. It is a
// tenth longer than the lease, since clocks may differ in speed by a tenth.
func (l *Limit) outstandingFor() int64 { return l.Lease + l.Lease/10 }

// maxJobTime returns how long after the end of a lease its places may still be in use.
func (l *Limit) maxJobTime() int64 {
	if l.Kind == Open {
		return l.MaxOpenTime
	}
	return 0
}

// Ask is a holder's report to the dealer: the counts of its session, and its demand.
type Ask struct {
	Session         uint64  // 0: it has none with this dealer
	Spent, Returned int64   // totals within the session
	Old             int64   // places of earlier sessions whose jobs are still open
	Demand          float64 // jobs a second, or places
}

// Grant is the dealer's answer to a holder.
type Grant struct {
	To      lease.Owner
	Session uint64
	Granted int64 // total within the session
	Keep    int64 // rights that the holder may keep unused (places: may hold); it returns the others
}

// Bounds of what a dealer tracks and grants.
const (
	maxHolders    = 2048 // together with as many of an earlier dealer, this fills the largest cover table
	rateLookahead = 2.0  // seconds of its demand that a holder of a rate is granted
	maxDeviations = 3.0  // granted beyond mean use: at most this many standard deviations of random demand
	maxDemand     = 1e6
)

// Dealer grants the rights of one limit. Only one process may deal a limit at a time. A new dealer grants nothing
// before From, when no grant of its predecessor can be in use any more, unless it has adopted what may be. It is
// not safe for concurrent use.
type Dealer struct {
	limit           Limit
	from, updatedAt int64
	unallocated     float64 // rights that nobody holds
	outstanding     int64   // rights that somebody holds or may hold
	holders         map[lease.Owner]*account
	sessions        *uint64
	rounds          uint64

	cover           *cover.Book // nil: covers are not stored at keepers
	unreported      cover.Table // what members that have not reported yet may hold from earlier dealers
	unreportedUntil int64       // when none of that can be in use any more
}

// account is the dealer's record of one holder.
type account struct {
	key                      uint64
	session                  uint64
	granted, spent, returned int64
	oldOpen                  int64 // grants of earlier dealers in use, as reported
	demand                   float64
	validUntil               int64
	awaitingGrant            bool
}

func (a *account) outstanding() int64 { return a.granted - a.spent - a.returned + a.oldOpen }

// NewDealer returns a dealer that starts at time now, after a predecessor that may have dealt until now. The
// dealers of one process share the counter of sessions, so that no session number is used twice. covers may be
// nil; otherwise the caller exchanges it with the keepers, and the dealer grants nothing beyond what it allows.
func NewDealer(now int64, l Limit, sessions *uint64, covers *cover.Book) *Dealer {
	from := now + l.outstandingFor() + l.maxJobTime()
	return &Dealer{limit: l, from: from, updatedAt: from, unreportedUntil: from, holders: map[lease.Owner]*account{}, sessions: sessions, cover: covers}
}

// Adopt lets the dealer grant from now on, because covers state how much each member may hold from earlier
// dealers. These rights count as outstanding until the member reports what it still has within a session of this
// dealer, or until they can't be in use any more.
func (d *Dealer) Adopt(now int64, covers cover.Table) {
	if now < d.from {
		d.from, d.updatedAt, d.unreported = now, now, covers
		d.outstanding += covers.Sum()
	}
}

// Change sets another amount, burst or floor. A holder of more than its new share returns the rest with its next
// ask.
func (d *Dealer) Change(now int64, l Limit) {
	d.advance(now)
	l.Kind, l.Lease, l.MaxOpenTime = d.limit.Kind, d.limit.Lease, d.limit.MaxOpenTime
	d.limit = l
}

// advance updates the books to time now: rights accrue at the rate while fewer than the total exist, and expired
// grants are no longer outstanding.
func (d *Dealer) advance(now int64) {
	if now >= d.unreportedUntil && d.unreported != nil {
		d.outstanding -= d.unreported.Sum()
		d.unreported = nil
	}
	for who, a := range d.holders {
		if now > a.validUntil+d.limit.maxJobTime() {
			d.outstanding -= a.outstanding()
			delete(d.holders, who)
		}
	}
	headroom := math.Max(d.limit.total()-float64(d.outstanding), 0)
	if d.limit.Kind == Open {
		d.unallocated = headroom
	} else if now > d.updatedAt {
		d.unallocated += d.limit.Amount * float64(now-d.updatedAt) / 1e6
	}
	d.unallocated = math.Min(d.unallocated, headroom)
	d.updatedAt = max(now, d.updatedAt)
}

// Ask handles a holder's report. Counts that exceed what the holder was granted are ignored.
func (d *Dealer) Ask(now int64, who lease.Owner, ask Ask) {
	if now < d.from || !(ask.Demand >= 0) {
		return
	}
	d.advance(now)
	a := d.holders[who]
	if a == nil {
		if len(d.holders) >= maxHolders {
			return
		}
		*d.sessions++
		a = &account{key: cover.Key(who), session: *d.sessions}
		d.holders[who] = a
	}
	a.awaitingGrant, a.demand, a.validUntil = true, min(ask.Demand, maxDemand), now+d.limit.outstandingFor()
	if ask.Session != a.session || ask.Spent < 0 || ask.Spent > 0 && d.limit.Kind == Open || ask.Returned < 0 || ask.Spent+ask.Returned > a.granted || ask.Old < 0 {
		return
	}
	// Within this session the holder has nothing of earlier dealers but open jobs, and their number only falls.
	if may, found := d.unreported[a.key]; found {
		a.oldOpen = min(ask.Old, may)
		d.outstanding -= may - a.oldOpen
		delete(d.unreported, a.key)
	} else if ask.Old < a.oldOpen {
		d.outstanding -= a.oldOpen - ask.Old
		a.oldOpen = ask.Old
	}
	spent, returned := max(ask.Spent, a.spent), max(ask.Returned, a.returned)
	d.outstanding -= spent - a.spent + returned - a.returned
	d.unallocated += float64(returned - a.returned)
	a.spent, a.returned = spent, returned
}

// Deal answers all holders that have asked since the last call.
func (d *Dealer) Deal(now int64) []Grant {
	d.advance(now)
	d.rounds++
	all := slices.SortedFunc(maps.Keys(d.holders), func(a, b lease.Owner) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	keep := d.shares(now, all)
	var out []Grant
	for i := range all {
		// The order changes from round to round, so that nobody is always first when few rights are left.
		i = (i + int(d.rounds*7919%uint64(len(all)))) % len(all)
		a := d.holders[all[i]]
		if !a.awaitingGrant {
			continue
		}
		a.awaitingGrant = false
		give := min(keep[i]-a.outstanding(), int64(d.unallocated))
		if d.cover != nil {
			give = min(give, d.cover.Allowed(a.key)-a.outstanding()-d.unreported[a.key])
		}
		if give > 0 {
			a.granted, d.outstanding, d.unallocated = a.granted+give, d.outstanding+give, d.unallocated-float64(give)
		}
		out = append(out, Grant{all[i], a.session, a.granted, keep[i]})
	}
	if d.cover != nil {
		want := maps.Clone(d.unreported)
		if want == nil {
			want = cover.Table{}
		}
		for i, who := range all {
			a := d.holders[who]
			want[a.key] = max(keep[i], a.outstanding()+want[a.key])
		}
		d.cover.Want(now, want)
	}
	return out
}

// shares returns how many rights each holder may hold. With enough rights that is its expected use plus a margin
// against random demand, otherwise a share in proportion to its expected use. Shares are whole numbers. Which
// holders are rounded up changes slowly, so that nobody waits for ever.
func (d *Dealer) shares(now int64, all []lease.Owner) []int64 {
	uses, sum, deviation := make([]float64, len(all)), 0.0, 0.0
	for i, who := range all {
		a := d.holders[who]
		if uses[i] = a.demand; d.limit.Kind == Rate {
			uses[i] *= rateLookahead
		}
		if now > a.validUntil {
			uses[i] = -1 // it has not reported for a lease
			continue
		}
		sum += uses[i]
		deviation += 1 + math.Sqrt(uses[i])
	}
	total := math.Floor(d.limit.total())
	scale := math.Min(1, total/math.Max(sum, 1e-9))
	more := math.Max(0, math.Min(maxDeviations, (total-sum)/math.Max(deviation, 1)))
	out := make([]int64, len(all))
	// The running sum starts at a fraction that is new with each lease (multiples of the golden ratio are spread evenly),
	// so that another holder's share is rounded up each time.
	_, run := math.Modf(float64(now/d.limit.Lease) * 0.6180339887)
	for i, u := range uses {
		if u >= 0 {
			before := math.Floor(run)
			run += u*scale + (1+math.Sqrt(u))*more
			out[i] = int64(math.Floor(run) - before)
		}
	}
	return out
}

// Books returns the number of rights outstanding, the rights unallocated, and the number of holders.
func (d *Dealer) Books(now int64) (out int64, left float64, holders int) {
	d.advance(now)
	return d.outstanding, d.unallocated, len(d.holders)
}

// Holders returns the processes that have rights, or may have.
func (d *Dealer) Holders() []lease.Owner { return slices.Collect(maps.Keys(d.holders)) }

// From returns when the dealer starts to grant.
func (d *Dealer) From() int64 { return d.from }
