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

// Buffer and limit for responses, in bytes.
const (
	readBuffer  = 4 << 10
	maxResponse = 1<<20 + 64<<10 // head and body of one response
)

// connection is one connection to a worker. A goroutine reads all responses on it, also while it is idle. So a
// close by the worker is detected at once, and a response that no request waits for is discarded and does not delay
// a later one.
type connection struct {
	socket    net.Conn
	address   string
	reader    *bufio.Reader
	limit     *io.LimitedReader // beneath reader; reset for each response
	idle      *idlePool
	outcomes  *outcomeLog
	singleUse bool // closed after one response
	reused    bool // has carried an earlier request

	mutex  sync.Mutex
	call   *call // request in flight; nil while the connection is idle
	broken error // why the connection ended; nil while it is usable
}

// call is one request in flight on a connection.
type call struct {
	id       string
	method   string
	deadline time.Time
	sent     bool          // the complete request was written
	answered bool          // the response was read
	idleFor  time.Duration // how long the connection may be idle afterwards; 0 if it must not be reused
	result   chan result   // receives exactly one
}

// result is the result of a call. reason is empty if the outcome is known.
type result struct {
	outcome carrier.AttemptOutcome
	reason  unknownReason
}

func newConnection(socket net.Conn, address string, idle *idlePool, outcomes *outcomeLog) *connection {
	limit := &io.LimitedReader{R: socket}
	return &connection{socket: socket, address: address, reader: bufio.NewReaderSize(limit, readBuffer), limit: limit,
		idle: idle, outcomes: outcomes}
}

// begin registers the call that the connection's next response may belong to, and sets its deadline on the socket. It
// returns an error if the connection has ended.
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

// requestSent records that the complete request was written; a connection becomes idle only after that. The
// response may have been read already, while the writing goroutine was not scheduled.
func (c *connection) requestSent(call *call) {
	c.mutex.Lock()
	call.sent = true
	canReuse := call.answered && call.idleFor > 0 && c.broken == nil
	c.mutex.Unlock()
	if canReuse && !c.release(call.idleFor) {
		c.fail(net.ErrClosed)
	}
}

// read reads responses until the connection ends.
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

// noResponseError reports that reading failed before the first byte of a response.
type noResponseError struct{ err error }

func (e *noResponseError) Error() string { return "no response started: " + e.err.Error() }

func (e *noResponseError) Unwrap() error { return e.err }

// reassigned reports whether a read failed because the idle time expired just as the connection was taken for a
// call. The call has set its own deadline, so the reader continues.
func (c *connection) reassigned(err error) bool {
	var noResponse *noResponseError
	if !errors.As(err, &noResponse) || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.call != nil && time.Now().Before(c.call.deadline)
}

// workerResponse is one complete response of a worker.
type workerResponse struct {
	id      string
	outcome carrier.AttemptOutcome
	idleFor time.Duration // how long the connection may be idle before the worker closes it
	last    bool          // the connection must not be reused
}

// truncatedError reports that the connection failed before the end of a response's body, or that no response can
// follow.
type truncatedError struct {
	id  string
	err error
}

func (e *truncatedError) Error() string {
	return fmt.Sprintf("response to %s was truncated: %v", e.id, e.err)
}

func (e *truncatedError) Unwrap() error { return e.err }

// readResponse reads the next complete response.
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

// readFinalResponse reads the head of the next final response. Interim responses (1xx) before it are skipped, whatever
// request ID they have; their bytes count toward maxResponse. 101 Switching Protocols counts as final.
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

// requestMethod returns the method of the request in flight, which determines whether its response has a body.
func (c *connection) requestMethod() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.call == nil {
		return http.MethodGet
	}
	return c.call.method
}

// handle passes a response to the call with its request ID and returns the connection to the idle pool. A response with
// another ID is discarded, since the matching one may directly follow. last reports that the connection must be closed.
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
		call.idleFor = response.idleFor
	}
	canReuse := !last && call.sent
	c.mutex.Unlock()
	if canReuse {
		last = !c.release(response.idleFor)
	}
	outcome := result{outcome: response.outcome}
	if response.outcome.Kind == carrier.RunUnknown {
		outcome.reason = ambiguousStatus
	}
	call.result <- outcome
	return last
}

// release returns the connection to the idle pool for a time, and reports whether that succeeded.
func (c *connection) release(length time.Duration) bool {
	return c.socket.SetReadDeadline(time.Now().Add(length)) == nil && c.idle.put(c)
}

// fail closes the connection. The outcome of a call in flight is carrier.RunUnknown.
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
		call.result <- result{outcome: carrier.AttemptOutcome{Kind: carrier.RunUnknown, TimedOut: reason == responseTimeout}, reason: reason}
	}
}

// reasonOf returns why the outcome of a call is unknown whose connection ended with err.
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
