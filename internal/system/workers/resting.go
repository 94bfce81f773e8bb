package workers

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of resting connections.
const (
	restMost      = 20 * time.Second
	restMargin    = 500 * time.Millisecond // before the worker closes a connection, none is used any more
	restingMost   = 32                     // to one worker
	keepAliveTime = "timeout="
)

// restsFor is how long a connection may rest, by the Keep-Alive header of a worker's answer.
func restsFor(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), keepAliveTime)
		if !found {
			continue
		}
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || seconds <= 0 {
			continue
		}
		kept := time.Duration(seconds * float64(time.Second))
		return min(restMost, max(kept-restMargin, kept/2))
	}
	return restMost
}

// restingConnections is the connections that wait for messages, by worker, the one used last at the end.
type restingConnections struct {
	mutex     sync.Mutex
	byAddress map[string][]*connection
}

func newRestingConnections() *restingConnections {
	return &restingConnections{byAddress: map[string][]*connection{}}
}

// take gives the connection to a worker that was used last, nil where none rests.
func (r *restingConnections) take(address string) *connection {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	resting := r.byAddress[address]
	if len(resting) == 0 {
		return nil
	}
	last := len(resting) - 1
	taken := resting[last]
	resting[last] = nil
	r.set(address, resting[:last])
	return taken
}

// put keeps a connection; false where its worker has enough.
func (r *restingConnections) put(c *connection) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	resting := r.byAddress[c.address]
	if len(resting) >= restingMost {
		return false
	}
	r.byAddress[c.address] = append(resting, c)
	return true
}

// remove takes a connection out that has ended.
func (r *restingConnections) remove(c *connection) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	resting := r.byAddress[c.address]
	for i, other := range resting {
		if other == c {
			r.set(c.address, append(resting[:i:i], resting[i+1:]...))
			return
		}
	}
}

func (r *restingConnections) set(address string, resting []*connection) {
	if len(resting) == 0 {
		delete(r.byAddress, address)
		return
	}
	r.byAddress[address] = resting
}
