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

	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// Two things that happen at once, each forced into the order that is worst: by an event that the test holds back, a server
// that does not answer, a dial that does not return. Nothing here waits for a length of time.

// crossing is a driver on a real listener, whose owner is the test's goroutine, and two servers.
type crossing struct {
	t       *testing.T
	d       *Driver
	servers map[string]net.Listener
}

func newCrossing(t *testing.T, classes ...logic.Class) *crossing {
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
	x := &crossing{t: t, d: d, servers: map[string]net.Listener{}}
	t.Cleanup(func() { close(d.done); ln.Close() })
	return x
}

// serve lists servers, which listen and accept nothing before the test does.
func (x *crossing) serve(names ...string) {
	var hosts []memory.Host
	for _, name := range names {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			x.t.Fatal(err)
		}
		x.t.Cleanup(func() { ln.Close() })
		x.servers[name] = ln
		hosts = append(hosts, memory.Host{Name: name, Addr: ln.Addr().String(), Phase: logic.Ready})
	}
	x.d.takeHosts(logic.ListFull, hosts)
}

// client connects and waits until the owner has taken the connection.
func (x *crossing) client() (net.Conn, *downstream) {
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
	x.d.take(accepted)
	for n := range x.d.downstreams {
		if n.c == accepted {
			return c, n
		}
	}
	x.t.Fatalf("%d connections, %d before", len(x.d.downstreams), before)
	return nil, nil
}

// event gives the next event without carrying it out.
func (x *crossing) event() func() {
	x.t.Helper()
	select {
	case f := <-x.d.events:
		return f
	case <-time.After(20 * time.Second):
		x.t.Fatal("nothing happened")
		return nil
	}
}

func (x *crossing) until(done func() bool) { x.t.Helper(); pump(x.t, x.d, done) }

// server accepts the next attempt at a server and gives its connection and its request's head.
func (x *crossing) server(name string) (net.Conn, string) {
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
	var a attempt
	got := false
	x.until(func() bool {
		select {
		case a = <-came:
			got = true
		default:
			if len(x.d.events) == 0 {
				time.AfterFunc(time.Millisecond, func() { x.d.post(func() {}) }) // look again
			}
		}
		return got
	})
	if a.err != nil {
		x.t.Fatalf("%s: %v after %q", name, a.err, a.head)
	}
	x.t.Cleanup(func() { a.c.Close() })
	return a.c, a.head
}

// untouched fails if a server was reached.
func (x *crossing) untouched(name string) {
	x.t.Helper()
	ln := x.servers[name].(*net.TCPListener)
	ln.SetDeadline(time.Now().Add(time.Millisecond)) // a connection that was made stands in the queue already
	if c, err := ln.Accept(); err == nil {
		c.Close()
		x.t.Errorf("%s was reached", name)
	}
}

func request(name string) string {
	return "POST /readings HTTP/1.1\r\nHost: api\r\nX-Txn: " + name + "\r\nX-Remaining: 50\r\n\r\n"
}

func served(name string) string {
	line := fmt.Sprintf(`{"id":"%s","state":"done","result":"%s"}`+"\n", name, name)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(line), line)
}

// answer reads a whole answer, on a goroutine of its own, while the owner's work goes on.
func (x *crossing) answer(c net.Conn) string {
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
	result := ""
	x.until(func() bool {
		select {
		case result = <-got:
			return true
		default:
			if len(x.d.events) == 0 {
				time.AfterFunc(time.Millisecond, func() { x.d.post(func() {}) })
			}
			return false
		}
	})
	return result
}

// A request that was read while its connection is closed as an idle one is answered: whatever closes it.
func TestRequestCrossesTheCloseOfItsConnection(t *testing.T) {
	for name, closing := range map[string]func(d *Driver, n *downstream){
		"sent away at the end": func(d *Driver, n *downstream) {
			d.stopped = time.Now().Add(-time.Hour)
			d.check()
		},
		"drained by hand": func(d *Driver, n *downstream) {
			d.quiesced = time.Now().Add(-time.Hour)
			d.check()
		},
		"makes room":        func(d *Driver, _ *downstream) { d.evictDownstream() },
		"silent for long":   func(_ *Driver, n *downstream) { n.begun = time.Now().Add(-messageLimit); n.late() },
		"idle for too long": func(_ *Driver, n *downstream) { n.retire() },
	} {
		t.Run(name, func(t *testing.T) {
			x := newCrossing(t)
			x.serve("s-a")
			c, n := x.client()
			n.since = n.since.Add(-time.Hour)
			if _, err := io.WriteString(c, request("t1")); err != nil {
				t.Fatal(err)
			}
			read := x.event() // the reader has the request, the owner not yet
			closing(x.d, n)
			read()
			server, _ := x.server("s-a")
			io.WriteString(server, served("t1"))
			if got := x.answer(c); got != "HTTP/1.1 200 OK" {
				t.Errorf("a request that was read is answered %q", got)
			}
			if x.d.parting() {
				return
			}
			// The connection goes on, and is read as before.
			io.WriteString(c, request("t2"))
			x.until(func() bool { return len(x.d.open) == 1 })
		})
	}
}

// What comes once the reader stands still is not read: its sender sees the connection end and nobody has the request.
func TestRequestAfterTheReaderStandsStill(t *testing.T) {
	x := newCrossing(t)
	x.serve("s-a")
	c, n := x.client()
	n.retire()
	halted := x.event()
	if _, err := io.WriteString(c, request("t1")); err != nil {
		t.Fatal(err)
	}
	halted()
	if b, err := io.ReadAll(c); err == nil && len(b) > 0 {
		t.Errorf("answered %q", b)
	}
	if !n.gone || len(x.d.open) != 0 {
		t.Errorf("closed %t, %d requests open", n.gone, len(x.d.open))
	}
	x.untouched("s-a")
}

// Clients that are sent away get an answer to all that was read from them.
func TestRequestsReadAheadOfTheEnd(t *testing.T) {
	x := newCrossing(t)
	x.serve("s-a")
	c, n := x.client()
	io.WriteString(c, request("t1")+request("t2")+request("t3"))
	x.until(func() bool { return len(x.d.open) == 1 && len(n.rest) > 0 })
	x.d.quiesce()
	server, _ := x.server("s-a")
	for i, name := range []string{"t1", "t2", "t3"} {
		io.WriteString(server, served(name))
		if got := x.answer(c); got != "HTTP/1.1 200 OK" {
			t.Fatalf("%s is answered %q", name, got)
		}
		if i < 2 {
			x.until(func() bool { return len(x.d.attempts) == 1 })
			server = x.nextRequest(server, "s-a")
		}
	}
	x.until(func() bool { return n.closing })
}

// nextRequest reads the next attempt's request: on the connection of the one before, or, where the attempt began before
// that connection was free and it was closed since the driver ends, on another.
func (x *crossing) nextRequest(server net.Conn, name string) net.Conn {
	x.t.Helper()
	if err := readRequest(server); err == nil {
		return server
	} else if !errors.Is(err, io.EOF) {
		x.t.Fatal(err)
	}
	another, _ := x.server(name)
	return another
}

// readRequest reads a whole request that has no body.
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

// What a server is told of the time that is left is worked out when the bytes are written.
func TestRemainingTimeOfAWriterHeldUp(t *testing.T) {
	d := testDriver(t)
	elapsed := time.Duration(0)
	d.clock.elapsed = func() time.Duration { return elapsed }
	server, near := net.Pipe()
	t.Cleanup(func() { server.Close(); near.Close() })
	s := &upstream{addr: "a", parser: platform.NewRelay(func(platform.Note) {})}
	s.conn = &conn{d: d, c: near, out: make(chan func() []byte, 1), more: make(chan bool, 1), closed: make(chan struct{})}
	msg := &platform.Message{Method: "POST", Target: "/readings", Txn: "t1", Lane: "readings"}
	s.begin(&attempt{id: memory.RelayID{Message: 1}, msg: msg, addr: "a", until: d.now() + 1_000_000})
	elapsed = 900 * time.Millisecond
	go s.writing(func(error) {})
	r := bufio.NewReader(server)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if left, found := strings.CutPrefix(line, "X-Remaining: "); found {
			if strings.TrimSpace(left) != "0.100000" {
				t.Errorf("%s s are told 0.9 s after the decision, want 0.1", strings.TrimSpace(left))
			}
			return
		}
	}
}

// A request that was sent ahead has its time counted from when it came, not from when its turn comes.
func TestDeadlineOfARequestSentAhead(t *testing.T) {
	x := newCrossing(t)
	x.serve("s-a", "s-b")
	var elapsed atomic.Int64
	x.d.clock.elapsed = func() time.Duration { return time.Duration(elapsed.Load()) }
	c, n := x.client()
	io.WriteString(c, request("t1"))
	x.until(func() bool { return len(x.d.open) == 1 })
	io.WriteString(c, request("t2"))
	x.until(func() bool { return len(n.rest) > 0 })
	elapsed.Store(int64(10 * time.Second))
	first, _ := x.eitherServer()
	io.WriteString(first, served("t1"))
	x.until(func() bool { return n.msg != nil && n.msg.Txn == "t2" && len(x.d.attempts) == 1 })
	for _, r := range x.d.attempts {
		if left := r.until - x.d.now(); left > 40_000_000 {
			t.Errorf("%d us are left to it 10 s after it came with 50 s", left)
		}
	}
}

// A process whose place another has taken sends nothing to a server in slow start, whose budget is the other's now.
func TestSucceededProcessSparesServersInSlowStart(t *testing.T) {
	for _, succeeded := range []bool{false, true} {
		x := newCrossing(t, logic.Class{Name: "readings", Aim: 100_000, Deadline: 60_000_000, WorkerKind: -1})
		settings := x.d.cfg.Settings
		settings.Cold, settings.StartCapacity, settings.FallWindow, settings.FallMultiple = 24_000_000, 0.3, 2_000_000, 30
		core, err := memory.New(settings, 7)
		if err != nil {
			t.Fatal(err)
		}
		x.d.core = core
		var elapsed atomic.Int64
		x.d.clock.elapsed = func() time.Duration { return time.Duration(elapsed.Load()) }
		x.d.takeHosts(logic.ListFull, nil) // its own start
		elapsed.Store(int64(10 * time.Second))
		x.d.takeHosts(logic.ListFull, []memory.Host{{Name: "s-a", Addr: "127.0.0.1:1", Phase: logic.Ready, UpSince: x.d.now() - 1_000_000}})
		dialled := 0
		x.d.dial = func(string, time.Duration) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		c, _ := x.client()
		x.d.successor.Store(succeeded)
		if succeeded {
			x.d.stop()
		}
		io.WriteString(c, request("t1"))
		x.until(func() bool { dialled = len(x.d.attempts); return len(x.d.open) == 1 || dialled > 0 })
		if (dialled > 0) == succeeded {
			t.Errorf("succeeded %t: %d attempts", succeeded, dialled)
		}
	}
}

// A listener that fails for a moment is asked again, not at once and not never.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	x := newCrossing(t)
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
	x.until(func() bool { return len(x.d.downstreams) == 1 })
	if least := time.Duration(len(faults)) * acceptRetry; time.Since(begun) < least {
		t.Errorf("%d errors were over in %v: it spins", len(faults), time.Since(begun))
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

// Errors of this machine are not held against the server; its own are.
func TestErrorsOfADial(t *testing.T) {
	for errno, want := range map[syscall.Errno]logic.Result{
		syscall.EMFILE: logic.Moot, syscall.ENFILE: logic.Moot, syscall.ENOBUFS: logic.Moot, syscall.ENOMEM: logic.Moot,
		syscall.EADDRNOTAVAIL: logic.Moot, syscall.ENETUNREACH: logic.Moot, syscall.EAGAIN: logic.Moot,
		syscall.ECONNREFUSED: logic.ConnectFailed, syscall.ETIMEDOUT: logic.ConnectFailed,
		syscall.EHOSTUNREACH: logic.ConnectFailed, syscall.ECONNRESET: logic.ConnectFailed,
	} {
		x := newCrossing(t)
		var blamed blame
		x.d.core.Tell(&blamed)
		x.serve("s-a")
		failure := error(&net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("connect: %w", errno)})
		x.d.dial = func(string, time.Duration) (net.Conn, error) { return nil, failure }
		c, _ := x.client()
		io.WriteString(c, request("t1"))
		if got := x.answer(c); got != "HTTP/1.1 503 Service Unavailable" && got != "HTTP/1.1 502 Bad Gateway" {
			t.Errorf("%v: answered %q", errno, got)
		}
		if got := dialResult(failure); got != want {
			t.Errorf("%v: result %v, want %v", errno, got, want)
		}
		if held := blamed > 0; held != (want == logic.ConnectFailed) {
			t.Errorf("%v: held against the server %t", errno, held)
		}
	}
	if shortage(errors.New("other")) {
		t.Error("any error is a shortage")
	}
}

// blame counts what is held against servers.
type blame int

func (b *blame) Note(_ int64, _ logic.WorkerID, ok bool) {
	if !ok {
		*b++
	}
}

// Connections that break while they carry a request, by each errno that a read or a write may give.
func TestErrorsOfAConnectionToAServer(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENETUNREACH} {
		for _, at := range []string{"read", "write"} {
			x := newCrossing(t, logic.Class{Name: "readings", Deadline: 60_000_000, WorkerKind: -1, Repeat: logic.RepeatUnsafe})
			x.serve("s-a")
			x.d.dial = func(addr string, limit time.Duration) (net.Conn, error) {
				c, err := dialTCP(addr, limit)
				return &brokenConn{Conn: c, at: at, err: errno, written: make(chan struct{})}, err
			}
			c, _ := x.client()
			io.WriteString(c, request("t1"))
			// A class that must not run twice: it may have run once its last byte was written.
			want := map[string]string{"read": "HTTP/1.1 502 Bad Gateway", "write": "HTTP/1.1 503 Service Unavailable"}[at]
			if got := x.answer(c); got != want {
				t.Errorf("%v at %s: answered %q, want %q", errno, at, got, want)
			}
			if x.d.pool.count != 0 {
				t.Errorf("%v at %s: %d connections on the books", errno, at, x.d.pool.count)
			}
		}
	}
}

// brokenConn fails its reads once a request was written to it, or its writes after a few bytes.
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
