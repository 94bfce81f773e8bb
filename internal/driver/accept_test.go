package driver

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// What stands in the listener's queue when it is shut is taken and answered.
func TestQueueOfAListenerThatIsShut(t *testing.T) {
	x := newCrossing(t)
	x.serve("s-a")
	var clients []net.Conn
	for i := range 5 {
		c, err := net.Dial("tcp", x.d.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, request(fmt.Sprint("t", i)))
		clients = append(clients, c)
	}
	x.d.successor.Store(true)
	x.d.stop()
	go x.d.accept()
	x.until(func() bool { return len(x.d.open) == len(clients) })
	for id := range x.d.open {
		x.d.do(x.d.core.Expire(x.d.now(), id))
	}
	for _, c := range clients {
		if got := x.answer(c); got != "HTTP/1.1 502 Bad Gateway" {
			t.Errorf("one in the queue is answered %q", got)
		}
		c.Close()
	}
	x.until(func() bool { return x.d.refused && len(x.d.downstreams) == 0 })
	if _, err := net.Dial("tcp", x.d.ln.Addr().String()); err == nil {
		t.Error("the listener still takes connections")
	}
}

// lateArrival is a listener at which a client connects just after its queue was found empty.
type lateArrival struct {
	*net.TCPListener
	looks  int    // that found the queue empty
	arrive func() // called at the last look before arrivals are stopped
}

// lastLook is the second look that finds nothing: the first ends the ordinary accept.
const lastLook = 2

func (l *lateArrival) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.looks++
	if l.looks == lastLook {
		l.arrive()
	}
	return nil, err
}

// A connection that comes between the last look into the queue and the listener's close is taken like those before it.
func TestArrivalBetweenTheLastAcceptAndTheClose(t *testing.T) {
	x := newCrossing(t)
	x.serve("s-a")
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // as the program listens
	ln, err := plain.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x.d.ln = &lateArrival{TCPListener: ln.(*net.TCPListener), arrive: func() {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, request("late"))
	}}
	x.d.shutListener()
	go x.d.accept()
	x.until(func() bool { return x.d.refused })
	x.until(func() bool { return len(x.d.open) == 1 })
}
