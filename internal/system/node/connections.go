package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionTracker closes a server's idle connections without losing a request. A client may safely send a request
// elsewhere if this process has not read it, so a connection must not be closed once a request has been read from it.
// http.Server closes a connection that was idle a moment ago even then. The tracker instead ends pending reads by a
// deadline in the past, which does not affect a read that already has its bytes.
type connectionTracker struct {
	mutex sync.Mutex
	idle  map[net.Conn]bool
	open  int
}

func newConnectionTracker() *connectionTracker { return &connectionTracker{idle: map[net.Conn]bool{}} }

// trackState is the server's ConnState hook. Connections in StateNew count as idle.
func (c *connectionTracker) trackState(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		c.idle[connection] = true
	case http.StateIdle:
		c.idle[connection] = true
	case http.StateActive:
		delete(c.idle, connection)
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.idle, connection)
	}
}

// expireIdle ends the pending reads of idle connections and returns the number of connections that are still open, idle
// or not.
func (c *connectionTracker) expireIdle() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for connection := range c.idle {
		_ = connection.SetReadDeadline(time.Unix(1, 0))
	}
	return c.open
}

// closeAll closes connections as they become idle until none is open or the timeout has passed.
func (c *connectionTracker) closeAll(within time.Duration) {
	const interval = 20 * time.Millisecond
	until := time.Now().Add(within)
	for c.expireIdle() > 0 && time.Now().Before(until) {
		time.Sleep(interval)
	}
}
