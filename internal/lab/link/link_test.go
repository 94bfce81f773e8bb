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

const bound = 10 * time.Second // a test that waits so long has failed

// pair gives a caller's plain connection and the linked one of the place that it calls.
func pair(t *testing.T, l *Link, gone func()) (*net.TCPConn, *Conn) {
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
	caller.SetDeadline(time.Now().Add(bound))
	w := l.Wrap(c, gone)
	t.Cleanup(func() { caller.Close(); w.Reset() })
	return caller.(*net.TCPConn), w
}

// expect reads n bytes and compares.
func expect(t *testing.T, r io.Reader, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if _, err := io.ReadFull(r, b); err != nil || string(b) != want {
		t.Fatalf("%q, %v; want %q", b, err, want)
	}
}

// silent sees that nothing is there to be read while the link is as it is.
func silent(t *testing.T, c *Conn) {
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
	caller, c := pair(t, &l, nil)
	defer c.Reset()
	l.Set(Faults{To: Way{Cut: true}})
	caller.Write([]byte("in"))
	c.Write([]byte("out"))
	expect(t, caller, "out") // the way back is whole
	silent(t, c)
	l.Set(Faults{From: Way{Cut: true}})
	expect(t, c, "in") // what waited goes on once the way is whole
	c.Write([]byte("late"))
	caller.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("%v over the way back, which is cut", err)
	}
	caller.SetReadDeadline(time.Now().Add(bound))
	l.Set(Faults{})
	expect(t, caller, "late")
}

func TestHalfAMessage(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var l Link
	caller, c := pair(t, &l, nil)
	defer c.Reset()
	l.Set(Faults{To: Way{Half: true}})
	caller.Write([]byte("abcdef"))
	expect(t, c, "abc")
	silent(t, c)
	if !l.Faults().To.Cut {
		t.Error("the way is not cut after half a message")
	}
	l.Set(Faults{})
	expect(t, c, "def")
}

func TestResetAndRefuse(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var l Link
	caller, _ := pair(t, &l, nil)
	l.Set(Faults{Refuse: true})
	l.Reset()
	if _, err := caller.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection that was reset reads %v", err)
	}
	caller, _ = pair(t, &l, nil)
	if _, err := caller.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection that is refused reads %v", err)
	}
}

// The rig hears that the caller has gone at once; the place that is called hears of it when the link is whole.
func TestGoneBehindACut(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var l Link
	gone := make(chan struct{})
	caller, c := pair(t, &l, func() { close(gone) })
	defer c.Reset()
	l.Set(Faults{To: Way{Cut: true}})
	caller.Write([]byte("x"))
	caller.Close()
	select {
	case <-gone:
	case <-time.After(bound):
		t.Fatal("nobody was told")
	}
	if c.Gone().IsZero() {
		t.Error("no time of the caller's end")
	}
	silent(t, c)
	l.Set(Faults{})
	expect(t, c, "x")
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the end reads %v", err)
	}
}

func TestLate(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var l Link
	caller, c := pair(t, &l, nil)
	defer c.Reset()
	const delay = 80 * time.Millisecond
	l.Set(Faults{To: Way{Delay: delay}, From: Way{Delay: delay}})
	begun := time.Now()
	caller.Write([]byte("x"))
	expect(t, c, "x")
	if sent := c.Sent(); time.Since(sent) < delay || sent.Before(begun) {
		t.Errorf("sent %v before it was read, want at least %v and after %v", time.Since(sent), delay, begun)
	}
	c.Write([]byte("y"))
	c.Close() // what was written before it still goes out
	expect(t, caller, "y")
	if took := time.Since(begun); took < 2*delay {
		t.Errorf("there and back took %v", took)
	}
}
