package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Timing of the changes of routes whose prefixes nest.
const (
	maxNestGap     = 5 * time.Second // between two removals of routes
	maxRouteAbsent = 4 * time.Second // duration of one removal
)

// DrawNestedRoutes draws a scenario in which clients keep sending, with ordering keys and call-back URLs, to routes that
// are removed while a shorter prefix of the same host stays, and that come back. Half of the scenarios have planned
// operations beside it, the others faults of all kinds.
func DrawNestedRoutes(seed uint64) *Scenario {
	s := Draw(seed)
	if seed%2 == 0 {
		s = DrawPlannedOperations(seed)
	}
	s.KeysEverywhere = true
	r := rand.New(rand.NewPCG(seed, 19))
	addEvent := func(at time.Duration, what string) {
		if at < s.Traffic {
			s.Events = append(s.Events, Event{At: at, What: what})
		}
	}
	for at := time.Duration(0); at < s.Traffic; at += time.Duration(r.Int64N(int64(maxNestGap))) {
		traffic := []string{alert, alert, archive}[r.IntN(3)]
		addEvent(at, fmt.Sprintf("nest %s to %s", traffic, []string{alert, archive, partner}[r.IntN(3)]))
		removedAt := at + time.Duration(r.Int64N(int64(maxNestGap)))
		addEvent(removedAt, "drop "+traffic)
		addEvent(removedAt+time.Duration(r.Int64N(int64(maxRouteAbsent))), fmt.Sprintf("move %s to %s", traffic, traffic))
		if r.IntN(4) == 0 {
			addEvent(at+time.Duration(r.Int64N(int64(maxRouteAbsent))), "unnest "+traffic)
		}
	}
	return s
}
