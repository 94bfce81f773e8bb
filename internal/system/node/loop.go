// Package node runs the system's roles on a real machine: sockets, files, clocks, signals, logs.
package node

import (
	"container/heap"
	"math/rand/v2"
	"sync"
	"time"

	"granitewing/internal/system/link"
	"granitewing/internal/system/loop"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/wire"
)

// timer is a callback at a time.
type timer struct {
	at    time.Duration
	order uint64
	do    func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

// runner is the loop of one role: everything that touches the role's state runs under its mutex, one after the other.
type runner struct {
	mutex  sync.Mutex
	start  time.Time
	timers timerHeap
	order  uint64
	alarm  *time.Timer
	due    time.Duration // when the alarm is set for; 0 while it is not

	clients map[string]*peerClient
	events  peerEvents
}

// peerEvents are a role's handlers, called under the mutex.
type peerEvents struct {
	up   func(address string)
	down func(address string)
	push func(address string, frame wire.Frame)
}

type peerClient struct {
	client *link.Client
	up     bool
}

func newRunner() *runner {
	r := &runner{start: time.Now(), clients: map[string]*peerClient{}}
	r.alarm = time.AfterFunc(time.Hour, r.fire)
	r.alarm.Stop()
	return r
}

// do runs something under the mutex.
func (r *runner) do(something func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	something()
}

// follow takes changed settings until the process ends.
func (r *runner) follow(changes <-chan *settings.Settings, take func(changed *settings.Settings)) {
	for changed := range changes {
		r.do(func() { take(changed) })
	}
}

// Now implements loop.Loop.
func (r *runner) Now() time.Duration { return time.Since(r.start) }

// Wall implements loop.Loop.
func (r *runner) Wall() int64 { return time.Now().UnixMilli() }

// Random implements loop.Loop.
func (r *runner) Random(n int64) int64 {
	if n <= 0 {
		return 0
	}
	return rand.Int64N(n)
}

// After implements loop.Loop; it is called under the mutex.
func (r *runner) After(wait time.Duration, do func()) {
	at := r.Now() + max(wait, 0)
	r.order++
	heap.Push(&r.timers, timer{at: at, order: r.order, do: do})
	r.setAlarm()
}

// alarmGrain gathers timers that are close to each other into one wake-up.
const alarmGrain = time.Millisecond

func (r *runner) setAlarm() {
	if len(r.timers) == 0 {
		return
	}
	first := r.timers[0].at
	if r.due != 0 && r.due <= first+alarmGrain {
		return
	}
	r.due = first
	r.alarm.Reset(max(0, first-r.Now()))
}

func (r *runner) fire() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.due = 0
	now := r.Now()
	for len(r.timers) > 0 && r.timers[0].at <= now {
		next := heap.Pop(&r.timers).(timer)
		next.do()
	}
	r.setAlarm()
}

// Up implements loop.Peers; it is called under the mutex.
func (r *runner) Up(address string) bool {
	peer := r.clients[address]
	return peer != nil && peer.up
}

// Break implements loop.Peers; it is called under the mutex.
func (r *runner) Break(address string) {
	if peer := r.clients[address]; peer != nil {
		go peer.client.Break()
	}
}

// Connect implements loop.Peers; it is called under the mutex.
func (r *runner) Connect(addresses []string) {
	wanted := map[string]bool{}
	for _, address := range addresses {
		wanted[address] = true
		if r.clients[address] == nil && address != "" {
			r.open(address)
		}
	}
	for address, peer := range r.clients {
		if !wanted[address] {
			delete(r.clients, address)
			go peer.client.Close()
		}
	}
}

func (r *runner) open(address string) {
	peer := &peerClient{}
	r.clients[address] = peer
	locked := func(event func()) {
		r.do(func() {
			if r.clients[address] == peer {
				event()
			}
		})
	}
	peer.client = link.NewClient(address, link.Events{
		Peers: func() (count int) {
			r.do(func() { count = len(r.clients) })
			return count
		},
		Up: func() {
			locked(func() {
				peer.up = true
				if r.events.up != nil {
					r.events.up(address)
				}
			})
		},
		Down: func() {
			locked(func() {
				peer.up = false
				if r.events.down != nil {
					r.events.down(address)
				}
			})
		},
		Push: func(frame wire.Frame) {
			locked(func() {
				if r.events.push != nil {
					r.events.push(address, frame)
				}
			})
		},
	})
}

// Call implements loop.Peers; it is called under the mutex.
func (r *runner) Call(address string, kind wire.Kind, payload []byte, timeout time.Duration, done func([]byte, error)) {
	answered := false
	finish := func(payload []byte, err error) {
		if answered {
			return
		}
		answered = true
		done(payload, err)
	}
	peer := r.clients[address]
	if peer == nil || !peer.up {
		r.After(0, func() { finish(nil, &link.ClosedError{Peer: address}) })
		return
	}
	r.After(timeout, func() { finish(nil, &loop.TimeoutError{Peer: address}) })
	client := peer.client
	// The client may answer at once where the connection has just broken, and then from this very goroutine.
	inside := true
	var early func()
	client.Call(kind, payload, func(payload []byte, err error) {
		if inside {
			early = func() { finish(payload, err) }
			return
		}
		r.do(func() { finish(payload, err) })
	})
	inside = false
	if early != nil {
		r.After(0, early)
	}
}
