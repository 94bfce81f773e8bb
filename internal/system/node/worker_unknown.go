package node

import (
	"sync"
	"time"

	"github.com/apex/log"

	"granitewing/internal/system/role/carrier"
)

// unknownReason is why a carrier does not know whether an attempt has run.
type unknownReason string

// The reasons.
const (
	answerForeign   unknownReason = "the answer is to another message"
	answerBroken    unknownReason = "the connection broke before an answer"
	answerCutOff    unknownReason = "the answer ended early"
	answerSilent    unknownReason = "no answer came in time"
	answerUndecided unknownReason = "the answer tells neither success nor failure"
)

// unknownInterval is how often each reason is logged at most; what comes between is counted.
const unknownInterval = time.Second

// unknownAttempts counts and logs attempts of which it is not known whether they ran.
type unknownAttempts struct {
	mutex  sync.Mutex
	logged map[unknownReason]time.Time
	counts map[unknownReason]int
}

func newUnknownAttempts() *unknownAttempts {
	return &unknownAttempts{logged: map[unknownReason]time.Time{}, counts: map[unknownReason]int{}}
}

// note counts an attempt, and logs it unless one of its reason was logged just before.
func (u *unknownAttempts) note(reason unknownReason, attempt carrier.Attempt, took time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.counts[reason]++
	now := time.Now()
	if last, logged := u.logged[reason]; logged && now.Sub(last) < unknownInterval {
		return
	}
	u.logged[reason] = now
	log.WithFields(log.Fields{"reason": string(reason), "attempts": u.counts[reason], "message": attempt.Message.ID,
		"worker": attempt.Address, "took": took.String()}).Info("it is not known whether an attempt ran")
	u.counts[reason] = 0
}
