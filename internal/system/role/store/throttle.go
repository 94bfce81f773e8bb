package store

import "time"

// throttle limits how many bytes per second a backfill or drain moves. Work may start whenever the limit allows,
// and the bytes that it moved are added afterwards.
type throttle struct {
	rate    float64 // bytes per second; 0 means no limit
	readyAt time.Duration
}

// ready reports whether more work may start now.
func (t *throttle) ready(now time.Duration) bool { return now >= t.readyAt }

// add accounts for bytes that were moved.
func (t *throttle) add(now time.Duration, bytes int) {
	if t.rate <= 0 {
		return
	}
	t.readyAt = max(t.readyAt, now) + time.Duration(float64(bytes)/t.rate*float64(time.Second))
}
