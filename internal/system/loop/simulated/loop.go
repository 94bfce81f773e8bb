// Package simulated is a role's loop on simulated time, with peers that answer as a test says. Nothing but tests imports it.
package simulated

import (
	"container/heap"
	"time"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/wire"
)

// way is how long an answer takes.
const way = time.Millisecond

// Call is a call that was made.
type Call struct {
	Address string
	Kind    wire.Kind
	Payload []byte
}

// Loop implements loop.Loop and loop.Peers. It belongs to one goroutine.
type Loop struct {
	// Reachable has the addresses of the peers that there is a connection to.
	Reachable map[string]bool
	// Answer answers a call. A nil payload and error leave it without an answer.
	Answer func(address string, kind wire.Kind, payload []byte) ([]byte, error)
	// Calls are all that were made.
	Calls []Call

	now    time.Duration
	made   int // timers
	timers timers
}

type timer struct {
	at    time.Duration
	order int
	do    func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// Now implements loop.Loop.
func (l *Loop) Now() time.Duration { return l.now }

// Wall implements loop.Loop.
func (l *Loop) Wall() int64 { return l.now.Milliseconds() }

// After implements loop.Loop.
func (l *Loop) After(wait time.Duration, do func()) {
	l.made++
	heap.Push(&l.timers, timer{at: l.now + max(0, wait), order: l.made, do: do})
}

// Random implements loop.Loop.
func (l *Loop) Random(n int64) int64 { return n / 2 }

// Up implements loop.Peers.
func (l *Loop) Up(address string) bool { return l.Reachable[address] }

// Break implements loop.Peers.
func (l *Loop) Break(string) {}

// Connect implements loop.Peers.
func (l *Loop) Connect([]string) {}

// Call implements loop.Peers.
func (l *Loop) Call(address string, kind wire.Kind, payload []byte, timeout time.Duration, done func([]byte, error)) {
	l.Calls = append(l.Calls, Call{Address: address, Kind: kind, Payload: payload})
	answer, err := l.Answer(address, kind, payload)
	if answer == nil && err == nil {
		l.After(timeout, func() { done(nil, &loop.TimeoutError{Peer: address}) })
		return
	}
	l.After(way, func() { done(answer, err) })
}

// Pass lets time pass.
func (l *Loop) Pass(span time.Duration) {
	until := l.now + span
	for l.timers.Len() > 0 && l.timers[0].at <= until {
		next := heap.Pop(&l.timers).(timer)
		l.now = next.at
		next.do()
	}
	l.now = until
}

// Last is the latest call of a kind, the zero one where there is none.
func (l *Loop) Last(kind wire.Kind) Call {
	for i := len(l.Calls) - 1; i >= 0; i-- {
		if l.Calls[i].Kind == kind {
			return l.Calls[i]
		}
	}
	return Call{}
}
