// Package node runs the system's roles on a real machine. The roles' logic is in the packages under
// internal/system/role, which open no sockets and read no clocks themselves; this package provides sockets, files, clocks,
// timers, settings and logs.
//
// RunCarrier, RunKeeper and RunStore each run one role of one process until a context is cancelled. Each role has an event
// loop: a mutex under which its core, its timers and its network events run one at a time. Blocking work, such as disk
// syncs and HTTP requests, runs on goroutines outside the mutex and reports back under it. The core of a store is the
// exception: one goroutine owns it together with the message log.
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

// timer calls a callback at a time of the loop's clock. Timers of the same time run in the order of their sequence numbers.
type timer struct {
	at       time.Duration
	sequence uint64
	callback func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
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

// eventLoop serializes the work of one role: everything that touches the role's state runs under its mutex. It implements
// loop.Loop and loop.Peers with the real clock and real connections.
type eventLoop struct {
	mutex        sync.Mutex
	start        time.Time
	timers       timerHeap
	lastSequence uint64
	wakeup       *time.Timer
	wakeupAt     time.Duration // the time that wakeup is set for; 0 while it is not set

	clients map[string]*peerClient
	events  peerEvents
}

// peerEvents holds a role's handlers for events of outbound connections, called under the mutex. Any of them may be nil.
type peerEvents struct {
	up   func(address string)
	down func(address string)
	push func(address string, frame wire.Frame)
}

// peerClient is the connection to a peer and whether it is up.
type peerClient struct {
	client *link.Client
	up     bool
}

func newEventLoop() *eventLoop {
	l := &eventLoop{start: time.Now(), clients: map[string]*peerClient{}}
	l.wakeup = time.AfterFunc(time.Hour, l.runDueTimers)
	l.wakeup.Stop()
	return l
}

// withLock runs a function under the mutex.
func (l *eventLoop) withLock(critical func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	critical()
}

// watchSettings applies changed settings under the mutex until the channel is closed.
func (l *eventLoop) watchSettings(changes <-chan *settings.Settings, apply func(changed *settings.Settings)) {
	for changed := range changes {
		l.withLock(func() { apply(changed) })
	}
}

// Now implements loop.Loop.
func (l *eventLoop) Now() time.Duration { return time.Since(l.start) }

// WallMillis implements loop.Loop.
func (l *eventLoop) WallMillis() int64 { return time.Now().UnixMilli() }

// Random implements loop.Loop.
func (l *eventLoop) Random(n int64) int64 {
	if n <= 0 {
		return 0
	}
	return rand.Int64N(n)
}

// After implements loop.Loop. It must be called under the mutex, and so is do.
func (l *eventLoop) After(wait time.Duration, do func()) {
	at := l.Now() + max(wait, 0)
	l.lastSequence++
	heap.Push(&l.timers, timer{at: at, sequence: l.lastSequence, callback: do})
	l.scheduleWakeup()
}

// timerGranularity is how much earlier than the pending wakeup a timer must be due to move that wakeup. Timers that are
// close to each other share one wakeup.
const timerGranularity = time.Millisecond

// scheduleWakeup sets the wakeup for the first timer, unless one is set early enough.
func (l *eventLoop) scheduleWakeup() {
	if len(l.timers) == 0 {
		return
	}
	first := l.timers[0].at
	if l.wakeupAt != 0 && l.wakeupAt <= first+timerGranularity {
		return
	}
	l.wakeupAt = first
	l.wakeup.Reset(max(0, first-l.Now()))
}

// runDueTimers runs when the wakeup fires.
func (l *eventLoop) runDueTimers() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.wakeupAt = 0
	now := l.Now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		next := heap.Pop(&l.timers).(timer)
		next.callback()
	}
	l.scheduleWakeup()
}

// Connected implements loop.Peers. It must be called under the mutex.
func (l *eventLoop) Connected(address string) bool {
	peer := l.clients[address]
	return peer != nil && peer.up
}

// Disconnect implements loop.Peers. It must be called under the mutex.
func (l *eventLoop) Disconnect(address string) {
	if peer := l.clients[address]; peer != nil {
		go peer.client.CloseConnection()
	}
}

// Connect implements loop.Peers. It must be called under the mutex.
func (l *eventLoop) Connect(addresses []string) {
	wanted := map[string]bool{}
	for _, address := range addresses {
		wanted[address] = true
		if l.clients[address] == nil && address != "" {
			l.openClient(address)
		}
	}
	for address, peer := range l.clients {
		if !wanted[address] {
			delete(l.clients, address)
			go peer.client.Close()
		}
	}
}

// openClient starts a client for an address. Its events are ignored once the address has another client or none.
func (l *eventLoop) openClient(address string) {
	peer := &peerClient{}
	l.clients[address] = peer
	whileCurrent := func(event func()) {
		l.withLock(func() {
			if l.clients[address] == peer {
				event()
			}
		})
	}
	peer.client = link.NewClient(address, link.Callbacks{
		Peers: func() (count int) {
			l.withLock(func() { count = len(l.clients) })
			return count
		},
		Connected: func() {
			whileCurrent(func() {
				peer.up = true
				if l.events.up != nil {
					l.events.up(address)
				}
			})
		},
		Disconnected: func() {
			whileCurrent(func() {
				peer.up = false
				if l.events.down != nil {
					l.events.down(address)
				}
			})
		},
		Push: func(frame wire.Frame) {
			whileCurrent(func() {
				if l.events.push != nil {
					l.events.push(address, frame)
				}
			})
		},
	})
}

// Call implements loop.Peers. It must be called under the mutex. A call that finds no connection fails with
// link.ClosedError, one without a response within the timeout with loop.TimeoutError.
func (l *eventLoop) Call(address string, kind wire.Kind, payload []byte, timeout time.Duration, done func([]byte, error)) {
	finished := false
	finish := func(payload []byte, err error) {
		if finished {
			return
		}
		finished = true
		done(payload, err)
	}
	peer := l.clients[address]
	if peer == nil || !peer.up {
		l.After(0, func() { finish(nil, &link.ClosedError{Peer: address}) })
		return
	}
	l.After(timeout, func() { finish(nil, &loop.TimeoutError{Peer: address}) })
	client := peer.client
	// If the connection has just broken, the client may call back synchronously, on this goroutine, which holds the mutex.
	insideCall := true
	var deferred func()
	client.Call(kind, payload, func(payload []byte, err error) {
		if insideCall {
			deferred = func() { finish(payload, err) }
			return
		}
		l.withLock(func() { finish(payload, err) })
	})
	insideCall = false
	if deferred != nil {
		l.After(0, deferred)
	}
}
