// Package audit checks the rules of message delivery against what hosts, clients and discovery observed, never
// against what a dispatcher reports about itself. The four rules are: each try gets one final answer; no unsafe
// repeat and no two attempts at a time; no new message to a host 750 ms after the notification of its drain; no
// cold host is overrun.
//
// Hosts, clients and discovery record their observations in a Log; Log.Check returns the Report. CheckRecords and
// CheckHistory check the store of record of the dispatchers against the same observations, and Concurrency measures
// concurrency. All times are microseconds since the start of the run unless noted otherwise.
package audit

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"granitewing/internal/lab/client"
)

// Limits of the rules, in microseconds where they are times. The limits on a send after a drain and on
// the overlap of two attempts are longer than the platform's by the 50 ms of socketSlack, since sockets delay what is
// observed; runs in virtual time use the same limits.
const (
	socketSlack       = 50_000
	drainGrace        = 750_000
	maxDiscoveryDelay = 6_000_000 // a change in discovery's list counts as known to every dispatcher after this time
	maxAttempts       = 3
	maxShown          = 20 // breaches listed in full, per rule
)

// Class is what the rules need to know about a class.
type Class struct {
	Name   string
	Repeat string // safe, keyed or unsafe
	Window int64  // time within which a cell drops repeats, microseconds
}

// End is how an attempt ended at its host.
type End uint8

// The ends of an attempt.
const (
	Open     End = iota
	Done         // the host's answer is the result
	Failed       // error; may have run
	NeverRan     // rejected or returned by the host; never ran
	Lost         // the host was killed; may have run
	Closed       // the dispatcher closed the connection; may have run
)

// attempt is an attempt that a host received completely.
type attempt struct {
	host       string
	cell       int
	dispatcher int
	firstByte  int64 // time of the first byte
	arrived    int64 // time of the last byte
	ended      int64
	end        End
	answer     string
	rank       int // index of this part within its gang
	parts      int // number of parts of the gang; 0: not a gang
}

// try is one request of a client.
type try struct {
	class        int
	dispatcher   int
	sent         int64
	ended        int64
	result       client.Result
	answer       string
	sentByClient bool // false: only a host has observed it
	finished     bool
	extraAnswer  bool // the client received more than one answer
	attempts     []attempt
}

// Log collects observations. It is safe for concurrent use.
type Log struct {
	mu           sync.Mutex
	classes      []Class
	tries        map[string]*try
	reported     map[phaseKey][]phaseAt // what discovery sent to a dispatcher
	listed       map[string][]phaseAt   // the contents of discovery's list
	kills        map[int][]kill
	overrunHosts []string
	reusedNames  []string
}

type phaseKey struct {
	dispatcher int
	host       string
}

type phaseAt struct {
	at    int64
	ready bool
}

type kill struct{ from, to int64 }

// New returns a log for classes; tries refer to a class by its index.
func New(classes []Class) *Log {
	return &Log{classes: classes, tries: map[string]*try{}, reported: map[phaseKey][]phaseAt{}, listed: map[string][]phaseAt{}, kills: map[int][]kill{}}
}

func (l *Log) tryNamed(name string) *try {
	t := l.tries[name]
	if t == nil {
		t = &try{}
		l.tries[name] = t
	}
	return t
}

// Sent records a try that a client is about to send.
func (l *Log) Sent(at int64, name string, class, dispatcher int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tryNamed(name)
	if t.sentByClient {
		l.reusedNames = append(l.reusedNames, fmt.Sprintf("client used the name %s twice", name))
	}
	t.sentByClient, t.class, t.dispatcher, t.sent = true, class, dispatcher, at
}

// Ended records the result of a try for its client. answer is the content of a served try.
func (l *Log) Ended(at int64, name string, r client.Result, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tryNamed(name)
	if t.finished {
		t.extraAnswer = true
		return
	}
	t.finished, t.ended, t.result, t.answer = true, at, r, answer
}

// Extra records that a client received bytes after the answer to a try.
func (l *Log) Extra(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tryNamed(name).extraAnswer = true
}

// AttemptArrived records an attempt whose last byte reached a host, and returns a handle for Finish.
func (l *Log) AttemptArrived(first, last int64, name, host string, cell, dispatcher int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tryNamed(name)
	t.attempts = append(t.attempts, attempt{host: host, cell: cell, dispatcher: dispatcher, firstByte: first, arrived: last})
	return len(t.attempts) - 1
}

// AttemptPartArrived is like AttemptArrived for one part of a gang: rank is the index of the part, parts their number.
func (l *Log) AttemptPartArrived(first, last int64, name, host string, cell, dispatcher, rank, parts int) int {
	n := l.AttemptArrived(first, last, name, host, cell, dispatcher)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &l.tryNamed(name).attempts[n]
	a.rank, a.parts = rank, parts
	return n
}

// Finish records the end of an attempt; later calls for the same attempt are ignored.
func (l *Log) Finish(at int64, name string, handle int, end End, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &l.tryNamed(name).attempts[handle]
	if a.end == Open {
		a.end, a.ended, a.answer = end, at, answer
	}
}

// StateSent records that discovery sent the state of a host to a dispatcher.
func (l *Log) StateSent(at int64, dispatcher int, host string, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := phaseKey{dispatcher, host}
	l.reported[k] = append(l.reported[k], phaseAt{at, ready})
}

// Listed records a change of a host's state in discovery's list.
func (l *Log) Listed(at int64, host string, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed[host] = append(l.listed[host], phaseAt{at, ready})
}

// Killed records an interval in which a dispatcher was dead or cut off; tries that were open in it may be lost. A try
// is excused if it was sent at or before to and ended at or after from. For a process that was told to end and killed
// later, from is the time of the kill and to, which is earlier, the time at which it was told: only tries sent before
// it was told that were still open at the kill are excused.
func (l *Log) Killed(dispatcher int, from, to int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kills[dispatcher] = append(l.kills[dispatcher], kill{from, to})
}

// DeadSeconds returns the time that dispatchers were dead, in seconds, summed over all dispatchers.
func (l *Log) DeadSeconds() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var microseconds int64
	for _, kills := range l.kills {
		for _, k := range kills {
			microseconds += max(k.to-k.from, 0)
		}
	}
	return float64(microseconds) / 1e6
}

// HostOverrun records a cold host that failed under load.
func (l *Log) HostOverrun(at int64, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overrunHosts = append(l.overrunHosts, fmt.Sprintf("%s at %.3f s", host, float64(at)/1e6))
}

// Rule is the result of checking one rule.
type Rule struct {
	Name    string   `json:"rule"`
	Checked int      `json:"checked"`
	Broken  int      `json:"broken"`
	Shown   []string `json:"shown,omitempty"`
}

// Report is the audit of a run.
type Report struct {
	Rules    []Rule `json:"rules"`
	Tries    int    `json:"tries"`
	Attempts int    `json:"attempts"`
	Excused  int    `json:"excused"` // tries that were lost with a killed dispatcher
	Repeats  int    `json:"repeats"` // attempts beyond the first of a try
}

// Broken returns the number of breaches of all rules.
func (r *Report) Broken() int {
	n := 0
	for _, rule := range r.Rules {
		n += rule.Broken
	}
	return n
}

func (r *Report) String() string {
	var b strings.Builder
	for _, rule := range r.Rules {
		verdict := "kept"
		if rule.Broken > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", rule.Broken)
		}
		fmt.Fprintf(&b, "%-42s %7d checked  %s\n", rule.Name, rule.Checked, verdict)
		for _, s := range rule.Shown {
			fmt.Fprintf(&b, "    %s\n", s)
		}
	}
	return b.String()
}

func (r *Rule) breach(format string, args ...any) {
	if r.Broken++; len(r.Shown) < maxShown {
		r.Shown = append(r.Shown, fmt.Sprintf(format, args...))
	}
}

// Check checks the four rules against all observations.
func (l *Log) Check() *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	answers := Rule{Name: "one final answer each"}
	repeats := Rule{Name: "no unsafe repeat, one attempt at a time"}
	drains := Rule{Name: "nothing new to a host that leaves"}
	overruns := Rule{Name: "no cold host overrun", Broken: len(l.overrunHosts)}
	rep := &Report{}
	for _, name := range slices.Sorted(mapKeys(l.tries)) {
		t := l.tries[name]
		rep.Tries++
		rep.Attempts += len(t.attempts)
		rep.Repeats += max(len(t.attempts)-1, 0)
		answers.Checked++
		l.checkAnswer(name, t, &answers, rep)
		repeats.Checked++
		l.checkAttempts(name, t, &repeats)
		for _, a := range t.attempts {
			drains.Checked++
			if since, leaves := l.leavingSince(a); leaves && a.firstByte > since+drainGrace+socketSlack {
				drains.breach("%s reached %s %d ms after its leaving was told", name, a.host, (a.firstByte-since)/1000)
			}
		}
	}
	for _, s := range l.reusedNames {
		answers.breach("%s", s)
	}
	overruns.Checked = len(l.listed)
	overruns.Shown = l.overrunHosts[:min(len(l.overrunHosts), maxShown)]
	rep.Rules = []Rule{answers, repeats, drains, overruns}
	return rep
}

func mapKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}
