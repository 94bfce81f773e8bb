package carrier

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"granitewing/internal/system/message"
)

// Limits of call-backs.
const (
	callbackTimeout     = 2 * time.Second
	callbackBackoff     = 150 * time.Millisecond
	maxCallbackBackoff  = 2 * time.Second
	receiverConnections = 40 // of all carriers together, to one receiver
	maxRejections       = 3  // answers with status 400 after which a call-back is abandoned
	maxReceivers        = 1024
)

// callback is a message's outcome that has to be sent to its call-back URL.
type callback struct {
	unit       *unit
	url        string
	outcome    message.Outcome
	holders    []string
	queuedAt   time.Duration // when this carrier queued it
	attempts   int
	rejections int
}

// bytes returns the memory of a call-back, which counts as memory of waiting messages.
func (c *callback) bytes() int64 {
	const bookkeeping = 256
	return int64(bookkeeping + len(c.url) + len(c.outcome.ID) + len(c.outcome.Stamp))
}

// receiver is the queue of call-backs for one host.
type receiver struct {
	waiting       []*callback
	backingOff    int // failed call-backs that wait out a pause before they are queued again
	inFlight      int
	failures      int // consecutive
	pausedUntil   time.Duration
	wakeScheduled bool
}

// idle reports whether no call-back is queued, in flight or pausing for the receiver.
func (r *receiver) idle() bool { return r.inFlight == 0 && r.backingOff == 0 && len(r.waiting) == 0 }

// CallbackAbandonedError reports a call-back that was abandoned because its receiver never accepted it.
type CallbackAbandonedError struct {
	ID     string // of the message
	Tries  int
	Status int   // of the last answer; 0 if there was none
	Err    error // of the last attempt
}

func (e *CallbackAbandonedError) Error() string {
	return fmt.Sprintf("message %s: %d attempts, last status %d, last error: %v", e.ID, e.Tries, e.Status, e.Err)
}

func (e *CallbackAbandonedError) Unwrap() error { return e.Err }

type callbackBody struct {
	ID    string        `json:"id"`
	Phase message.Phase `json:"phase"`
	Stamp string        `json:"stamp"`
}

// queueCallback queues an outcome for its call-back URL. A call-back that is queued already, because its unit was
// listed again, is reassigned to the given unit.
func (c *Core) queueCallback(u *unit, address string, outcome message.Outcome, holders []string) {
	if waiting := c.callbacks[outcome.ID]; waiting != nil {
		waiting.unit.unrecorded--
		u.unrecorded++
		waiting.unit, waiting.holders = u, holders
		return
	}
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" {
		c.stores.recordCallback(u, holders, outcome.ID)
		return
	}
	r := c.receivers[parsed.Host]
	if r == nil {
		if len(c.receivers) >= maxReceivers {
			c.removeIdleReceivers()
		}
		r = &receiver{}
		c.receivers[parsed.Host] = r
	}
	u.unrecorded++
	call := &callback{unit: u, url: address, outcome: outcome, holders: holders, queuedAt: c.env.Now()}
	c.callbacks[outcome.ID] = call
	c.waitingBytes += call.bytes()
	r.waiting = append(r.waiting, call)
	c.sendCallbacks(r)
}

func (c *Core) removeIdleReceivers() {
	for host, r := range c.receivers {
		if r.idle() {
			delete(c.receivers, host)
		}
	}
}

func (c *Core) hasCallbacks() bool {
	for _, r := range c.receivers {
		if !r.idle() {
			return true
		}
	}
	return false
}

// sendCallbacks sends queued call-backs to a receiver over a few connections, or one at a time while the receiver
// fails.
func (c *Core) sendCallbacks(r *receiver) {
	now := c.env.Now()
	if now < r.pausedUntil {
		c.wakeReceiver(r, r.pausedUntil-now)
		return
	}
	limit := max(1, receiverConnections/max(1, c.session.View().Carriers()))
	if r.failures > 0 {
		limit = 1
	}
	for len(r.waiting) > 0 && r.inFlight < limit {
		call := r.waiting[0]
		r.waiting[0] = nil
		r.waiting = r.waiting[1:]
		r.inFlight++
		c.postCallback(r, call)
	}
}

func (c *Core) wakeReceiver(r *receiver, wait time.Duration) {
	if r.wakeScheduled {
		return
	}
	r.wakeScheduled = true
	c.env.After(wait, func() {
		r.wakeScheduled = false
		c.sendCallbacks(r)
	})
}

func (c *Core) postCallback(r *receiver, call *callback) {
	body, err := json.Marshal(&callbackBody{ID: call.outcome.ID, Phase: call.outcome.Phase, Stamp: call.outcome.Stamp})
	if err != nil {
		return
	}
	call.attempts++
	// With more carriers than a receiver accepts connections, no connection may be kept idle.
	keep := c.session.View().Carriers() <= receiverConnections
	c.env.Post(call.url, body, keep, callbackTimeout, func(status int, err error) {
		r.inFlight--
		c.callbackAnswered(r, call, status, err)
		c.sendCallbacks(r)
	})
}

// callbackAnswered handles a receiver's answer. A call-back that was not accepted pauses on its own, so that it
// does not delay others.
func (c *Core) callbackAnswered(r *receiver, call *callback, status int, err error) {
	const accepted, malformed = 200, 400
	if status == malformed {
		call.rejections++
	}
	switch {
	case err == nil && status == accepted:
		r.failures = 0
		c.figures.Callbacks++
		c.finishCallback(call)
	case call.rejections >= maxRejections || c.env.Now()-call.queuedAt > message.OwedCallbackFactor*c.settings.Bounds.Status:
		r.failures = 0
		c.env.LogWarning("call-back abandoned", &CallbackAbandonedError{ID: call.outcome.ID, Tries: call.attempts, Status: status, Err: err})
		c.finishCallback(call)
	default:
		r.failures++
		if r.failures > 1 {
			r.pausedUntil = c.env.Now() + c.callbackBackoff(r.failures-1)
		}
		c.retryCallback(r, call)
	}
}

// finishCallback has the stores record that no call-back is due any more.
func (c *Core) finishCallback(call *callback) {
	delete(c.callbacks, call.outcome.ID)
	call.unit.unrecorded--
	c.waitingBytes -= call.bytes()
	c.stores.recordCallback(call.unit, call.holders, call.outcome.ID)
}

// callbackBackoff returns a random pause that grows with the number of failures.
func (c *Core) callbackBackoff(failures int) time.Duration {
	pause := min(callbackBackoff<<min(failures-1, 5), maxCallbackBackoff)
	return pause/2 + time.Duration(c.env.Random(int64(pause)))
}

// retryCallback queues a failed call-back again after a pause.
func (c *Core) retryCallback(r *receiver, call *callback) {
	r.backingOff++
	c.env.After(c.callbackBackoff(call.attempts), func() {
		r.backingOff--
		r.waiting = append(r.waiting, call)
		c.sendCallbacks(r)
	})
}
