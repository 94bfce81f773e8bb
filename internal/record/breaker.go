package record

import "math/rand/v2"

// Breaker is a circuit breaker for the store. It decides from the results and durations of writes whether commands
// may wait for the store. Times are microseconds.
type Breaker struct {
	WriteTimeout int64 // a write that takes longer opens the breaker
	MinPause     int64 // first pause between two probes
	MaxPause     int64 // upper bound of the pause
	rng          *rand.Rand
	open         bool
	writeStarted int64 // start of the current write, 0 = none
	pause        int64
	nextProbe    int64 // time of the next probe
	trips        int   // how often the breaker has opened
}

// NewBreaker returns a closed breaker: commands wait for the store. Durations are microseconds; seed seeds the
// random part of the pauses.
func NewBreaker(writeTimeout, minPause, maxPause int64, seed uint64) *Breaker {
	return &Breaker{WriteTimeout: writeTimeout, MinPause: max(minPause, 1), MaxPause: max(maxPause, minPause, 1), rng: rand.New(rand.NewPCG(seed, 31))}
}

// Open reports whether the store counts as unavailable.
func (b *Breaker) Open() bool { return b.open }

// Trips returns how often the breaker has opened.
func (b *Breaker) Trips() int { return b.trips }

// MayWrite reports whether a write may begin now. At most one write runs at a time; while the breaker is open,
// only probes may begin.
func (b *Breaker) MayWrite(now int64) bool {
	return b.writeStarted == 0 && (!b.open || now >= b.nextProbe)
}

// Begin records the start of a write.
func (b *Breaker) Begin(now int64) { b.writeStarted = max(now, 1) }

// Next returns the time at which CheckTimeout or MayWrite has to be called again, 0 for never.
func (b *Breaker) Next() int64 {
	switch {
	case b.writeStarted != 0 && !b.open:
		return b.writeStarted + b.WriteTimeout
	case b.writeStarted == 0 && b.open:
		return b.nextProbe
	}
	return 0
}

// CheckTimeout opens the breaker if the current write takes too long, and reports whether the breaker opened.
func (b *Breaker) CheckTimeout(now int64) bool {
	if b.open || b.writeStarted == 0 || now < b.writeStarted+b.WriteTimeout {
		return false
	}
	b.trip(now)
	return true
}

// End records the end of a write. changed reports whether the breaker opened or closed.
func (b *Breaker) End(now int64, ok bool) (changed bool) {
	b.writeStarted = 0
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
	b.scheduleProbe(now)
	return false
}

func (b *Breaker) trip(now int64) {
	b.open, b.pause = true, 0
	b.trips++
	b.scheduleProbe(now)
}

// scheduleProbe sets the time of the next probe with exponential backoff: the pause doubles up to its bound. Each
// dispatcher waits a random part of the pause, so that dispatchers that lost the same store do not return
// together.
func (b *Breaker) scheduleProbe(now int64) {
	b.pause = min(max(2*b.pause, b.MinPause), b.MaxPause)
	b.nextProbe = now + b.pause/2 + b.rng.Int64N(b.pause/2+1)
}
