// Package lease gives one of a few named keepers a post for a time, by the word of a majority of them, without a disk: two
// hold it at no time, whatever is lost, late or doubled, and whichever process is stopped or started anew. It does no I/O
// and reads no clock; times are microseconds on the caller's own clock, and only lengths are compared between processes.
//
// A keeper promises the post to one asker for a length from when it hears the ask; the asker counts from when it asked,
// which is before. A keeper that has just started promises nothing for a length, since it may have before. So a majority's
// promises overlap in at least one keeper, and while the asker counts, each of them still holds.
package lease

import "slices"

// Owner is one process of a dispatcher: of one name a higher incarnation is a later one.
type Owner struct {
	Name        string
	Incarnation uint64
}

// Shares of the length.
const (
	marginDivisor = 10 // the holder stops so much of the length early: clocks of two machines run at most 10% apart
	askDivisor    = 4  // asks are so much of the length apart, and ranks wait for each other so long
)

// Seat is a keeper's view of the post: what it has promised, and what it was promised itself.
type Seat struct {
	self    Owner
	keepers []string
	rank    int
	length  int64

	promisesFrom  int64 // it promises nothing before
	promised      Owner
	promisedUntil int64 // its promise counts till then
	turn          int64 // how often it has promised the post to another than before

	askedAt      int64 // when it asked last; the number of that ask
	askNotBefore int64 // it asks no more before then
	promisedBy   map[string]bool
	successor    Owner // the keeper that promised it last
	heldUntil    int64 // it holds the post till then
	heldSince    int64 // from when on, without a gap
	resigned     bool  // it wants the post no more
}

// New makes the seat of one of the keepers, whose order is the same everywhere; length is in microseconds.
func New(now int64, self Owner, keepers []string, length int64) *Seat {
	return &Seat{self: self, keepers: keepers, rank: slices.Index(keepers, self.Name), length: length, promisesFrom: now + length, promisedBy: map[string]bool{}}
}

// Ask takes an ask of a keeper and tells whether the post is promised to it for a length from now.
func (s *Seat) Ask(now int64, who Owner) bool {
	if now < s.promisesFrom || !slices.Contains(s.keepers, who.Name) || now < s.promisedUntil && who != s.promised {
		return false
	}
	s.promise(now, who)
	return true
}

func (s *Seat) promise(now int64, who Owner) {
	if who != s.promised {
		s.turn++
	}
	s.promised, s.promisedUntil = who, now+s.length
}

// Free takes the word of one that has given up the post, for good, and would have another be the next: the promise to it is
// one to the heir from now on.
func (s *Seat) Free(now int64, from, heir Owner) {
	if from != s.promised || now >= s.promisedUntil {
		return
	}
	if s.promise(now, heir); !slices.Contains(s.keepers, heir.Name) {
		s.promisedUntil = now
	}
}

// Leave gives up the post, if this process has it, and never asks for it again.
func (s *Seat) Leave() { s.resigned, s.heldUntil = true, 0 }

// Heir is another keeper that promised it the post lately; the zero value where none did.
func (s *Seat) Heir() Owner { return s.successor }

// Turn changes whenever the post is promised here to another than before.
func (s *Seat) Turn() int64 { return s.turn }

// Promised tells to whom the post is promised here; the zero value is to nobody.
func (s *Seat) Promised(now int64) Owner {
	if now < s.promisedUntil {
		return s.promised
	}
	return Owner{}
}

// Round tells whether to ask the other keepers now; the number of the ask is now. Its own word comes first: who has promised
// the post to another does not ask. Those of higher rank wait a little longer once a promise has lapsed, and once an ask has
// brought no majority: where each of some keepers has promised the post to itself nobody would ever get it.
func (s *Seat) Round(now int64) bool {
	if s.resigned || s.askedAt > 0 && now-s.askedAt < s.length/askDivisor {
		return false
	}
	if s.askedAt > 0 && !s.Holds(now) && s.promised == s.self && now < s.promisedUntil {
		// It takes back its own word, and what others answer to that ask counts no more.
		s.promisedUntil, s.askedAt, s.askNotBefore = now, 0, now+int64(s.rank)*s.length/askDivisor
	}
	switch {
	case now < s.askNotBefore:
		return false
	case !s.Holds(now) && s.promised != s.self && now < max(s.promisedUntil, s.promisesFrom)+int64(s.rank)*s.length/askDivisor:
		return false
	case !s.Ask(now, s.self):
		return false
	}
	s.askedAt = now
	clear(s.promisedBy)
	s.Yes(now, s.self, now)
	return true
}

// Yes takes a keeper's promise, in answer to the ask of that number. Those to asks before the last come too late to count.
func (s *Seat) Yes(now int64, from Owner, number int64) {
	if s.resigned || number != s.askedAt || number == 0 || !slices.Contains(s.keepers, from.Name) {
		return
	}
	if s.promisedBy[from.Name] = true; from != s.self {
		s.successor = from
	}
	if len(s.promisedBy) <= len(s.keepers)/2 {
		return
	}
	until := number + s.length - s.length/marginDivisor
	if until <= now {
		return // it stood still meanwhile
	}
	if !s.Holds(now) {
		s.heldSince = now
	}
	s.heldUntil = until
}

// Holds tells whether the post is this process's now.
func (s *Seat) Holds(now int64) bool { return now < s.heldUntil }

// Since is when it came to hold the post.
func (s *Seat) Since() int64 { return s.heldSince }
