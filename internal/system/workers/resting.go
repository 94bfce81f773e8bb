package workers

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of resting connections.
const (
	maxIdleTime      = 20 * time.Second
	idleMargin       = 500 * time.Millisecond // before the worker closes a connection, none is used any more
	maxIdlePerWorker = 32                     // to one worker
	keepAliveTimeout = "timeout="
)

// restsFor is how long a connection may rest, by the Keep-Alive header of a worker's answer.
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

// restingConnections is the connections that wait for messages, by worker, the one used last at the end.
type idlePool struct {
	mutex     sync.Mutex
	byAddress map[string][]*connection
}

func newIdlePool() *idlePool {
	return &idlePool{byAddress: map[string][]*connection{}}
}

// take gives the connection to a worker that was used last, nil where none rests.
func (r *idlePool) take(address string) *connection {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	idle := r.byAddress[address]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	taken := idle[last]
	idle[last] = nil
	r.set(address, idle[:last])
	return taken
}

// put keeps a connection; false where its worker has enough.
func (r *idlePool) put(c *connection) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	idle := r.byAddress[c.address]
	if len(idle) >= maxIdlePerWorker {
		return false
	}
	r.byAddress[c.address] = append(idle, c)
	return true
}

// remove takes a connection out that has ended.
func (r *idlePool) remove(c *connection) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	idle := r.byAddress[c.address]
	for i, other := range idle {
		if other == c {
			r.set(c.address, append(idle[:i:i], idle[i+1:]...))
			return
		}
	}
}

func (r *idlePool) set(address string, idle []*connection) {
	if len(idle) == 0 {
		delete(r.byAddress, address)
		return
	}
	r.byAddress[address] = idle
}
