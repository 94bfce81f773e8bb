package workers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/wire"
)

// Bounds of what a worker sends.
const (
	readBuffer  = 4 << 10
	maxResponse = 1<<20 + 64<<10 // bytes of one answer, head and body
)

// connection is one connection to a worker. A goroutine of its own reads all answers that come, so that it is known at once when
// the worker closes it and an answer that nobody waits for is in nobody's way.
type connection struct {
	socket    net.Conn
	address   string
	reader    *bufio.Reader
	limit     *io.LimitedReader // under the reader; set anew for each answer
	idle      *idlePool
	outcomes  *outcomeLog
	singleUse bool // it carries one message and is closed then
	reused    bool // it has carried a message before

	mutex  sync.Mutex
	call   *call // the one that is out; nil while the connection rests
	broken error // nil while it can be used
}

// call is one message on a connection.
type call struct {
	id       string
	method   string
	deadline time.Time
	sent     bool          // all of the request has left
	answered bool          // the answer has come
	canReuse time.Duration // how long the connection may rest after it; 0 where it is of no more use
	result   chan result   // gets one
}

// result is what became of a call; reason is empty where the outcome is known.
type result struct {
	outcome carrier.Outcome
	reason  unknownReason
}

func newConnection(socket net.Conn, address string, idle *idlePool, outcomes *outcomeLog) *connection {
	limit := &io.LimitedReader{R: socket}
	return &connection{socket: socket, address: address, reader: bufio.NewReaderSize(limit, readBuffer), limit: limit,
		idle: idle, outcomes: outcomes}
}

// begin makes a message the one that the connection's next answer may be to. The error tells that the connection has broken.
func (c *connection) begin(id, method string, deadline time.Time) (*call, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.broken != nil {
		return nil, c.broken
	}
	if err := c.socket.SetDeadline(deadline); err != nil {
		return nil, err
	}
	c.call = &call{id: id, method: method, deadline: deadline, result: make(chan result, 1)}
	return c.call, nil
}

// sent notes that the whole request has left: only then may the connection rest. The answer may have come before that, while this
// goroutine had no processor.
func (c *connection) requestSent(call *call) {
	c.mutex.Lock()
	call.sent = true
	canReuse := call.answered && call.canReuse > 0 && c.broken == nil
	c.mutex.Unlock()
	if canReuse && !c.release(call.canReuse) {
		c.fail(net.ErrClosed)
	}
}

// read reads answers until the connection ends.
func (c *connection) read() {
	for {
		response, err := c.readResponse()
		if c.reassigned(err) {
			continue
		}
		if err != nil {
			c.fail(err)
			return
		}
		if last := c.handle(response); last {
			c.fail(net.ErrClosed)
			return
		}
	}
}

// idleError tells that a connection ended before the first byte of an answer.
type noResponseError struct{ err error }

func (e *noResponseError) Error() string { return "no answer began: " + e.err.Error() }

func (e *noResponseError) Unwrap() error { return e.err }

// takenMeanwhile tells whether a read ended since the connection had rested for as long as it may, just as a message was given to it: that
// has a deadline of its own, which is set.
func (c *connection) reassigned(err error) bool {
	var noResponse *noResponseError
	if !errors.As(err, &noResponse) || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.call != nil && time.Now().Before(c.call.deadline)
}

// answer is one whole answer of a worker.
type workerResponse struct {
	id      string
	outcome carrier.Outcome
	idleFor time.Duration // for how long the worker keeps the connection
	last    bool          // nothing follows on the connection
}

// cutOffError tells that an answer ended early.
type truncatedError struct {
	id  string
	err error
}

func (e *truncatedError) Error() string {
	return fmt.Sprintf("the answer to %s ended early: %v", e.id, e.err)
}

func (e *truncatedError) Unwrap() error { return e.err }

// readAnswer reads the next whole answer.
func (c *connection) readResponse() (*workerResponse, error) {
	c.limit.N = maxResponse
	if _, err := c.reader.Peek(1); err != nil {
		return nil, &noResponseError{err: err}
	}
	response, err := c.readFinalResponse()
	if err != nil {
		return nil, err
	}
	id := response.Header.Get(wire.HeaderRequestID)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil, &truncatedError{id: id, err: err}
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return nil, &truncatedError{id: id, err: http.ErrNotSupported}
	}
	return &workerResponse{id: id, outcome: classify(response.StatusCode, response.Header), last: response.Close || c.limit.N <= 0,
		idleFor: idleTimeFromHeader(response.Header.Get(wire.HeaderKeepAlive))}, nil
}

// readFinal reads the head of the next answer that is final. Interim ones (1xx) that come before it are nobody's answer, whatever id they bear; they
// count for its bound of bytes. A change of the protocol is final.
func (c *connection) readFinalResponse() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: c.requestMethod()})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// method is that of the message that is out, which tells whether its answer has a body.
func (c *connection) requestMethod() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.call == nil {
		return http.MethodGet
	}
	return c.call.method
}

// take gives an answer to the message that it is to, and lets the connection rest. An answer to any other message is passed over:
// the right one may be right behind it. last tells that the connection is of no more use.
func (c *connection) handle(response *workerResponse) (last bool) {
	c.mutex.Lock()
	call := c.call
	if call == nil || call.id != response.id {
		c.mutex.Unlock()
		c.outcomes.discardedResponse(c.address)
		return response.last
	}
	c.call = nil
	c.reused = true
	last = response.last || c.singleUse
	call.answered = true
	if !last {
		call.canReuse = response.idleFor
	}
	canReuse := !last && call.sent
	c.mutex.Unlock()
	if canReuse {
		last = !c.release(response.idleFor)
	}
	finished := result{outcome: response.outcome}
	if response.outcome.Kind == carrier.RunUnknown {
		finished.reason = ambiguousStatus
	}
	call.result <- finished
	return last
}

// rest keeps the connection for other messages, for a while; false where it can't.
func (c *connection) release(length time.Duration) bool {
	return c.socket.SetReadDeadline(time.Now().Add(length)) == nil && c.idle.put(c)
}

// fail ends the connection. Of a message that is out it is not known whether it ran.
func (c *connection) fail(err error) {
	c.mutex.Lock()
	call := c.call
	c.call = nil
	if c.broken == nil {
		c.broken = err
	}
	c.mutex.Unlock()
	c.socket.Close()
	c.idle.remove(c)
	if call != nil {
		reason := reasonOf(call, err)
		call.result <- result{outcome: carrier.Outcome{Kind: carrier.RunUnknown, Silent: reason == responseTimeout}, reason: reason}
	}
}

// reasonOf tells why it is not known whether a message ran whose connection ended.
func reasonOf(call *call, err error) unknownReason {
	var truncated *truncatedError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(call.deadline):
		return responseTimeout
	case errors.As(err, &truncated):
		return responseTruncated
	}
	return connectionBroken
}
