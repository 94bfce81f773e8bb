package verdict

import (
	"cmp"
	"fmt"
	"slices"

	"granitewing/internal/fleet/draw"
	"granitewing/logic"
)

// Rules of judgement.
const (
	badLeast  = 2         // dispatchers that must find a host bad: one that lies or has a fault of its own shuns nothing
	badShare  = 0.6       // and the share of those that vote on it
	panicPart = 1.0 / 3   // of the capacity of a kind that is shunned at most, the worst first
	testers   = 2         // dispatchers that go on trying a host, in the mean
	turnSpan  = 1_000_000 // us for which they are the same
)

// Host is one as the judgement needs it.
type Host struct {
	ID     logic.WorkerID
	Kind   int
	Zone   int
	Weight float64 // of its capacity among those of its kind
}

// Verdict is one against a host.
type Verdict struct {
	Host   logic.WorkerID
	Weight float64 // share of the votes
}

// Judge is a dispatcher's judge.
type Judge struct {
	self string
	book *Book
}

// NewJudge makes the judge of a dispatcher, which goes by its own book where that says something.
func NewJudge(self string, book *Book) *Judge { return &Judge{self, book} }

// count is the votes on a host: of the judge's own zone, and of the others by zone.
type count struct {
	bad, good int
	zones     int // of the others, in which more find it bad than good; its own counts twice
	otherBad  int
	otherGood int
}

// Judge gives the verdicts that hold now for this dispatcher, the worst first. members is how many dispatchers there are.
//
// The votes of its own zone come first: they took the same way to the host. Without enough of them others count, where two
// zones agree, or its own zone says so; a host that one other zone alone can't reach is well, and the way from there is not.
func (j *Judge) Judge(now int64, votes []Vote, hosts []Host, members int) []Verdict {
	capacity, known := map[int]float64{}, map[logic.WorkerID]Host{}
	for _, h := range hosts {
		capacity[h.Kind] += h.Weight
		known[h.ID] = h
	}
	counts := map[logic.WorkerID]*count{}
	for _, v := range votes {
		c := counts[v.Host]
		if c == nil {
			c = &count{}
			counts[v.Host] = c
		}
		if v.Zone == j.book.zone {
			c.bad, c.good = c.bad+int(v.Bad), c.good+int(v.Good)
			continue
		}
		c.otherBad, c.otherGood = c.otherBad+int(v.Bad), c.otherGood+int(v.Good)
		if v.Bad > v.Good {
			if c.zones++; known[v.Host].Zone == int(v.Zone) {
				c.zones++ // no way between zones is to blame
			}
		}
	}
	var out []Verdict
	for id, c := range counts {
		if _, listed := known[id]; !listed || j.book.Good(now, id) || j.tests(now, id, members) {
			continue
		}
		if w := c.weight(); w > 0 {
			out = append(out, Verdict{id, w})
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(drawn("", a.Host, 0), drawn("", b.Host, 0)))
	})
	shunned := map[int]float64{}
	return slices.DeleteFunc(out, func(v Verdict) bool {
		h := known[v.Host]
		if shunned[h.Kind]+h.Weight > panicPart*capacity[h.Kind] {
			return true
		}
		shunned[h.Kind] += h.Weight
		return false
	})
}

// weight is the share of the votes against a host, or nothing where that makes no verdict.
func (c *count) weight() float64 {
	bad, good := c.bad, c.good
	if bad+good < badLeast {
		if c.zones < 2 {
			return 0
		}
		bad, good = bad+c.otherBad, good+c.otherGood
	}
	if w := float64(bad) / float64(bad+good); bad >= badLeast && w >= badShare {
		return w
	}
	return 0
}

// tests tells whether it is this dispatcher's turn to go on trying a host, whatever the verdict: the way back is found by a
// few, drawn anew each turn.
func (j *Judge) tests(now int64, host logic.WorkerID, members int) bool {
	return members > 0 && drawn(j.self, host, now/turnSpan)%uint64(members) < testers
}

func drawn(name string, host logic.WorkerID, turn int64) uint64 {
	return draw.Of(name, fmt.Sprint(host, turn))
}
