package cover

import "granitewing/internal/fleet/limit/lease"

// Book is the dealer's side of one limit's covers.
type Book struct {
	keepers   int
	startedAt int64 // answers to asks before are of another term
	replicas  map[string]replica
	collected map[string]Table // what keepers knew, until it is settled

	settled   bool
	table     Table // the table of that version
	version   int64
	acked     map[string]bool // keepers that have it
	committed bool            // a majority of them has
	allowed   Table           // what may be given: in no table that some keeper may have instead is it less
	sentAt    int64
	catchUpAt int64 // when those that are behind were told last
}

// place is a keeper as it answered last: which process it is, and the turn in which it takes tables.
type replica struct {
	owner lease.Owner
	turn  int64
}

// NewBook opens one at the beginning of a term, for so many keepers.
func NewBook(now int64, keepers int) *Book {
	return &Book{keepers: keepers, startedAt: now, replicas: map[string]replica{}, collected: map[string]Table{}, acked: map[string]bool{}, allowed: Table{}, committed: true}
}

// Found takes what a keeper answers to the ask of that number: its turn, and the table that it knows, if it knows one. It
// gives the most that each may hold by what a majority knows, once there is one.
func (b *Book) Found(from lease.Owner, number, turn int64, t Table, known bool) (Table, bool) {
	if number < b.startedAt {
		return nil, false
	}
	if old := b.replicas[from.Name]; old != (replica{from, turn}) {
		b.replicas[from.Name] = replica{from, turn}
		delete(b.acked, from.Name)
	}
	if b.settled || !known {
		return nil, false
	}
	b.collected[from.Name] = t
	if len(b.collected) <= b.keepers/2 {
		return nil, false
	}
	most := Table{}
	for _, t := range b.collected {
		for key, n := range t {
			most[key] = max(most[key], n)
		}
	}
	return most, true
}

// Settle ends the search for what was dealt before: it is known, or its time is over.
func (b *Book) Settle() { b.settled, b.collected = true, nil }

// Settled tells whether it has ended.
func (b *Book) Settled() bool { return b.settled }

// Allowed is how many rights a process may hold now.
func (b *Book) Allowed(key uint64) int64 { return b.allowed[key] }

// Want takes how many rights each is to hold at most, which is no less than it may hold already, and makes another table where that one
// does not do. Only one table is on its way at a time; a cover is a quarter more than what is wanted, and stands until
// that is more, or less than half.
func (b *Book) Want(now int64, want Table) {
	if !b.settled || !b.committed {
		return
	}
	next, more := Table{}, false
	for key, n := range want {
		c := b.table[key]
		if n > c || c > 2*n+1 {
			more = more || n > c
			c = n + (n+3)/4
		}
		if c > 0 {
			next[key] = c
		}
	}
	if !more && b.table.Sum() <= next.Sum()+next.Sum()/4 && b.version > 0 {
		return
	}
	b.table, b.version, b.committed, b.sentAt, b.catchUpAt = next, max(now, b.version+1), false, 0, now
	clear(b.acked)
	for key, n := range b.allowed {
		if n = min(n, next[key]); n > 0 {
			b.allowed[key] = n
		} else {
			delete(b.allowed, key)
		}
	}
}

// Round says which keepers to ask for their turn and what they know, and which to tell the table. What gets no answer is said
// again after a gap; keepers that are behind where a majority is not, after eight. One that has not answered is asked as well: it
// may be another process by now, which takes nothing that was written to the former one.
func (b *Book) Round(now, gap int64, keepers []string) (ask, tell []string) {
	switch {
	case b.settled && b.committed && now-b.catchUpAt >= 8*gap:
		b.catchUpAt = now
	case b.settled && b.committed || b.sentAt > 0 && now-b.sentAt < gap:
		return nil, nil
	}
	again := b.sentAt > 0
	b.sentAt = now
	for _, k := range keepers {
		_, known := b.replicas[k]
		_, found := b.collected[k]
		switch {
		case !known || !b.settled && !found:
			ask = append(ask, k)
		case b.settled && !b.acked[k]:
			if tell = append(tell, k); again {
				ask = append(ask, k)
			}
		}
	}
	return ask, tell
}

// Told is the table to tell, and its version.
func (b *Book) Told() (Table, int64) { return b.table, b.version }

// To is the keeper of a name as it answered last.
func (b *Book) To(name string) (who lease.Owner, turn int64) {
	p := b.replicas[name]
	return p.owner, p.turn
}

// Has takes a keeper's word that it has the table of a version.
func (b *Book) Has(from lease.Owner, turn, version int64) {
	if version != b.version || b.replicas[from.Name] != (replica{from, turn}) {
		return
	}
	if b.acked[from.Name] = true; len(b.acked) <= b.keepers/2 || b.committed {
		return
	}
	b.committed = true
	clear(b.allowed)
	for key, n := range b.table {
		b.allowed[key] = n
	}
}
