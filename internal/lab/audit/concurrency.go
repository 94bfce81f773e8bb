package audit

import (
	"cmp"
	"slices"
)

// ClassConcurrency describes the concurrency and the starts of a class's jobs, as the hosts observed them.
type ClassConcurrency struct {
	Class  string    `json:"class"`
	Most   int       `json:"most_at_once"` // maximum number of jobs at one time, each from its first arrival at a host to the last end of an attempt
	Starts []float64 `json:"starts_s"`     // arrival times of the first attempt of each job, seconds, in order
}

// ExcessOver returns the largest excess of starts over a rate: the maximum over all intervals of the number of starts
// in the interval, less what the rate (jobs per second) allows in it.
func (c *ClassConcurrency) ExcessOver(rate float64) float64 {
	excess, maxExcess, last := 0.0, 0.0, 0.0
	for _, s := range c.Starts {
		excess = max(excess-rate*(s-last), 0) + 1
		maxExcess, last = max(maxExcess, excess), s
	}
	return maxExcess
}

// Concurrency returns the concurrency and starts of each class, from the hosts' observations alone. An attempt without
// an end counts as still running.
func (l *Log) Concurrency() []ClassConcurrency {
	l.mu.Lock()
	defer l.mu.Unlock()
	type change struct {
		at int64
		by int
	}
	out := make([]ClassConcurrency, len(l.classes))
	for class := range out {
		var all []change
		c := &out[class]
		c.Class = l.classes[class].Name
		for _, t := range l.tries {
			if !t.sentByClient || t.class != class || len(t.attempts) == 0 {
				continue
			}
			from, to := t.attempts[0].arrived, int64(0)
			for _, a := range t.attempts {
				from = min(from, a.arrived)
				if a.end == Open {
					a.ended = 1 << 62
				}
				to = max(to, a.ended)
			}
			all = append(all, change{from, 1}, change{to, -1})
			c.Starts = append(c.Starts, float64(from)/1e6)
		}
		slices.Sort(c.Starts)
		slices.SortFunc(all, func(a, b change) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by)) })
		now := 0
		for _, e := range all {
			now += e.by
			c.Most = max(c.Most, now)
		}
	}
	return out
}
