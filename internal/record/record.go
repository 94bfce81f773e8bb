// Package record decides which messages are written to the durable store of record, and when: which step waits
// until its record is durable, what is written in the background, and how messages that a crash left open are
// settled. Apart from Recover it does no I/O and reads no clock; callers pass the time.
//
// A Record describes one message, its attempts and its final answer. A Journal follows the messages of a
// dispatcher: Filter passes or holds the commands of the dispatcher's core, Batch returns the records to write,
// and WriteDone takes the result of the write and releases held commands. A Breaker detects a slow or lost store.
// Store is the interface to the storage; the subpackages sqlite and postgres implement it. Recover settles at
// start what earlier starts left open.
package record

import (
	"fmt"

	"granitewing/logic"
)

// Policy says when the records of a class must be durable.
type Policy uint8

// The policies of a class, from the weakest to the strongest.
const (
	Off          Policy = iota // nothing is written
	Behind                     // written in batches afterwards; records may be lost, but the loss is bounded and counted
	BeforeAnswer               // durable before the client is answered
	BeforeSend                 // durable before each attempt is sent, and before the client is answered
)

// policyNames are the policies as the settings and the records spell them.
var policyNames = [...]string{"off", "behind", "told", "before"}

func (p Policy) String() string { return policyNames[p] }

// ParsePolicy parses the name of a policy and reports whether it is known.
func ParsePolicy(name string) (Policy, bool) {
	for i, n := range policyNames {
		if n == name {
			return Policy(i), true
		}
	}
	return Off, false
}

// Verdict is the final answer that the client received.
type Verdict uint8

// The verdicts.
const (
	Open    Verdict = iota // not answered yet
	Served                 // Record.Content is the result
	Refused                // the client may safely try again
	Failed                 // nothing is promised; Record.MayHaveRun reports whether a host may have run the message
	HungUp                 // the client disconnected before it was answered
)

var verdictNames = [...]string{"open", "served", "refused", "failed", "hung-up"}

func (v Verdict) String() string { return verdictNames[v] }

// ParseVerdict parses the name of a verdict and reports whether it is known.
func ParseVerdict(name string) (Verdict, bool) {
	for i, n := range verdictNames {
		if n == name {
			return Verdict(i), true
		}
	}
	return Open, false
}

// Attempt is one try to run a message at a host. Times are Unix microseconds.
type Attempt struct {
	Host    string `json:"host"`
	Sent    int64  `json:"sent"` // when the attempt was decided
	Started bool   `json:"started,omitempty"`
	Ended   int64  `json:"ended,omitempty"` // 0 = not known to have ended
	Result  Result `json:"result,omitempty"`
}

// Result is how an attempt ended.
type Result string

// The results of an attempt. After any result except Returned, Unreached and Unsent the host may have run the
// message.
const (
	Unknown         Result = ""
	ResultServed    Result = "served"
	Errored         Result = "failed"
	Returned        Result = "returned"  // the host returned the message and never ran it
	Unreached       Result = "unreached" // no connection; the host never ran it
	Unsent          Result = "unsent"    // decided and cancelled before a byte was written
	ResultBroken    Result = "broken"
	ResultTimedOut  Result = "timed-out"
	ResultCancelled Result = "called-off"
	ResultUnusable  Result = "unusable"
)

// ResultOf converts a result of the decision module.
func ResultOf(r logic.Result) Result {
	switch r {
	case logic.Served:
		return ResultServed
	case logic.Failed:
		return Errored
	case logic.Refused:
		return Returned
	case logic.TimedOut:
		return ResultTimedOut
	case logic.ConnectFailed:
		return Unreached
	case logic.Broken:
		return ResultBroken
	case logic.Cancelled:
		return ResultCancelled
	case logic.NotSent:
		return Unsent
	}
	return ResultUnusable
}

// NeverRan reports whether the result guarantees that the host has not run the message.
func (r Result) NeverRan() bool { return r == Returned || r == Unreached || r == Unsent }

// Record is everything that is stored about a message. It is always written whole. A later step replaces an
// earlier one and never the other way round, so a write whose acknowledgement was lost may be repeated.
type Record struct {
	ID       uint64    `json:"id"`   // unique within the instance: epoch in the upper 32 bits, a counter in the lower 32
	Step     uint32    `json:"step"` // grows with each change
	Name     string    `json:"name"` // chosen by the client, header X-Txn
	Key      string    `json:"key,omitempty"`
	Class    string    `json:"class"`
	Policy   string    `json:"policy"`
	Taken    int64     `json:"taken"` // when the message was accepted; Unix microseconds, like the other times
	Deadline int64     `json:"deadline"`
	Attempts []Attempt `json:"attempts,omitempty"`
	Verdict  Verdict   `json:"-"`
	Answered int64     `json:"answered,omitempty"`
	Content  []byte    `json:"content,omitempty"` // result of a served message
	Note     string    `json:"note,omitempty"`    // remark for operators: settled at start, store too slow
}

// MayHaveRun reports whether any host may have run the message.
func (r *Record) MayHaveRun() bool {
	for _, a := range r.Attempts {
		if !a.Result.NeverRan() {
			return true
		}
	}
	return false
}

// MaxAttempts is the largest number of attempts in a record. The platform's rules allow 3 sent attempts, which Verify
// checks, and further ones may have been cancelled before they were sent. Verify expects attempts one after another: of
// a message with several open attempts (copies, parts of a gang) a record can fail it.
const MaxAttempts = 16

// Verify checks the invariants of a record and returns an error that describes the first violation.
func (r *Record) Verify() error {
	violation := func(format string, args ...any) error {
		return fmt.Errorf("record %d (%s): %s", r.ID, r.Name, fmt.Sprintf(format, args...))
	}
	switch {
	case r.Step == 0:
		return violation("has no step")
	case r.Class == "":
		return violation("has no class")
	case len(r.Attempts) > MaxAttempts:
		return violation("has %d attempts", len(r.Attempts))
	case r.Verdict == Open && r.Answered != 0:
		return violation("is open but was answered at %d", r.Answered)
	case r.Verdict != Open && r.Answered == 0:
		return violation("is %s but has no answer time", r.Verdict)
	case r.Verdict != Served && len(r.Content) > 0:
		return violation("is %s but has a result", r.Verdict)
	}
	sent, done := 0, 0
	for i, a := range r.Attempts {
		switch {
		case a.Host == "":
			return violation("attempt %d names no host", i+1)
		case a.Ended != 0 && a.Ended < a.Sent:
			return violation("attempt %d ended before it was sent", i+1)
		case a.Result != Unknown && a.Ended == 0:
			return violation("attempt %d has a result but no end", i+1)
		case a.Result == Unknown && i < len(r.Attempts)-1:
			return violation("attempt %d was followed by another but has no end", i+1)
		case a.Started && a.Result.NeverRan():
			return violation("attempt %d started but is recorded as never run", i+1)
		}
		if a.Result != Unsent {
			sent++
		}
		if a.Result == ResultServed {
			done++
		}
		if i > 0 && a.Result != Unsent && r.Policy == BeforeSend.String() && !r.Attempts[i-1].Result.NeverRan() {
			return violation("attempt %d followed one that may have run (%s)", i+1, r.Attempts[i-1].Result)
		}
	}
	switch {
	case sent > 3:
		return violation("was sent %d times", sent)
	case r.Verdict == Served && done == 0 && r.Note == "":
		return violation("is served but no host served it")
	case r.Verdict == Refused && r.Policy == BeforeSend.String() && r.MayHaveRun():
		return violation("was refused but may have run")
	}
	return nil
}

// SettleAfterCrash closes a record that a crash left open: as failed if the message may have run, as refused if it
// never ran. The message is never sent again. now is Unix microseconds. SettleAfterCrash reports whether it changed
// the record; settling twice changes nothing.
func (r *Record) SettleAfterCrash(now int64) bool {
	if r.Verdict != Open {
		return false
	}
	r.Step++
	r.Answered = max(now, r.Taken) // the clock may have been set back in the meantime
	if r.MayHaveRun() {
		r.Verdict, r.Note = Failed, "settled at start: sent and unanswered when the dispatcher ended; it may have run"
	} else {
		r.Verdict, r.Note = Refused, "settled at start: never sent when the dispatcher ended; it did not run"
	}
	return true
}
