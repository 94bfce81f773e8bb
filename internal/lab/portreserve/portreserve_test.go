package portreserve

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
)

const ipLocalPortRange = 51 // IP_LOCAL_PORT_RANGE, since Linux 6.3

// listenInRangeOfOne asks the system for an unspecified port from a range that contains only the given one, at an
// address. Listeners on all addresses and outgoing connections ask in the same way.
func listenInRangeOfOne(t *testing.T, host string, port uint16) (net.Listener, error) {
	only := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		c.Control(func(fd uintptr) {
			if err := syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipLocalPortRange, int(port)<<16|int(port)); err != nil {
				t.Skip("this kernel does not support IP_LOCAL_PORT_RANGE: ", err)
			}
		})
		return err
	}}
	return only.Listen(context.Background(), "tcp4", host+":0")
}

// A reserved port is given to no socket that asks for an unspecified port, and repeatedly to a process that asks
// for it by number.
func TestHeld(t *testing.T) {
	p, err := Both(netip.MustParseAddr("127.77.0.1"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { p.Release() }()
	listenByNumber := func() {
		t.Helper()
		ln, err := net.Listen("tcp4", p.Addr().String())
		if err != nil {
			t.Fatalf("listen by number: %v", err)
		}
		ln.Close()
	}
	for range 2 {
		for _, host := range []string{"0.0.0.0", "127.77.0.1"} {
			if ln, err := listenInRangeOfOne(t, host, p.Addr().Port()); err == nil {
				ln.Close()
				t.Errorf("%s: the system assigned the reserved port", host)
			}
		}
		listenByNumber()
	}
	// After its release the port is given to any socket that asks. In the meantime any other program may have got it,
	// or may have connected from the same port number at another address, so one of several ports has to succeed.
	var ln net.Listener
	for range 16 {
		p.Release()
		p.Release()
		if ln, err = listenInRangeOfOne(t, "0.0.0.0", p.Addr().Port()); err == nil {
			break
		}
		lastErr := err
		if p, err = Both(p.Addr().Addr()); err != nil {
			t.Fatal(err)
		}
		err = lastErr
	}
	if err != nil {
		t.Fatalf("none of 16 released ports was assigned: %v", err)
	}
	defer ln.Close()
	if other, err := net.Listen("tcp4", p.Addr().String()); err == nil {
		other.Close()
		t.Error("the released port is not in use, so the test proves nothing")
	}
	if _, err := Take(netip.MustParseAddrPort(fmt.Sprintf("127.77.0.1:%d", p.Addr().Port()))); err == nil {
		t.Error("reserved a port that has a listener")
	}
}
