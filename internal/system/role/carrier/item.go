package carrier

import (
	"time"

	"granitewing/internal/system/message"
)

// item is a message that this carrier is responsible for.
type item struct {
	message      *message.Message
	unit         *unit
	holders      []string // disks that hold it, or may hold it
	accepted     time.Duration
	due          time.Duration
	failures     int // attempts that a worker answered as failed
	attempts     int
	lastWorker   string // worker of the latest attempt
	takenOver    bool   // taken over from another carrier
	takenOverDue bool   // it was due when it was taken over
	queued       bool
	inFlight     bool
	completed    bool
	fetchingBody bool
	idleSince    time.Duration // when it was added or, if later, its latest attempt ended

	queue     *queue    // the queue that it joined last; it waits there while queued is set
	lateHeap  *lateHeap // heap of late messages that contains it, or nil
	lateIndex int       // position in that heap, counted from 1
	backlog   *backlog  // backlog in which it is counted, or nil
	headBytes int64     // memory for which it counts, without its body
}
