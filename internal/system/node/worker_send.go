package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"granitewing/internal/system/role/carrier"
)

// workerClient sends messages to workers. No message is sent a second time by net/http itself: that it has not run is known
// only by the worker's own word, or where no byte of it left.
type workerClient struct {
	transport *http.Transport
	// single makes a connection for each request and uses it for nothing else.
	single  *http.Transport
	unknown *unknownAttempts
}

func newWorkerClient() *workerClient {
	client := &workerClient{transport: newTransport(), single: newTransport(), unknown: newUnknownAttempts()}
	client.single.DisableKeepAlives = true
	for _, transport := range []*http.Transport{client.transport, client.single} {
		dial := transport.DialContext
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConnection{Conn: connection}, nil
		}
	}
	return client
}

// countedConnection counts the bytes that were given to a connection.
type countedConnection struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConnection) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// idleTries is how many resting connections that the worker has closed are passed over for one message.
const idleTries = 3

func (w *workerClient) send(attempt carrier.Attempt) carrier.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), attempt.Deadline+answerMargin)
	defer cancel()
	for range idleTries {
		outcome, unsent := w.sendOnce(ctx, attempt)
		if !unsent {
			return outcome
		}
	}
	return carrier.Outcome{Kind: carrier.NotSent}
}

// sendOnce sends a message over one connection. unsent tells that the connection had rested and was closed before a byte of the
// message was given to it: another may be tried.
func (w *workerClient) sendOnce(ctx context.Context, attempt carrier.Attempt) (outcome carrier.Outcome, unsent bool) {
	var connection *countedConnection
	var before int64
	var reused bool
	began := time.Now()
	unknown := func(reason unknownReason) carrier.Outcome {
		w.unknown.note(reason, attempt, time.Since(began))
		return carrier.Outcome{Kind: carrier.RunUnknown, Silent: reason == answerSilent}
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if counted, is := info.Conn.(*countedConnection); is {
			connection, before, reused = counted, counted.written.Load(), info.Reused
		}
	}}
	request, err := newDelivery(httptrace.WithClientTrace(ctx, trace), attempt)
	if err != nil {
		return carrier.Outcome{Kind: carrier.RunRefused}, false
	}
	transport := w.transport
	if attempt.Repeat || replayable(request) {
		// A late answer to an earlier attempt bears the same id: no connection that may bring one is used again.
		transport = w.single
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		silent := errors.Is(err, context.DeadlineExceeded)
		switch {
		case connection == nil:
			return carrier.Outcome{Kind: carrier.NotSent}, false
		case !silent && connection.written.Load() == before:
			return carrier.Outcome{Kind: carrier.NotSent}, reused
		}
		if silent {
			return unknown(answerSilent), false
		}
		return unknown(answerBroken), false
	}
	defer response.Body.Close()
	if response.Header.Get(headerRequestID) != attempt.Message.ID {
		// Another's answer, or bytes that are none: what follows on this connection can't be trusted either.
		connection.Close()
		return unknown(answerForeign), false
	}
	switch err := discard(response.Body); {
	case errors.Is(err, context.DeadlineExceeded):
		return unknown(answerSilent), false
	case err != nil:
		return unknown(answerCutOff), false
	}
	outcome = judge(response)
	if outcome.Kind == carrier.RunUnknown {
		load := outcome.Load
		outcome = unknown(answerUndecided)
		outcome.Load = load
	}
	return outcome, false
}
