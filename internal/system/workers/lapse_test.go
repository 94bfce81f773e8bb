package workers

import (
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"granitewing/internal/system/role/carrier"
)

// lapsingSocket is a socket whose first read ends by its deadline when the test says so.
type expiringSocket struct {
	net.Conn
	expire chan struct{}
	first  sync.Once
}

func (s *expiringSocket) Read(buffer []byte) (count int, err error) {
	s.first.Do(func() {
		<-s.expire
		err = os.ErrDeadlineExceeded
	})
	if err != nil {
		return 0, err
	}
	return s.Conn.Read(buffer)
}

// TestTakenAsItsRestEnds gives a message to a connection at the moment at which the time that it may rest has passed: the reader has
// been told so already, and must not end the message for it, which may have left.
func TestTakenAsItsRestEnds(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	socket := &expiringSocket{Conn: near, expire: make(chan struct{})}
	c := newConnection(socket, "worker", newIdlePool(), newOutcomeLog())
	go c.read()
	call, err := c.begin("m1", http.MethodPost, time.Now().Add(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	close(socket.expire)
	c.requestSent(call)
	go func() { _, _ = far.Write([]byte(successResponse("m1", "stamp"))) }()
	if got := <-call.result; got.outcome.Kind != carrier.RunSucceeded {
		t.Fatalf("the message has succeeded; the outcome is %d, %q", got.outcome.Kind, got.reason)
	}
}
