package driver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// Tests of two concurrent events, each forced into the worst order by an event that the test holds back, a server that
// does not answer or a dial that does not return. No test here depends on a length of time.

// harness is a driver on a real listener, with the test's goroutine as its owner, and servers.
type harness struct {
	t       *testing.T
	d       *Driver
	servers map[string]net.Listener
}

func newHarness(t *testing.T, classes ...logic.Class) *harness {
	t.Setenv("TMPDIR", t.TempDir())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if len(classes) == 0 {
		classes = []logic.Class{{Name: "readings", Deadline: 60_000_000, WorkerKind: -1, Repeat: logic.RepeatSafe}}
	}
	d, err := New(&platform.Config{Sockets: 1024, MemoryMB: 192, Settings: logic.Config{
		Classes: classes, MaxAttempts: 3, MayCancel: true,
	}}, ln, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	x := &harness{t: t, d: d, servers: map[string]net.Listener{}}
	t.Cleanup(func() { close(d.done); ln.Close() })
	return x
}

// listServers lists servers that listen but accept nothing until the test does.
func (x *harness) listServers(names ...string) {
	var hosts []dispatch.Host
	for _, name := range names {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			x.t.Fatal(err)
		}
		x.t.Cleanup(func() { ln.Close() })
		x.servers[name] = ln
		hosts = append(hosts, dispatch.Host{Name: name, Addr: ln.Addr().String(), Phase: logic.Ready})
	}
	x.d.applyHosts(logic.ListFull, hosts)
}

// connectClient connects a client and waits until the owner has the connection.
func (x *harness) connectClient() (net.Conn, *downstream) {
	x.t.Helper()
	c, err := net.Dial("tcp", x.d.ln.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	before := len(x.d.downstreams)
	accepted, err := x.d.ln.Accept()
	if err != nil {
		x.t.Fatal(err)
	}
	x.d.addDownstream(accepted)
	for n := range x.d.downstreams {
		if n.socket == accepted {
			return c, n
		}
	}
	x.t.Fatalf("the connection is not registered: %d connections, %d before", len(x.d.downstreams), before)
	return nil, nil
}

// nextEvent returns the next event without running it.
func (x *harness) nextEvent() func() {
	x.t.Helper()
	select {
	case f := <-x.d.events:
		return f
	case <-time.After(20 * time.Second):
		x.t.Fatal("no event came")
		return nil
	}
}

func (x *harness) runUntil(done func() bool) { x.t.Helper(); runOwner(x.t, x.d, done) }

// receiveWhileRunning runs the owner's work until a value comes, and returns it. It fails the test as runOwner does if
// none comes.
func receiveWhileRunning[T any](x *harness, values <-chan T) T {
	x.t.Helper()
	var value T
	x.runUntil(func() bool {
		select {
		case value = <-values:
			return true
		default:
		}
		if len(x.d.events) == 0 {
			time.AfterFunc(time.Millisecond, func() { x.d.post(func() {}) }) // check again
		}
		return false
	})
	return value
}

// acceptAttempt accepts the next attempt at a server and returns its connection and its request's head.
func (x *harness) acceptAttempt(name string) (net.Conn, string) {
	x.t.Helper()
	ln := x.servers[name].(*net.TCPListener)
	ln.SetDeadline(time.Now().Add(20 * time.Second))
	type attempt struct {
		c    net.Conn
		head string
		err  error
	}
	came := make(chan attempt, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			came <- attempt{err: err}
			return
		}
		head, r := "", bufio.NewReader(c)
		for !strings.HasSuffix(head, "\r\n\r\n") && err == nil {
			var line string
			line, err = r.ReadString('\n')
			head += line
		}
		came <- attempt{c, head, err}
	}()
	a := receiveWhileRunning(x, came)
	if a.err != nil {
		x.t.Fatalf("%s: %v after %q", name, a.err, a.head)
	}
	x.t.Cleanup(func() { a.c.Close() })
	return a.c, a.head
}

// assertNotReached fails the test if a connection to a server was made.
func (x *harness) assertNotReached(name string) {
	x.t.Helper()
	ln := x.servers[name].(*net.TCPListener)
	ln.SetDeadline(time.Now().Add(time.Millisecond)) // a connection that was made is already in the queue
	if c, err := ln.Accept(); err == nil {
		c.Close()
		x.t.Errorf("%s was reached", name)
	}
}

func requestText(name string) string {
	return "POST /readings HTTP/1.1\r\nHost: api\r\nX-Txn: " + name + "\r\nX-Remaining: 50\r\n\r\n"
}

func servedResponse(name string) string {
	line := fmt.Sprintf(`{"id":"%s","state":"done","result":"%s"}`+"\n", name, name)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(line), line)
}

// readAnswer reads a whole answer on a goroutine of its own while the owner runs, and returns its status line.
func (x *harness) readAnswer(c net.Conn) string {
	x.t.Helper()
	got := make(chan string, 1)
	go func() {
		r := bufio.NewReader(c)
		answer, err := http.ReadResponse(r, nil)
		if err != nil {
			got <- err.Error()
			return
		}
		io.Copy(io.Discard, answer.Body)
		got <- answer.Proto + " " + answer.Status
	}()
	return receiveWhileRunning(x, got)
}

// A request that was read while its connection is being closed as idle is answered, whatever the cause of the close.
func TestRequestReadDuringIdleClose(t *testing.T) {
	for name, closing := range map[string]func(d *Driver, n *downstream){
		"dismissed at shutdown": func(d *Driver, n *downstream) {
			d.stoppedAt = time.Now().Add(-time.Hour)
			d.checkShutdown()
		},
		"drained by operators": func(d *Driver, n *downstream) {
			d.quiescedAt = time.Now().Add(-time.Hour)
			d.checkShutdown()
		},
		"evicted":         func(d *Driver, _ *downstream) { d.evictDownstream() },
		"request timeout": func(_ *Driver, n *downstream) { n.requestBegan = time.Now().Add(-requestTimeout); n.requestTimedOut() },
		"idle timeout":    func(_ *Driver, n *downstream) { n.requestIdleClose() },
	} {
		t.Run(name, func(t *testing.T) {
			x := newHarness(t)
			x.listServers("s-a")
			c, n := x.connectClient()
			n.idleSince = n.idleSince.Add(-time.Hour)
			if _, err := io.WriteString(c, requestText("t1")); err != nil {
				t.Fatal(err)
			}
			read := x.nextEvent() // the reader has the request, the owner does not yet
			closing(x.d, n)
			read()
			server, _ := x.acceptAttempt("s-a")
			io.WriteString(server, servedResponse("t1"))
			if got := x.readAnswer(c); got != "HTTP/1.1 200 OK" {
				t.Errorf("a request that was read is answered %q", got)
			}
			if x.d.dismissingClients() {
				return
			}
			// The connection stays open and is read as before.
			io.WriteString(c, requestText("t2"))
			x.runUntil(func() bool { return len(x.d.openRequests) == 1 })
		})
	}
}

// Input that arrives after the reader has stopped is not read: its sender sees the connection end, and nobody has the
// request.
func TestRequestAfterReaderStopped(t *testing.T) {
	x := newHarness(t)
	x.listServers("s-a")
	c, n := x.connectClient()
	n.requestIdleClose()
	readerStopped := x.nextEvent()
	if _, err := io.WriteString(c, requestText("t1")); err != nil {
		t.Fatal(err)
	}
	readerStopped()
	if b, err := io.ReadAll(c); err == nil && len(b) > 0 {
		t.Errorf("answered %q", b)
	}
	if !n.isClosed || len(x.d.openRequests) != 0 {
		t.Errorf("closed %t, %d requests open", n.isClosed, len(x.d.openRequests))
	}
	x.assertNotReached("s-a")
}

// Clients that are asked to leave get answers to all requests that were read from them.
func TestPipelinedRequestsAreAnsweredInDrain(t *testing.T) {
	x := newHarness(t)
	x.listServers("s-a")
	c, n := x.connectClient()
	io.WriteString(c, requestText("t1")+requestText("t2")+requestText("t3"))
	x.runUntil(func() bool { return len(x.d.openRequests) == 1 && len(n.unparsed) > 0 })
	x.d.quiesce()
	server, _ := x.acceptAttempt("s-a")
	for i, name := range []string{"t1", "t2", "t3"} {
		io.WriteString(server, servedResponse(name))
		if got := x.readAnswer(c); got != "HTTP/1.1 200 OK" {
			t.Fatalf("%s is answered %q", name, got)
		}
		if i < 2 {
			x.runUntil(func() bool { return len(x.d.attempts) == 1 })
			server = x.nextAttempt(server, "s-a")
		}
	}
	x.runUntil(func() bool { return n.closing })
}

// nextAttempt reads the next attempt's request. It comes on the connection of the previous one, or on a new one if the
// attempt began before that connection was free; the driver, which drains, closes the previous one as it runs on.
func (x *harness) nextAttempt(server net.Conn, name string) net.Conn {
	x.t.Helper()
	read := make(chan error, 1)
	go func() { read <- readRequest(server) }()
	if err := receiveWhileRunning(x, read); err == nil {
		return server
	} else if !errors.Is(err, io.EOF) {
		x.t.Fatal(err)
	}
	another, _ := x.acceptAttempt(name)
	return another
}

// readRequest reads a whole request without a body.
func readRequest(c net.Conn) error {
	text, one := "", make([]byte, 1)
	for !strings.HasSuffix(text, "\r\n\r\n") {
		if _, err := c.Read(one); err != nil {
			return err
		}
		text += string(one)
	}
	return nil
}

// The remaining time in a request to a server is computed when its bytes are written.
func TestRemainingTimeIsComputedAtWrite(t *testing.T) {
	d := testDriver(t)
	elapsed := time.Duration(0)
	d.clock.elapsed = func() time.Duration { return elapsed }
	server, near := net.Pipe()
	t.Cleanup(func() { server.Close(); near.Close() })
	s := &upstream{addr: "a", parser: platform.NewRelay(func(platform.Note) {})}
	s.conn = &conn{d: d, socket: near, writeQueue: make(chan func() []byte, 1), continueReading: make(chan bool, 1), closed: make(chan struct{})}
	msg := &platform.Message{Method: "POST", Target: "/readings", Txn: "t1", Lane: "readings"}
	s.start(&attempt{id: dispatch.AttemptID{Message: 1}, msg: msg, addr: "a", deadline: d.now() + 1_000_000})
	elapsed = 900 * time.Millisecond
	go s.writeLoop(func(error) {})
	r := bufio.NewReader(server)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if left, found := strings.CutPrefix(line, "X-Remaining: "); found {
			if strings.TrimSpace(left) != "0.100000" {
				t.Errorf("X-Remaining is %s s 0.9 s after the decision, want 0.1", strings.TrimSpace(left))
			}
			return
		}
	}
}

// The deadline of a pipelined request counts from its arrival, not from when it is handled.
func TestDeadlineOfPipelinedRequest(t *testing.T) {
	x := newHarness(t)
	x.listServers("s-a", "s-b")
	var elapsed atomic.Int64
	x.d.clock.elapsed = func() time.Duration { return time.Duration(elapsed.Load()) }
	c, n := x.connectClient()
	io.WriteString(c, requestText("t1"))
	x.runUntil(func() bool { return len(x.d.openRequests) == 1 })
	io.WriteString(c, requestText("t2"))
	x.runUntil(func() bool { return len(n.unparsed) > 0 })
	elapsed.Store(int64(10 * time.Second))
	first, _ := x.acceptAnyAttempt()
	io.WriteString(first, servedResponse("t1"))
	x.runUntil(func() bool { return n.msg != nil && n.msg.Txn == "t2" && len(x.d.attempts) == 1 })
	for _, r := range x.d.attempts {
		if left := r.deadline - x.d.now(); left > 40_000_000 {
			t.Errorf("%d us remain 10 s after a request with 50 s arrived", left)
		}
	}
}

// A process that another one has replaced sends nothing to a server in slow start, since that server's budget now
// belongs to the other.
func TestReplacedProcessSparesServersInSlowStart(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		x := newHarness(t, logic.Class{Name: "readings", TargetLatency: 100_000, Deadline: 60_000_000, WorkerKind: -1})
		settings := x.d.cfg.Settings
		settings.SlowStart, settings.StartCapacity, settings.OverloadWindow, settings.OverloadMultiple = 24_000_000, 0.3, 2_000_000, 30
		core, err := dispatch.New(settings, 7)
		if err != nil {
			t.Fatal(err)
		}
		x.d.core = core
		var elapsed atomic.Int64
		x.d.clock.elapsed = func() time.Duration { return time.Duration(elapsed.Load()) }
		x.d.applyHosts(logic.ListFull, nil) // the core's own start
		elapsed.Store(int64(10 * time.Second))
		x.d.applyHosts(logic.ListFull, []dispatch.Host{{Name: "s-a", Addr: "127.0.0.1:1", Phase: logic.Ready, UpSince: x.d.now() - 1_000_000}})
		attempts := 0
		x.d.dial = func(string, time.Duration) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		c, _ := x.connectClient()
		x.d.successor.Store(replaced)
		if replaced {
			x.d.stop()
		}
		io.WriteString(c, requestText("t1"))
		x.runUntil(func() bool { attempts = len(x.d.attempts); return len(x.d.openRequests) == 1 || attempts > 0 })
		if (attempts > 0) == replaced {
			t.Errorf("replaced %t: %d attempts", replaced, attempts)
		}
	}
}

// After an error accepting is retried, with a delay.
func TestAcceptRetriesAfterErrors(t *testing.T) {
	x := newHarness(t)
	faults := []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EPERM}
	ln := &faultyListener{Listener: x.d.ln, faults: faults}
	x.d.ln = ln
	begun := time.Now()
	go x.d.accept()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	x.runUntil(func() bool { return len(x.d.downstreams) == 1 })
	if least := time.Duration(len(faults)) * acceptRetryDelay; time.Since(begun) < least {
		t.Errorf("%d errors were retried within %v, without the delay", len(faults), time.Since(begun))
	}
}

type faultyListener struct {
	net.Listener
	faults []syscall.Errno
}

func (l *faultyListener) Accept() (net.Conn, error) {
	if len(l.faults) > 0 {
		err := l.faults[0]
		l.faults = l.faults[1:]
		return nil, &net.OpError{Op: "accept", Err: fmt.Errorf("accept4: %w", err)}
	}
	return l.Listener.Accept()
}

// Errors of this machine do not count against a server; the server's own do.
func TestDialErrors(t *testing.T) {
	for errno, want := range map[syscall.Errno]logic.Result{
		syscall.EMFILE: logic.NotSent, syscall.ENFILE: logic.NotSent, syscall.ENOBUFS: logic.NotSent, syscall.ENOMEM: logic.NotSent,
		syscall.EADDRNOTAVAIL: logic.NotSent, syscall.ENETUNREACH: logic.NotSent, syscall.EAGAIN: logic.NotSent,
		syscall.ECONNREFUSED: logic.ConnectFailed, syscall.ETIMEDOUT: logic.ConnectFailed,
		syscall.EHOSTUNREACH: logic.ConnectFailed, syscall.ECONNRESET: logic.ConnectFailed,
	} {
		x := newHarness(t)
		var failures failureCounter
		x.d.core.ReportHealthTo(&failures)
		x.listServers("s-a")
		failure := error(&net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("connect: %w", errno)})
		x.d.dial = func(string, time.Duration) (net.Conn, error) { return nil, failure }
		c, _ := x.connectClient()
		io.WriteString(c, requestText("t1"))
		if got := x.readAnswer(c); got != "HTTP/1.1 503 Service Unavailable" && got != "HTTP/1.1 502 Bad Gateway" {
			t.Errorf("%v: answered %q", errno, got)
		}
		if got := dialResult(failure); got != want {
			t.Errorf("%v: result %v, want %v", errno, got, want)
		}
		if held := failures > 0; held != (want == logic.ConnectFailed) {
			t.Errorf("%v: counted against the server: %t", errno, held)
		}
	}
	if isLocalError(errors.New("other")) {
		t.Error("an unrelated error counts as local")
	}
}

// failureCounter counts the failures that the core attributes to servers.
type failureCounter int

func (b *failureCounter) Record(_ int64, _ logic.WorkerID, ok bool) {
	if !ok {
		*b++
	}
}

// A connection breaks while it carries a request, with each errno that a read or a write may return.
func TestServerConnectionErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENETUNREACH} {
		for _, at := range []string{"read", "write"} {
			x := newHarness(t, logic.Class{Name: "readings", Deadline: 60_000_000, WorkerKind: -1, Repeat: logic.RepeatUnsafe})
			x.listServers("s-a")
			x.d.dial = func(addr string, limit time.Duration) (net.Conn, error) {
				c, err := dialTCP(addr, limit)
				return &brokenConn{Conn: c, at: at, err: errno, written: make(chan struct{})}, err
			}
			c, _ := x.connectClient()
			io.WriteString(c, requestText("t1"))
			// The class must not run twice: a request may have run once its last byte was written.
			want := map[string]string{"read": "HTTP/1.1 502 Bad Gateway", "write": "HTTP/1.1 503 Service Unavailable"}[at]
			if got := x.readAnswer(c); got != want {
				t.Errorf("%v at %s: answered %q, want %q", errno, at, got, want)
			}
			if x.d.pool.count != 0 {
				t.Errorf("%v at %s: %d connections in the pool", errno, at, x.d.pool.count)
			}
		}
	}
}

// brokenConn fails its reads after a request was written to it, or its writes after a few bytes.
type brokenConn struct {
	net.Conn
	at      string
	err     error
	written chan struct{}
}

func (c *brokenConn) Write(b []byte) (int, error) {
	if c.at == "write" {
		n, _ := c.Conn.Write(b[:10])
		return n, &net.OpError{Op: "write", Err: c.err}
	}
	n, err := c.Conn.Write(b)
	close(c.written)
	return n, err
}

func (c *brokenConn) Read(b []byte) (int, error) {
	if c.at == "read" {
		<-c.written
		return 0, &net.OpError{Op: "read", Err: c.err}
	}
	return c.Conn.Read(b)
}
