package carrier

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"granitewing/internal/system/message"
)

// Bounds of call-backs.
const (
	callbackTimeout     = 2 * time.Second
	callbackPause       = 150 * time.Millisecond
	callbackPauseMost   = 2 * time.Second
	receiverConnections = 40 // of the fleet, to one receiver
	maxRefusals         = 3  // answers 400 that end a call-back
	maxReceivers        = 1024
)

// callback is one end that is owed to a URL.
type callback struct {
	unit     *unit
	url      string
	end      message.End
	holders  []string
	since    time.Duration // when it came to be owed here
	tries    int
	refusals int
}

// bytes is the memory that a call-back takes, as what waits is counted.
func (c *callback) bytes() int64 {
	const bookkeeping = 256
	return int64(bookkeeping + len(c.url) + len(c.end.ID) + len(c.end.Stamp))
}

// receiver is the queue of one receiver, by its host.
type receiver struct {
	waiting  []*callback
	later    int // call-backs that failed and pause before they wait again
	open     int
	failures int // in a row
	pausedTo time.Duration
	waking   bool
}

// idle tells whether nothing is owed to the receiver.
func (r *receiver) idle() bool { return r.open == 0 && r.later == 0 && len(r.waiting) == 0 }

// GivenUpError tells of a call-back that no receiver took.
type GivenUpError struct {
	ID     string // of the message
	Tries  int
	Status int   // of the latest answer; 0 where there was none
	Err    error // of the latest try
}

func (e *GivenUpError) Error() string {
	return fmt.Sprintf("message %s: %d tries, latest status %d, %v", e.ID, e.Tries, e.Status, e.Err)
}

func (e *GivenUpError) Unwrap() error { return e.Err }

type callbackForm struct {
	ID    string        `json:"id"`
	Phase message.Phase `json:"phase"`
	Stamp string        `json:"stamp"`
}

// tell queues an end for its call-back URL. One that waits already, as its unit is listed again, is the unit's from now on.
func (c *Core) tell(u *unit, address string, end message.End, holders []string) {
	if waiting := c.owed[end.ID]; waiting != nil {
		waiting.unit.unrecorded--
		u.unrecorded++
		waiting.unit, waiting.holders = u, holders
		return
	}
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" {
		c.stores.recordCallback(u, holders, end.ID)
		return
	}
	r := c.receivers[parsed.Host]
	if r == nil {
		if len(c.receivers) >= maxReceivers {
			c.forgetReceivers()
		}
		r = &receiver{}
		c.receivers[parsed.Host] = r
	}
	u.unrecorded++
	call := &callback{unit: u, url: address, end: end, holders: holders, since: c.env.Now()}
	c.owed[end.ID] = call
	c.waitingBytes += call.bytes()
	r.waiting = append(r.waiting, call)
	c.callOut(r)
}

func (c *Core) forgetReceivers() {
	for host, r := range c.receivers {
		if r.idle() {
			delete(c.receivers, host)
		}
	}
}

func (c *Core) callbacksWait() bool {
	for _, r := range c.receivers {
		if !r.idle() {
			return true
		}
	}
	return false
}

// callOut sends what waits for a receiver over its few connections; one alone while it fails.
func (c *Core) callOut(r *receiver) {
	now := c.env.Now()
	if now < r.pausedTo {
		c.wakeReceiver(r, r.pausedTo-now)
		return
	}
	most := max(1, receiverConnections/max(1, c.session.View().Carriers()))
	if r.failures > 0 {
		most = 1
	}
	for len(r.waiting) > 0 && r.open < most {
		next := r.waiting[0]
		r.waiting[0] = nil
		r.waiting = r.waiting[1:]
		r.open++
		c.post(r, next)
	}
}

func (c *Core) wakeReceiver(r *receiver, wait time.Duration) {
	if r.waking {
		return
	}
	r.waking = true
	c.env.After(wait, func() {
		r.waking = false
		c.callOut(r)
	})
}

func (c *Core) post(r *receiver, call *callback) {
	body, err := json.Marshal(&callbackForm{ID: call.end.ID, Phase: call.end.Phase, Stamp: call.end.Stamp})
	if err != nil {
		return
	}
	call.tries++
	// Where the fleet has more carriers than a receiver takes connections, none may rest.
	keep := c.session.View().Carriers() <= receiverConnections
	c.env.Post(call.url, body, keep, callbackTimeout, func(status int, err error) {
		r.open--
		c.posted(r, call, status, err)
		c.callOut(r)
	})
}

// posted takes an answer of a receiver. What it did not take pauses by itself, so that it holds up no other.
func (c *Core) posted(r *receiver, call *callback, status int, err error) {
	const taken, malformed = 200, 400
	if status == malformed {
		call.refusals++
	}
	switch {
	case err == nil && status == taken:
		r.failures = 0
		c.figures.Callbacks++
		c.callbackOver(call)
	case call.refusals >= maxRefusals || c.env.Now()-call.since > message.OwedTimes*c.settings.Bounds.Status:
		r.failures = 0
		c.env.Report("a call-back is given up", &GivenUpError{ID: call.end.ID, Tries: call.tries, Status: status, Err: err})
		c.callbackOver(call)
	default:
		r.failures++
		if r.failures > 1 {
			r.pausedTo = c.env.Now() + c.callbackPause(r.failures-1)
		}
		c.callLater(r, call)
	}
}

// callbackOver has the stores record that nothing is owed any more.
func (c *Core) callbackOver(call *callback) {
	delete(c.owed, call.end.ID)
	call.unit.unrecorded--
	c.waitingBytes -= call.bytes()
	c.stores.recordCallback(call.unit, call.holders, call.end.ID)
}

// callbackPause is a pause after so many failures, by lot.
func (c *Core) callbackPause(failures int) time.Duration {
	pause := min(callbackPause<<min(failures-1, 5), callbackPauseMost)
	return pause/2 + time.Duration(c.env.Random(int64(pause)))
}

// callLater has a call-back that failed wait again after a pause.
func (c *Core) callLater(r *receiver, call *callback) {
	r.later++
	c.env.After(c.callbackPause(call.tries), func() {
		r.later--
		r.waiting = append(r.waiting, call)
		c.callOut(r)
	})
}
