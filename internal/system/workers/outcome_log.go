package workers

import (
	"sync"
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/role/carrier"
)

// unknownReason is the reason why the outcome of an attempt is unknown.
type unknownReason string

// The reasons, as they are logged.
const (
	connectionBroken  unknownReason = "connection failed before a response"
	responseTruncated unknownReason = "response truncated"
	responseTimeout   unknownReason = "no response before the deadline"
	ambiguousStatus   unknownReason = "response states neither success nor failure"
)

// unmatchedResponse is the reason that is logged for a discarded response.
const unmatchedResponse unknownReason = "request ID does not match the request in flight on the connection"

// logInterval is the minimum time between two log records of a reason. Events in between are counted.
const logInterval = time.Second

// outcomeLog counts and logs unknown outcomes and discarded responses, from which an operator can tell why messages run
// again.
type outcomeLog struct {
	mutex  sync.Mutex
	logged map[unknownReason]time.Time
	counts map[unknownReason]int
}

func newOutcomeLog() *outcomeLog {
	return &outcomeLog{logged: map[unknownReason]time.Time{}, counts: map[unknownReason]int{}}
}

// count counts an event and returns the number of events since the last log record of its reason, or 0 if that was
// logged less than logInterval ago.
func (l *outcomeLog) count(reason unknownReason) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts[reason]++
	now := time.Now()
	if last, logged := l.logged[reason]; logged && now.Sub(last) < logInterval {
		return 0
	}
	l.logged[reason] = now
	count := l.counts[reason]
	l.counts[reason] = 0
	return count
}

// unknownOutcome logs an attempt that may or may not have run.
func (l *outcomeLog) unknownOutcome(reason unknownReason, attempt carrier.Attempt) {
	if count := l.count(reason); count > 0 {
		log.WithFields(log.Fields{"reason": string(reason), "attempts": count, "message": attempt.Message.ID,
			"worker": attempt.Address}).Info("outcome of an attempt is unknown")
	}
}

// discardedResponse logs a response that no request waits for.
func (l *outcomeLog) discardedResponse(address string) {
	if count := l.count(unmatchedResponse); count > 0 {
		log.WithFields(log.Fields{"reason": string(unmatchedResponse), "answers": count, "worker": address}).Info("discarded a response")
	}
}
