package driver

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// The departure of a client that has pipelined several requests is noticed while its later requests still wait.
func TestClientLeavesWithPipelinedRequests(t *testing.T) {
	for _, ahead := range []int{maxReadAhead, 100} { // read to the end, or left unread
		x := newHarness(t)
		x.d.limits.readAhead = ahead
		x.listServers("s-a", "s-b")
		c, n := x.connectClient()
		if _, err := io.WriteString(c, requestText("t1")+requestText("t2")+requestText("t3")+strings.Repeat(requestText("t4"), 60)); err != nil {
			t.Fatal(err)
		}
		first, head := x.acceptAnyAttempt()
		if !strings.Contains(head, "X-Txn: t1") {
			t.Fatalf("first: %q", head)
		}
		c.Close()
		if ahead == maxReadAhead {
			x.runUntil(func() bool { return n.isClosed })
		}
		// The server refuses the attempt, so the core would send it to another one.
		io.WriteString(first, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		x.runUntil(func() bool { return n.isClosed && len(x.d.attempts) == 0 })
		x.assertNotReached("s-a")
		x.assertNotReached("s-b")
	}
}

// acceptAnyAttempt accepts the attempt at whichever server it goes to.
func (x *harness) acceptAnyAttempt() (net.Conn, string) {
	x.t.Helper()
	x.runUntil(func() bool { return len(x.d.attempts) > 0 })
	for _, r := range x.d.attempts {
		for name, ln := range x.servers {
			if ln.Addr().String() == r.addr {
				return x.acceptAttempt(name)
			}
		}
	}
	x.t.Fatal("no attempt")
	return nil, ""
}

// If a client leaves while its request waits for a server, or while the connection to one is being made, the request
// is not sent.
func TestClientLeavesBeforeAttemptStarts(t *testing.T) {
	t.Run("waiting for a server", func(t *testing.T) {
		x := newHarness(t)
		c, n := x.connectClient()
		io.WriteString(c, requestText("t1"))
		x.runUntil(func() bool { return len(x.d.openRequests) == 1 })
		c.Close()
		x.runUntil(func() bool { return n.isClosed && len(x.d.deferred) == 0 })
		x.listServers("s-a")
		x.d.execute(x.d.core.Wake(x.d.now() + 1_000_000))
		if len(x.d.attempts) != 0 {
			t.Error("the request was sent")
		}
		x.assertNotReached("s-a")
	})
	t.Run("dialing", func(t *testing.T) {
		x := newHarness(t)
		x.listServers("s-a")
		up := make(chan struct{})
		x.d.dial = func(addr string, limit time.Duration) (net.Conn, error) {
			<-up
			return dialTCP(addr, limit)
		}
		c, n := x.connectClient()
		io.WriteString(c, requestText("t1"))
		x.runUntil(func() bool { return len(x.d.attempts) == 1 })
		c.Close()
		x.runUntil(func() bool { return n.isClosed && len(x.d.deferred) == 0 })
		close(up)
		// The dial's event may come after others of the closed connection.
		addr := x.servers["s-a"].Addr().String()
		x.runUntil(func() bool { return len(x.d.pool.servers[addr].idle) == 1 })
		if len(x.d.attempts) != 0 {
			t.Error("its attempt is still open")
		}
		accepted, err := x.servers["s-a"].Accept()
		if err != nil {
			t.Fatal(err)
		}
		x.d.pool.closeIdle(addr)
		if b, _ := io.ReadAll(accepted); len(b) != 0 {
			t.Errorf("its server got %q", b)
		}
	})
}
