package soak

import (
	"fmt"
	"sync"
	"time"
)

// Limits of the rules.
const (
	excuseWindow  = 4 * time.Second // an unplanned fault excuses its possible effects for this long after it ends
	maxFailures   = 4               // failed runs after which a message of any route is a dead letter
	budgetFactor  = 3               // a message may fail up to this multiple of maxFailures and run again
	rateWindow    = 5 * time.Second // over which the rate of the rate-limited service is counted
	rateTolerance = 1.1             // factor over the configured rate that is still allowed
	rateSlack     = 5               // additional arrivals that are allowed in a window
	maxViolations = 200             // that are kept with their text
)

// record is what clients, workers and the receiver observed of a message.
type record struct {
	id            string
	key           string
	ordered       bool // its route is in order throughout
	sent          time.Time
	accepted      time.Time // when the client had read the 202 response; zero before
	refused       bool
	runs          int
	failures      int
	completed     time.Time
	stamps        map[string]bool
	wantsCallback bool // the receiver must get a callback
	callbacks     int  // number of callbacks that the receiver accepted
}

// checker records what clients, workers, the receiver and the operator observe, and which rules it violates. The rules:
//
//	LOST     a message, response or callback is lost
//	MIXED    a response, stamp or callback does not belong to the message
//	REFUSED  a refused message runs
//	UNASKED  a message runs that was not sent, or with another key or body
//	TWICE    a message runs again after a success
//	BUDGET   a message runs after far more failures than its route allows
//	ORDER    a message runs before an earlier one with the same key has completed
//	CEILING  the rate-limited service receives more messages than its rate
//	CONFIG   a configuration change is refused or lost
//
// TWICE, BUDGET and lost responses count only while no unplanned fault excuses them.
type checker struct {
	mutex            sync.Mutex
	records          map[string]*record
	openByKey        map[string][]*record // ordered messages that were sent and have neither completed nor been refused
	excusedUntil     time.Time            // end of the window in which unplanned faults excuse violations
	endpointArrivals []time.Time          // recent arrivals at the rate-limited service
	violations       []string
	counts           map[string]int // violations by rule
	started          time.Time
	repeatedRuns     int
	lastStamp        int
}

func newChecker() *checker {
	return &checker{records: map[string]*record{}, openByKey: map[string][]*record{}, counts: map[string]int{}, started: time.Now()}
}

// addViolation records a violation; the mutex must be held.
func (c *checker) addViolation(rule, text string) {
	c.counts[rule]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%.3f s %s: %s", time.Since(c.started).Seconds(), rule, text))
	}
}

// violation records a violation that another part of the test has found.
func (c *checker) violation(rule, text string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addViolation(rule, text)
}

// excuse notes an unplanned fault of the given duration.
func (c *checker) excuse(duration time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if until := time.Now().Add(duration + excuseWindow); until.After(c.excusedUntil) {
		c.excusedUntil = until
	}
}

// strict reports the same as isStrict, for callers that hold the mutex.
func (c *checker) strict() bool { return time.Now().After(c.excusedUntil) }

// isStrict reports whether no recent unplanned fault excuses violations.
func (c *checker) isStrict() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.strict()
}

// sent records a message before its client sends it.
func (c *checker) sent(id, key string, ordered, callback bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := &record{id: id, key: key, ordered: ordered, wantsCallback: callback, sent: time.Now(), stamps: map[string]bool{}}
	c.records[id] = r
	if ordered {
		c.openByKey[key] = append(c.openByKey[key], r)
	}
}

// answered records the status of a client's response.
func (c *checker) answered(id string, status int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.records[id]
	switch status {
	case 202:
		r.accepted = time.Now()
	case 429, 503, 408, 421:
		r.refused = true
		if r.runs > 0 {
			c.addViolation("REFUSED", id+" was refused and has already run")
		}
		c.removeOpen(r)
	}
}

// runStarted records that a worker starts to run a message, and checks that it may.
func (c *checker) runStarted(id, key, service, body string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.records[id]
	if r == nil || key != r.key || body != bodyOf(id) {
		c.addViolation("UNASKED", id+" runs but was not sent with this key and body")
		return
	}
	if r.refused {
		c.addViolation("REFUSED", id+" was refused and runs")
	}
	if len(r.stamps) > 0 {
		c.repeatedRuns++
		if c.strict() {
			c.addViolation("TWICE", id+" runs again after a success")
		}
	}
	if r.failures > budgetFactor*maxFailures && c.strict() {
		c.addViolation("BUDGET", fmt.Sprintf("%s runs again after %d failures", id, r.failures))
	}
	r.runs++
	if service == serviceRateLimited {
		c.endpointArrived()
	}
	c.checkOrder(r)
}

// checkOrder checks that all messages of the same key that were accepted before this one was sent have completed.
func (c *checker) checkOrder(r *record) {
	if !r.ordered || !r.completed.IsZero() {
		return
	}
	for _, other := range c.openByKey[r.key] {
		if other != r && other.completed.IsZero() && !other.accepted.IsZero() && other.accepted.Before(r.sent) {
			c.addViolation("ORDER", fmt.Sprintf("%s starts before %s has completed", r.id, other.id))
		}
	}
}

// endpointArrived checks the rate of the rate-limited service over a sliding window.
func (c *checker) endpointArrived() {
	now := time.Now()
	c.endpointArrivals = append(c.endpointArrivals, now)
	for now.Sub(c.endpointArrivals[0]) > rateWindow {
		c.endpointArrivals = c.endpointArrivals[1:]
	}
	rate := float64(endpointRate)
	if limit := int(rate*rateWindow.Seconds()*rateTolerance) + rateSlack; len(c.endpointArrivals) > limit {
		c.addViolation("CEILING", fmt.Sprintf("%d arrivals at the endpoint within %s", len(c.endpointArrivals), rateWindow))
	}
}

// succeeded records a successful run and returns a stamp that is unique to it.
func (c *checker) succeeded(id string) (stamp string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastStamp++
	stamp = fmt.Sprintf("stamp-%s-%d", id, c.lastStamp)
	if r := c.records[id]; r != nil {
		r.stamps[stamp] = true
		c.complete(r)
	}
	return stamp
}

// failed records a failed run. After maxFailures of them the message has completed as a dead letter.
func (c *checker) failed(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r := c.records[id]; r != nil {
		if r.failures++; r.failures >= maxFailures {
			c.complete(r)
		}
	}
}

func (c *checker) complete(r *record) {
	if r.completed.IsZero() {
		r.completed = time.Now()
		c.removeOpen(r)
	}
}

// removeOpen removes a message from the open ones of its key, which checkOrder compares others with.
func (c *checker) removeOpen(r *record) {
	open := c.openByKey[r.key]
	for i, other := range open {
		if other == r {
			c.openByKey[r.key] = append(open[:i:i], open[i+1:]...)
			return
		}
	}
}

// stateReported checks the state that a carrier reports for a message.
func (c *checker) stateReported(id, phase, stamp string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.records[id]
	switch {
	case phase == "succeeded" && !r.stamps[stamp]:
		c.addViolation("MIXED", id+" is reported as succeeded with a stamp that no run returned")
	case phase == "dead_letter" && r.completed.IsZero():
		c.addViolation("LOST", id+" is reported as a dead letter and has not completed")
	}
}

// callbackReceived checks a callback that the receiver accepted.
func (c *checker) callbackReceived(body callbackBody) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.records[body.ID]
	switch {
	case r == nil || !r.wantsCallback:
		c.addViolation("MIXED", body.ID+" has a callback that was not requested")
		return
	case body.Phase == "succeeded" && !r.stamps[body.Stamp]:
		c.addViolation("MIXED", body.ID+" has a callback with a stamp that no run returned")
	case body.Phase != "succeeded" && r.completed.IsZero():
		c.addViolation("MIXED", body.ID+" has a callback with phase "+body.Phase+" and has not completed")
	}
	r.callbacks++
}

// missingCallbacks returns the ids of accepted and completed messages whose required callback has not arrived.
func (c *checker) missingCallbacks() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found []string
	for id, r := range c.records {
		if r.wantsCallback && !r.accepted.IsZero() && !r.completed.IsZero() && r.callbacks == 0 {
			found = append(found, id)
		}
	}
	return found
}

// countCallbacks counts all callbacks, and those that were not the first of their message. The mutex must be held.
func (c *checker) countCallbacks() (received, repeated int) {
	for _, r := range c.records {
		received += r.callbacks
		repeated += max(0, r.callbacks-1)
	}
	return received, repeated
}

// accepted returns the ids of all accepted messages, and of those among them that have not completed.
func (c *checker) accepted() (all, open []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id, r := range c.records {
		if r.accepted.IsZero() {
			continue
		}
		all = append(all, id)
		if r.completed.IsZero() {
			open = append(open, id)
		}
	}
	return all, open
}

// summary returns the figures of a run for the log.
func (c *checker) summary() string {
	all, open := c.accepted()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	received, repeated := c.countCallbacks()
	return fmt.Sprintf("%d sent, %d accepted, %d of them open, %d runs after a success, %d callbacks, %d of them repeated, violations %v", len(c.records), len(all),
		len(open), c.repeatedRuns, received, repeated, c.counts)
}

// bodyOf returns the body of a message, which contains its id.
func bodyOf(id string) string { return "body of " + id }
