package node

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"granitewing/internal/system/delivery"
	"granitewing/internal/system/role/carrier"
)

// Bounds of the connections to workers and receivers.
const (
	workerDialTimeout = 400 * time.Millisecond
	workerUserTimeout = 900 * time.Millisecond // of bytes that a worker's machine has not acknowledged
	workerIdle        = 20 * time.Second
	idlePerWorker     = 32
	answerMargin      = 60 * time.Millisecond // past the deadline that the worker was handed
)

func limitedDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = unix.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(workerUserTimeout/time.Millisecond))
			})
		}}
}

func newTransport() *http.Transport {
	return &http.Transport{DialContext: limitedDialer(workerDialTimeout).DialContext, MaxIdleConnsPerHost: idlePerWorker,
		IdleConnTimeout: workerIdle, DisableCompression: true, WriteBufferSize: 8 << 10, ReadBufferSize: 4 << 10}
}

func newPostClient() *http.Client {
	return &http.Client{Transport: newTransport(), CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
}

// Deliver implements carrier.Environment.
func (n *carrierNode) Deliver(attempt carrier.Attempt, done func(carrier.Outcome)) {
	go func() {
		began := n.Now()
		outcome := n.workers.send(attempt)
		outcome.Took = n.Now() - began
		n.do(func() { done(outcome) })
	}()
}

func newDelivery(ctx context.Context, attempt carrier.Attempt) (*http.Request, error) {
	m := attempt.Message
	request, err := http.NewRequestWithContext(ctx, m.Method, "http://"+attempt.Address+"/", bytes.NewReader(m.Body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // nothing is sent again but by the carrier's own decision
	path, query, _ := strings.Cut(m.Target, "?")
	request.URL.Opaque = "//" + attempt.Address + path
	request.URL.RawQuery = query
	request.URL.ForceQuery = strings.HasSuffix(m.Target, "?")
	request.Host = m.Host
	for _, header := range m.Headers {
		request.Header.Set(header.Name, header.Value)
	}
	request.Header.Set(headerRequestID, m.ID)
	request.Header.Set(headerDeadline, strconv.FormatInt(attempt.Deadline.Milliseconds(), 10))
	if m.Key != "" {
		request.Header.Set(headerOrderingKey, m.Key)
	}
	if attempt.Instance != "" {
		request.Header.Set(headerInstance, attempt.Instance)
	}
	return request, nil
}

// replayable tells whether net/http would send a request again by itself after a connection broke: by its method, or since its
// client named a key for that. A request with a body is told by newDelivery to have none that could be read again.
func replayable(request *http.Request) bool {
	if request.Body != nil && request.Body != http.NoBody {
		return false
	}
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return request.Header.Get("Idempotency-Key") != "" || request.Header.Get("X-Idempotency-Key") != ""
}

// judge reads a worker's whole answer.
func judge(response *http.Response) carrier.Outcome {
	outcome := carrier.Outcome{Kind: carrier.RunUnknown, Load: loadOf(response.Header.Get(headerLoad))}
	stamp := response.Header.Get(headerSignature)
	switch status := response.StatusCode; {
	case response.Header.Get(headerNotExecuted) != "" || status == http.StatusMisdirectedRequest:
		outcome.Kind = carrier.NotRun
	case status >= 200 && status < 300 && stamp != "":
		outcome.Kind, outcome.Stamp = carrier.RunSucceeded, stamp
	case status == http.StatusUnprocessableEntity:
		outcome.Kind = carrier.RunRefused
	case status == http.StatusInternalServerError:
		outcome.Kind = carrier.RunFailed
	}
	return outcome
}

// loadOf reads 'running,waiting,slots'.
func loadOf(header string) delivery.Load {
	parts := strings.Split(header, ",")
	if len(parts) < 2 {
		return delivery.Load{}
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	if err != nil {
		return delivery.Load{}
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil {
		return delivery.Load{}
	}
	return delivery.Load{Known: true, Running: running, Waiting: waiting}
}

// Post implements carrier.Environment.
func (n *carrierNode) Post(url string, body []byte, keep bool, timeout time.Duration, done func(int, error)) {
	go func() {
		status, err := n.post(url, body, keep, timeout)
		n.do(func() { done(status, err) })
	}()
}

func (n *carrierNode) post(url string, body []byte, keep bool, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set(headerContentType, "application/json")
	request.Close = !keep
	response, err := n.posts.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if err := discard(response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}
