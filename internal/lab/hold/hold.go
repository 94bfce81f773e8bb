// Package hold keeps ports of the laboratory's from being given to another program while nobody listens at them. Between the
// moment at which a port is found free and that at which a process listens there, the system gives it to whoever asks for
// any port: to a host of another play that listens at all addresses, or to a call that another play makes from the address.
package hold

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// Port is a TCP port that is bound and does not listen: calls are refused, the system gives it to nobody, and a process that
// asks for it by its number may listen there all the same, as often as it likes.
type Port struct {
	fd   int
	addr netip.AddrPort
}

// Take binds an IPv4 address and port; port 0 is one that the system chooses. What keeps a port is not inherited by processes
// that are started meanwhile.
func Take(addr netip.AddrPort) (*Port, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("hold %s: %w", addr, err)
	}
	p := &Port{fd: fd}
	// With it a listener may take the port beside this socket, and connections of before may still be closing.
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: addr.Addr().As4(), Port: int(addr.Port())})
	}
	var at syscall.Sockaddr
	if err == nil {
		at, err = syscall.Getsockname(fd)
	}
	if err != nil {
		p.Release()
		return nil, fmt.Errorf("hold %s: %w", addr, err)
	}
	p.addr = netip.AddrPortFrom(addr.Addr(), uint16(at.(*syscall.SockaddrInet4).Port))
	return p, nil
}

// Both holds a port that the system chooses and that is free for datagrams as well. Nobody else is given it for connections,
// and what picks ports for datagrams at an address of the laboratory's looks at those first.
func Both(addr netip.Addr) (*Port, error) {
	var last error
	for range 8 {
		p, err := Take(netip.AddrPortFrom(addr, 0))
		if err != nil {
			return nil, err
		}
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.addr))
		if err == nil {
			u.Close()
			return p, nil
		}
		p.Release()
		if last = err; !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return nil, last
}

// Addr is the address that it holds.
func (p *Port) Addr() netip.AddrPort { return p.addr }

// Release gives the port up; nil holds none. It may be called more than once.
func (p *Port) Release() {
	if p != nil && p.fd > 0 {
		syscall.Close(p.fd)
		p.fd = 0
	}
}
