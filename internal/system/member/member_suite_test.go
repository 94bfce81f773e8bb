package member

import (
	"container/heap"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/wire"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Member")
}

// bench is simulated time, and keepers that answer as the test says.
type bench struct {
	now    time.Duration
	timers timers
	up     map[string]bool
	// answer answers a call to a keeper; nil payload and error leave it without an answer.
	answer func(address string, kind wire.Kind, payload []byte) ([]byte, error)
	calls  []call
}

type call struct {
	address string
	kind    wire.Kind
	payload []byte
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

func (b *bench) Now() time.Duration { return b.now }
func (b *bench) Wall() int64        { return b.now.Milliseconds() }
func (b *bench) After(wait time.Duration, do func()) {
	heap.Push(&b.timers, timer{at: b.now + max(0, wait), order: len(b.calls)*1000 + b.timers.Len(), do: do})
}
func (b *bench) Random(n int64) int64   { return n / 2 }
func (b *bench) Up(address string) bool { return b.up[address] }
func (b *bench) Break(string)           {}
func (b *bench) Connect([]string)       {}

func (b *bench) Call(address string, kind wire.Kind, payload []byte, timeout time.Duration, done func([]byte, error)) {
	const way = time.Millisecond
	b.calls = append(b.calls, call{address: address, kind: kind, payload: payload})
	answer, err := b.answer(address, kind, payload)
	if answer == nil && err == nil {
		b.After(timeout, func() { done(nil, &loop.TimeoutError{Peer: address}) })
		return
	}
	b.After(way, func() { done(answer, err) })
}

func (b *bench) pass(span time.Duration) {
	until := b.now + span
	for b.timers.Len() > 0 && b.timers[0].at <= until {
		next := heap.Pop(&b.timers).(timer)
		b.now = next.at
		next.do()
	}
	b.now = until
}

// last is the latest call of a kind.
func (b *bench) last(kind wire.Kind) call {
	for i := len(b.calls) - 1; i >= 0; i-- {
		if b.calls[i].kind == kind {
			return b.calls[i]
		}
	}
	return call{}
}
