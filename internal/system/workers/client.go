// Package workers is the HTTP/1.1 client that sends messages to workers. Client.Send sends one message and returns
// the outcome of the attempt.
//
// The client has a pool of idle connections for each worker address. A connection carries one request at a time.
// The response to a request is the one with its request ID: a worker may respond again to an earlier request at any
// time, and such a response is discarded, whether it arrives before or after the matching one. For this reason the
// package does not use net/http's Transport, which takes the first response on a connection for that of the
// request.
//
// The package sends a message a second time only if no byte of the first try was sent. If it cannot tell whether a
// message has run, the outcome is carrier.RunUnknown, and the reason is logged.
package workers

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"granitewing/internal/system/message"
	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/wire"
)

// Bounds of the connections to workers.
const (
	dialTimeout     = 400 * time.Millisecond
	userTimeout     = 900 * time.Millisecond // TCP_USER_TIMEOUT: bound on unacknowledged bytes
	keepAlive       = 15 * time.Second       // interval of TCP keep-alive probes on an idle connection
	answerMargin    = 60 * time.Millisecond  // wait for a response past the deadline that the worker was given
	maxSendAttempts = 3                      // tries per message, as long as idle connections turn out to be closed
)

// Dialer returns the dialer for connections to workers and to receivers of callbacks. A connection fails when sent
// bytes stay unacknowledged for userTimeout, so that a machine without power is detected.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = unix.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
			})
		}}
}

// Client sends messages to workers over pooled connections. It is safe for concurrent use.
type Client struct {
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	idle     *idlePool
	outcomes *outcomeLog
}

// NewClient returns a client with an empty connection pool.
func NewClient() *Client {
	return &Client{dial: Dialer().DialContext, idle: newIdlePool(), outcomes: newOutcomeLog()}
}

// Send sends one message and waits for its outcome, at most until answerMargin after the attempt's deadline, which
// is relative to the call. A message that cannot be encoded as a request gives carrier.RunRejected, one of which no
// byte was sent carrier.NotSent.
func (c *Client) Send(attempt carrier.Attempt) carrier.AttemptOutcome {
	deadline := time.Now().Add(attempt.Deadline + answerMargin)
	request, err := EncodeRequest(attempt)
	if err != nil {
		return carrier.AttemptOutcome{Kind: carrier.RunRejected}
	}
	for range maxSendAttempts {
		outcome, err := c.sendOnce(attempt, request, deadline)
		var unsent *unsentError
		if !errors.As(err, &unsent) {
			return outcome
		}
		if !unsent.reused {
			break
		}
	}
	return carrier.AttemptOutcome{Kind: carrier.NotSent}
}

// unsentError reports that no byte of a request was sent. reused is true if the connection had carried another request
// before: it may have been closed while idle, and another connection may be tried.
type unsentError struct {
	reused bool
	err    error
}

func (e *unsentError) Error() string { return "request not sent: " + e.err.Error() }

func (e *unsentError) Unwrap() error { return e.err }

// sendOnce sends a request over one connection and waits for the outcome. The error is an *unsentError.
func (c *Client) sendOnce(attempt carrier.Attempt, request []byte, deadline time.Time) (carrier.AttemptOutcome, error) {
	connection, err := c.acquire(attempt, deadline)
	if err != nil {
		return carrier.AttemptOutcome{}, &unsentError{err: err}
	}
	reused := connection.reused
	call, err := connection.begin(attempt.Message.ID, attempt.Message.Method, deadline)
	if err != nil {
		return carrier.AttemptOutcome{}, &unsentError{reused: reused, err: err}
	}
	written, err := connection.socket.Write(request)
	if err != nil {
		connection.fail(err)
	}
	if err != nil && written == 0 {
		return carrier.AttemptOutcome{}, &unsentError{reused: reused && !errors.Is(err, os.ErrDeadlineExceeded), err: err}
	}
	connection.requestSent(call)
	result := <-call.result
	if result.reason != "" {
		c.outcomes.unknownOutcome(result.reason, attempt)
	}
	return result.outcome, nil
}

// acquire returns an idle connection to the worker, or a new one. Two kinds of attempts get a connection of their
// own. A repeated attempt has the request ID of an earlier one, whose response may still arrive. A response to HEAD
// has no body, and the reader cannot tell which response that applies to while others may arrive.
func (c *Client) acquire(attempt carrier.Attempt, deadline time.Time) (*connection, error) {
	singleUse := needsOwnConnection(attempt)
	if !singleUse {
		if idle := c.idle.take(attempt.Address); idle != nil {
			return idle, nil
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	socket, err := c.dial(ctx, "tcp", attempt.Address)
	if err != nil {
		return nil, err
	}
	connection := newConnection(socket, attempt.Address, c.idle, c.outcomes)
	connection.singleUse = singleUse
	go connection.read()
	return connection, nil
}

// needsOwnConnection reports whether an attempt must not share a connection with other requests (see acquire).
func needsOwnConnection(attempt carrier.Attempt) bool {
	return attempt.Repeat || attempt.Message.Method == http.MethodHead
}

// EncodeRequest returns the bytes of the HTTP request that delivers a message.
func EncodeRequest(attempt carrier.Attempt) ([]byte, error) {
	m := attempt.Message
	request, err := http.NewRequest(m.Method, "http://"+attempt.Address+"/", bytes.NewReader(m.Body))
	if err != nil {
		return nil, err
	}
	path, query, _ := strings.Cut(m.Target, "?")
	request.URL.Opaque = "//" + attempt.Address + path
	request.URL.RawQuery = query
	request.URL.ForceQuery = strings.HasSuffix(m.Target, "?")
	request.Host = m.Host
	request.Close = needsOwnConnection(attempt)
	setHeaders(request.Header, m, attempt)
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		return nil, err
	}
	return encoded.Bytes(), nil
}

// setHeaders sets the message's own headers and, over them, those that the carrier adds.
func setHeaders(headers http.Header, m *message.Message, attempt carrier.Attempt) {
	for _, header := range m.Headers {
		headers.Set(header.Name, header.Value)
	}
	headers.Set(wire.HeaderRequestID, m.ID)
	headers.Set(wire.HeaderDeadline, strconv.FormatInt(attempt.Deadline.Milliseconds(), 10))
	if m.Key != "" {
		headers.Set(wire.HeaderOrderingKey, m.Key)
	}
	if attempt.Instance != "" {
		headers.Set(wire.HeaderInstance, attempt.Instance)
	}
}
