// Package lease elects one of a few named keepers to a post for a limited time, by a majority of them and without
// stable storage. Two keepers never hold the post at once, whatever messages are lost, late or duplicated, and
// whichever process pauses or restarts.
//
// A keeper promises the post to one candidate for a fixed length from when it receives the ask. The candidate
// counts the length from when it asked, which is earlier. A keeper that has just started promises nothing for one
// length, since an earlier incarnation may have promised. So two majorities share at least one keeper, and while
// the candidate counts itself the holder, every promise to it is still valid.
//
// Each keeper runs one Seat. The package does no I/O and reads no clock. Times are microseconds on the caller's
// own clock, and only lengths are compared between processes.
package lease

import "slices"

// Owner is one incarnation of a process: of the same name, a higher incarnation started later.
type Owner struct {
	Name        string
	Incarnation uint64
}

// Divisors of the length.
const (
	marginDivisor = 10 // the holder stops a tenth of the length early: clocks of two machines differ by at most 10% in speed
	askDivisor    = 4  // interval of asks; after a promise has expired, a keeper of rank r waits r intervals longer
)

// Seat is a keeper's view of the post: its promise to others, and the promises that it has received. It is not
// safe for concurrent use.
type Seat struct {
	self    Owner
	keepers []string
	rank    int // its index in keepers
	length  int64

	promisesFrom  int64 // no promise is given before
	promised      Owner
	promisedUntil int64 // when its promise ends
	turn          int64 // number of times that it promised the post to another process than before

	askedAt      int64 // time of the last ask, which is also its number
	askNotBefore int64 // no ask is sent before
	promisedBy   map[string]bool
	successor    Owner // the other keeper that promised it last
	heldUntil    int64 // when its tenure ends
	heldSince    int64 // start of its uninterrupted tenure
	resigned     bool  // it does not want the post any more
}

// New returns the Seat of one of the keepers at its start. The order of keepers must be the same everywhere;
// length is in microseconds.
func New(now int64, self Owner, keepers []string, length int64) *Seat {
	return &Seat{self: self, keepers: keepers, rank: slices.Index(keepers, self.Name), length: length, promisesFrom: now + length, promisedBy: map[string]bool{}}
}

// Ask handles the ask of a keeper, and reports whether the post is promised to it for a length from now.
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

// Release handles the message of a process that has given up the post for good and names a successor. A promise to
// that process becomes one to the successor.
func (s *Seat) Release(now int64, from, successor Owner) {
	if from != s.promised || now >= s.promisedUntil {
		return
	}
	if s.promise(now, successor); !slices.Contains(s.keepers, successor.Name) {
		s.promisedUntil = now
	}
}

// Leave gives up the post, if this process has it, and never asks for it again.
func (s *Seat) Leave() { s.resigned, s.heldUntil = true, 0 }

// Successor returns the other keeper that promised this one the post last, or the zero value if none did.
func (s *Seat) Successor() Owner { return s.successor }

// Turn returns a number that grows whenever the post is promised here to another process than before.
func (s *Seat) Turn() int64 { return s.turn }

// Promised returns the process to which the post is promised here, or the zero value if there is none.
func (s *Seat) Promised(now int64) Owner {
	if now < s.promisedUntil {
		return s.promised
	}
	return Owner{}
}

// Round reports whether to ask the other keepers now; the number of that ask is now. The keeper needs its own
// promise first: one that has promised the post to another does not ask. Keepers of higher rank wait longer after
// a promise has expired, and after an ask that brought no majority: if several keepers had each promised the post
// to themselves, none would ever get it.
func (s *Seat) Round(now int64) bool {
	if s.resigned || s.askedAt > 0 && now-s.askedAt < s.length/askDivisor {
		return false
	}
	if s.askedAt > 0 && !s.Holds(now) && s.promised == s.self && now < s.promisedUntil {
		// It withdraws its own promise, and answers to that ask no longer count.
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
	s.Promise(now, s.self, now)
	return true
}

// Promise handles a keeper's promise in answer to the ask of that number. Answers to earlier asks don't count.
func (s *Seat) Promise(now int64, from Owner, number int64) {
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
		return // the process was paused for longer than the promises last
	}
	if !s.Holds(now) {
		s.heldSince = now
	}
	s.heldUntil = until
}

// Holds reports whether this process holds the post now.
func (s *Seat) Holds(now int64) bool { return now < s.heldUntil }

// Since returns when this process came to hold the post.
func (s *Seat) Since() int64 { return s.heldSince }
