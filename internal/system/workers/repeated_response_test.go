package workers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/wire"
)

// Guards against a message that runs twice because a repeated response to an earlier request precedes its own.
// In otherwise normal operation, a message ran again at another worker, 42 ms after a run whose success its carrier had
// read in time. The workers sent some responses a second time, later, and such a response arrived while the
// connection's next request was running. net/http's client takes the first response on a connection for that of the
// request. The request ID did not match, so the carrier closed the connection and lost the matching response, which
// directly followed. The outcome was unknown, and the message was sent again. The test uses a real socket. A
// carrier logs such attempts as of unknown outcome.
func TestRepeatedResponseBeforeMatchingOne(t *testing.T) {
	worker := startRepeatingWorker(t)
	client := NewClient()
	for i := range 5 {
		id := fmt.Sprintf("m%d", i)
		m := &message.Message{ID: id, Method: http.MethodPost, Target: "/in/x", Host: "h.example", Body: []byte("body")}
		outcome := client.Send(carrier.Attempt{Message: m, Address: worker, Instance: "i", Deadline: time.Second})
		if outcome.Kind != carrier.RunSucceeded || outcome.Stamp != "stamp-"+id {
			t.Fatalf("message %s: outcome is %d with stamp %q; want success", id, outcome.Kind, outcome.Stamp)
		}
	}
}

// startRepeatingWorker starts a worker and returns its address. To each request but the first of a connection it
// sends the response to the previous request again, directly followed by the matching response.
func startRepeatingWorker(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go respondTwice(connection)
		}
	}()
	return listener.Addr().String()
}

func respondTwice(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	earlier := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get(wire.HeaderRequestID)
		response := successResponse(id, "stamp-"+id)
		if _, err := connection.Write([]byte(earlier + response)); err != nil {
			return
		}
		earlier = response
	}
}
