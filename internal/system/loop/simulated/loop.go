// Package simulated implements a role's loop on simulated time for tests. Loop answers the role's calls to peers
// through its Answer function, and its clock moves only when a test calls Advance. Only tests import it.
package simulated

import (
	"container/heap"
	"time"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/wire"
)

// answerLatency is the time from a call to its answer.
const answerLatency = time.Millisecond

// Call is a recorded call.
type Call struct {
	Address string
	Kind    wire.Kind
	Payload []byte
}

// Loop implements loop.Loop and loop.Peers. It must be used by one goroutine only.
type Loop struct {
	// Reachable holds the addresses that Connected reports as connected.
	Reachable map[string]bool
	// Answer answers a call. If it returns neither a payload nor an error, the call times out.
	Answer func(address string, kind wire.Kind, payload []byte) ([]byte, error)
	// Calls lists all calls, in their order.
	Calls []Call

	now           time.Duration
	timersCreated int // number of timers created so far
	timers        timers
}

type timer struct {
	at       time.Duration
	sequence int
	action   func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
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

// WallMillis implements loop.Loop.
func (l *Loop) WallMillis() int64 { return l.now.Milliseconds() }

// After implements loop.Loop.
func (l *Loop) After(wait time.Duration, do func()) {
	l.timersCreated++
	heap.Push(&l.timers, timer{at: l.now + max(0, wait), sequence: l.timersCreated, action: do})
}

// Random implements loop.Loop.
func (l *Loop) Random(n int64) int64 { return n / 2 }

// Connected implements loop.Peers.
func (l *Loop) Connected(address string) bool { return l.Reachable[address] }

// Disconnect implements loop.Peers.
func (l *Loop) Disconnect(string) {}

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
	l.After(answerLatency, func() { done(answer, err) })
}

// Advance advances the clock and runs the timers that become due.
func (l *Loop) Advance(span time.Duration) {
	until := l.now + span
	for l.timers.Len() > 0 && l.timers[0].at <= until {
		next := heap.Pop(&l.timers).(timer)
		l.now = next.at
		next.action()
	}
	l.now = until
}

// LastCall returns the latest call of a kind, or the zero Call if there is none.
func (l *Loop) LastCall(kind wire.Kind) Call {
	for i := len(l.Calls) - 1; i >= 0; i-- {
		if l.Calls[i].Kind == kind {
			return l.Calls[i]
		}
	}
	return Call{}
}
