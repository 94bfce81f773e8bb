// Package verdict combines what the dispatchers of a fleet observe of its hosts, so that not every dispatcher has to
// fail at a bad host by itself. Evidence records one dispatcher's own attempts and casts its votes; a Detector
// counts the votes of all dispatchers and returns the verdicts against hosts.
//
// A dispatcher has one vote on a host. It rests on the dispatcher's own attempts and expires with them. Votes are
// counted by the zone of the dispatchers that cast them. The package does no I/O and reads no clock; times are
// microseconds on the caller's clock.
package verdict

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"granitewing/logic"
)

// Vote is the number of dispatchers of a zone that find a host bad or good.
type Vote struct {
	Host logic.WorkerID
	Zone uint8 // of the dispatchers that cast the votes
	Bad  uint16
	Good uint16
}

// Rules for casting votes.
const (
	evidenceLifetime = 4_000_000 // microseconds for which the result of an attempt counts
	minFails         = 1         // failures since the last success that make a vote against a host
	maxHosts         = 4096      // hosts in a book
	// MaxVotes is the maximum number of hosts on which a dispatcher votes.
	MaxVotes = 16
	// A dispatcher does not vote if it tried at least minTried hosts and more than maxFailedShare of them failed: then
	// its own network link is the likely cause.
	minTried       = 3
	maxFailedShare = 0.5
)

// Evidence records the results of one dispatcher's own attempts at hosts. It must not be used by two goroutines at
// once.
type Evidence struct {
	zone  uint8
	hosts map[logic.WorkerID]*record
}

// record is what a dispatcher observed of one host.
type record struct {
	fails                 int // consecutive failures
	failedAt, succeededAt int64
}

// NewEvidence returns an empty book of a dispatcher in a zone, which is limited to 0 to 255.
func NewEvidence(zone int) *Evidence {
	return &Evidence{zone: uint8(min(max(zone, 0), 255)), hosts: map[logic.WorkerID]*record{}}
}

// Record records the result of an attempt that is evidence about its host, or another sign that the host is alive. If
// the book is full of recent records, a host that has none is ignored.
func (b *Evidence) Record(now int64, host logic.WorkerID, ok bool) {
	r := b.hosts[host]
	if r == nil {
		if len(b.hosts) >= maxHosts {
			b.dropExpired(now)
		}
		if len(b.hosts) >= maxHosts {
			return
		}
		r = &record{failedAt: math.MinInt64 / 2, succeededAt: math.MinInt64 / 2}
		b.hosts[host] = r
	}
	switch {
	case ok:
		r.fails, r.succeededAt = 0, now
	case now-r.failedAt > evidenceLifetime:
		r.fails, r.failedAt = 1, now
	default:
		r.fails, r.failedAt = r.fails+1, now
	}
}

// dropExpired removes the records that no longer count.
func (b *Evidence) dropExpired(now int64) {
	maps.DeleteFunc(b.hosts, func(_ logic.WorkerID, r *record) bool { return now-max(r.failedAt, r.succeededAt) > evidenceLifetime })
}

func (r *record) bad(now int64) bool {
	return r.fails >= minFails && now-r.failedAt <= evidenceLifetime
}

func (r *record) good(now int64) bool { return r.fails == 0 && now-r.succeededAt <= evidenceLifetime }

// Votes returns this dispatcher's votes, at most MaxVotes: those against hosts first, then those for hosts that others
// vote against. It returns none if so many of its attempts failed that its own network link is the likely cause.
func (b *Evidence) Votes(now int64, others []Vote) []Vote {
	b.dropExpired(now)
	tried, bad := 0, 0
	for _, r := range b.hosts {
		if tried++; r.bad(now) {
			bad++
		}
	}
	if tried >= minTried && float64(bad) > maxFailedShare*float64(tried) {
		return nil
	}
	contested := map[logic.WorkerID]bool{}
	for _, v := range others {
		contested[v.Host] = contested[v.Host] || v.Bad > 0
	}
	var out []Vote
	for id, r := range b.hosts {
		switch {
		case r.bad(now):
			out = append(out, Vote{Host: id, Zone: b.zone, Bad: 1})
		case contested[id] && r.good(now):
			out = append(out, Vote{Host: id, Zone: b.zone, Good: 1})
		}
	}
	slices.SortFunc(out, func(a, b Vote) int { return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Host, b.Host)) })
	return out[:min(len(out), MaxVotes)]
}

// RecentlyGood reports whether this dispatcher's own latest attempt at a host succeeded and still counts.
func (b *Evidence) RecentlyGood(now int64, host logic.WorkerID) bool {
	r := b.hosts[host]
	return r != nil && r.good(now)
}
