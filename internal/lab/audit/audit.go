// Package audit checks the four rules from what hosts, clients and discovery saw, never from what a dispatcher says of
// itself: one final answer each; no unsafe repeat and no two attempts at once; nothing new to a host 750 ms after its
// drain was told; no cold host overrun.
package audit

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"granitewing/internal/lab/client"
)

// Figures of the rules, in microseconds. On sockets every limit is 50 ms longer than in the simulator.
const (
	socketSlack = 50_000
	drainGrace  = 750_000
	toldLatest  = 6_000_000 // what discovery has to tell counts as told by then
	attemptMost = 3
	shownMost   = 20 // breaches told in full, of each rule
)

// Class is what the rules need of a class.
type Class struct {
	Name   string
	Repeat string // safe, keyed or unsafe
	Window int64  // within which a cell drops repeats
}

// End says how an attempt ended at its host.
type End uint8

// The ends of an attempt.
const (
	Open      End = iota
	Done          // Answer of the host is the result
	Failed        // an error; may have run
	Unstarted     // turned away or handed back; never ran
	Lost          // killed; may have run
	Closed        // the dispatcher ended it; may have run
)

// attempt is one that reached a host whole.
type attempt struct {
	host       string
	cell       int
	dispatcher int
	first      int64 // byte
	came       int64 // last byte
	ended      int64
	end        End
	answer     string
	rank       int // of a part of a gang
	parts      int // of the gang; 0: it is none
}

// try is one of a client's requests.
type try struct {
	class      int
	dispatcher int
	sent       int64
	ended      int64
	result     client.Result
	answer     string
	known      bool // a client sent it
	over       bool
	extra      bool // more came on the connection than one answer
	attempts   []attempt
}

// Log collects what was seen. It may be used by several goroutines.
type Log struct {
	mu      sync.Mutex
	classes []Class
	tries   map[string]*try
	phases  map[phaseKey][]phaseAt // told to a dispatcher
	listed  map[string][]phaseAt   // as discovery's list had it
	kills   map[int][]kill
	falls   []string
	strange []string
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

// New makes a log for classes.
func New(classes []Class) *Log {
	return &Log{classes: classes, tries: map[string]*try{}, phases: map[phaseKey][]phaseAt{}, listed: map[string][]phaseAt{}, kills: map[int][]kill{}}
}

func (l *Log) get(name string) *try {
	t := l.tries[name]
	if t == nil {
		t = &try{}
		l.tries[name] = t
	}
	return t
}

// Sent books a try that a client is about to send.
func (l *Log) Sent(at int64, name string, class, dispatcher int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(name)
	if t.known {
		l.strange = append(l.strange, fmt.Sprintf("client used the name %s twice", name))
	}
	t.known, t.class, t.dispatcher, t.sent = true, class, dispatcher, at
}

// Ended books what a client got; answer is the content of a served try.
func (l *Log) Ended(at int64, name string, r client.Result, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(name)
	if t.over {
		t.extra = true
		return
	}
	t.over, t.ended, t.result, t.answer = true, at, r, answer
}

// Extra books bytes beyond the one answer to a try.
func (l *Log) Extra(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(name).extra = true
}

// Came books an attempt whose last byte reached a host, and gives its handle.
func (l *Log) Came(first, last int64, name, host string, cell, dispatcher int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(name)
	t.attempts = append(t.attempts, attempt{host: host, cell: cell, dispatcher: dispatcher, first: first, came: last})
	return len(t.attempts) - 1
}

// CamePart books an attempt that is one part of several.
func (l *Log) CamePart(first, last int64, name, host string, cell, dispatcher, rank, parts int) int {
	n := l.Came(first, last, name, host, cell, dispatcher)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &l.get(name).attempts[n]
	a.rank, a.parts = rank, parts
	return n
}

// Finish books the end of an attempt; only the first counts.
func (l *Log) Finish(at int64, name string, handle int, end End, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &l.get(name).attempts[handle]
	if a.end == Open {
		a.end, a.ended, a.answer = end, at, answer
	}
}

// Told books what discovery wrote to a dispatcher of a host.
func (l *Log) Told(at int64, dispatcher int, host string, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := phaseKey{dispatcher, host}
	l.phases[k] = append(l.phases[k], phaseAt{at, ready})
}

// Listed books what discovery has to tell.
func (l *Log) Listed(at int64, host string, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed[host] = append(l.listed[host], phaseAt{at, ready})
}

// Killed books a time in which a dispatcher was dead; what it had taken is not held against it. A process that was killed
// (from) after it had been told to end (to, before that) is excused what it took until it was told alone.
func (l *Log) Killed(dispatcher int, from, to int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kills[dispatcher] = append(l.kills[dispatcher], kill{from, to})
}

// Dead is how many seconds dispatchers were dead, summed over all of them.
func (l *Log) Dead() float64 {
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

// Fell books a cold host that fell over.
func (l *Log) Fell(at int64, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.falls = append(l.falls, fmt.Sprintf("%s at %.3f s", host, float64(at)/1e6))
}

// Rule is one rule's verdict.
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
	Excused  int    `json:"excused"` // tries that were lost with a dispatcher that was killed
	Repeats  int    `json:"repeats"` // attempts beyond a try's first
}

// Broken counts the breaches of all rules.
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
	if r.Broken++; len(r.Shown) < shownMost {
		r.Shown = append(r.Shown, fmt.Sprintf(format, args...))
	}
}

// Check gives the verdict on all that was seen.
func (l *Log) Check() *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := Rule{Name: "one final answer each"}
	safe := Rule{Name: "no unsafe repeat, one attempt at a time"}
	drain := Rule{Name: "nothing new to a host that leaves"}
	cold := Rule{Name: "no cold host overrun", Broken: len(l.falls)}
	rep := &Report{}
	for _, name := range slices.Sorted(mapKeys(l.tries)) {
		t := l.tries[name]
		rep.Tries++
		rep.Attempts += len(t.attempts)
		rep.Repeats += max(len(t.attempts)-1, 0)
		one.Checked++
		l.checkAnswer(name, t, &one, rep)
		safe.Checked++
		l.checkAttempts(name, t, &safe)
		for _, a := range t.attempts {
			drain.Checked++
			if since, leaves := l.leaving(a); leaves && a.first > since+drainGrace+socketSlack {
				drain.breach("%s reached %s %d ms after its leaving was told", name, a.host, (a.first-since)/1000)
			}
		}
	}
	for _, s := range l.strange {
		one.breach("%s", s)
	}
	cold.Checked = len(l.listed)
	cold.Shown = l.falls[:min(len(l.falls), shownMost)]
	rep.Rules = []Rule{one, safe, drain, cold}
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
