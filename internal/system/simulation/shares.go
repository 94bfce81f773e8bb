package simulation

import "time"

// ShareName names a proportion of a run's messages, call-backs or attempts that went well, from 0 to 1.
type ShareName string

// The shares, each with its whole.
const (
	Accepted       ShareName = "accepted" // of the sent messages: accepted
	AcceptedInTime ShareName = "prompt"   // of the sent messages: accepted within the target latency
	Completed      ShareName = "ended"    // of the accepted messages: completed
	StartedInTime  ShareName = "started"  // of the accepted messages: first run started within the target
	CallbacksMade  ShareName = "called"   // of the call-backs of completed messages: made
	UsefulAttempts ShareName = "useful"   // of the attempts: succeeded, with an answer that the carrier received
	LocalRuns      ShareName = "local"    // of the runs at services with many workers: in the zone of their carrier
)

var shares = []ShareName{Accepted, AcceptedInTime, Completed, StartedInTime, CallbacksMade, UsefulAttempts, LocalRuns}

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
func (c *checker) shares() map[ShareName]float64 {
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
	return map[ShareName]float64{Accepted: accepted.share(), AcceptedInTime: prompt.share(), Completed: ended.share(), StartedInTime: started.share(),
		CallbacksMade: called.share(), UsefulAttempts: c.usefulAttempts.share(), LocalRuns: c.localRuns.share()}
}
