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

// expiringSocket is a socket whose first read fails with an expired deadline once expire is closed.
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

// Guards against a call that fails because its connection was taken from the idle pool just as the idle time
// expired. The reader then gets the expired deadline of the idle time; it must not fail the call, whose request may
// have been sent.
func TestCallSurvivesIdleTimeout(t *testing.T) {
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
		t.Fatalf("outcome is %d, reason %q; want success", got.outcome.Kind, got.reason)
	}
}
