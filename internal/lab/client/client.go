// Package client is how clients behave: when they try again, how long they wait, when they hang up. It does no I/O and
// reads no clock, so that real sockets and virtual time see the same clients.
package client

import (
	"math/rand/v2"
	"time"
)

// Behaviour is what clients do.
type Behaviour struct {
	Retries   int           `sexp:"retries" min:"0" max:"100"`          // beyond the first try
	Wait      time.Duration `sexp:"wait" min:"0"`                       // before a retry without advice
	Follow    float64       `sexp:"follow-retry-after" min:"0" max:"1"` // share that follows the advice of a refusal
	Longest   time.Duration `sexp:"longest-retry-after" min:"0"`        // advice beyond it is not followed
	Mark      bool          `sexp:"mark-resent"`                        // retries carry X-Resent
	Failed    bool          `sexp:"retry-failed"`                       // also after failures, where the class is not unsafe
	Impatient float64       `sexp:"impatient" min:"0" max:"1"`          // share that hangs up early
	Patience  time.Duration `sexp:"patience" min:"0"`                   // after so long
	Share     float64       `sexp:"connections" min:"0.0001" max:"1"`   // of a dispatcher's descriptors that clients hold at most
}

// SetDefaults implements settings.Defaulter.
func (b *Behaviour) SetDefaults() {
	*b = Behaviour{Retries: 3, Follow: 0.5, Longest: 2 * time.Second, Mark: true, Failed: true, Patience: time.Second, Share: 0.33}
}

// Result is how a try ended for its client.
type Result uint8

// The results of a try.
const (
	Served  Result = iota
	Refused        // 429 or 503: trying again is harmless
	Failed         // any other answer
	Broken         // the connection ended without a whole answer
	Silent         // no answer before the client gave up
	HungUp         // the client left early
	Unsent         // no connection came up, or none was free in time
)

var resultNames = [...]string{"served", "refused", "failed", "broken", "silent", "hung-up", "unsent"}

func (r Result) String() string { return resultNames[r] }

// Results is how many results there are.
const Results = len(resultNames)

// Job is one client's wish, with all its tries.
type Job struct {
	Unsafe  bool          // must not run twice
	Keyed   bool          // its repeats are dropped by key
	GiveUp  time.Duration // that a try is waited for
	tries   int
	follows bool
	leaves  bool
	b       Behaviour
}

// New begins a job; what its client is like is drawn now.
func (b Behaviour) New(unsafe, keyed bool, giveUp time.Duration, rng *rand.Rand) *Job {
	return &Job{Unsafe: unsafe, Keyed: keyed, GiveUp: giveUp, follows: rng.Float64() < b.Follow, leaves: rng.Float64() < b.Impatient, b: b}
}

// Tries counts those begun.
func (j *Job) Tries() int { return j.tries }

// Begin begins a try: how long its client waits, whether it then hangs up though it told a longer wait, and whether
// the try is marked as a repeat.
func (j *Job) Begin() (wait time.Duration, leaves, marked bool) {
	marked = j.tries > 0 && j.b.Mark
	j.tries++
	if j.leaves && j.b.Patience < j.GiveUp {
		return j.b.Patience, true, marked
	}
	return j.GiveUp, false, marked
}

// Again tells whether the client tries once more after a result, and after what wait. A job that must not run twice is
// tried again only after a refusal, which promises that it has not run, or where it was never sent.
func (j *Job) Again(r Result, after time.Duration) (wait time.Duration, again bool) {
	if j.tries > j.b.Retries {
		return 0, false
	}
	switch r {
	case Served, HungUp:
		return 0, false
	case Refused:
		if after > 0 && j.follows && after <= j.b.Longest {
			return after, true
		}
		return j.b.Wait, true
	case Unsent:
		return j.b.Wait, true
	}
	return j.b.Wait, j.b.Failed && !j.Unsafe
}
