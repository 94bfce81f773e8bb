package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections closes a server's idle connections without losing a request. http.Server closes a connection that it saw
// idle a moment ago, although a request may have been read from it meanwhile; here reads are ended by a deadline instead,
// which a read that has its bytes passes by. What the process has not read, the client may send elsewhere.
type idleConnections struct {
	mutex sync.Mutex
	idle  map[net.Conn]bool
	open  int
}

func newIdleConnections() *idleConnections { return &idleConnections{idle: map[net.Conn]bool{}} }

// note is the server's hook for the states of its connections.
func (c *idleConnections) note(connection net.Conn, state http.ConnState) {
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

// end ends the reads of idle connections, and gives the number of connections that are left.
func (c *idleConnections) end() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for connection := range c.idle {
		_ = connection.SetReadDeadline(time.Unix(1, 0))
	}
	return c.open
}

// endAll ends idle connections until none is left, or a time has come.
func (c *idleConnections) endAll(within time.Duration) {
	const interval = 20 * time.Millisecond
	until := time.Now().Add(within)
	for c.end() > 0 && time.Now().Before(until) {
		time.Sleep(interval)
	}
}
