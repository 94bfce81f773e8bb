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

// Events of a client. They are called from the client's goroutines and must not wait.
type Events struct {
	Up   func()
	Down func()
	Push func(frame wire.Frame)
	// Peers is the number of peers that the process keeps connections to; nil where there is one.
	Peers func() int
}

// Client keeps one connection to a peer until it is closed.
type Client struct {
	address   string
	events    Events
	stop      chan struct{}
	retryNow  chan struct{}
	closeOnce sync.Once

	mutex   sync.Mutex
	writer  *writer // nil while there is no connection
	calls   map[uint64]func(payload []byte, err error)
	lastID  uint64
	stopped bool
}

// NewClient starts to connect.
func NewClient(address string, events Events) *Client {
	client := &Client{address: address, events: events, stop: make(chan struct{}), retryNow: make(chan struct{}, 1),
		calls: map[uint64]func([]byte, error){}}
	go client.run()
	return client
}

// Address of the peer.
func (c *Client) Address() string { return c.address }

// Call sends a call; done is called once, with the payload of the answer or an error.
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

// Push sends a frame that asks for no answer; false where there is no connection.
func (c *Client) Push(kind wire.Kind, payload []byte) bool {
	c.mutex.Lock()
	current := c.writer
	c.mutex.Unlock()
	return current != nil && current.send(wire.Frame{Kind: kind, Payload: payload})
}

// Break ends the present connection; another is tried at once.
func (c *Client) Break() {
	c.mutex.Lock()
	current := c.writer
	c.mutex.Unlock()
	if current != nil {
		current.close()
	}
}

// Hurry has a broken connection be tried at once, where the peer is known to be there.
func (c *Client) Hurry() {
	c.mutex.Lock()
	broken := c.writer == nil
	c.mutex.Unlock()
	if !broken {
		return
	}
	c.requestRetry()
}

// Close ends the connection for good.
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

func (c *Client) complete(id uint64, payload []byte, err error) {
	c.mutex.Lock()
	done := c.calls[id]
	delete(c.calls, id)
	c.mutex.Unlock()
	if done != nil {
		done(payload, err)
	}
}

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

func (c *Client) reconnectWaitLimit() time.Duration {
	if c.events.Peers == nil {
		return maxReconnectWait
	}
	return max(maxReconnectWait, time.Duration(c.events.Peers())*reconnectWaitPerPeer)
}

// dial tries to connect, after so many tries in vain. A try that is under way when the peer is known to be there is begun
// again: its SYN may have been lost.
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

// again has the next pause be none.
func (c *Client) requestRetry() {
	select {
	case c.retryNow <- struct{}{}:
	default:
	}
}

// connectOnce makes a connection and serves it until it breaks; false where none came about.
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
	if c.events.Up != nil {
		c.events.Up()
	}
	c.readFrames(reader)
	current.close()
	c.failPendingCalls()
	if c.events.Down != nil {
		c.events.Down()
	}
	return true
}

func readGreeting(connection net.Conn, reader *bufio.Reader) bool {
	_ = connection.SetReadDeadline(time.Now().Add(dialTimeout))
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	frame, err := wire.ReadFrame(reader)
	return err == nil && frame.Kind == wire.Greeting
}

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

// drop answers all calls that were out on the connection that broke.
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
