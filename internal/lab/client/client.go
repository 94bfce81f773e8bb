// Package client models the behaviour of clients: when they retry, how long they wait, and when they disconnect.
// It does no I/O and reads no clock, so the same model runs on real sockets and in virtual time.
//
// Behaviour holds the parameters; Behaviour.New draws a Job, whose Begin and Again drive its tries.
package client

import (
	"math/rand/v2"
	"time"
)

// Behaviour holds the parameters of the client model.
type Behaviour struct {
	Retries           int           `sexp:"retries" min:"0" max:"100"`          // maximum number of retries
	Wait              time.Duration `sexp:"wait" min:"0"`                       // before a retry without Retry-After
	FollowRetryAfter  float64       `sexp:"follow-retry-after" min:"0" max:"1"` // share of clients that follow a refusal's Retry-After
	LongestRetryAfter time.Duration `sexp:"longest-retry-after" min:"0"`        // a longer Retry-After is ignored
	MarkResent        bool          `sexp:"mark-resent"`                        // retries carry the header X-Resent
	RetryFailed       bool          `sexp:"retry-failed"`                       // also retry after failures, unless the class is unsafe
	Impatient         float64       `sexp:"impatient" min:"0" max:"1"`          // share of clients that disconnect early
	Patience          time.Duration `sexp:"patience" min:"0"`                   // time after which they do
	Share             float64       `sexp:"connections" min:"0.0001" max:"1"`   // maximum share of a dispatcher's descriptors held by clients
}

// SetDefaults implements settings.Defaulter.
func (b *Behaviour) SetDefaults() {
	*b = Behaviour{Retries: 3, FollowRetryAfter: 0.5, LongestRetryAfter: 2 * time.Second, MarkResent: true, RetryFailed: true, Patience: time.Second, Share: 0.33}
}

// Result is the result of a try for its client.
type Result uint8

// The results of a try.
const (
	Served  Result = iota
	Refused        // 429 or 503: the client may safely try again
	Failed         // any other answer
	Broken         // the connection ended before a complete answer
	Silent         // no answer before the client's timeout
	HungUp         // the client disconnected early
	Unsent         // no connection was established, or none was free in time
)

var resultNames = [...]string{"served", "refused", "failed", "broken", "silent", "hung-up", "unsent"}

func (r Result) String() string { return resultNames[r] }

// Results is the number of results.
const Results = len(resultNames)

// Job is one job of a client, with all its tries.
type Job struct {
	Unsafe        bool          // must not run twice
	Keyed         bool          // repeats are dropped by key
	GiveUp        time.Duration // timeout of a try
	tries         int
	followsAdvice bool
	hangsUpEarly  bool
	behaviour     Behaviour
}

// New starts a job and draws the properties of its client from rng. giveUp is the timeout of a try.
func (b Behaviour) New(unsafe, keyed bool, giveUp time.Duration, rng *rand.Rand) *Job {
	return &Job{Unsafe: unsafe, Keyed: keyed, GiveUp: giveUp, followsAdvice: rng.Float64() < b.FollowRetryAfter, hangsUpEarly: rng.Float64() < b.Impatient, behaviour: b}
}

// Tries returns the number of tries begun.
func (j *Job) Tries() int { return j.tries }

// Begin starts a try. It returns the time that the client waits for the answer, whether the client then
// disconnects early, although it declared a longer wait, and whether the try is marked as a repeat.
func (j *Job) Begin() (wait time.Duration, leaves, marked bool) {
	marked = j.tries > 0 && j.behaviour.MarkResent
	j.tries++
	if j.hangsUpEarly && j.behaviour.Patience < j.GiveUp {
		return j.behaviour.Patience, true, marked
	}
	return j.GiveUp, false, marked
}

// Again reports whether the client tries again after a result, and after what wait; after is the Retry-After of a
// refusal, 0 if absent. A job that must not run twice is tried again only after a refusal, which guarantees that
// it has not run, or if it was never sent.
func (j *Job) Again(r Result, after time.Duration) (wait time.Duration, again bool) {
	if j.tries > j.behaviour.Retries {
		return 0, false
	}
	switch r {
	case Served, HungUp:
		return 0, false
	case Refused:
		if after > 0 && j.followsAdvice && after <= j.behaviour.LongestRetryAfter {
			return after, true
		}
		return j.behaviour.Wait, true
	case Unsent:
		return j.behaviour.Wait, true
	}
	return j.behaviour.Wait, j.behaviour.RetryFailed && !j.Unsafe
}
