package virtual

import (
	"math"

	"granitewing/internal/lab/world"
)

// VerdictAgreement counts how often two dispatchers give the same verdict on similar jobs. Two jobs are similar if they
// have the same class and number of slots, their hints differ by less than a tenth, and they reach different
// dispatchers within 100 ms of each other. Pass its Record method as Options.OnVerdict.
type VerdictAgreement struct {
	Pairs, Agreed     int // pairs of similar jobs, and those of them with the same verdict
	Requests, Refused int // first requests of jobs, and those that were refused at once
	recent            []firstRequest
}

type firstRequest struct {
	arrived    int64
	dispatcher int
	*world.Job
	refused bool
}

// similarityWindow is the longest time between two similar jobs, in microseconds.
const similarityWindow = 100_000

// Record records the verdict on the first request of a job. at is in microseconds and must not decrease between calls.
func (a *VerdictAgreement) Record(at int64, dispatcher int, j *world.Job, refused bool) {
	if a.Requests++; refused {
		a.Refused++
	}
	for len(a.recent) > 0 && at-a.recent[0].arrived > similarityWindow {
		a.recent = a.recent[1:]
	}
	for _, o := range a.recent {
		if o.dispatcher != dispatcher && o.Class == j.Class && o.Slots == j.Slots && math.Abs(math.Log(float64(o.Hint)/float64(j.Hint))) < 0.1 {
			if a.Pairs++; o.refused == refused {
				a.Agreed++
			}
		}
	}
	a.recent = append(a.recent, firstRequest{at, dispatcher, j, refused})
}
