// Package workers delivers messages to workers over HTTP/1.1.
//
// A connection carries one message at a time. Its answer is the one that bears the message's request id: a worker may answer an
// earlier message once more at any time, and such an answer is passed over, whatever it comes before or after. No message
// is sent a second time by this package unless no byte of it had left.
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
	userTimeout     = 900 * time.Millisecond // of bytes that a worker's machine has not acknowledged
	keepAlive       = 15 * time.Second       // between probes of a silent connection
	answerMargin    = 60 * time.Millisecond  // past the deadline that the worker was handed
	maxSendAttempts = 3                      // resting connections, broken before a byte was given to them, that are passed over for one message
)

// Dialer returns the dialer of connections to workers and receivers: bytes that a machine does not acknowledge end a
// connection, so that one without power is noticed.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = unix.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
			})
		}}
}

// Client sends messages to workers. It is safe for concurrent use.
type Client struct {
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	idle     *idlePool
	outcomes *outcomeLog
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{dial: Dialer().DialContext, idle: newIdlePool(), outcomes: newOutcomeLog()}
}

// Send sends one message and waits for its outcome, at the longest until a little past the attempt's deadline.
func (c *Client) Send(attempt carrier.Attempt) carrier.Outcome {
	deadline := time.Now().Add(attempt.Deadline + answerMargin)
	request, err := encodeRequest(attempt)
	if err != nil {
		return carrier.Outcome{Kind: carrier.RunRefused}
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
	return carrier.Outcome{Kind: carrier.NotSent}
}

// unsentError tells that no byte of a message left. rested is set where its connection had carried others before: another
// may be tried.
type unsentError struct {
	reused bool
	err    error
}

func (e *unsentError) Error() string { return "nothing was sent: " + e.err.Error() }

func (e *unsentError) Unwrap() error { return e.err }

// sendOnce sends a message over one connection. The error is an *unsentError.
func (c *Client) sendOnce(attempt carrier.Attempt, request []byte, deadline time.Time) (carrier.Outcome, error) {
	connection, err := c.acquire(attempt, deadline)
	if err != nil {
		return carrier.Outcome{}, &unsentError{err: err}
	}
	reused := connection.reused
	call, err := connection.begin(attempt.Message.ID, attempt.Message.Method, deadline)
	if err != nil {
		return carrier.Outcome{}, &unsentError{reused: reused, err: err}
	}
	written, err := connection.socket.Write(request)
	if err != nil {
		connection.fail(err)
	}
	if err != nil && written == 0 {
		return carrier.Outcome{}, &unsentError{reused: reused && !errors.Is(err, os.ErrDeadlineExceeded), err: err}
	}
	connection.requestSent(call)
	result := <-call.result
	if result.reason != "" {
		c.outcomes.unknownOutcome(result.reason, attempt)
	}
	return result.outcome, nil
}

// connect gives a resting connection to the worker, or a new one. What may be answered under its id by an earlier attempt
// goes over a connection of its own, and so does a message whose answers have no body: which answer that holds of is
// not known while others may come.
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

func needsOwnConnection(attempt carrier.Attempt) bool {
	return attempt.Repeat || attempt.Message.Method == http.MethodHead
}

// encode gives the bytes of a message's request.
func encodeRequest(attempt carrier.Attempt) ([]byte, error) {
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
