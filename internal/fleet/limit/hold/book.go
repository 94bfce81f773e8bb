package hold

import (
	"cmp"
	"slices"
	"strings"

	"granitewing/internal/fleet/limit/lease"
)

// maxMembers bounds the members in a book.
const maxMembers = 4096

// Book is the dealer's side: which slots of each host are granted. It is not safe for concurrent use.
type Book struct {
	lease        int64
	slotsPerHost int   // slots of a host that gangs may have at once
	dealsFrom    int64 // nothing is granted before: grants of an earlier book may be in use
	granted      map[setKey]*slotSet
	reserved     map[setKey]*slotSet // sets that wait, as of the last Deal
	reports      map[lease.Owner]*report
}

// slotSet is the slots of a set, granted or waited for.
type slotSet struct {
	spots      []Spot
	validUntil int64 // the holder does not use the slots after this, unless its parts run
	freeAt     int64 // when the slots are expected to be free
}

// report is the latest report of a member.
type report struct {
	number     int64
	at         int64
	items      []Item
	wantsBusy  bool
	unanswered bool // the report has not been answered
}

// NewBook opens the book of a process that has just become the dealer. leaseFor is the length of the lease and
// room the number of slots of a host (slotsPerHost) that gangs may have at once.
func NewBook(now, leaseFor int64, room int) *Book {
	return &Book{lease: leaseFor, slotsPerHost: room, dealsFrom: now + withClockMargin(leaseFor), granted: map[setKey]*slotSet{}, reports: map[lease.Owner]*report{}}
}

// From returns when the book starts to grant.
func (b *Book) From() int64 { return b.dealsFrom }

// Ask handles a member's report. number is the time when it was sent, on the member's clock; look asks for the
// slots of others even if the member wants none itself.
func (b *Book) Ask(now int64, who lease.Owner, number int64, items []Item, look bool) {
	old := b.reports[who]
	switch {
	case old != nil && number <= old.number:
		return // out of order: sets that it does not name may have been granted since
	case old == nil && (len(items) == 0 && !look || len(b.reports) >= maxMembers):
		return
	}
	b.reports[who] = &report{number, now, items, look, true}
	for k := range b.granted {
		if k.member == who && !slices.ContainsFunc(items, func(i Item) bool { return i.ID == k.id }) {
			delete(b.granted, k)
		}
	}
	for _, i := range items {
		k := setKey{who, i.ID}
		s := b.granted[k]
		if s == nil && (i.State == Runs || i.State == Has && now < b.dealsFrom) {
			// An earlier book granted it.
			s = &slotSet{spots: i.Spots}
			b.granted[k] = s
		}
		if s != nil {
			s.validUntil, s.freeAt = now+withClockMargin(b.lease), now+i.Run
			if i.State == Runs {
				s.freeAt = now + max(i.Left, 0)
			}
		}
	}
}

// expire removes the grants and reports of members that have not reported for a lease.
func (b *Book) expire(now int64) {
	for k, s := range b.granted {
		if now >= s.validUntil {
			delete(b.granted, k)
		}
	}
	for who, a := range b.reports {
		if now-a.at >= withClockMargin(b.lease) {
			delete(b.reports, who)
		}
	}
}

// waiting is a set that a member waits for.
type waiting struct {
	setKey
	deadline int64
	run      int64
	spots    []Spot
}

// Deal grants the sets that can be had, those with the earliest deadline first, and answers all members that have
// asked since the last call. A set that can't be granted yet keeps its slots from those behind it, so that small
// sets don't pass a large one for ever. It waits until its slots are free or its time is over.
func (b *Book) Deal(now int64) map[lease.Owner]Answer {
	b.expire(now)
	var wants []waiting
	for who, a := range b.reports {
		for _, i := range a.items {
			k := setKey{who, i.ID}
			if i.State != Runs && b.granted[k] == nil && now < a.at+i.Left && now >= b.dealsFrom {
				wants = append(wants, waiting{k, a.at + i.Left, i.Run, i.Spots})
			}
		}
	}
	slices.SortFunc(wants, func(x, y waiting) int {
		return cmp.Or(cmp.Compare(x.deadline, y.deadline), strings.Compare(x.member.Name, y.member.Name), cmp.Compare(x.member.Incarnation, y.member.Incarnation), cmp.Compare(x.id, y.id))
	})
	used, free := map[uint32]int{}, map[uint32]int64{}
	for _, s := range b.granted {
		for _, p := range s.spots {
			used[p.Host]++
			free[p.Host] = max(free[p.Host], s.freeAt)
		}
	}
	b.reserved = map[setKey]*slotSet{}
	for _, w := range wants {
		s, from := &slotSet{spots: w.spots, validUntil: now + withClockMargin(b.lease)}, now
		if slices.ContainsFunc(w.spots, func(p Spot) bool { return used[p.Host] >= b.slotsPerHost }) {
			b.reserved[w.setKey] = s
			for _, p := range w.spots {
				from = max(from, free[p.Host])
			}
		} else {
			b.granted[w.setKey] = s
		}
		s.freeAt = from + w.run
		for _, p := range w.spots {
			used[p.Host]++
			free[p.Host] = max(free[p.Host], s.freeAt)
		}
	}
	answers := map[lease.Owner]Answer{}
	for who, a := range b.reports {
		if !a.unanswered {
			continue
		}
		a.unanswered = false
		answer := Answer{BusyIncluded: a.wantsBusy}
		for _, i := range a.items {
			if b.granted[setKey{who, i.ID}] != nil {
				answer.Given = append(answer.Given, i.ID)
			}
			answer.BusyIncluded = answer.BusyIncluded || i.State == Want
		}
		if answer.BusyIncluded {
			answer.Busy = b.busySlots(now, who)
		}
		answers[who] = answer
	}
	return answers
}

// busySlots lists the slots that members other than one have, or will get first.
func (b *Book) busySlots(now int64, except lease.Owner) (out []Busy) {
	for _, sets := range []map[setKey]*slotSet{b.granted, b.reserved} {
		for k, s := range sets {
			for _, p := range s.spots {
				if k.member != except && len(out) < MaxSpots {
					out = append(out, Busy{p, max(s.freeAt-now, 0)})
				}
			}
		}
	}
	slices.SortFunc(out, func(x, y Busy) int { return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Left, y.Left)) })
	return out
}

// Handover returns all grants for the next dealer. It returns nil if this book does not grant yet, or if there are
// more than MaxHandoverSpots spots.
func (b *Book) Handover(now int64) (out []Holding) {
	b.expire(now)
	if now < b.dealsFrom {
		return nil
	}
	spots := 0
	for who, a := range b.reports {
		h := Holding{Who: who, Number: a.number}
		for _, i := range a.items {
			if s := b.granted[setKey{who, i.ID}]; s != nil {
				i.Left = s.freeAt - now
				h.Items = append(h.Items, i)
				spots += len(i.Spots)
			}
		}
		if len(h.Items) > 0 {
			out = append(out, h)
		}
	}
	if spots > MaxHandoverSpots {
		return nil
	}
	slices.SortFunc(out, func(x, y Holding) int {
		return cmp.Or(strings.Compare(x.Who.Name, y.Who.Name), cmp.Compare(x.Who.Incarnation, y.Who.Incarnation))
	})
	return out
}

// Inherit takes over the grants of the immediately preceding dealer, so that the book grants at once. The members'
// report numbers go on, so that a delayed report to the former dealer undoes nothing. The members' leases may have
// been renewed meanwhile, so each grant counts for a whole lease from now.
func (b *Book) Inherit(now int64, all []Holding) {
	b.dealsFrom = now
	for _, h := range all {
		if a := b.reports[h.Who]; a != nil && a.number >= h.Number {
			continue // it has reported to this book already
		}
		b.reports[h.Who] = &report{number: h.Number, at: now, items: h.Items}
		for _, i := range h.Items {
			b.granted[setKey{h.Who, i.ID}] = &slotSet{i.Spots, now + withClockMargin(b.lease), now + max(i.Left, 0)}
		}
	}
}

// Out returns the number of granted sets and of their slots.
func (b *Book) Out() (sets, slots int) {
	for _, s := range b.granted {
		slots += len(s.spots)
	}
	return len(b.granted), slots
}
