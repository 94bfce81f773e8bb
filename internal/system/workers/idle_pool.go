package workers

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of idle connections.
const (
	maxIdleTime      = 20 * time.Second       // also if the worker states no time
	idleMargin       = 500 * time.Millisecond // a connection is not reused this long before the worker closes it
	maxIdlePerWorker = 32                     // idle connections to one worker
	keepAliveTimeout = "timeout="             // parameter of the Keep-Alive header, in seconds
)

// idleTimeFromHeader returns how long a connection may be idle, by the Keep-Alive header of a worker's response:
// idleMargin less than its timeout, but at least half of it, and at most maxIdleTime.
func idleTimeFromHeader(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), keepAliveTimeout)
		if !found {
			continue
		}
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || seconds <= 0 {
			continue
		}
		workerTimeout := time.Duration(seconds * float64(time.Second))
		return min(maxIdleTime, max(workerTimeout-idleMargin, workerTimeout/2))
	}
	return maxIdleTime
}

// idlePool holds the idle connections by worker address, the most recently used last. It is safe for concurrent use.
type idlePool struct {
	mutex     sync.Mutex
	byAddress map[string][]*connection
}

func newIdlePool() *idlePool {
	return &idlePool{byAddress: map[string][]*connection{}}
}

// take removes and returns the most recently used idle connection to a worker, or nil if there is none.
func (p *idlePool) take(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.byAddress[address]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	taken := idle[last]
	idle[last] = nil
	p.set(address, idle[:last])
	return taken
}

// put adds a connection. It reports false if the worker has maxIdlePerWorker already.
func (p *idlePool) put(c *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.byAddress[c.address]
	if len(idle) >= maxIdlePerWorker {
		return false
	}
	p.byAddress[c.address] = append(idle, c)
	return true
}

// remove removes a connection that has ended, if it is in the pool.
func (p *idlePool) remove(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.byAddress[c.address]
	for i, other := range idle {
		if other == c {
			p.set(c.address, append(idle[:i:i], idle[i+1:]...))
			return
		}
	}
}

func (p *idlePool) set(address string, idle []*connection) {
	if len(idle) == 0 {
		delete(p.byAddress, address)
		return
	}
	p.byAddress[address] = idle
}
