package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Paces of receivers that fail, and of carriers that go meanwhile.
const (
	deafGap   = 3 * time.Second // between two failures, at most
	deafMost  = 4 * time.Second // of one
	deafLeast = 500 * time.Millisecond
)

// DrawOwedCallbacks draws a scenario in which receivers of call-backs fail again and again while machines with a disk are emptied and added in waves,
// and in which carriers stop, die or freeze while call-backs are owed.
func DrawOwedCallbacks(seed uint64) *Scenario {
	s := DrawRetirements(seed)
	r := rand.New(rand.NewPCG(seed, 17))
	happens := func(at time.Duration, what string) {
		if at < s.Traffic {
			s.Events = append(s.Events, Event{At: at, What: what})
		}
	}
	for at := time.Duration(r.Int64N(int64(deafGap))); at < s.Traffic; at += time.Duration(r.Int64N(int64(deafGap))) {
		length := deafLeast + time.Duration(r.Int64N(int64(deafMost-deafLeast)))
		happens(at, "deafen receivers for "+length.String())
		gone := at + time.Duration(r.Int64N(int64(length)))
		edge := fmt.Sprintf("edge-%d", 1+r.IntN(carrierCount))
		happens(gone, []string{"kill " + edge + " for 400ms", "term " + edge, "freeze " + edge + " for 5s"}[r.IntN(3)])
		at += length
	}
	return s
}
