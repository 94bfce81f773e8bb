package hold

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
)

const ipLocalPortRange = 51 // IP_LOCAL_PORT_RANGE, Linux 6.3

// onlyThat asks the system for any port of a range of one, at an address, as a listener at all addresses and a call do.
func listenInRangeOfOne(t *testing.T, host string, port uint16) (net.Listener, error) {
	only := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		c.Control(func(fd uintptr) {
			if err := syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipLocalPortRange, int(port)<<16|int(port)); err != nil {
				t.Skip("this kernel has no range of ports for one socket: ", err)
			}
		})
		return err
	}}
	return only.Listen(context.Background(), "tcp4", host+":0")
}

// What is held is given to nobody who asks for any port, and to a process that names it, again and again.
func TestHeld(t *testing.T) {
	p, err := Both(netip.MustParseAddr("127.77.0.1"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { p.Release() }()
	named := func() {
		t.Helper()
		ln, err := net.Listen("tcp4", p.Addr().String())
		if err != nil {
			t.Fatalf("the process that it is held for: %v", err)
		}
		ln.Close()
	}
	for range 2 {
		for _, host := range []string{"0.0.0.0", "127.77.0.1"} {
			if ln, err := listenInRangeOfOne(t, host, p.Addr().Port()); err == nil {
				ln.Close()
				t.Errorf("%s: the system gave the port that is held", host)
			}
		}
		named()
	}
	// Once released it is given to whoever asks. Meanwhile any other program of the machine may have been given it, or call
	// from the same number at another address, so one of several ports has to show it.
	var ln net.Listener
	for range 16 {
		p.Release()
		p.Release()
		if ln, err = listenInRangeOfOne(t, "0.0.0.0", p.Addr().Port()); err == nil {
			break
		}
		was := err
		if p, err = Both(p.Addr().Addr()); err != nil {
			t.Fatal(err)
		}
		err = was
	}
	if err != nil {
		t.Fatalf("after its release, 16 ports one after the other: %v", err)
	}
	defer ln.Close()
	if other, err := net.Listen("tcp4", p.Addr().String()); err == nil {
		other.Close()
		t.Error("the port was not the other's, so the test shows nothing")
	}
	if _, err := Take(netip.MustParseAddrPort(fmt.Sprintf("127.77.0.1:%d", p.Addr().Port()))); err == nil {
		t.Error("held beside a listener")
	}
}
