package delivery

import "time"

// Pace spaces the messages of a service with a rate. It allows no bursts, so that a change of owner, or a window that
// begins anywhere, sees at most the rate and one more.
type Pace struct {
	interval time.Duration
	next     time.Duration
}

// paceMargin keeps the pace a little under the rate, against links that bunch what was spaced.
const paceMargin = 0.98

// SetRate sets the rate a second; 0 is no limit.
func (p *Pace) SetRate(rate float64) {
	if rate <= 0 {
		p.interval = 0
		return
	}
	p.interval = time.Duration(float64(time.Second) / (rate * paceMargin))
}

// Hold lets nothing through before a time: a new owner waits out what the former one may have sent.
func (p *Pace) Hold(until time.Duration) { p.next = max(p.next, until) }

// Due is when the next message may go.
func (p *Pace) Due() time.Duration { return p.next }

// Take lets a message through if it is due. A pause doesn't add up: at most two follow at once.
func (p *Pace) Take(now time.Duration) bool {
	if p.interval == 0 {
		return true
	}
	if now < p.next {
		return false
	}
	p.next = max(p.next, now-p.interval) + p.interval
	return true
}
