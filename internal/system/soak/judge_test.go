package soak

import (
	"fmt"
	"sync"
	"time"
)

// Windows of the rules.
const (
	contact      = 4 * time.Second // a trouble excuses what it may have brought about for so long
	failuresMost = 4               // that a route allows
	budgetTimes  = 3
	ceilingSpan  = 5 * time.Second
	ceilingOver  = 1.1
	ceilingSlack = 5
	maxBroken    = 200
)

// record is what the outside saw of a message.
type record struct {
	id       string
	key      string
	sent     time.Time
	accepted time.Time // when its client had read the 202; zero before
	refused  bool
	runs     int
	failures int
	ended    time.Time
	stamps   map[string]bool
	callback bool // its end is owed to the receiver
	told     int  // call-backs that the receiver took
}

// judge keeps what clients, workers and the operator saw, and says which rules that breaks.
type judge struct {
	mutex     sync.Mutex
	records   map[string]*record
	byKey     map[string][]*record // those that were sent and have not ended
	trouble   time.Time            // until when a trouble excuses
	endpoint  []time.Time          // arrivals at the service with a rate
	broken    []string
	counts    map[string]int // of broken rules, by rule
	started   time.Time
	repeated  int
	allStamps int
}

func newJudge() *judge {
	return &judge{records: map[string]*record{}, byKey: map[string][]*record{}, counts: map[string]int{}, started: time.Now()}
}

func (j *judge) breakRule(rule, what string) {
	j.counts[rule]++
	if len(j.broken) < maxBroken {
		j.broken = append(j.broken, fmt.Sprintf("%.3f s %s: %s", time.Since(j.started).Seconds(), rule, what))
	}
}

// breaks notes a broken rule.
func (j *judge) breaks(rule, what string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.breakRule(rule, what)
}

// unplanned notes that something unplanned happens, and goes on for a while.
func (j *judge) unplanned(lasts time.Duration) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if until := time.Now().Add(lasts + contact); until.After(j.trouble) {
		j.trouble = until
	}
}

func (j *judge) calm() bool { return time.Now().After(j.trouble) }

// inCalm tells whether nothing unplanned has happened lately.
func (j *judge) inCalm() bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.calm()
}

func (j *judge) sent(id, key string, callback bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r := &record{id: id, key: key, callback: callback, sent: time.Now(), stamps: map[string]bool{}}
	j.records[id] = r
	if key != "" {
		j.byKey[key] = append(j.byKey[key], r)
	}
}

func (j *judge) answered(id string, status int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r := j.records[id]
	switch status {
	case 202:
		r.accepted = time.Now()
	case 429, 503, 408, 421:
		r.refused = true
		if r.runs > 0 {
			j.breakRule("REFUSED", id+" was refused and has run")
		}
		j.forget(r)
	}
}

func (j *judge) began(id, key, service, body string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r := j.records[id]
	if r == nil || key != r.key || body != bodyOf(id) {
		j.breakRule("UNASKED", id+" runs and was not sent so")
		return
	}
	if r.refused {
		j.breakRule("REFUSED", id+" was refused and runs")
	}
	if len(r.stamps) > 0 {
		j.repeated++
		if j.calm() {
			j.breakRule("TWICE", id+" runs again after a success")
		}
	}
	if r.failures > budgetTimes*failuresMost && j.calm() {
		j.breakRule("BUDGET", fmt.Sprintf("%s runs again after %d failures", id, r.failures))
	}
	r.runs++
	if service == serviceSlow {
		j.arrived()
	}
	j.checkOrder(r)
}

// checkOrder sees that all messages of the key that were accepted before this one was sent have ended.
func (j *judge) checkOrder(r *record) {
	if r.key == "" || !r.ended.IsZero() {
		return
	}
	for _, other := range j.byKey[r.key] {
		if other != r && other.ended.IsZero() && !other.accepted.IsZero() && other.accepted.Before(r.sent) {
			j.breakRule("ORDER", fmt.Sprintf("%s begins before %s has ended", r.id, other.id))
		}
	}
}

func (j *judge) arrived() {
	now := time.Now()
	j.endpoint = append(j.endpoint, now)
	for now.Sub(j.endpoint[0]) > ceilingSpan {
		j.endpoint = j.endpoint[1:]
	}
	rate := float64(endpointRate)
	if most := int(rate*ceilingSpan.Seconds()*ceilingOver) + ceilingSlack; len(j.endpoint) > most {
		j.breakRule("CEILING", fmt.Sprintf("%d arrivals at the endpoint within %s", len(j.endpoint), ceilingSpan))
	}
}

func (j *judge) succeeded(id string) (stamp string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.allStamps++
	stamp = fmt.Sprintf("stamp-%s-%d", id, j.allStamps)
	if r := j.records[id]; r != nil {
		r.stamps[stamp] = true
		j.end(r)
	}
	return stamp
}

func (j *judge) failed(id string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if r := j.records[id]; r != nil {
		if r.failures++; r.failures >= failuresMost {
			j.end(r)
		}
	}
}

func (j *judge) end(r *record) {
	if r.ended.IsZero() {
		r.ended = time.Now()
		j.forget(r)
	}
}

// forget takes a message out of its key's, which others are held against.
func (j *judge) forget(r *record) {
	open := j.byKey[r.key]
	for i, other := range open {
		if other == r {
			j.byKey[r.key] = append(open[:i:i], open[i+1:]...)
			return
		}
	}
}

// told judges a state that a carrier tells of a message.
func (j *judge) told(id, phase, stamp string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r := j.records[id]
	switch {
	case phase == "succeeded" && !r.stamps[stamp]:
		j.breakRule("MIXED", id+" is told as succeeded with a stamp of no run")
	case phase == "dead_letter" && r.ended.IsZero():
		j.breakRule("LOST", id+" is told as dead and has not ended")
	}
}

// calledBack judges a call-back.
func (j *judge) calledBack(form callbackForm) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r := j.records[form.ID]
	switch {
	case r == nil || !r.callback:
		j.breakRule("MIXED", form.ID+" is called back and asked for none")
		return
	case form.Phase == "succeeded" && !r.stamps[form.Stamp]:
		j.breakRule("MIXED", form.ID+" is called back with a stamp of no run")
	case form.Phase != "succeeded" && r.ended.IsZero():
		j.breakRule("MIXED", form.ID+" is called back as "+form.Phase+" and has not ended")
	}
	r.told++
}

// untold gives the ids of what was accepted and has ended, and whose call-back the receiver has not got.
func (j *judge) untold() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var found []string
	for id, r := range j.records {
		if r.callback && !r.accepted.IsZero() && !r.ended.IsZero() && r.told == 0 {
			found = append(found, id)
		}
	}
	return found
}

// calls counts the call-backs that came, and those that were not the first of their message.
func (j *judge) calls() (came, again int) {
	for _, r := range j.records {
		came += r.told
		again += max(0, r.told-1)
	}
	return came, again
}

// accepted gives the ids of what was accepted, and of these the ones that have not ended.
func (j *judge) accepted() (all, open []string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for id, r := range j.records {
		if r.accepted.IsZero() {
			continue
		}
		all = append(all, id)
		if r.ended.IsZero() {
			open = append(open, id)
		}
	}
	return all, open
}

// summary gives the figures of a run.
func (j *judge) summary() string {
	all, open := j.accepted()
	j.mutex.Lock()
	defer j.mutex.Unlock()
	came, again := j.calls()
	return fmt.Sprintf("%d sent, %d accepted, %d of them open, %d runs repeated, %d call-backs and %d of them again, broken %v", len(j.records), len(all),
		len(open), j.repeated, came, again, j.counts)
}

func bodyOf(id string) string { return "body of " + id }
