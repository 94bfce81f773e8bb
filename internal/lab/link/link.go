// Package link injects faults into the connections between two processes. A Link carries the connections of one
// caller to one callee. It can be cut in one direction or both, silently or with resets, delayed, or stopped in the
// middle of a message. Wrap puts a connection that the callee has accepted onto a link; Set changes the link's
// faults.
package link

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Direction holds the faults of one direction of a link.
type Direction struct {
	Cut           bool          // bytes wait until the link is healed, as in a network that retransmits them
	CutMidMessage bool          // half of the next segment is delivered, then the direction is cut
	Delay         time.Duration // added to the delivery of all bytes

	// For datagrams only: a connection retransmits what is lost and preserves order.
	Loss      float64       // fraction of datagrams that are lost
	Duplicate float64       // fraction of datagrams that are delivered twice
	Jitter    time.Duration // random additional delay of up to this for each datagram, which reorders them
}

// Faults holds the faults of a link. The zero value is a healthy link.
type Faults struct {
	To, From Direction // towards the callee, and back to the caller
	Refuse   bool      // new connections are reset
}

// maxReadSize bounds a single read from a socket, and maxQueuedSegments the segments of one connection that wait in
// each direction. Beyond that the sender's own socket buffer fills up, as it would when a peer has stopped reading.
const (
	maxReadSize       = 16 << 10
	maxQueuedSegments = 256
)

// Link carries any number of connections. Its zero value is healthy. It is safe for concurrent use.
type Link struct {
	mu     sync.Mutex
	faults Faults
	change chan struct{} // closed at the next change of faults
	conns  map[*Conn]struct{}
}

// Set replaces the link's faults. Faults{} heals the link, and bytes that waited are delivered. Open connections are
// not reset, even if f.Refuse is set.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	if l.change != nil {
		close(l.change)
	}
	l.change = make(chan struct{})
}

// SetAndReset sets the faults as Set does, and resets open connections if f.Refuse is set.
func (l *Link) SetAndReset(f Faults) {
	if l.Set(f); f.Refuse {
		l.Reset()
	}
}

// Faults returns the current faults.
func (l *Link) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Reset resets all open connections.
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

// Wrap makes a connection go over the link. gone, which may be nil, is called once when the caller's end is closed.
// It is called immediately, although the callee may learn of the close later or never.
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

// segment is a run of bytes in transit or, if err is set, the end of the stream.
type segment struct {
	sentAt time.Time // time of sending
	data   []byte
	err    error
}

// Conn is a connection over a link as the callee uses it. It implements net.Conn.
type Conn struct {
	net.Conn
	link         *Link
	in, out      chan segment
	onPeerClosed func()
	unread       []byte    // received and not yet read
	sentAt       time.Time // when unread was received from the caller
	endErr       error

	mu           sync.Mutex
	peerClosedAt time.Time
	closed       chan struct{}
	resetDone    bool
	expired      chan struct{} // closed when the read deadline has passed
	timer        *time.Timer
}

// readLoop reads bytes from the socket as they arrive.
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

// awaitDelivery waits until a segment may be delivered and returns how many of its bytes are. It returns false if
// halt is closed or the connection ends first.
func (c *Conn) awaitDelivery(p segment, direction func(*Faults) *Direction, halt <-chan struct{}) (n int, ok bool) {
	for {
		if c.isReset() {
			return 0, false
		}
		c.link.mu.Lock()
		w := direction(&c.link.faults)
		wait := time.Until(p.sentAt.Add(w.Delay))
		change := c.link.change
		if !w.Cut && wait <= 0 {
			n = len(p.data)
			if w.CutMidMessage && n > 1 {
				w.CutMidMessage, w.Cut = false, true
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

// isReset reports whether the connection was reset. Bytes that had been received by then are lost.
func (c *Conn) isReset() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func forwardWay(f *Faults) *Direction { return &f.To }
func returnWay(f *Faults) *Direction  { return &f.From }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	expired := c.expired
	c.mu.Unlock()
	if len(c.unread) == 0 && c.endErr == nil {
		select {
		case p := <-c.in:
			c.unread, c.sentAt, c.endErr = p.data, p.sentAt, p.err
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n, ok := c.awaitDelivery(segment{sentAt: c.sentAt, data: c.unread}, forwardWay, expired)
	switch {
	case !ok:
		return 0, c.readError(expired)
	case c.endErr != nil:
		return 0, c.endErr // reported with the same delay as the bytes before it
	}
	n = copy(b, c.unread[:n])
	c.unread = c.unread[n:]
	return n, nil
}

// Sent returns when the bytes read last were received from the caller, before any delay of the link.
func (c *Conn) Sent() time.Time { return c.sentAt }

// Gone returns when the caller closed its end, or the zero time if it has not.
func (c *Conn) Gone() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerClosedAt
}

func (c *Conn) readError(expired <-chan struct{}) error {
	select {
	case <-expired:
		return os.ErrDeadlineExceeded
	default:
		return net.ErrClosed
	}
}

// Write implements net.Conn. It returns once the bytes are queued; the link may delay them for any time.
func (c *Conn) Write(b []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.out <- segment{sentAt: time.Now(), data: append([]byte(nil), b...)}:
		return len(b), nil
	}
}

// writeLoop writes queued segments to the socket and closes it after the last one.
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

// Close implements net.Conn. The caller sees the close after all bytes that were written, once the direction back to
// it is healed.
func (c *Conn) Close() error {
	select {
	case c.out <- segment{err: io.EOF}:
	default: // the queue is full: give up the connection and its bytes
		c.Reset()
	}
	return nil
}

// Reset closes the connection immediately; the caller sees a TCP reset.
func (c *Conn) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resetDone {
		return
	}
	c.resetDone = true
	// SO_LINGER is set before the closed channel is closed: writeLoop closes the socket as well, and whichever close
	// comes first must send a reset.
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	close(c.closed)
	c.Conn.Close()
}

// SetReadDeadline implements net.Conn. It affects only reads that begin after it.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	expired := make(chan struct{})
	c.expired = expired
	if !t.IsZero() {
		c.timer = time.AfterFunc(time.Until(t), func() { close(expired) })
	}
	return nil
}

// SetWriteDeadline implements net.Conn. It has no effect, as writes do not wait for the socket.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn. It sets the read deadline.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }
