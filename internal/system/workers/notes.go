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
	answerBroken    unknownReason = "the connection broke before an answer"
	answerCutOff    unknownReason = "the answer ended early"
	answerSilent    unknownReason = "no answer came in time"
	answerUndecided unknownReason = "the answer tells neither success nor failure"
)

// lateAnswers counts answers that were passed over.
const lateAnswers unknownReason = "it is to a message that is not out on its connection"

// noteInterval is how often each reason is logged at most; what comes between is counted.
const noteInterval = time.Second

// notes counts and logs what an operator needs to tell why messages run again.
type notes struct {
	mutex  sync.Mutex
	logged map[unknownReason]time.Time
	counts map[unknownReason]int
}

func newNotes() *notes {
	return &notes{logged: map[unknownReason]time.Time{}, counts: map[unknownReason]int{}}
}

// due counts one of a reason, and gives how many there were since the last that was logged; 0 where one was logged just before.
func (n *notes) due(reason unknownReason) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.counts[reason]++
	now := time.Now()
	if last, logged := n.logged[reason]; logged && now.Sub(last) < noteInterval {
		return 0
	}
	n.logged[reason] = now
	count := n.counts[reason]
	n.counts[reason] = 0
	return count
}

// unknown notes an attempt of which it is not known whether it ran.
func (n *notes) unknown(reason unknownReason, attempt carrier.Attempt) {
	if count := n.due(reason); count > 0 {
		log.WithFields(log.Fields{"reason": string(reason), "attempts": count, "message": attempt.Message.ID,
			"worker": attempt.Address}).Info("it is not known whether an attempt ran")
	}
}

// passedOver notes an answer that no message waits for.
func (n *notes) passedOver(address string) {
	if count := n.due(lateAnswers); count > 0 {
		log.WithFields(log.Fields{"reason": string(lateAnswers), "answers": count, "worker": address}).Info("an answer was passed over")
	}
}
