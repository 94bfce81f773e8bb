package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Timing of the failures of receivers and of the carriers that stop meanwhile.
const (
	maxReceiverFaultGap = 3 * time.Second // between two failures
	maxReceiverFault    = 4 * time.Second // duration of one
	minReceiverFault    = 500 * time.Millisecond
)

// DrawOutstandingCallbacks draws a scenario in which receivers of call-backs fail again and again while storage
// machines are drained and added in waves, and in which carriers stop, die or freeze while call-backs are outstanding.
func DrawOutstandingCallbacks(seed uint64) *Scenario {
	s := DrawRetirements(seed)
	r := rand.New(rand.NewPCG(seed, 17))
	addEvent := func(at time.Duration, what string) {
		if at < s.Traffic {
			s.Events = append(s.Events, Event{At: at, What: what})
		}
	}
	for at := time.Duration(r.Int64N(int64(maxReceiverFaultGap))); at < s.Traffic; at += time.Duration(r.Int64N(int64(maxReceiverFaultGap))) {
		length := minReceiverFault + time.Duration(r.Int64N(int64(maxReceiverFault-minReceiverFault)))
		addEvent(at, "deafen receivers for "+length.String())
		stopAt := at + time.Duration(r.Int64N(int64(length)))
		edge := fmt.Sprintf("edge-%d", 1+r.IntN(carrierCount))
		addEvent(stopAt, []string{"kill " + edge + " for 400ms", "term " + edge, "freeze " + edge + " for 5s"}[r.IntN(3)])
		at += length
	}
	return s
}
