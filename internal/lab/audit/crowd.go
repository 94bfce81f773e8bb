package audit

import (
	"cmp"
	"slices"
)

// Crowd is how many jobs of a class the hosts saw at once, and in a time.
type Crowd struct {
	Class  string    `json:"class"`
	Most   int       `json:"most_at_once"` // jobs that had an attempt at a host that was not over
	Starts []float64 `json:"starts_s"`     // when the first attempt of each came to its host, in order
}

// Beyond is by how much the starts of any time were more than a rate (jobs a second) allows in it, at most.
func (c *Crowd) Beyond(rate float64) float64 {
	sum, most, at := 0.0, 0.0, 0.0
	for _, s := range c.Starts {
		sum = max(sum-rate*(s-at), 0) + 1
		most, at = max(most, sum), s
	}
	return most
}

// Crowds counts the jobs of each class, from what the hosts saw by themselves. An attempt that has not ended is there still.
func (l *Log) Crowds() []Crowd {
	l.mu.Lock()
	defer l.mu.Unlock()
	type change struct {
		at int64
		by int
	}
	out := make([]Crowd, len(l.classes))
	for class := range out {
		var all []change
		c := &out[class]
		c.Class = l.classes[class].Name
		for _, t := range l.tries {
			if !t.known || t.class != class || len(t.attempts) == 0 {
				continue
			}
			from, to := t.attempts[0].came, int64(0)
			for _, a := range t.attempts {
				from = min(from, a.came)
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
