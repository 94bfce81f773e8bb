// Package record decides what of each message is written to the store of record, and when: which step waits until it is
// durable, what is written behind, and what becomes of messages that a crash left open. It does no I/O and reads no clock.
package record

import (
	"fmt"

	"granitewing/logic"
)

// Policy says when the records of a class must be durable.
type Policy uint8

// The policies of a class.
const (
	Off    Policy = iota // nothing is written
	Behind               // written in batches after the fact; what is lost is bounded and counted
	Told                 // durable before the client is told
	Before               // durable before each sending, and before the client is told
)

var policyNames = [...]string{"off", "behind", "told", "before"}

func (p Policy) String() string { return policyNames[p] }

// ParsePolicy reads a policy's name.
func ParsePolicy(name string) (Policy, bool) {
	for i, n := range policyNames {
		if n == name {
			return Policy(i), true
		}
	}
	return Off, false
}

// Verdict is the final answer that a client got.
type Verdict uint8

// The verdicts.
const (
	Open    Verdict = iota // not answered
	Served                 // Content is the result
	Refused                // trying again is harmless
	Failed                 // nothing is promised; MayHaveRun tells more
	HungUp                 // the client left before an answer
)

var verdictNames = [...]string{"open", "served", "refused", "failed", "hung-up"}

func (v Verdict) String() string { return verdictNames[v] }

// ParseVerdict reads a verdict's name.
func ParseVerdict(name string) (Verdict, bool) {
	for i, n := range verdictNames {
		if n == name {
			return Verdict(i), true
		}
	}
	return Open, false
}

// Attempt is one sending of a message. Times are Unix microseconds.
type Attempt struct {
	Host    string `json:"host"`
	Sent    int64  `json:"sent"` // when it was decided
	Started bool   `json:"started,omitempty"`
	Ended   int64  `json:"ended,omitempty"` // 0 = not known to have
	Result  Result `json:"result,omitempty"`
}

// Result is how an attempt ended.
type Result string

// The results of an attempt; all but Returned, Unreached and Unsent may have run.
const (
	Unknown   Result = ""
	Done      Result = "served"
	Errored   Result = "failed"
	Returned  Result = "returned"  // the host never ran it
	Unreached Result = "unreached" // no connection; it never ran
	Unsent    Result = "unsent"    // decided and called off before a byte was written
	Broke     Result = "broken"
	Late      Result = "timed-out"
	CalledOff Result = "called-off"
	NoGood    Result = "unusable"
)

// ResultOf translates the decision module's word.
func ResultOf(r logic.Result) Result {
	switch r {
	case logic.Served:
		return Done
	case logic.Failed:
		return Errored
	case logic.Refused:
		return Returned
	case logic.TimedOut:
		return Late
	case logic.ConnectFailed:
		return Unreached
	case logic.Broken:
		return Broke
	case logic.Cancelled:
		return CalledOff
	case logic.Moot:
		return Unsent
	}
	return NoGood
}

// NeverRan tells whether a result promises that the host has not run the message.
func (r Result) NeverRan() bool { return r == Returned || r == Unreached || r == Unsent }

// Record is all that is kept of a message. It is written whole; a later step replaces an earlier one, and an earlier one
// never a later, so that a write whose answer was lost may be repeated.
type Record struct {
	ID       uint64    `json:"id"`   // within the instance: its epoch in the upper half, a count below
	Step     uint32    `json:"step"` // grows with each change
	Name     string    `json:"name"` // the client's own, X-Txn
	Key      string    `json:"key,omitempty"`
	Class    string    `json:"class"`
	Policy   string    `json:"policy"`
	Taken    int64     `json:"taken"` // Unix microseconds
	Deadline int64     `json:"deadline"`
	Attempts []Attempt `json:"attempts,omitempty"`
	Verdict  Verdict   `json:"-"`
	Answered int64     `json:"answered,omitempty"`
	Content  []byte    `json:"content,omitempty"` // of a served message
	Note     string    `json:"note,omitempty"`    // what an operator should know: settled at start, store too slow
}

// MayHaveRun tells whether any host may have run the message.
func (r *Record) MayHaveRun() bool {
	for _, a := range r.Attempts {
		if !a.Result.NeverRan() {
			return true
		}
	}
	return false
}

// MaxAttempts is the most sendings that a record may hold; the rules allow 3, and one more may have been called off.
const MaxAttempts = 16

// Verify checks what holds of every record, and names the first thing that does not.
func (r *Record) Verify() error {
	bad := func(format string, args ...any) error {
		return fmt.Errorf("record %d (%s): %s", r.ID, r.Name, fmt.Sprintf(format, args...))
	}
	switch {
	case r.Step == 0:
		return bad("has no step")
	case r.Class == "":
		return bad("has no class")
	case len(r.Attempts) > MaxAttempts:
		return bad("has %d attempts", len(r.Attempts))
	case r.Verdict == Open && r.Answered != 0:
		return bad("is open and was answered at %d", r.Answered)
	case r.Verdict != Open && r.Answered == 0:
		return bad("is %s and has no time of its answer", r.Verdict)
	case r.Verdict != Served && len(r.Content) > 0:
		return bad("is %s and has a result", r.Verdict)
	}
	sent, done := 0, 0
	for i, a := range r.Attempts {
		switch {
		case a.Host == "":
			return bad("attempt %d names no host", i+1)
		case a.Ended != 0 && a.Ended < a.Sent:
			return bad("attempt %d ended before it was sent", i+1)
		case a.Result != Unknown && a.Ended == 0:
			return bad("attempt %d has a result and no end", i+1)
		case a.Result == Unknown && i < len(r.Attempts)-1:
			return bad("attempt %d was followed by another and has no end", i+1)
		case a.Started && a.Result.NeverRan():
			return bad("attempt %d started and is said never to have run", i+1)
		}
		if a.Result != Unsent {
			sent++
		}
		if a.Result == Done {
			done++
		}
		if i > 0 && a.Result != Unsent && r.Policy == Before.String() && !r.Attempts[i-1].Result.NeverRan() {
			return bad("attempt %d followed one that may have run (%s)", i+1, r.Attempts[i-1].Result)
		}
	}
	switch {
	case sent > 3:
		return bad("was sent %d times", sent)
	case r.Verdict == Served && done == 0 && r.Note == "":
		return bad("is served and no host served it")
	case r.Verdict == Refused && r.Policy == Before.String() && r.MayHaveRun():
		return bad("was refused as if it had not run, and may have")
	}
	return nil
}

// Settle closes a record that a crash left open, as its class's rules ask: what may have run failed, what never ran was
// refused. It is never sent again. Settling twice changes nothing.
func (r *Record) Settle(now int64) bool {
	if r.Verdict != Open {
		return false
	}
	r.Step++
	r.Answered = max(now, r.Taken) // the clock may have been set back meanwhile
	if r.MayHaveRun() {
		r.Verdict, r.Note = Failed, "settled at start: sent and unanswered when the dispatcher ended; it may have run"
	} else {
		r.Verdict, r.Note = Refused, "settled at start: never sent when the dispatcher ended; it did not run"
	}
	return true
}
