// Package verdict brings together what the dispatchers of a fleet find of its hosts, so that not each of them has to fail
// there by itself. A dispatcher has one vote on a host, from what it tried itself and not longer than that lasts; the votes
// are counted by the zones of those who cast them. It does no I/O and reads no clock; times are microseconds on the caller's.
package verdict

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"granitewing/logic"
)

// Vote is what some dispatchers of a zone find of a host.
type Vote struct {
	Host logic.WorkerID
	Zone uint8 // of those who cast it
	Bad  uint16
	Good uint16
}

// Rules of evidence.
const (
	lasts     = 4_000_000 // us for which an attempt says something of its host
	failsMost = 1         // failures since the last success that make a vote against a host
	hostsMost = 4096
	// VotesMost is on how many hosts a dispatcher votes at most.
	VotesMost = 16
	upLeast   = 3   // hosts tried, of which
	upShare   = 0.5 // more than this share failed: then the way out of this dispatcher is at fault, and it does not vote
)

// Book is what one dispatcher has found itself.
type Book struct {
	zone  uint8
	hosts map[logic.WorkerID]*found
}

type found struct {
	fails      int // in a row
	failed, ok int64
}

// NewBook makes the book of a dispatcher of a zone.
func NewBook(zone int) *Book {
	return &Book{zone: uint8(min(max(zone, 0), 255)), hosts: map[logic.WorkerID]*found{}}
}

// Note takes the end of an attempt that says something of its host, or a sign of life.
func (b *Book) Note(now int64, host logic.WorkerID, ok bool) {
	f := b.hosts[host]
	if f == nil {
		if len(b.hosts) >= hostsMost {
			b.forget(now)
		}
		if len(b.hosts) >= hostsMost {
			return
		}
		f = &found{failed: math.MinInt64 / 2, ok: math.MinInt64 / 2}
		b.hosts[host] = f
	}
	switch {
	case ok:
		f.fails, f.ok = 0, now
	case now-f.failed > lasts:
		f.fails, f.failed = 1, now
	default:
		f.fails, f.failed = f.fails+1, now
	}
}

// forget lets go of what says nothing any more.
func (b *Book) forget(now int64) {
	maps.DeleteFunc(b.hosts, func(_ logic.WorkerID, f *found) bool { return now-max(f.failed, f.ok) > lasts })
}

func (f *found) bad(now int64) bool { return f.fails >= failsMost && now-f.failed <= lasts }

func (f *found) good(now int64) bool { return f.fails == 0 && now-f.ok <= lasts }

// Votes casts this dispatcher's votes: against hosts, and for those that others vote against.
func (b *Book) Votes(now int64, others []Vote) []Vote {
	b.forget(now)
	tried, bad := 0, 0
	for _, f := range b.hosts {
		if tried++; f.bad(now) {
			bad++
		}
	}
	if tried >= upLeast && float64(bad) > upShare*float64(tried) {
		return nil
	}
	contested := map[logic.WorkerID]bool{}
	for _, v := range others {
		contested[v.Host] = contested[v.Host] || v.Bad > 0
	}
	var out []Vote
	for id, f := range b.hosts {
		switch {
		case f.bad(now):
			out = append(out, Vote{Host: id, Zone: b.zone, Bad: 1})
		case contested[id] && f.good(now):
			out = append(out, Vote{Host: id, Zone: b.zone, Good: 1})
		}
	}
	slices.SortFunc(out, func(a, b Vote) int { return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Host, b.Host)) })
	return out[:min(len(out), VotesMost)]
}

// Good tells whether this dispatcher's own attempts lately went well there.
func (b *Book) Good(now int64, host logic.WorkerID) bool {
	f := b.hosts[host]
	return f != nil && f.good(now)
}
