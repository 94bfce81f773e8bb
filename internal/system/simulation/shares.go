package simulation

import "time"

// Share names a part of a day's messages that went well.
type Share string

// The shares.
const (
	Accepted Share = "accepted" // of what was sent
	Prompt   Share = "prompt"   // of what was sent: accepted within its target
	Ended    Share = "ended"    // of what was accepted
	Started  Share = "started"  // of what was accepted: first begun within its target
	Called   Share = "called"   // of the call-backs that are owed: made
	Useful   Share = "useful"   // of the attempts: brought a success to their carrier
	Local    Share = "local"    // of what ran at services with many workers: in the zone of its carrier
)

var shares = []Share{Accepted, Prompt, Ended, Started, Called, Useful, Local}

// Targets of the routes.
const (
	targetAck   = 120 * time.Millisecond
	targetStart = time.Second
)

// counter counts those of many that something holds of.
type counter struct{ of, which int }

func (c *counter) count(holds bool) {
	c.of++
	if holds {
		c.which++
	}
}

// share is 1 where there was none.
func (c *counter) share() float64 {
	if c.of == 0 {
		return 1
	}
	return float64(c.which) / float64(c.of)
}

// shares gives a day's shares.
func (c *checker) shares() map[Share]float64 {
	var accepted, prompt, ended, started, called counter
	for _, r := range c.records {
		taken := r.verdict == statusAccepted
		accepted.count(taken)
		prompt.count(taken && r.answered-r.sent <= targetAck)
		if !taken {
			continue
		}
		ended.count(r.ended())
		started.count(len(r.runs) > 0 && r.runs[0].at <= r.sent+r.delay+targetStart)
		if r.callback && r.ended() {
			called.count(r.calledBack > 0)
		}
	}
	return map[Share]float64{Accepted: accepted.share(), Prompt: prompt.share(), Ended: ended.share(), Started: started.share(),
		Called: called.share(), Useful: c.useful.share(), Local: c.local.share()}
}
