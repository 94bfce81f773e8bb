package simulation

import "time"

// Share names a proportion of a run's messages, call-backs or attempts that went well, from 0 to 1.
type Share string

// The shares, each with its whole.
const (
	Accepted Share = "accepted" // of the sent messages: accepted
	Prompt   Share = "prompt"   // of the sent messages: accepted within the target latency
	Ended    Share = "ended"    // of the accepted messages: completed
	Started  Share = "started"  // of the accepted messages: first run started within the target
	Called   Share = "called"   // of the call-backs of completed messages: made
	Useful   Share = "useful"   // of the attempts: succeeded, with an answer that the carrier received
	Local    Share = "local"    // of the runs at services with many workers: in the zone of their carrier
)

var shares = []Share{Accepted, Prompt, Ended, Started, Called, Useful, Local}

// Targets of the routes: target-latency-ms and target-start-ms in the documents.
const (
	targetAck   = 120 * time.Millisecond
	targetStart = time.Second
)

// counter counts how many of a total match a condition.
type counter struct{ total, matching int }

func (c *counter) count(holds bool) {
	c.total++
	if holds {
		c.matching++
	}
}

// share returns the matching part, or 1 if nothing was counted.
func (c *counter) share() float64 {
	if c.total == 0 {
		return 1
	}
	return float64(c.matching) / float64(c.total)
}

// shares returns the shares of a run.
func (c *checker) shares() map[Share]float64 {
	var accepted, prompt, ended, started, called counter
	for _, r := range c.records {
		isAccepted := r.status == statusAccepted
		accepted.count(isAccepted)
		prompt.count(isAccepted && r.answeredAt-r.sentAt <= targetAck)
		if !isAccepted {
			continue
		}
		ended.count(r.completed())
		started.count(len(r.runs) > 0 && r.runs[0].at <= r.sentAt+r.delay+targetStart)
		if r.callback && r.completed() {
			called.count(r.callbackCount > 0)
		}
	}
	return map[Share]float64{Accepted: accepted.share(), Prompt: prompt.share(), Ended: ended.share(), Started: started.share(),
		Called: called.share(), Useful: c.usefulAttempts.share(), Local: c.localRuns.share()}
}
