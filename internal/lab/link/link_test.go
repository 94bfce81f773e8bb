package link

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const testTimeout = 10 * time.Second // reached only by tests that fail

// newPair returns a caller's plain connection and the callee's end of it over the link.
func newPair(t *testing.T, l *Link, gone func()) (*net.TCPConn, *Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	caller.SetDeadline(time.Now().Add(testTimeout))
	w := l.Wrap(c, gone)
	t.Cleanup(func() { caller.Close(); w.Reset() })
	return caller.(*net.TCPConn), w
}

// expect reads len(want) bytes and compares them with want.
func expect(t *testing.T, r io.Reader, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if _, err := io.ReadFull(r, b); err != nil || string(b) != want {
		t.Fatalf("%q, %v; want %q", b, err, want)
	}
}

// expectNothing checks that nothing can be read over the link in its current state.
func expectNothing(t *testing.T, c *Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("%d bytes, %v over a link that is cut", n, err)
	}
	c.SetReadDeadline(time.Time{})
}

func TestCutOneWay(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var l Link
	caller, c := newPair(t, &l, nil)
	defer c.Reset()
	l.Set(Faults{To: Direction{Cut: true}})
	caller.Write([]byte("in"))
	c.Write([]byte("out"))
	expect(t, caller, "out") // the way back is healthy
	expectNothing(t, c)
	l.Set(Faults{From: Direction{Cut: true}})
	expect(t, c, "in") // bytes that waited are delivered once the direction is healed
	c.Write([]byte("late"))
	caller.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("%v over the way back, which is cut", err)
	}
	caller.SetReadDeadline(time.Now().Add(testTimeout))
	l.Set(Faults{})
	expect(t, caller, "late")
}

func TestCutMidMessage(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var l Link
	caller, c := newPair(t, &l, nil)
	defer c.Reset()
	l.Set(Faults{To: Direction{CutMidMessage: true}})
	caller.Write([]byte("abcdef"))
	expect(t, c, "abc")
	expectNothing(t, c)
	if !l.Faults().To.Cut {
		t.Error("the direction is not cut after half a message")
	}
	l.Set(Faults{})
	expect(t, c, "def")
}

func TestResetAndRefuse(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var l Link
	caller, _ := newPair(t, &l, nil)
	l.Set(Faults{Refuse: true})
	l.Reset()
	if _, err := caller.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection that was reset reads %v", err)
	}
	caller, _ = newPair(t, &l, nil)
	if _, err := caller.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection that is refused reads %v", err)
	}
}

// The callback reports immediately that the caller has closed, while the callee sees the close only once the link is
// healed.
func TestCallerCloseOverCutLink(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var l Link
	gone := make(chan struct{})
	caller, c := newPair(t, &l, func() { close(gone) })
	defer c.Reset()
	l.Set(Faults{To: Direction{Cut: true}})
	caller.Write([]byte("x"))
	caller.Close()
	select {
	case <-gone:
	case <-time.After(testTimeout):
		t.Fatal("the callback was not called")
	}
	if c.Gone().IsZero() {
		t.Error("no time of the caller's close")
	}
	expectNothing(t, c)
	l.Set(Faults{})
	expect(t, c, "x")
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("at the end of the stream: %v", err)
	}
}

func TestDelay(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var l Link
	caller, c := newPair(t, &l, nil)
	defer c.Reset()
	const delay = 80 * time.Millisecond
	l.Set(Faults{To: Direction{Delay: delay}, From: Direction{Delay: delay}})
	start := time.Now()
	caller.Write([]byte("x"))
	expect(t, c, "x")
	if sent := c.Sent(); time.Since(sent) < delay || sent.Before(start) {
		t.Errorf("sent %v before it was read, want at least %v and after %v", time.Since(sent), delay, start)
	}
	c.Write([]byte("y"))
	c.Close() // bytes that were written before the close still go out
	expect(t, caller, "y")
	if took := time.Since(start); took < 2*delay {
		t.Errorf("the round trip took %v", took)
	}
}
