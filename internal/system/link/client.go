package link

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"granitewing/internal/system/wire"
)

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// Callbacks are the callbacks of a client; each may be nil. The client's goroutines call them, and they must not block.
type Callbacks struct {
	// Connected is called when a connection is up, after the peer's greeting.
	Connected func()
	// Disconnected is called when that connection has ended, after its calls have failed.
	Disconnected func()
	// Push is called for each frame of the peer that is neither an answer nor a refusal.
	Push func(frame wire.Frame)
	// Peers returns the number of peers that the process keeps connections to; the reconnection pause grows with
	// it. nil means one.
	Peers func() int
}

// Client keeps a connection to one peer until Close, and reconnects when it fails. It is safe for concurrent use.
type Client struct {
	address   string
	events    Callbacks
	stop      chan struct{}
	retryNow  chan struct{} // has an element if the next pause or the current dial is to be cut short
	closeOnce sync.Once

	mutex   sync.Mutex
	writer  *writer                                    // nil while the connection is down
	calls   map[uint64]func(payload []byte, err error) // pending calls, by ID
	lastID  uint64
	stopped bool
}

// NewClient returns a client that connects to a TCP address, as host:port, in the background.
func NewClient(address string, events Callbacks) *Client {
	client := &Client{address: address, events: events, stop: make(chan struct{}), retryNow: make(chan struct{}, 1),
		calls: map[uint64]func([]byte, error){}}
	go client.run()
	return client
}

// Address returns the address of the peer.
func (c *Client) Address() string { return c.address }

// Call sends a call. done is called once, with the payload of the answer, or with a *RefusedError or a
// *ClosedError. It must not block. Without a connection it is called before Call returns. A call has no timeout of
// its own.
func (c *Client) Call(kind wire.Kind, payload []byte, done func(payload []byte, err error)) {
	c.mutex.Lock()
	current := c.writer
	if current == nil {
		c.mutex.Unlock()
		done(nil, &ClosedError{Peer: c.address})
		return
	}
	c.lastID++
	id := c.lastID
	c.calls[id] = done
	c.mutex.Unlock()
	if !current.send(wire.Frame{Call: id, Kind: kind, Payload: payload}) {
		c.complete(id, nil, &ClosedError{Peer: c.address})
	}
}

// Push sends a frame that has no answer. It reports false if there is no connection.
func (c *Client) Push(kind wire.Kind, payload []byte) bool {
	c.mutex.Lock()
	current := c.writer
	c.mutex.Unlock()
	return current != nil && current.send(wire.Frame{Kind: kind, Payload: payload})
}

// CloseConnection closes the current connection, if there is one. The client then reconnects.
func (c *Client) CloseConnection() {
	c.mutex.Lock()
	current := c.writer
	c.mutex.Unlock()
	if current != nil {
		current.close()
	}
}

// RetryNow makes the client reconnect at once if the connection is down. It is called when the peer is known to be
// running.
func (c *Client) RetryNow() {
	c.mutex.Lock()
	broken := c.writer == nil
	c.mutex.Unlock()
	if !broken {
		return
	}
	c.requestRetry()
}

// Close closes the connection and stops reconnecting. Pending calls fail with a *ClosedError.
func (c *Client) Close() {
	c.closeOnce.Do(func() {
		close(c.stop)
		c.mutex.Lock()
		c.stopped = true
		current := c.writer
		c.mutex.Unlock()
		if current != nil {
			current.close()
		}
	})
}

// complete removes a pending call and calls its done function. An unknown ID is ignored.
func (c *Client) complete(id uint64, payload []byte, err error) {
	c.mutex.Lock()
	done := c.calls[id]
	delete(c.calls, id)
	c.mutex.Unlock()
	if done != nil {
		done(payload, err)
	}
}

// run connects, serves the connection and reconnects after a pause, until Close. The pause grows with each round. It
// returns to its minimum after a round, of connecting and serving the connection, that lasted more than 5 s. It is
// randomised between half and one and a half of its mean.
func (c *Client) run() {
	wait, attempts := minReconnectWait, 0
	for {
		started := time.Now()
		if c.connectAndServe(attempts) {
			attempts = 0
		}
		attempts++
		if time.Since(started) > 5*time.Second {
			wait = minReconnectWait
		}
		pause := wait/2 + time.Duration(rand.Int64N(int64(wait)))
		wait = min(2*wait, c.reconnectWaitLimit())
		select {
		case <-c.stop:
			return
		case <-c.retryNow:
		case <-time.After(pause):
		}
	}
}

// reconnectWaitLimit returns the bound on the mean pause between two attempts.
func (c *Client) reconnectWaitLimit() time.Duration {
	if c.events.Peers == nil {
		return maxReconnectWait
	}
	return max(maxReconnectWait, time.Duration(c.events.Peers())*reconnectWaitPerPeer)
}

// dial makes a TCP connection; attempts is the number of failed ones before it. A request to retry cancels the dial and
// starts the next one at once, since the SYN may have been lost before the peer was running.
func (c *Client) dial(attempts int) (net.Conn, error) {
	timeout := initialDialTimeout
	if attempts >= initialDialAttempts {
		timeout = dialTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-c.retryNow:
			cancel()
			c.requestRetry()
		case <-done:
		}
	}()
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", c.address)
}

// requestRetry cuts the next pause or the current dial short.
func (c *Client) requestRetry() {
	select {
	case c.retryNow <- struct{}{}:
	default:
	}
}

// connectAndServe makes a connection and serves it until it ends. It reports false if no connection came up.
func (c *Client) connectAndServe(attempts int) bool {
	connection, err := c.dial(attempts)
	if err != nil {
		return false
	}
	enableDeadPeerDetection(connection)
	if _, err := connection.Write([]byte(wire.Preamble)); err != nil {
		connection.Close()
		return false
	}
	reader := bufio.NewReaderSize(connection, readBuffer)
	if !readGreeting(connection, reader) {
		connection.Close()
		return false
	}
	current := newWriter(connection)
	c.mutex.Lock()
	if c.stopped {
		c.mutex.Unlock()
		connection.Close()
		return false
	}
	c.writer = current
	c.mutex.Unlock()
	go current.run()
	if c.events.Connected != nil {
		c.events.Connected()
	}
	c.readFrames(reader)
	current.close()
	c.failPendingCalls()
	if c.events.Disconnected != nil {
		c.events.Disconnected()
	}
	return true
}

// readGreeting reports whether the peer's first frame is a greeting and arrives within dialTimeout.
func readGreeting(connection net.Conn, reader *bufio.Reader) bool {
	_ = connection.SetReadDeadline(time.Now().Add(dialTimeout))
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	frame, err := wire.ReadFrame(reader)
	return err == nil && frame.Kind == wire.Greeting
}

// readFrames dispatches the peer's frames until the connection ends or a refusal is malformed.
func (c *Client) readFrames(reader *bufio.Reader) {
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return
		}
		switch frame.Kind {
		case wire.Answer:
			c.complete(frame.Call, frame.Payload, nil)
		case wire.Refusal:
			var body wire.RefusalBody
			if err := wire.Decode(frame.Kind, frame.Payload, &body); err != nil {
				return
			}
			c.complete(frame.Call, nil, &RefusedError{Body: body})
		default:
			if c.events.Push != nil {
				c.events.Push(frame)
			}
		}
	}
}

// failPendingCalls marks the connection as down and fails all calls that were pending on it.
func (c *Client) failPendingCalls() {
	c.mutex.Lock()
	c.writer = nil
	calls := c.calls
	c.calls = map[uint64]func([]byte, error){}
	c.mutex.Unlock()
	for _, done := range calls {
		done(nil, &ClosedError{Peer: c.address})
	}
}
