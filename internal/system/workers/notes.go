package workers

import (
	"sync"
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/role/carrier"
)

// unknownReason is why it is not known whether an attempt has run.
type unknownReason string

// The reasons.
const (
	connectionBroken  unknownReason = "the connection broke before an answer"
	responseTruncated unknownReason = "the answer ended early"
	responseTimeout   unknownReason = "no answer came in time"
	ambiguousStatus   unknownReason = "the answer tells neither success nor failure"
)

// lateAnswers counts answers that were passed over.
const unmatchedResponse unknownReason = "it is to a message that is not out on its connection"

// noteInterval is how often each reason is logged at most; what comes between is counted.
const logInterval = time.Second

// notes counts and logs what an operator needs to tell why messages run again.
type outcomeLog struct {
	mutex  sync.Mutex
	logged map[unknownReason]time.Time
	counts map[unknownReason]int
}

func newOutcomeLog() *outcomeLog {
	return &outcomeLog{logged: map[unknownReason]time.Time{}, counts: map[unknownReason]int{}}
}

// due counts one of a reason, and gives how many there were since the last that was logged; 0 where one was logged just before.
func (n *outcomeLog) count(reason unknownReason) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.counts[reason]++
	now := time.Now()
	if last, logged := n.logged[reason]; logged && now.Sub(last) < logInterval {
		return 0
	}
	n.logged[reason] = now
	count := n.counts[reason]
	n.counts[reason] = 0
	return count
}

// unknown notes an attempt of which it is not known whether it ran.
func (n *outcomeLog) unknownOutcome(reason unknownReason, attempt carrier.Attempt) {
	if count := n.count(reason); count > 0 {
		log.WithFields(log.Fields{"reason": string(reason), "attempts": count, "message": attempt.Message.ID,
			"worker": attempt.Address}).Info("it is not known whether an attempt ran")
	}
}

// passedOver notes an answer that no message waits for.
func (n *outcomeLog) discardedResponse(address string) {
	if count := n.count(unmatchedResponse); count > 0 {
		log.WithFields(log.Fields{"reason": string(unmatchedResponse), "answers": count, "worker": address}).Info("an answer was passed over")
	}
}
