package cover

import "granitewing/internal/fleet/limit/lease"

// Book is the dealer's side of one limit's covers.
type Book struct {
	keepers int
	began   int64 // answers to asks before are of another term
	places  map[string]place
	found   map[string]Table // what keepers knew, until it is settled

	settled bool
	told    Table // the table of that version
	version int64
	has     map[string]bool // keepers that have it
	whole   bool            // a majority of them has
	allowed Table           // what may be given: in no table that some keeper may have instead is it less
	sent    int64
	late    int64 // when those that are behind were told last
}

// place is a keeper as it answered last: which process it is, and the turn in which it takes tables.
type place struct {
	who  lease.Owner
	turn int64
}

// NewBook opens one at the beginning of a term, for so many keepers.
func NewBook(now int64, keepers int) *Book {
	return &Book{keepers: keepers, began: now, places: map[string]place{}, found: map[string]Table{}, has: map[string]bool{}, allowed: Table{}, whole: true}
}

// Found takes what a keeper answers to the ask of that number: its turn, and the table that it knows, if it knows one. It
// gives the most that each may hold by what a majority knows, once there is one.
func (b *Book) Found(from lease.Owner, number, turn int64, t Table, known bool) (Table, bool) {
	if number < b.began {
		return nil, false
	}
	if old := b.places[from.Name]; old != (place{from, turn}) {
		b.places[from.Name] = place{from, turn}
		delete(b.has, from.Name)
	}
	if b.settled || !known {
		return nil, false
	}
	b.found[from.Name] = t
	if len(b.found) <= b.keepers/2 {
		return nil, false
	}
	most := Table{}
	for _, t := range b.found {
		for key, n := range t {
			most[key] = max(most[key], n)
		}
	}
	return most, true
}

// Settle ends the search for what was dealt before: it is known, or its time is over.
func (b *Book) Settle() { b.settled, b.found = true, nil }

// Settled tells whether it has ended.
func (b *Book) Settled() bool { return b.settled }

// Allowed is how many rights a process may hold now.
func (b *Book) Allowed(key uint64) int64 { return b.allowed[key] }

// Want takes how many rights each is to hold at most, which is no less than it may hold already, and makes another table where that one
// does not do. Only one table is on its way at a time; a cover is a quarter more than what is wanted, and stands until
// that is more, or less than half.
func (b *Book) Want(now int64, want Table) {
	if !b.settled || !b.whole {
		return
	}
	next, more := Table{}, false
	for key, n := range want {
		c := b.told[key]
		if n > c || c > 2*n+1 {
			more = more || n > c
			c = n + (n+3)/4
		}
		if c > 0 {
			next[key] = c
		}
	}
	if !more && b.told.Sum() <= next.Sum()+next.Sum()/4 && b.version > 0 {
		return
	}
	b.told, b.version, b.whole, b.sent, b.late = next, max(now, b.version+1), false, 0, now
	clear(b.has)
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
	case b.settled && b.whole && now-b.late >= 8*gap:
		b.late = now
	case b.settled && b.whole || b.sent > 0 && now-b.sent < gap:
		return nil, nil
	}
	again := b.sent > 0
	b.sent = now
	for _, k := range keepers {
		_, known := b.places[k]
		_, found := b.found[k]
		switch {
		case !known || !b.settled && !found:
			ask = append(ask, k)
		case b.settled && !b.has[k]:
			if tell = append(tell, k); again {
				ask = append(ask, k)
			}
		}
	}
	return ask, tell
}

// Told is the table to tell, and its version.
func (b *Book) Told() (Table, int64) { return b.told, b.version }

// To is the keeper of a name as it answered last.
func (b *Book) To(name string) (who lease.Owner, turn int64) {
	p := b.places[name]
	return p.who, p.turn
}

// Has takes a keeper's word that it has the table of a version.
func (b *Book) Has(from lease.Owner, turn, version int64) {
	if version != b.version || b.places[from.Name] != (place{from, turn}) {
		return
	}
	if b.has[from.Name] = true; len(b.has) <= b.keepers/2 || b.whole {
		return
	}
	b.whole = true
	clear(b.allowed)
	for key, n := range b.told {
		b.allowed[key] = n
	}
}
