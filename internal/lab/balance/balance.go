// Package balance measures how evenly the hosts of a fleet are used, from the hosts' own state: capacity that is idle
// while work waits at other hosts, herds of attempts, the busiest hosts, and the outcomes of attempts.
//
// A driver of package model creates a Watch by New, calls Came for each attempt and Look after each change of a host,
// and gets the Report at the end. The package reads no clock; times are in microseconds.
package balance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"granitewing/internal/lab/model"
)

// A herd is: within herdWindow microseconds, attempts of herdMinDispatchers or more dispatchers at a host that has
// waiting work.
const (
	herdWindow         = 100_000
	herdMinDispatchers = 5
)

// Report holds the figures of a run.
type Report struct {
	Idle       float64      `json:"idle_while_work_waits"` // share of the time of ready, warm hosts
	HostTime   float64      `json:"host_s"`                // that time in host-seconds
	Waiting    float64      `json:"waiting_mean"`          // jobs waiting at hosts, mean over time
	Herds      int          `json:"herds"`
	Herded     float64      `json:"herd_share"`         // share of attempts that were part of a herd
	Peak       float64      `json:"peak_to_mean"`       // attempts at a host in a second: maximum to mean
	Busiest    float64      `json:"busiest_tenth"`      // share of the tenth of hosts with most attempts by speed; 0.1 is even
	Counts     model.Counts `json:"attempts"`           // over all hosts
	FetchShare float64      `json:"fetched_of_begun"`   // share of started attempts that had to fetch their data set
	VainShare  float64      `json:"vain_share_of_work"` // share of work for attempts that did not run to their end
}

// Watch collects the figures. It is not safe for concurrent use.
type Watch struct {
	hosts []host
	// Numbers of hosts with free slots and no queue, and of waiting jobs, by size: one slot, and more than one.
	idleHosts   [2]int
	waitingJobs [2]int
	readyHosts  int   // hosts that are reachable and warm
	lastUpdate  int64 // time of the latest update
	end         int64 // time after which nothing is counted
	// Integrals over time in microseconds: hosts idle while work waits, ready hosts, waiting jobs.
	idleTime, readyTime, waitingTime float64
	attempts, herded                 int
	herds                            int
}

// host is the latest state of a host and its attempts so far.
type host struct {
	capacity  float64
	ready     bool
	idle      [2]int
	waiting   [2]int
	recent    []arrival // attempts within herdWindow, the oldest first
	perSecond []int     // attempts by second
	counts    model.Counts
	attempts  int
}

// arrival is an attempt that reached a host.
type arrival struct {
	at         int64
	dispatcher int
	herded     bool
}

// New returns a Watch of machines, which are referred to by their index. Time after until, the arrival of the last job,
// is not counted, as the fleet is then idle for lack of work.
func New(machines []model.Machine, until int64) *Watch {
	w := &Watch{hosts: make([]host, len(machines)), end: until}
	for i, m := range machines {
		w.hosts[i].capacity = m.Cores * m.Speed
	}
	return w
}

// RecordAttempt records an attempt of a dispatcher at host i. Call it before the host gets the attempt.
func (w *Watch) RecordAttempt(now int64, i int, m *model.Host, dispatcher int) {
	h := &w.hosts[i]
	w.attempts++
	h.attempts++
	for s := int(max(now, 0) / 1_000_000); len(h.perSecond) <= s; {
		h.perSecond = append(h.perSecond, 0)
	}
	h.perSecond[len(h.perSecond)-1]++
	h.recent = slices.DeleteFunc(h.recent, func(a arrival) bool { return a.at <= now-herdWindow })
	h.recent = append(h.recent, arrival{at: now, dispatcher: dispatcher})
	if one, more := m.Queued(); one+more == 0 {
		return
	}
	seen := map[int]bool{}
	old := false
	for _, a := range h.recent {
		seen[a.dispatcher] = true
		old = old || a.herded
	}
	if len(seen) < herdMinDispatchers {
		return
	}
	if !old {
		w.herds++
	}
	for k := range h.recent {
		if !h.recent[k].herded {
			h.recent[k].herded = true
			w.herded++
		}
	}
}

// RecordState records the state of host i after a change. up reports whether the host is reachable and accepts new
// jobs.
func (w *Watch) RecordState(now int64, i int, m *model.Host, up bool) {
	w.elapse(now)
	h := &w.hosts[i]
	for k := range 2 {
		w.idleHosts[k] -= h.idle[k]
		w.waitingJobs[k] -= h.waiting[k]
	}
	if h.ready {
		w.readyHosts--
	}
	h.idle, h.waiting = [2]int{}, [2]int{}
	one, more := m.Queued()
	h.waiting = [2]int{one, more}
	h.ready = up && !m.Down() && !m.Cold()
	if free := m.Free(); h.ready && one+more == 0 && free >= 2 {
		h.idle[1] = 1
	} else if h.ready && one+more == 0 && free >= 1 {
		h.idle[0] = 1
	}
	for k := range 2 {
		w.idleHosts[k] += h.idle[k]
		w.waitingJobs[k] += h.waiting[k]
	}
	if h.ready {
		w.readyHosts++
	}
	h.counts = m.Counts()
}

// elapse moves time on in the present state. Each waiting job counts against at most one idle host and vice versa, so
// that one late job does not make the whole fleet count as idle.
func (w *Watch) elapse(now int64) {
	now = min(now, w.end)
	dt := float64(now - w.lastUpdate)
	if dt <= 0 {
		return
	}
	w.lastUpdate = now
	large := min(w.waitingJobs[1], w.idleHosts[1])
	small := min(w.waitingJobs[0], w.idleHosts[0]+w.idleHosts[1]-large)
	w.idleTime += dt * float64(large+small)
	w.readyTime += dt * float64(w.readyHosts)
	w.waitingTime += dt * float64(w.waitingJobs[0]+w.waitingJobs[1])
}

// Report returns the figures at the end of a run.
func (w *Watch) Report(now int64) *Report {
	w.elapse(now)
	r := &Report{HostTime: w.readyTime / 1e6, Herds: w.herds}
	r.Idle = ratio(w.idleTime, w.readyTime)
	r.Waiting = ratio(w.waitingTime, float64(w.lastUpdate))
	r.Herded = ratio(float64(w.herded), float64(w.attempts))
	type used struct{ load, capacity float64 }
	var all []used
	sum, most, cells := 0.0, 0, 0
	for i := range w.hosts {
		h := &w.hosts[i]
		r.Counts.Add(h.counts)
		for _, n := range h.perSecond {
			most = max(most, n)
		}
		if h.attempts == 0 {
			continue // it was absent, or no dispatcher used it; the latter shows in Idle
		}
		cells += len(h.perSecond)
		all = append(all, used{float64(h.attempts) / max(h.capacity, 1e-9), h.capacity})
		sum += float64(h.attempts) / max(h.capacity, 1e-9)
	}
	r.Peak = ratio(float64(most)*float64(cells), float64(w.attempts))
	slices.SortFunc(all, func(a, b used) int { return cmp.Compare(b.load, a.load) })
	top := 0.0
	for _, u := range all[:int(math.Ceil(float64(len(all))/10))] {
		top += u.load
	}
	r.Busiest = ratio(top, sum)
	c := &r.Counts
	r.FetchShare = ratio(float64(c.Fetched), float64(c.Offered-c.Refused-c.Unstarted))
	r.VainShare = ratio(c.Wasted, c.Work)
	return r
}

// ratio returns part/whole, or 0 if whole is not positive.
func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// String formats the figures as text for operators.
func (r *Report) String() string {
	var b strings.Builder
	c := r.Counts
	fmt.Fprintf(&b, "idle while work waits %.2f%% of %.0f host-seconds, %.1f jobs waiting on average\n", 100*r.Idle, r.HostTime, r.Waiting)
	fmt.Fprintf(&b, "herds %d with %.2f%% of attempts; busiest tenth of hosts %.3f of attempts by speed; peak to mean %.1f in a second\n",
		r.Herds, 100*r.Herded, r.Busiest, r.Peak)
	fmt.Fprintf(&b, "attempts %d: done %d, called off unstarted %d, called off running %d, refused %d, failed %d\n",
		c.Offered, c.Done, c.Unstarted, c.Stopped, c.Refused, c.Failed)
	fmt.Fprintf(&b, "waited %d (%.1f%%), fetched first %d (%.1f%% of those begun), work in vain %.1f%%\n",
		c.Waited, 100*ratio(float64(c.Waited), float64(c.Offered)), c.Fetched, 100*r.FetchShare, 100*r.VainShare)
	return b.String()
}
