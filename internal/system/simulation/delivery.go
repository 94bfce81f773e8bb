package simulation

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/wire"
	"granitewing/internal/system/workers"
)

// request is the part of a client's request that a delivery carries unchanged.
type request struct{ method, target, id, key, body string }

// DeliveryError reports a delivery whose bytes are no HTTP request.
type DeliveryError struct {
	ID  string // of the message
	Err error
}

func (e *DeliveryError) Error() string { return fmt.Sprintf("delivery of %s: %v", e.ID, e.Err) }

func (e *DeliveryError) Unwrap() error { return e.Err }

// readDelivery returns what a worker reads of an attempt, from the bytes that the workers' client would send. It returns
// a DeliveryError if they are no request.
func readDelivery(attempt carrier.Attempt) (request, error) {
	encoded, err := workers.EncodeRequest(attempt)
	if err != nil {
		return request{}, &DeliveryError{ID: attempt.Message.ID, Err: err}
	}
	received, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(encoded)))
	if err != nil {
		return request{}, &DeliveryError{ID: attempt.Message.ID, Err: err}
	}
	body, err := io.ReadAll(received.Body)
	if err != nil {
		return request{}, &DeliveryError{ID: attempt.Message.ID, Err: err}
	}
	return request{method: received.Method, target: strings.TrimPrefix(received.RequestURI, "http://"+attempt.Address),
		id: received.Header.Get(wire.HeaderRequestID), key: received.Header.Get(wire.HeaderOrderingKey), body: string(body)}, nil
}
