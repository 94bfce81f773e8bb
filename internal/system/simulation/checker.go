package simulation

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"granitewing/internal/system/message"
)

// run is one start of a message at a worker.
type run struct{ at time.Duration }

// messageRecord is what was observed of a message from outside the system.
type messageRecord struct {
	id            string
	key           string
	ordered       bool // the route of its kind of traffic is ordered
	service       string
	request       request // as its client sent it
	sentAt        time.Duration
	delay         time.Duration
	callback      bool // a receiver must be notified of its outcome
	answeredAt    time.Duration
	status        int // HTTP status of the answer, 0 if there is none
	runs          []run
	failures      int
	completedAt   time.Duration // 0 while it has not completed
	stamps        map[string]bool
	activeRuns    int  // runs in progress
	successRead   bool // a carrier has received an answer of success
	callbackCount int
}

func (r *messageRecord) completed() bool { return r.completedAt > 0 }

// checker checks the rules by what clients, workers, receivers and the operator observe. The rules are broken if
//
//	BUDGET   a message runs again after more failures than budgetFactor times the retries of its route
//	CEILING  a service with a rate limit receives more messages than its rate
//	CONFIG   the configuration that is used or read contradicts the operator's acknowledged changes
//	CONTROL  a control group has too few voters with a disk for the tolerance that it reports, or no leader at the end
//	COPIES   a message is on too few disks at the end to survive every tolerated loss
//	DRAIN    a carrier is still ready long after SIGTERM; no drain of a disk is meant
//	EARLY    a message runs before its delay has passed
//	LOST     an accepted message, a call-back, a configuration or a retirement is lost, or does not proceed
//	MIXED    a state, stamp or call-back does not belong to the message
//	ORDER    a message starts before an earlier one with the same key has completed
//	REFUSED  a message that was refused runs, or is refused after it ran
//	REST     no message is accepted for a long time, without an unplanned fault that excuses it
//	ROUTE    a message runs at a service that no configuration routes it to
//	TWICE    a message runs again after a success, or while another run of it is in progress
//	UNASKED  a message runs that was never sent, or with a request other than the sender's
type checker struct {
	records        map[string]*messageRecord
	recordsByKey   map[string][]*messageRecord // of the kinds of traffic whose routes are ordered
	maxFailures    int
	retention      time.Duration // of all messages
	localRuns      counter       // runs in the zone of their carrier
	usefulAttempts counter       // attempts that succeeded and whose answer was received
	violations     []string
	disruptions    []disruption // not planned
	// versions holds the acknowledged configuration by version.
	versions      map[uint64]string
	maxAcked      uint64 // the highest version that was acknowledged
	acks          []acknowledgement
	sentDocuments map[string]bool // valid documents that were sent
	// lastCallback is when the latest call-back was received.
	lastCallback time.Duration
	majorityLost map[int]bool             // control groups that have lost the disks of a majority of their voters
	sentRoutes   []sentRouting            // of all documents that were sent, in order of time
	droppedAt    map[string]time.Duration // by kind of traffic: when a document without a route for it was last sent
}

// Tolerances and time windows of the rules.
const (
	// contactTime is how long a disruption still excuses broken rules after it ended: the system has to recover in it.
	contactTime  = 4 * time.Second
	earlyMargin  = 100 * time.Millisecond
	rateWindow   = 5 * time.Second
	rateOverage  = 1.1
	rateSlack    = 5
	budgetFactor = 3 // a message may fail up to this many times the retries of its route
)

func newChecker(retries int, keep time.Duration) *checker {
	return &checker{records: map[string]*messageRecord{}, recordsByKey: map[string][]*messageRecord{}, maxFailures: retries, retention: keep, versions: map[uint64]string{}, sentDocuments: map[string]bool{}, majorityLost: map[int]bool{}, droppedAt: map[string]time.Duration{}}
}

func (c *checker) reportViolation(at time.Duration, rule, what string) {
	c.violations = append(c.violations, fmt.Sprintf("%.3f s %s: %s", at.Seconds(), rule, what))
}

// disruption is a period of an unplanned fault.
type disruption struct{ from, until time.Duration }

func (c *checker) addDisruption(now, length time.Duration) {
	c.disruptions = append(c.disruptions, disruption{from: now, until: now + length})
}

// undisturbed reports whether no unplanned disruption is in progress or ended less than contactTime before a moment.
func (c *checker) undisturbed(now time.Duration) bool {
	for _, t := range c.disruptions {
		if now >= t.from && now-t.until < contactTime {
			return false
		}
	}
	return true
}

// inDisruption reports whether an unplanned disruption is in progress.
func (c *checker) inDisruption(now time.Duration) bool {
	for _, t := range c.disruptions {
		if now >= t.from && now < t.until {
			return true
		}
	}
	return false
}

// acknowledgement is when a version was acknowledged, or a higher one was before it.
type acknowledgement struct {
	at      time.Duration
	version uint64
}

func (c *checker) versionAcknowledged(now time.Duration, version uint64) {
	c.maxAcked = max(c.maxAcked, version)
	c.acks = append(c.acks, acknowledgement{at: now, version: c.maxAcked})
}

// ackedBefore returns the highest version that was acknowledged up to a time.
func (c *checker) ackedBefore(at time.Duration) uint64 {
	version := uint64(0)
	for _, ack := range c.acks {
		if ack.at <= at {
			version = ack.version
		}
	}
	return version
}

// leadersInformed reports whether no unplanned disruption began or ended within leaderNoticeTime before a moment, so
// that leaders have noticed all of them.
func (c *checker) leadersInformed(now time.Duration) bool {
	for _, t := range c.disruptions {
		if now >= t.from && now-t.from <= leaderNoticeTime || now >= t.until && now-t.until <= leaderNoticeTime {
			return false
		}
	}
	return true
}

func (c *checker) messageSent(now time.Duration, r *messageRecord) {
	r.sentAt = now
	r.stamps = map[string]bool{}
	c.records[r.id] = r
	if r.ordered {
		c.recordsByKey[r.key] = append(c.recordsByKey[r.key], r)
	}
}

const (
	statusAccepted = 202
	statusRefused  = 503
)

func (c *checker) messageAnswered(now time.Duration, id string, status int) {
	r := c.records[id]
	r.status, r.answeredAt = status, now
	if status == statusRefused && len(r.runs) > 0 {
		c.reportViolation(now, "REFUSED", id+" was refused after it had run")
	}
}

// runStarted checks the rules for a run that starts at a worker.
func (c *checker) runStarted(now time.Duration, w *worker, delivered request) {
	r := c.records[delivered.id]
	if r == nil {
		c.reportViolation(now, "UNASKED", delivered.id+" was never sent")
		return
	}
	if r.status == statusRefused {
		c.reportViolation(now, "REFUSED", r.id+" runs although it was refused")
	}
	c.checkRoute(now, r, w.service.name)
	if now < r.sentAt+r.delay-earlyMargin {
		c.reportViolation(now, "EARLY", r.id+" runs before its delay has passed")
	}
	if delivered != r.request {
		c.reportViolation(now, "UNASKED", fmt.Sprintf("%s runs with the request %+v, its client sent %+v", r.id, delivered, r.request))
	}
	if r.failures > budgetFactor*c.maxFailures && c.undisturbed(now) {
		c.reportViolation(now, "BUDGET", r.id+" runs again after "+fmt.Sprint(r.failures)+" failures")
	}
	if r.successRead && c.undisturbed(now) {
		c.reportViolation(now, "TWICE", r.id+" runs again after a success")
	}
	if r.activeRuns > 0 && c.undisturbed(now) {
		c.reportViolation(now, "TWICE", r.id+" runs while another run of it is in progress")
	}
	r.activeRuns++
	c.checkOrder(now, r)
	r.runs = append(r.runs, run{at: now})
}

// checkOrder checks that all messages of the same key that were accepted before this one was sent have completed. It
// compares only messages that were accepted on an ordered route.
func (c *checker) checkOrder(now time.Duration, r *messageRecord) {
	if !r.ordered || r.completed() || c.maybeFallback(now, r) {
		return
	}
	for _, other := range c.recordsByKey[r.key] {
		if other == r || other.status != statusAccepted || other.answeredAt >= r.sentAt || other.completed() || c.routeDropped(other) || c.maybeFallback(now, other) {
			continue
		}
		c.reportViolation(now, "ORDER", fmt.Sprintf("%s starts before %s has completed", r.id, other.id))
	}
}

func (c *checker) runSucceeded(now time.Duration, id, stamp string) {
	r := c.records[id]
	r.stamps[stamp] = true
	r.activeRuns--
	if !r.completed() {
		r.completedAt = now
	}
}

func (c *checker) runFailed(now time.Duration, id string) {
	r := c.records[id]
	r.failures++
	r.activeRuns--
	if r.failures >= c.maxFailures && !r.completed() {
		r.completedAt = now
	}
}

// readSuccess records that a carrier has received an answer of success for a message.
func (c *checker) readSuccess(id string) { c.records[id].successRead = true }

// runAborted ends a run that has no result.
func (c *checker) runAborted(id string) { c.records[id].activeRuns-- }

// retentionPassed reports whether a message's retention has passed. The message completes when it does.
func (c *checker) retentionPassed(now time.Duration, r *messageRecord) bool {
	return now >= r.sentAt+r.delay+c.retention
}

// callbackReceived checks a call-back that a receiver was sent.
func (c *checker) callbackReceived(now time.Duration, body []byte) {
	var form struct{ ID, Phase, Stamp string }
	if json.Unmarshal(body, &form) != nil || c.records[form.ID] == nil {
		c.reportViolation(0, "MIXED", "a call-back is for an unknown message: "+string(body))
		return
	}
	r := c.records[form.ID]
	r.callbackCount++
	c.lastCallback = now
	if form.Phase == string(message.Succeeded) && !r.stamps[form.Stamp] {
		c.reportViolation(0, "MIXED", form.ID+" has a call-back with a stamp that no run returned")
	}
	if form.Phase == string(message.DeadLetter) && !r.completed() && !c.retentionPassed(now, r) && !c.routeDropped(r) {
		c.reportViolation(0, "MIXED", form.ID+" has a call-back as a dead letter but has not completed")
	}
}

// checkCeiling checks the arrivals at a service with a rate limit.
func (c *checker) checkCeiling(model *serviceModel) {
	if model.rate <= 0 {
		return
	}
	limit := int(model.rate*rateWindow.Seconds()*rateOverage) + rateSlack
	first := 0
	for i, at := range model.arrivals {
		for at-model.arrivals[first] > rateWindow {
			first++
		}
		if i-first+1 > limit {
			c.reportViolation(at, "CEILING", fmt.Sprintf("%d arrivals at %s within %s", i-first+1, model.name, rateWindow))
			return
		}
	}
}

// accepted returns the accepted messages, sorted by id.
func (c *checker) accepted() []*messageRecord {
	var accepted []*messageRecord
	for _, r := range c.records {
		if r.status == statusAccepted {
			accepted = append(accepted, r)
		}
	}
	sort.Slice(accepted, func(i, j int) bool { return accepted[i].id < accepted[j].id })
	return accepted
}
