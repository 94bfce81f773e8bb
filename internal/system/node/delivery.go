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

// Bounds of the idle connections to receivers of callbacks.
const (
	callbackIdleTimeout = 20 * time.Second
	maxIdlePerReceiver  = 32
)

// newCallbackClient returns a client that pools connections per receiver and does not follow redirects.
func newCallbackClient() *http.Client {
	transport := &http.Transport{DialContext: workers.Dialer().DialContext, MaxIdleConnsPerHost: maxIdlePerReceiver,
		IdleConnTimeout: callbackIdleTimeout, DisableCompression: true, WriteBufferSize: 8 << 10, ReadBufferSize: 4 << 10}
	return &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
}

// Deliver implements carrier.Environment. It sends in the background and calls done under the loop's mutex.
func (n *carrierNode) Deliver(attempt carrier.Attempt, done func(carrier.AttemptOutcome)) {
	go func() {
		started := n.Now()
		outcome := n.workers.Send(attempt)
		outcome.Duration = n.Now() - started
		n.withLock(func() { done(outcome) })
	}()
}

// Post implements carrier.Environment. It posts in the background and calls done under the loop's mutex.
func (n *carrierNode) Post(url string, body []byte, keep bool, timeout time.Duration, done func(int, error)) {
	go func() {
		status, err := n.postCallback(url, body, keep, timeout)
		n.withLock(func() { done(status, err) })
	}()
}

// postCallback posts a JSON body and returns the status of the response. Without keep it closes the connection afterwards.
func (n *carrierNode) postCallback(url string, body []byte, keep bool, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set(wire.HeaderContentType, "application/json")
	request.Close = !keep
	response, err := n.callbackClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if err := discardBody(response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}
