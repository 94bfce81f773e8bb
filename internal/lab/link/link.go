// Package link is the rig's hold on what two processes say to each other: a link carries the connections of one caller to
// one place, and can be cut (both ways or one, in silence or by resets), made late, or stopped in the middle of a message.
package link

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Way is what becomes of the bytes that go one way.
type Way struct {
	Cut   bool          // they wait until the link is whole again, as in a network that sends them once more
	Half  bool          // the next piece comes half, then the way is cut
	Delay time.Duration // they come so much later

	// Of datagrams alone; a connection sends anew what is lost, and keeps its order.
	Loss   float64       // share that does not come
	Twice  float64       // share that comes twice
	Spread time.Duration // they come up to so much later still, each by itself, and so out of order
}

// Faults are what a link suffers.
type Faults struct {
	To, From Way  // towards the place that is called, and back
	Refuse   bool // new connections are reset
}

// pieceMost bounds what is read from a socket at a time, queueMost what waits on the way of one connection. Beyond it
// the sender's own socket fills up, as it would before a peer that has stopped reading.
const (
	maxReadSize       = 16 << 10
	maxQueuedSegments = 256
)

// Link carries any number of connections. Its zero value is whole.
type Link struct {
	mu     sync.Mutex
	faults Faults
	change chan struct{} // closed at the next change
	conns  map[*Conn]struct{}
}

// Set has the link suffer what f says from now on; Faults{} makes it whole, and what waited goes on.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	if l.change != nil {
		close(l.change)
	}
	l.change = make(chan struct{})
}

// Suffer is Set, and resets what is open where the link refuses.
func (l *Link) Suffer(f Faults) {
	if l.Set(f); f.Refuse {
		l.Reset()
	}
}

// Faults tells what the link suffers.
func (l *Link) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Reset resets all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.Reset()
	}
}

// Wrap has a connection go over the link. gone, which may be nil, is called once when the caller's end of it is over: at
// once, though the place that is called may hear of it later or never.
func (l *Link) Wrap(c net.Conn, gone func()) *Conn {
	w := &Conn{Conn: c, link: l, in: make(chan segment, maxQueuedSegments), out: make(chan segment, maxQueuedSegments), closed: make(chan struct{}),
		expired: make(chan struct{}), onPeerClosed: gone}
	l.mu.Lock()
	if l.conns == nil {
		l.conns = map[*Conn]struct{}{}
	}
	if l.change == nil {
		l.change = make(chan struct{})
	}
	l.conns[w] = struct{}{}
	refuse := l.faults.Refuse
	l.mu.Unlock()
	if refuse {
		w.Reset() // before anything can be read from it
	}
	go w.readLoop()
	go w.writeLoop()
	return w
}

// piece is bytes under way, or with err the end of them.
type segment struct {
	sentAt time.Time // when they were sent
	data   []byte
	err    error
}

// Conn is a connection as the place that is called has it.
type Conn struct {
	net.Conn
	link         *Link
	in, out      chan segment
	onPeerClosed func()
	unread       []byte    // received and not read yet
	sentAt       time.Time // when that came from the caller
	endErr       error

	mu           sync.Mutex
	peerClosedAt time.Time
	closed       chan struct{}
	resetDone    bool
	expired      chan struct{} // closed when the read deadline has passed
	timer        *time.Timer
}

// receive takes bytes from the socket as they come.
func (c *Conn) readLoop() {
	for {
		b := make([]byte, maxReadSize)
		n, err := c.Conn.Read(b)
		if n > 0 {
			select {
			case c.in <- segment{sentAt: time.Now(), data: b[:n]}:
			case <-c.closed:
				err = net.ErrClosed
			}
		}
		if err != nil {
			c.mu.Lock()
			c.peerClosedAt = time.Now()
			c.mu.Unlock()
			if c.onPeerClosed != nil {
				c.onPeerClosed()
			}
			select {
			case c.in <- segment{sentAt: time.Now(), err: err}:
			case <-c.closed:
			}
			return
		}
	}
}

// pass waits until a piece may go its way, and says how much of it does; false when halt or the connection's end came
// first.
func (c *Conn) awaitDelivery(p segment, way func(*Faults) *Way, halt <-chan struct{}) (n int, ok bool) {
	for {
		if c.isReset() {
			return 0, false
		}
		c.link.mu.Lock()
		w := way(&c.link.faults)
		wait := time.Until(p.sentAt.Add(w.Delay))
		change := c.link.change
		if !w.Cut && wait <= 0 {
			n = len(p.data)
			if w.Half && n > 1 {
				w.Half, w.Cut = false, true
				n /= 2
			}
			c.link.mu.Unlock()
			return n, true
		}
		cut := w.Cut
		c.link.mu.Unlock()
		due := time.NewTimer(wait)
		if cut {
			due.Stop()
		}
		select {
		case <-due.C:
		case <-change:
		case <-halt:
			due.Stop()
			return 0, false
		case <-c.closed:
			due.Stop()
			return 0, false
		}
		due.Stop()
	}
}

// isReset tells whether the connection was reset: what had come over it by then is lost.
func (c *Conn) isReset() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func forwardWay(f *Faults) *Way { return &f.To }
func returnWay(f *Faults) *Way  { return &f.From }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	late := c.expired
	c.mu.Unlock()
	if len(c.unread) == 0 && c.endErr == nil {
		select {
		case p := <-c.in:
			c.unread, c.sentAt, c.endErr = p.data, p.sentAt, p.err
		case <-late:
			return 0, os.ErrDeadlineExceeded
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n, ok := c.awaitDelivery(segment{sentAt: c.sentAt, data: c.unread}, forwardWay, late)
	switch {
	case !ok:
		return 0, c.readError(late)
	case c.endErr != nil:
		return 0, c.endErr // told as late as the bytes before it
	}
	n = copy(b, c.unread[:n])
	c.unread = c.unread[n:]
	return n, nil
}

// Sent is when the bytes read last came from the caller, whatever time they took on the way.
func (c *Conn) Sent() time.Time { return c.sentAt }

// Gone is when the caller's end was over; zero while it is not.
func (c *Conn) Gone() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerClosedAt
}

func (c *Conn) readError(late <-chan struct{}) error {
	select {
	case <-late:
		return os.ErrDeadlineExceeded
	default:
		return net.ErrClosed
	}
}

// Write implements net.Conn. What it takes may be on its way for any time.
func (c *Conn) Write(b []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.out <- segment{sentAt: time.Now(), data: append([]byte(nil), b...)}:
		return len(b), nil
	}
}

// deliver writes what is under way to the socket, and closes it once all has gone.
func (c *Conn) writeLoop() {
	defer func() {
		c.Conn.Close()
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	}()
	for {
		var p segment
		select {
		case p = <-c.out:
		case <-c.closed:
			return
		}
		if p.err != nil {
			return
		}
		for len(p.data) > 0 {
			n, ok := c.awaitDelivery(p, returnWay, nil)
			if !ok {
				return
			}
			if _, err := c.Conn.Write(p.data[:n]); err != nil {
				return
			}
			p.data = p.data[n:]
		}
	}
}

// Close implements net.Conn: the caller hears of it after all that was written, once the way back is whole.
func (c *Conn) Close() error {
	select {
	case c.out <- segment{err: io.EOF}:
	default: // as much is under way as there may be: the connection is given up with it
		c.Reset()
	}
	return nil
}

// Reset closes it at once; the caller sees a reset.
func (c *Conn) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resetDone {
		return
	}
	c.resetDone = true
	// Before closed is told of: deliver closes the socket as well, and whoever comes first must send a reset.
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	close(c.closed)
	c.Conn.Close()
}

// SetReadDeadline implements net.Conn; it holds for reads that begin after it.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	late := make(chan struct{})
	c.expired = late
	if !t.IsZero() {
		c.timer = time.AfterFunc(time.Until(t), func() { close(late) })
	}
	return nil
}

// SetWriteDeadline implements net.Conn. Writes do not wait for the socket.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }
