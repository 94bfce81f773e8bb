package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/wire"
	"granitewing/internal/system/workers"
)

// unchanged is what a delivery carries unchanged from the client's request.
type unchanged struct{ method, target, id, key, body string }

func unchangedOf(request *http.Request, target string) (unchanged, error) {
	body, err := io.ReadAll(request.Body)
	return unchanged{method: request.Method, target: target, id: request.Header.Get(wire.HeaderRequestID),
		key: request.Header.Get(wire.HeaderOrderingKey), body: string(body)}, err
}

// Guards against a worker that is sent another method, path, query, body, request ID or ordering key than the client gave,
// whichever of the allowed forms these have.
func TestDeliveryCarriesTheRequestUnchanged(t *testing.T) {
	const address = "10.9.0.1:8000"
	rapid.Check(t, func(t *rapid.T) {
		method := rapid.SampledFrom([]string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}).Draw(t, "method")
		path := "/" + rapid.StringMatching(`([a-zA-Z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2}){0,30}`).Draw(t, "path")
		query := rapid.StringMatching(`(\?([a-zA-Z0-9._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2}){0,20})?`).Draw(t, "query")
		id := rapid.StringMatching(`[a-zA-Z0-9._-]{1,64}`).Draw(t, "id")
		key := rapid.StringMatching(`([!-~]([ -~]{0,30}[!-~])?)?`).Draw(t, "key")
		body := rapid.StringMatching(`(?s).{0,100}`).Draw(t, "body")
		sent := unchanged{method: method, target: path + query, id: id, key: key, body: body}
		raw := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", method, path+query,
			wire.HeaderRequestID, id, wire.HeaderOrderingKey, key, len(body), body)
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			t.Skip("not a request that the server's library reads", err)
		}
		accepted, err := io.ReadAll(request.Body)
		if err != nil {
			t.Fatal(err)
		}
		submission := newSubmission(request, id, accepted)
		attempt := carrier.Attempt{Message: &submission.Message, Address: address, Instance: "i", Deadline: time.Second}
		encoded, err := workers.EncodeRequest(attempt)
		if err != nil {
			t.Fatal(err)
		}
		delivery, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(encoded)))
		if err != nil {
			t.Fatal(err)
		}
		got, err := unchangedOf(delivery, strings.TrimPrefix(delivery.RequestURI, "http://"+address))
		if err != nil || got != sent {
			t.Fatalf("the worker is sent %+v, the client sent %+v: %v", got, sent, err)
		}
	})
}
