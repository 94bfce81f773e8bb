package model

// Store is the one place that all hosts fetch data sets from. It serves Room fetches at full pace and shares its
// capacity among more; a fetch keeps the pace it began with, which spares the hosts from knowing of each other.
type Store struct {
	Room   float64
	active int
}

// Cell is a rack of hosts that drop each other's repeats of a keyed job.
type Cell struct {
	Window int64
	seen   map[string]keyed
	order  []string // of seen, the oldest first
}

type keyed struct {
	at   int64
	done bool
}

// NewCell makes a cell that remembers keys for window microseconds.
func NewCell(window int64) *Cell { return &Cell{Window: window, seen: map[string]keyed{}} }

func (c *Cell) forget(now int64) {
	for len(c.order) > 0 {
		k, known := c.seen[c.order[0]]
		if known && now-k.at < c.Window {
			return
		}
		delete(c.seen, c.order[0])
		c.order = c.order[1:]
	}
}
