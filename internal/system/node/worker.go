package node

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/wire"
	"granitewing/internal/system/workers"
)

// Bounds of the connections to receivers of call-backs.
const (
	receiverIdle       = 20 * time.Second
	restingPerReceiver = 32
)

func newPostClient() *http.Client {
	transport := &http.Transport{DialContext: workers.Dialer().DialContext, MaxIdleConnsPerHost: restingPerReceiver,
		IdleConnTimeout: receiverIdle, DisableCompression: true, WriteBufferSize: 8 << 10, ReadBufferSize: 4 << 10}
	return &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
}

// Deliver implements carrier.Environment.
func (n *carrierNode) Deliver(attempt carrier.Attempt, done func(carrier.Outcome)) {
	go func() {
		began := n.Now()
		outcome := n.workers.Send(attempt)
		outcome.Took = n.Now() - began
		n.do(func() { done(outcome) })
	}()
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
	request.Header.Set(wire.HeaderContentType, "application/json")
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
