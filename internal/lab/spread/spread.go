// Package spread tells how evenly a fleet's hosts were used, from what the hosts themselves saw: capacity that stood
// idle while work waited at others, herds, the busiest hosts, and what became of the attempts. It knows no clock; the
// drivers of the model feed it.
package spread

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"granitewing/internal/lab/model"
)

// What counts as a herd: within herdSpan microseconds, attempts of herdMost or more dispatchers at a host that has work
// waiting.
const (
	herdSpan = 100_000
	herdMost = 5
)

// Report is what a run came to.
type Report struct {
	Idle       float64      `json:"idle_while_work_waits"` // share of the host-seconds of ready, warm hosts
	HostTime   float64      `json:"host_s"`                // those host-seconds
	Waiting    float64      `json:"waiting_mean"`          // jobs that waited unstarted at hosts, mean over time
	Herds      int          `json:"herds"`
	Herded     float64      `json:"herd_share"`         // attempts in herds, of all
	Peak       float64      `json:"peak_to_mean"`       // attempts at a host in a second, the most against the mean
	Busiest    float64      `json:"busiest_tenth"`      // share of the tenth of hosts with most attempts for their speed; 0.1 is even
	Counts     model.Counts `json:"attempts"`           // over all hosts
	FetchShare float64      `json:"fetched_of_begun"`   // attempts that had to fetch, of those that began
	VainShare  float64      `json:"vain_share_of_work"` // work for attempts that did not come to their end
}

// Watch collects. It is not safe for use by several goroutines.
type Watch struct {
	hosts []host
	// Hosts with free slots and no queue, and jobs that wait, each in two sizes: one slot, and more.
	idle  [2]int
	wait  [2]int
	ready int
	at    int64
	until int64
	// Integrals over time, microseconds.
	lost, ready2, waits float64
	attempts, herded    int
	herds               int
}

type host struct {
	capacity float64
	ready    bool
	idle     [2]int
	wait     [2]int
	window   []arrival // of the last herdSpan, the oldest first
	seconds  []int
	counts   model.Counts
	attempts int
}

type arrival struct {
	at         int64
	dispatcher int
	herded     bool
}

// New begins to watch machines by their numbers. Time past until, when the last job has come, is not counted: a fleet that
// empties is idle for want of work.
func New(machines []model.Machine, until int64) *Watch {
	w := &Watch{hosts: make([]host, len(machines)), until: until}
	for i, m := range machines {
		w.hosts[i].capacity = m.Cores * m.Speed
	}
	return w
}

// Came books an attempt, before the host has taken it.
func (w *Watch) Came(now int64, i int, m *model.Host, dispatcher int) {
	h := &w.hosts[i]
	w.attempts++
	h.attempts++
	for s := int(max(now, 0) / 1_000_000); len(h.seconds) <= s; {
		h.seconds = append(h.seconds, 0)
	}
	h.seconds[len(h.seconds)-1]++
	h.window = slices.DeleteFunc(h.window, func(a arrival) bool { return a.at <= now-herdSpan })
	h.window = append(h.window, arrival{at: now, dispatcher: dispatcher})
	if one, more := m.Queued(); one+more == 0 {
		return
	}
	seen := map[int]bool{}
	old := false
	for _, a := range h.window {
		seen[a.dispatcher] = true
		old = old || a.herded
	}
	if len(seen) < herdMost {
		return
	}
	if !old {
		w.herds++
	}
	for k := range h.window {
		if !h.window[k].herded {
			h.window[k].herded = true
			w.herded++
		}
	}
}

// Look notes the state of a host after something happened there. up says that it can be reached and takes new jobs.
func (w *Watch) Look(now int64, i int, m *model.Host, up bool) {
	w.pass(now)
	h := &w.hosts[i]
	for k := range 2 {
		w.idle[k] -= h.idle[k]
		w.wait[k] -= h.wait[k]
	}
	if h.ready {
		w.ready--
	}
	h.idle, h.wait = [2]int{}, [2]int{}
	one, more := m.Queued()
	h.wait = [2]int{one, more}
	h.ready = up && !m.Down() && !m.Cold()
	if free := m.Free(); h.ready && one+more == 0 && free >= 2 {
		h.idle[1] = 1
	} else if h.ready && one+more == 0 && free >= 1 {
		h.idle[0] = 1
	}
	for k := range 2 {
		w.idle[k] += h.idle[k]
		w.wait[k] += h.wait[k]
	}
	if h.ready {
		w.ready++
	}
	h.counts = m.Counts()
}

// pass lets time go by in the present state. A job that waits sets at most one host against it, and a host at most one
// job, so that one late job does not make the whole fleet idle.
func (w *Watch) pass(now int64) {
	now = min(now, w.until)
	dt := float64(now - w.at)
	if dt <= 0 {
		return
	}
	w.at = now
	large := min(w.wait[1], w.idle[1])
	small := min(w.wait[0], w.idle[0]+w.idle[1]-large)
	w.lost += dt * float64(large+small)
	w.ready2 += dt * float64(w.ready)
	w.waits += dt * float64(w.wait[0]+w.wait[1])
}

// Report sums up at the end of a run.
func (w *Watch) Report(now int64) *Report {
	w.pass(now)
	r := &Report{HostTime: w.ready2 / 1e6, Herds: w.herds}
	r.Idle = share(w.lost, w.ready2)
	r.Waiting = share(w.waits, float64(w.at))
	r.Herded = share(float64(w.herded), float64(w.attempts))
	type used struct{ load, capacity float64 }
	var all []used
	sum, most, cells := 0.0, 0, 0
	for i := range w.hosts {
		h := &w.hosts[i]
		r.Counts.Add(h.counts)
		for _, n := range h.seconds {
			most = max(most, n)
		}
		if h.attempts == 0 {
			continue // it was not there, or nobody found it; the idle figure tells of the latter
		}
		cells += len(h.seconds)
		all = append(all, used{float64(h.attempts) / max(h.capacity, 1e-9), h.capacity})
		sum += float64(h.attempts) / max(h.capacity, 1e-9)
	}
	r.Peak = share(float64(most)*float64(cells), float64(w.attempts))
	slices.SortFunc(all, func(a, b used) int { return cmp.Compare(b.load, a.load) })
	top := 0.0
	for _, u := range all[:int(math.Ceil(float64(len(all))/10))] {
		top += u.load
	}
	r.Busiest = share(top, sum)
	c := &r.Counts
	r.FetchShare = share(float64(c.Fetched), float64(c.Offered-c.Refused-c.Unstarted))
	r.VainShare = share(c.Vain, c.Work)
	return r
}

func share(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// String writes the figures for people.
func (r *Report) String() string {
	var b strings.Builder
	c := r.Counts
	fmt.Fprintf(&b, "idle while work waits %.2f%% of %.0f host-seconds, %.1f jobs waiting on average\n", 100*r.Idle, r.HostTime, r.Waiting)
	fmt.Fprintf(&b, "herds %d with %.2f%% of attempts; busiest tenth of hosts %.3f of attempts by speed; peak to mean %.1f in a second\n",
		r.Herds, 100*r.Herded, r.Busiest, r.Peak)
	fmt.Fprintf(&b, "attempts %d: done %d, called off unstarted %d, called off running %d, refused %d, failed %d\n",
		c.Offered, c.Done, c.Unstarted, c.Stopped, c.Refused, c.Failed)
	fmt.Fprintf(&b, "waited %d (%.1f%%), fetched first %d (%.1f%% of those begun), work in vain %.1f%%\n",
		c.Waited, 100*share(float64(c.Waited), float64(c.Offered)), c.Fetched, 100*r.FetchShare, 100*r.VainShare)
	return b.String()
}
