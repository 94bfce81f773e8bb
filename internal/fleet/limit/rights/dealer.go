// Package rights deals out a limit of the whole fleet as rights that members hold for a time: a right to start one job of
// those that a limit counts by the second, or a place for one that is open. It does no I/O and reads no clock; times are
// microseconds, the dealer's on its own clock and a holder's on its own.
//
// What a dealer and a holder tell each other are counts that only grow (given, spent, given back) within a session, so a
// message that is lost, late, doubled or overtaken changes nothing twice. A holder counts the time of what it was given from
// when it asked, the dealer from when it heard that, so the dealer counts a right as out for as long as it may be used.
package rights

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"granitewing/internal/fleet/limit/cover"
	"granitewing/internal/fleet/limit/lease"
)

// Kind says what a limit counts.
type Kind uint8

// The kinds of limits.
const (
	Rate Kind = iota // jobs started a second; a right is spent once
	Open             // jobs open at once; a place comes back at the answer
)

// Limit is one of the whole fleet.
type Limit struct {
	Kind   Kind
	Amount float64 // jobs a second, or places
	Burst  float64 // of a rate: rights that may be there unused at once, in jobs
	Lease  int64   // for which a right counts from when it was asked for, microseconds
	Linger int64   // for which a job may stay open that was begun at the end of that: the longest time to an answer
	Floor  float64 // what one that holds nothing may do all the same; 0 is nothing
}

// sum is how many rights there may be at once.
func (l *Limit) total() float64 {
	if l.Kind == Rate {
		return l.Burst
	}
	return l.Amount
}

// outFor is how long the dealer counts what it has given, from when it heard the ask: clocks may run apart by a tenth.
func (l *Limit) outstandingFor() int64 { return l.Lease + l.Lease/10 }

// linger is how long after that a place may still be taken.
func (l *Limit) maxJobTime() int64 {
	if l.Kind == Open {
		return l.Linger
	}
	return 0
}

// Ask is what a holder tells the dealer: counts of its session, and what it could use.
type Ask struct {
	Session         uint64 // 0: none with this dealer
	Spent, Returned int64
	Old             int64   // places taken in earlier sessions, by jobs that are open still
	Demand          float64 // jobs a second, or places
}

// Grant is what the dealer tells a holder.
type Grant struct {
	To      lease.Owner
	Session uint64
	Granted int64 // in all within the session
	Keep    int64 // what it may keep unused (of places: hold); it gives the rest back
}

const (
	maxHolders    = 2048 // with as many of a dealer before, as many as a cover can have
	rateLookahead = 2.0  // seconds of its demand that a holder of a rate is given
	maxDeviations = 3.0  // standard deviations of what it uses (as of chance) that a holder is given beside the mean
	maxDemand     = 1e6
)

// Dealer deals out one limit. Only one process may deal a limit at a time, and a new one only From the time at which
// nothing of the one before can be in use, or once it has adopted what may be.
type Dealer struct {
	limit           Limit
	from, updatedAt int64
	unallocated     float64 // rights that nobody holds
	outstanding     int64   // rights that somebody holds, or may
	holders         map[lease.Owner]*account
	sessions        *uint64
	rounds          uint64

	cover           *cover.Book // nil: nobody else is told what each may hold
	unreported      cover.Table // what those may hold, of dealers before, that have not told
	unreportedUntil int64       // when none of that can be in use any more
}

type account struct {
	key                      uint64
	session                  uint64
	granted, spent, returned int64
	oldOpen                  int64 // of dealers before, as it told
	demand                   float64
	validUntil               int64
	awaitingGrant            bool
}

func (a *account) outstanding() int64 { return a.granted - a.spent - a.returned + a.oldOpen }

// NewDealer makes a dealer that begins now, after one that may have dealt until now. Its sessions are numbered by a counter
// that all dealers of a process share, so that no session is taken for one of before. The book of covers, if there is one, is
// to be kept by the caller; what it does not allow is not given.
func NewDealer(now int64, l Limit, sessions *uint64, covers *cover.Book) *Dealer {
	from := now + l.outstandingFor() + l.maxJobTime()
	return &Dealer{limit: l, from: from, updatedAt: from, unreportedUntil: from, holders: map[lease.Owner]*account{}, sessions: sessions, cover: covers}
}

// Adopt has it deal from now on, as it knows by covers how much each may hold of dealers before: that is out until the
// member has told, within a session of this dealer, what it still has, or until it can't be in use any more.
func (d *Dealer) Adopt(now int64, covers cover.Table) {
	if now < d.from {
		d.from, d.updatedAt, d.unreported = now, now, covers
		d.outstanding += covers.Sum()
	}
}

// Change sets another amount, burst or floor. A holder of more than its part of it gives the rest back when it asks next.
func (d *Dealer) Change(now int64, l Limit) {
	d.advance(now)
	l.Kind, l.Lease, l.Linger = d.limit.Kind, d.limit.Lease, d.limit.Linger
	d.limit = l
}

// flow brings the books up to a time: rights come in at the rate as long as there are fewer than the sum, and what a holder
// can't use any more is out no longer.
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
	room := math.Max(d.limit.total()-float64(d.outstanding), 0)
	if d.limit.Kind == Open {
		d.unallocated = room
	} else if now > d.updatedAt {
		d.unallocated += d.limit.Amount * float64(now-d.updatedAt) / 1e6
	}
	d.unallocated = math.Min(d.unallocated, room)
	d.updatedAt = max(now, d.updatedAt)
}

// Ask takes what a holder says. What it can't have been given it can't have spent: such counts are not believed.
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
	// Within a session it holds nothing of dealers before but jobs that are open, and those only end.
	if may, silent := d.unreported[a.key]; silent {
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

// Deal answers all that have asked since it did so last.
func (d *Dealer) Deal(now int64) []Grant {
	d.advance(now)
	d.rounds++
	all := slices.SortedFunc(maps.Keys(d.holders), func(a, b lease.Owner) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	keep := d.shares(now, all)
	var out []Grant
	for i := range all {
		// Who is first when there is little changes from round to round.
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

// parts says how many rights each may hold: what it is expected to use, and of what is left by that some more against
// chance; where there are too few, its part in proportion to what it is expected to use. Parts are whole; whose fraction
// counts changes slowly, so that nobody waits for ever.
func (d *Dealer) shares(now int64, all []lease.Owner) []int64 {
	uses, sum, chance := make([]float64, len(all)), 0.0, 0.0
	for i, who := range all {
		a := d.holders[who]
		if uses[i] = a.demand; d.limit.Kind == Rate {
			uses[i] *= rateLookahead
		}
		if now > a.validUntil {
			uses[i] = -1 // it is not there
			continue
		}
		sum += uses[i]
		chance += 1 + math.Sqrt(uses[i])
	}
	most := math.Floor(d.limit.total())
	scale := math.Min(1, most/math.Max(sum, 1e-9))
	more := math.Max(0, math.Min(maxDeviations, (most-sum)/math.Max(chance, 1)))
	out := make([]int64, len(all))
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

// Books tells how many rights are out and left, and with how many holders.
func (d *Dealer) Books(now int64) (out int64, left float64, holders int) {
	d.advance(now)
	return d.outstanding, d.unallocated, len(d.holders)
}

// Holders gives those that have rights, or may.
func (d *Dealer) Holders() []lease.Owner { return slices.Collect(maps.Keys(d.holders)) }

// From is when it begins to deal.
func (d *Dealer) From() int64 { return d.from }
