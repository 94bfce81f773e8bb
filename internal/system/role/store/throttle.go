package store

import "time"

// throttle bounds how many bytes a second a repair moves. Work is let go while the rate allows, and what it moved is told
// afterwards.
type throttle struct {
	rate   float64 // bytes a second; 0 is without a bound
	freeAt time.Duration
}

// free tells whether more may be moved now.
func (t *throttle) free(now time.Duration) bool { return now >= t.freeAt }

// moved tells how many bytes were moved.
func (t *throttle) moved(now time.Duration, bytes int) {
	if t.rate <= 0 {
		return
	}
	t.freeAt = max(t.freeAt, now) + time.Duration(float64(bytes)/t.rate*float64(time.Second))
}
