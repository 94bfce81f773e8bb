// Package mesh injects faults into the traffic between dispatchers, and between clients and dispatchers. It is a
// proxy: a Mesh listens on an address of its own for each member, identifies the caller by its IP address, and
// forwards datagrams and connections over a separate link for each pair of members. A Gate is a proxy for
// connections to a single address.
package mesh

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"granitewing/internal/lab/link"
)

// dialTimeout bounds how long the address behind a gate may take to accept a connection.
const dialTimeout = 5 * time.Second

// Gate forwards connections to one address, each over a link that depends on the caller.
type Gate struct {
	ln          net.Listener
	target      string
	linkFor     func(caller net.Addr) *link.Link // returns nil for a caller that is not admitted
	byteCounter func(caller net.Addr) *atomic.Int64

	mu     sync.Mutex
	open   map[*link.Conn]net.Conn
	closed bool
	conns  sync.WaitGroup
}

// OpenGate listens at addr and forwards all connections to the address to over one link.
func OpenGate(addr, to string, l *link.Link) (*Gate, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return newGate(ln, to, func(net.Addr) *link.Link { return l }, nil), nil
}

func newGate(ln net.Listener, to string, of func(net.Addr) *link.Link, bytes func(net.Addr) *atomic.Int64) *Gate {
	g := &Gate{ln: ln, target: to, linkFor: of, byteCounter: bytes, open: map[*link.Conn]net.Conn{}}
	g.conns.Go(g.accept)
	return g
}

// Addr returns the address at which the gate listens.
func (g *Gate) Addr() string { return g.ln.Addr().String() }

func (g *Gate) accept() {
	for {
		in, err := g.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of file descriptors; connections that are open must continue
			continue
		}
		l := g.linkFor(in.RemoteAddr())
		if l == nil {
			reset(in)
			continue
		}
		g.mu.Lock()
		if g.closed {
			g.mu.Unlock()
			reset(in)
			continue
		}
		c := l.Wrap(in, nil)
		g.open[c] = nil
		g.conns.Go(func() { g.forward(c, in.RemoteAddr()) })
		g.mu.Unlock()
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// forward connects to the target once the first bytes have come over the link: until then, a caller whose direction
// to the target is cut must not reach it.
func (g *Gate) forward(c *link.Conn, caller net.Addr) {
	defer func() {
		g.mu.Lock()
		delete(g.open, c)
		g.mu.Unlock()
	}()
	buf := make([]byte, 4<<10)
	n, err := c.Read(buf)
	if err != nil {
		c.Reset()
		return
	}
	up, err := net.DialTimeout("tcp", g.target, dialTimeout)
	if err != nil {
		c.Reset() // nothing listens at the target
		return
	}
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		reset(up)
		c.Reset()
		return
	}
	g.open[c] = up
	g.mu.Unlock()
	var out io.Writer = up
	if g.byteCounter != nil {
		out = countingWriter{up, g.byteCounter(caller)}
	}
	g.conns.Go(func() {
		if _, err := io.Copy(c, up); err != nil {
			c.Reset()
			return
		}
		c.Close()
	})
	if _, err := out.Write(buf[:n]); err == nil {
		_, err = io.Copy(out, c)
	}
	switch t, ok := up.(*net.TCPConn); {
	case err != nil || !ok:
		reset(up)
	default:
		t.CloseWrite()
	}
}

// countingWriter counts the bytes written to it.
type countingWriter struct {
	io.Writer
	n *atomic.Int64
}

func (c countingWriter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// Close resets all connections and waits until they have ended.
func (g *Gate) Close() {
	g.mu.Lock()
	g.closed = true
	g.ln.Close()
	for c, up := range g.open {
		c.Reset()
		if up != nil {
			reset(up)
		}
	}
	g.mu.Unlock()
	g.conns.Wait()
}
