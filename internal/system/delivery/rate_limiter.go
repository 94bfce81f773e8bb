package delivery

import "time"

// RateLimiter is the rate limiter of one service: it spaces messages evenly. It allows no bursts beyond two messages, so
// that any time window, also one that spans a change of the service's owner, sees at most the rate plus one message. The
// zero value has no limit.
type RateLimiter struct {
	interval time.Duration // between messages; 0 without a limit
	next     time.Duration // earliest time of the next message
}

// rateMargin keeps the effective rate slightly below the configured one, since the network may bunch messages that were
// sent with even spacing.
const rateMargin = 0.98

// SetRate sets the rate in messages per second; 0 or less removes the limit.
func (p *RateLimiter) SetRate(rate float64) {
	if rate <= 0 {
		p.interval = 0
		return
	}
	p.interval = time.Duration(float64(time.Second) / (rate * rateMargin))
}

// BlockUntil lets no message through before a time. A new owner uses it to wait for the messages that the former owner
// may have sent.
func (p *RateLimiter) BlockUntil(until time.Duration) { p.next = max(p.next, until) }

// NextAllowed returns when the next message may be sent.
func (p *RateLimiter) NextAllowed() time.Duration { return p.next }

// Allow reports whether a message may be sent now, and counts it if so. Idle time does not accumulate: at most two
// messages pass back to back.
func (p *RateLimiter) Allow(now time.Duration) bool {
	if p.interval == 0 {
		return true
	}
	if now < p.next {
		return false
	}
	p.next = max(p.next, now-p.interval) + p.interval
	return true
}
