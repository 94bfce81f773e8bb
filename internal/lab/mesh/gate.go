// Package mesh is the rig's hold on what dispatchers say to each other and on what clients say to them: it stands between
// them with an address of its own for each, knows who calls, and has a link for each two whose bytes and datagrams it
// carries.
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

// dialLimit bounds how long the place behind a gate may take to accept.
const dialTimeout = 5 * time.Second

// Gate carries connections to one place, each over a link that depends on who calls.
type Gate struct {
	ln          net.Listener
	target      string
	linkFor     func(caller net.Addr) *link.Link // nil: nobody who may call
	byteCounter func(caller net.Addr) *atomic.Int64

	mu     sync.Mutex
	open   map[*link.Conn]net.Conn
	closed bool
	conns  sync.WaitGroup
}

// OpenGate listens at an address for calls to a place, which all go over one link.
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

// Addr is where it is called.
func (g *Gate) Addr() string { return g.ln.Addr().String() }

func (g *Gate) accept() {
	for {
		in, err := g.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of descriptors; those that are open must go on
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

// carry takes a connection to its place once the first bytes have come over the link: before that a caller whose way there
// is cut has reached nobody.
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
		c.Reset() // nobody is there
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

// counted counts what goes one way.
type countingWriter struct {
	io.Writer
	n *atomic.Int64
}

func (c countingWriter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// Close ends all connections and waits until they have ended.
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
