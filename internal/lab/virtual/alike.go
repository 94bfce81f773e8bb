package virtual

import (
	"math"

	"granitewing/internal/lab/world"
)

// Alike counts how often two dispatchers came to the same verdict on like jobs: of one class and as many slots, with hints
// within a tenth of each other, that came to different dispatchers within 100 ms. Judge is for Options.Judged.
type Alike struct {
	Pairs, Same    int
	Tries, Refused int // first tries, and those refused at once
	late           []firstTry
}

type firstTry struct {
	at         int64
	dispatcher int
	*world.Job
	refused bool
}

const alikeSpan = 100_000 // us

// Judge takes a first try; their times do not go back.
func (a *Alike) Judge(at int64, dispatcher int, j *world.Job, refused bool) {
	if a.Tries++; refused {
		a.Refused++
	}
	for len(a.late) > 0 && at-a.late[0].at > alikeSpan {
		a.late = a.late[1:]
	}
	for _, o := range a.late {
		if o.dispatcher != dispatcher && o.Class == j.Class && o.Slots == j.Slots && math.Abs(math.Log(float64(o.Hint)/float64(j.Hint))) < 0.1 {
			if a.Pairs++; o.refused == refused {
				a.Same++
			}
		}
	}
	a.late = append(a.late, firstTry{at, dispatcher, j, refused})
}
