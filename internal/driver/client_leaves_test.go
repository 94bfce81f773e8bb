package driver

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A client that has sent more than one request and leaves is seen to leave, though the others still wait.
func TestClientLeavesBehindRequestsSentAhead(t *testing.T) {
	for _, ahead := range []int{aheadMost, 100} { // read to the end, or left unread
		x := newCrossing(t)
		x.d.limits.ahead = ahead
		x.serve("s-a", "s-b")
		c, n := x.client()
		if _, err := io.WriteString(c, request("t1")+request("t2")+request("t3")+strings.Repeat(request("t4"), 60)); err != nil {
			t.Fatal(err)
		}
		first, head := x.eitherServer()
		if !strings.Contains(head, "X-Txn: t1") {
			t.Fatalf("first: %q", head)
		}
		c.Close()
		if ahead == aheadMost {
			x.until(func() bool { return n.gone })
		}
		// It is turned away, so the decisions would send it on.
		io.WriteString(first, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		x.until(func() bool { return n.gone && len(x.d.attempts) == 0 })
		x.untouched("s-a")
		x.untouched("s-b")
	}
}

// eitherServer accepts the attempt at whichever server it goes to.
func (x *crossing) eitherServer() (net.Conn, string) {
	x.t.Helper()
	x.until(func() bool { return len(x.d.attempts) > 0 })
	for _, r := range x.d.attempts {
		for name, ln := range x.servers {
			if ln.Addr().String() == r.addr {
				return x.server(name)
			}
		}
	}
	x.t.Fatal("no attempt")
	return nil, ""
}

// A client that leaves while its request waits for a server, or while the connection to one is being made, is not served.
func TestClientLeavesBeforeItsAttemptBegins(t *testing.T) {
	t.Run("it waits", func(t *testing.T) {
		x := newCrossing(t)
		c, n := x.client()
		io.WriteString(c, request("t1"))
		x.until(func() bool { return len(x.d.open) == 1 })
		c.Close()
		x.until(func() bool { return n.gone && len(x.d.later) == 0 })
		x.serve("s-a")
		x.d.do(x.d.core.Wake(x.d.now() + 1_000_000))
		if len(x.d.attempts) != 0 {
			t.Error("it was sent")
		}
		x.untouched("s-a")
	})
	t.Run("it dials", func(t *testing.T) {
		x := newCrossing(t)
		x.serve("s-a")
		up := make(chan struct{})
		x.d.dial = func(addr string, limit time.Duration) (net.Conn, error) {
			<-up
			return dialTCP(addr, limit)
		}
		c, n := x.client()
		io.WriteString(c, request("t1"))
		x.until(func() bool { return len(x.d.attempts) == 1 })
		c.Close()
		x.until(func() bool { return n.gone && len(x.d.later) == 0 })
		close(up)
		// The dial's event may come behind others of the connection that was closed.
		addr := x.servers["s-a"].Addr().String()
		x.until(func() bool { return len(x.d.pool.servers[addr].idle) == 1 })
		if len(x.d.attempts) != 0 {
			t.Error("its attempt is still out")
		}
		accepted, err := x.servers["s-a"].Accept()
		if err != nil {
			t.Fatal(err)
		}
		x.d.pool.leave(addr)
		if b, _ := io.ReadAll(accepted); len(b) != 0 {
			t.Errorf("its server got %q", b)
		}
	})
}
