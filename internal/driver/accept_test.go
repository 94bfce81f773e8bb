package driver

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// Connections in the queue of a stopped listener are accepted and answered.
func TestStoppedListenerServesItsQueue(t *testing.T) {
	x := newHarness(t)
	x.listServers("s-a")
	var clients []net.Conn
	for i := range 5 {
		c, err := net.Dial("tcp", x.d.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, requestText(fmt.Sprint("t", i)))
		clients = append(clients, c)
	}
	x.d.successor.Store(true)
	x.d.stop()
	go x.d.accept()
	x.runUntil(func() bool { return len(x.d.openRequests) == len(clients) })
	for id := range x.d.openRequests {
		x.d.execute(x.d.core.Expire(x.d.now(), id))
	}
	for _, c := range clients {
		if got := x.readAnswer(c); got != "HTTP/1.1 502 Bad Gateway" {
			t.Errorf("a queued connection is answered %q", got)
		}
		c.Close()
	}
	x.runUntil(func() bool { return x.d.acceptStopped && len(x.d.downstreams) == 0 })
	if _, err := net.Dial("tcp", x.d.ln.Addr().String()); err == nil {
		t.Error("the listener still accepts connections")
	}
}

// lateConnListener is a listener at which a client connects just after its queue was found empty.
type lateConnListener struct {
	*net.TCPListener
	emptyChecks int    // Accept calls that found the queue empty
	onLastCheck func() // called at the last check before new connections are dropped
}

// lastCheck is the second Accept call that finds no connection: the first ends the ordinary accept loop.
const lastCheck = 2

func (l *lateConnListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.emptyChecks++
	if l.emptyChecks == lastCheck {
		l.onLastCheck()
	}
	return nil, err
}

// A connection that arrives between the last check of the queue and the close of the listener is accepted like those
// before it.
func TestConnectionBetweenLastAcceptAndClose(t *testing.T) {
	x := newHarness(t)
	x.listServers("s-a")
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // as in the program
	ln, err := plain.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x.d.ln = &lateConnListener{TCPListener: ln.(*net.TCPListener), onLastCheck: func() {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, requestText("late"))
	}}
	x.d.stopListener()
	go x.d.accept()
	x.runUntil(func() bool { return x.d.acceptStopped })
	x.runUntil(func() bool { return len(x.d.openRequests) == 1 })
}
