package verdict

import (
	"cmp"
	"fmt"
	"slices"

	"granitewing/internal/fleet/namehash"
	"granitewing/logic"
)

// Rules for a verdict.
const (
	minBadVotes     = 2         // dispatchers that must find a host bad; a single false or faulty one ejects nothing
	minBadShare     = 0.6       // of the dispatchers that vote on the host
	maxEjectedShare = 1.0 / 3   // of the capacity of a kind of host; the worst hosts are ejected first
	probers         = 2         // mean number of dispatchers that keep trying a host in spite of a verdict
	probePeriod     = 1_000_000 // microseconds after which other dispatchers take over
)

// Host is a host that a verdict may concern.
type Host struct {
	ID     logic.WorkerID
	Kind   int
	Zone   int
	Weight float64 // its capacity relative to the other hosts of its kind
}

// Verdict says that a host is bad and should be avoided.
type Verdict struct {
	Host   logic.WorkerID
	Weight float64 // share of the counted votes that are against the host
}

// Detector decides for one dispatcher which hosts to avoid.
type Detector struct {
	self string
	book *Evidence
}

// NewDetector returns the detector of the dispatcher named self. A recent success in the dispatcher's own book overrules
// the votes of others.
func NewDetector(self string, book *Evidence) *Detector { return &Detector{self, book} }

// tally is the votes on a host: those of the detector's own zone, and those of the other zones.
type tally struct {
	bad, good int
	zones     int // other zones in which a majority finds the host bad; the host's own zone counts twice
	otherBad  int
	otherGood int
}

// Verdicts returns the verdicts that hold now for this dispatcher, the worst host first. members is the number of
// dispatchers.
//
// The votes of the detector's own zone come first, because they used the same network path to the host. If there are too
// few of them, the votes of other zones count too, provided that two zones agree or that the host's own zone finds it
// bad. If a single zone can't reach a host of another zone, the path from there is the likely cause, not the host.
func (j *Detector) Verdicts(now int64, votes []Vote, hosts []Host, members int) []Verdict {
	capacity, known := map[int]float64{}, map[logic.WorkerID]Host{}
	for _, h := range hosts {
		capacity[h.Kind] += h.Weight
		known[h.ID] = h
	}
	counts := map[logic.WorkerID]*tally{}
	for _, v := range votes {
		c := counts[v.Host]
		if c == nil {
			c = &tally{}
			counts[v.Host] = c
		}
		if v.Zone == j.book.zone {
			c.bad, c.good = c.bad+int(v.Bad), c.good+int(v.Good)
			continue
		}
		c.otherBad, c.otherGood = c.otherBad+int(v.Bad), c.otherGood+int(v.Good)
		if v.Bad > v.Good {
			if c.zones++; known[v.Host].Zone == int(v.Zone) {
				c.zones++ // no link between zones can be the cause
			}
		}
	}
	var out []Verdict
	for id, c := range counts {
		if _, listed := known[id]; !listed || j.book.RecentlyGood(now, id) || j.probes(now, id, members) {
			continue
		}
		if w := c.badShare(); w > 0 {
			out = append(out, Verdict{id, w})
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(hash("", a.Host, 0), hash("", b.Host, 0)))
	})
	ejected := map[int]float64{}
	return slices.DeleteFunc(out, func(v Verdict) bool {
		h := known[v.Host]
		if ejected[h.Kind]+h.Weight > maxEjectedShare*capacity[h.Kind] {
			return true
		}
		ejected[h.Kind] += h.Weight
		return false
	})
}

// badShare returns the share of the votes that are against a host, or 0 if they do not suffice for a verdict.
func (c *tally) badShare() float64 {
	bad, good := c.bad, c.good
	if bad+good < minBadVotes {
		if c.zones < 2 {
			return 0
		}
		bad, good = bad+c.otherBad, good+c.otherGood
	}
	if w := float64(bad) / float64(bad+good); bad >= minBadVotes && w >= minBadShare {
		return w
	}
	return 0
}

// probes reports whether this dispatcher keeps trying a host now whatever the votes say. A few dispatchers, others in
// each period, thereby find out when the host has recovered.
func (j *Detector) probes(now int64, host logic.WorkerID, members int) bool {
	return members > 0 && hash(j.self, host, now/probePeriod)%uint64(members) < probers
}

func hash(name string, host logic.WorkerID, period int64) uint64 {
	return namehash.Hash(name, fmt.Sprint(host, period))
}
