package record

import "math/rand/v2"

// Breaker decides from the writes' ends and ages whether the store may be waited for. Times are microseconds.
type Breaker struct {
	Patience int64 // a write older than that opens it
	Least    int64 // between two probes at first
	Most     int64 // and at last
	rng      *rand.Rand
	open     bool
	begun    int64 // of the write under way, 0 = none
	pause    int64
	next     int64 // time of the next probe
	opened   int   // how often
}

// NewBreaker makes one that is closed: the store is waited for.
func NewBreaker(patience, least, most int64, seed uint64) *Breaker {
	return &Breaker{Patience: patience, Least: max(least, 1), Most: max(most, least, 1), rng: rand.New(rand.NewPCG(seed, 31))}
}

// Open tells whether the store is taken for gone.
func (b *Breaker) Open() bool { return b.open }

// Opened counts how often it was taken for gone.
func (b *Breaker) Opened() int { return b.opened }

// MayWrite tells whether a write may begin now: any while closed, one probe at a time while open.
func (b *Breaker) MayWrite(now int64) bool { return b.begun == 0 && (!b.open || now >= b.next) }

// Begin books a write.
func (b *Breaker) Begin(now int64) { b.begun = max(now, 1) }

// Next is when Late or MayWrite has to be asked again, 0 for never.
func (b *Breaker) Next() int64 {
	switch {
	case b.begun != 0 && !b.open:
		return b.begun + b.Patience
	case b.begun == 0 && b.open:
		return b.next
	}
	return 0
}

// Late opens it if the write under way has lasted too long; true if that is news.
func (b *Breaker) Late(now int64) bool {
	if b.open || b.begun == 0 || now < b.begun+b.Patience {
		return false
	}
	b.trip(now)
	return true
}

// End books the end of a write; changed tells whether the breaker opened or closed by it.
func (b *Breaker) End(now int64, ok bool) (changed bool) {
	b.begun = 0
	switch {
	case ok && b.open:
		b.open, b.pause = false, 0
		return true
	case ok:
		return false
	case !b.open:
		b.trip(now)
		return true
	}
	b.wait(now)
	return false
}

func (b *Breaker) trip(now int64) {
	b.open, b.pause = true, 0
	b.opened++
	b.wait(now)
}

// wait sets the next probe: the pause doubles, and each dispatcher takes a random part of it, so that those who lost one
// store together don't come back together.
func (b *Breaker) wait(now int64) {
	b.pause = min(max(2*b.pause, b.Least), b.Most)
	b.next = now + b.pause/2 + b.rng.Int64N(b.pause/2+1)
}
