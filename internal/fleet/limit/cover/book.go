package cover

import "granitewing/internal/fleet/limit/lease"

// Book is the dealer's side of the covers of one limit. It is not safe for concurrent use.
type Book struct {
	keepers   int
	startedAt int64 // answers to earlier asks belong to another term
	replicas  map[string]replica
	collected map[string]Table // tables that keepers reported, until the book is settled

	settled   bool
	table     Table // the table of that version
	version   int64
	acked     map[string]bool // keepers that have it
	committed bool            // a majority of keepers has it
	allowed   Table           // what may be granted: no more than any table that a keeper may have instead
	sentAt    int64
	catchUpAt int64 // when keepers that are behind were last sent the table
}

// replica is a keeper as of its last answer: the process, and the turn in which it accepts tables.
type replica struct {
	owner lease.Owner
	turn  int64
}

// NewBook opens a book at the start of a term at time now, with the number of keepers.
func NewBook(now int64, keepers int) *Book {
	return &Book{keepers: keepers, startedAt: now, replicas: map[string]replica{}, collected: map[string]Table{}, acked: map[string]bool{}, allowed: Table{}, committed: true}
}

// Found handles a keeper's answer to the ask of that number: its turn, and its table if known. Once a majority has
// reported tables, Found returns the most that each process may hold by any of them, and true.
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

// Settle ends the search for earlier grants: they are known or have expired.
func (b *Book) Settle() { b.settled, b.collected = true, nil }

// Settled reports whether the search has ended.
func (b *Book) Settled() bool { return b.settled }

// Allowed returns how many rights a process may hold now.
func (b *Book) Allowed(key uint64) int64 { return b.allowed[key] }

// Want takes the maximum number of rights that each process is to hold, which is no less than it may hold already,
// and writes a new table if the current one does not fit. Only one table is sent at a time. An entry gets a
// quarter more than is wanted, so that the table is rewritten only when the wanted number exceeds the entry or falls
// below half of it.
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

// Round returns which keepers to ask for their turn and table, and which to send the table. Unanswered messages
// are repeated after a gap; once a majority has the table, keepers that are behind get it every eight gaps. A
// keeper that has not answered is also asked again, because it may have restarted and a new process ignores what
// was addressed to the former one.
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

// Table returns the table to send and its version.
func (b *Book) Table() (Table, int64) { return b.table, b.version }

// Keeper returns the process and the turn of the keeper of a name, as of its last answer.
func (b *Book) Keeper(name string) (who lease.Owner, turn int64) {
	p := b.replicas[name]
	return p.owner, p.turn
}

// Confirmed handles a keeper's confirmation that it has the table of a version.
func (b *Book) Confirmed(from lease.Owner, turn, version int64) {
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
