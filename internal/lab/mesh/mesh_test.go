package mesh

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"granitewing/internal/lab/link"
)

const testTimeout = 10 * time.Second // reached only by tests that fail

// member binds to an IP address of its own, as dispatchers do.
type member struct {
	udp *net.UDPConn
	tcp *net.TCPListener
}

// newTwoMembers returns two members with a mesh between them.
func newTwoMembers(t *testing.T) (*Mesh, [2]member) {
	t.Helper()
	var members [2]member
	var places []string
	for i := range members {
		ip := net.IPv4(127, 2, 9, byte(i+1))
		tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip})
		if err != nil {
			t.Fatal(err)
		}
		udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip, Port: tcp.Addr().(*net.TCPAddr).Port})
		if err != nil {
			t.Fatal(err)
		}
		members[i] = member{udp, tcp}
		places = append(places, tcp.Addr().String())
		t.Cleanup(func() { tcp.Close(); udp.Close() })
	}
	m, err := Open(places, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m, members
}

// send sends a datagram to the mesh's address for another member.
func (m member) send(t *testing.T, mesh *Mesh, to int, text string) {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp4", mesh.Addr(to))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.udp.WriteToUDP([]byte(text), addr); err != nil {
		t.Fatal(err)
	}
}

// receive returns the next datagram.
func (m member) receive(t *testing.T) string {
	t.Helper()
	m.udp.SetReadDeadline(time.Now().Add(testTimeout))
	b := make([]byte, 100)
	n, err := m.udp.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n])
}

// Datagrams follow the faults of the link. Those that are cut or lost are never delivered, so the next datagram
// received is the next one sent.
func TestDatagrams(t *testing.T) {
	m, who := newTwoMembers(t)
	expect := func(to int, want string) {
		t.Helper()
		if got := who[to].receive(t); got != want {
			t.Errorf("received %q, want %q", got, want)
		}
	}
	cut := link.Direction{Cut: true}
	for _, f := range []link.Faults{{To: cut}, {To: link.Direction{Loss: 1}}, {To: link.Direction{CutMidMessage: true}}, {Refuse: true}} {
		m.Set(0, 1, f)
		who[0].send(t, m, 1, "lost")
		for _, _, lost := m.Sent(0); lost == 0; _, _, lost = m.Sent(0) {
		}
		if !f.Refuse {
			who[1].send(t, m, 0, "back") // the opposite direction is healthy
			expect(0, "back")
		}
		m.Set(0, 1, link.Faults{})
		who[0].send(t, m, 1, "whole")
		expect(1, "whole")
		m.endpoints[0].sent.Lost.Store(0)
	}
	m.Set(1, 0, link.Faults{From: link.Direction{Duplicate: 1}}) // set from the other member's side
	who[0].send(t, m, 1, "twice")
	expect(1, "twice")
	expect(1, "twice")
	// Random delays eventually reorder datagrams.
	m.Set(0, 1, link.Faults{To: link.Direction{Jitter: 20 * time.Millisecond}})
	for round := range 20 {
		for i := range 10 {
			who[0].send(t, m, 1, fmt.Sprint(round, i))
		}
		reordered, last := false, ""
		for range 10 {
			got := who[1].receive(t)
			reordered = reordered || got < last
			last = got
		}
		if reordered {
			return
		}
	}
	t.Error("all datagrams arrived in order")
}

// Connections go over the link of the two members, whichever of them opened it, and a caller whose direction is cut
// reaches nobody.
func TestConnections(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	m, who := newTwoMembers(t)
	defer m.Close()
	m.Set(1, 0, link.Faults{To: link.Direction{Cut: true}})
	call := func(from, to int) net.Conn {
		t.Helper()
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: who[from].tcp.Addr().(*net.TCPAddr).IP}}
		c, err := d.Dial("tcp", m.Addr(to))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		return c
	}
	a, b := call(0, 1), call(1, 0)
	defer a.Close()
	defer b.Close()
	for _, c := range []net.Conn{a, b} {
		if _, err := c.Write([]byte("in")); err != nil {
			t.Fatal(err)
		}
	}
	// Member 0 reaches 1, whose answer waits; member 1 does not reach 0.
	at1, err := who[1].tcp.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer at1.Close()
	at1.SetDeadline(time.Now().Add(testTimeout))
	b2 := make([]byte, 2)
	if _, err := io.ReadFull(at1, b2); err != nil || string(b2) != "in" {
		t.Fatalf("%q, %v", b2, err)
	}
	at1.Write([]byte("no"))
	a.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if _, err := a.Read(b2); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v over a direction that is cut", err)
	}
	who[0].tcp.SetDeadline(time.Now().Add(30 * time.Millisecond))
	if c, err := who[0].tcp.Accept(); err == nil {
		c.Close()
		t.Error("a caller whose direction is cut was accepted")
	}
	m.Set(0, 1, link.Faults{})
	a.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(a, b2); err != nil || string(b2) != "no" {
		t.Errorf("%q, %v once the link is healed", b2, err)
	}
	who[0].tcp.SetDeadline(time.Now().Add(testTimeout))
	at0, err := who[0].tcp.Accept()
	if err != nil {
		t.Fatal(err)
	}
	// A close is passed on, and so is a reset.
	at0.Close()
	if _, err := b.Read(b2); err == nil {
		t.Error("a connection that the target has closed goes on")
	}
	m.Set(0, 1, link.Faults{Refuse: true})
	if _, err := a.Read(b2); err == nil {
		t.Error("a connection goes on over a link that resets")
	}
}

// Only members' traffic is forwarded.
func TestNonMembers(t *testing.T) {
	m, _ := newTwoMembers(t)
	if c, err := net.Dial("tcp", m.Addr(0)); err == nil { // the reset may arrive before Dial has rereordered
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("connection of a non-member: %v", err)
		}
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Fatal(err)
	}
	if _, err := Open([]string{"127.2.9.9:1", "127.2.9.9:2"}, 1); err == nil {
		t.Error("two members with one address were accepted")
	}
}
