// Package portreserve reserves TCP ports for processes that the laboratory starts later. Between the moment at which a
// port is found free and the moment at which a process listens on it, the system may give the port to any other
// socket that asks for an unspecified one: to a listener on all addresses of a host in another run, or to an
// outgoing connection of another run from the same address.
//
// Take and Both reserve a Port; Port.Release ends the reservation.
package portreserve

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// Port is a TCP port that is bound but does not listen. Connections to it are refused, and the system gives it to
// no other socket. A process that asks for it by number can still listen on it, any number of times.
type Port struct {
	fd   int
	addr netip.AddrPort
}

// Take binds an IPv4 address and port; for port 0 the system chooses one. The socket is not inherited by processes
// started in the meantime.
func Take(addr netip.AddrPort) (*Port, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve %s: %w", addr, err)
	}
	p := &Port{fd: fd}
	// SO_REUSEADDR allows a listener on the port beside this socket, and earlier connections that are still closing.
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: addr.Addr().As4(), Port: int(addr.Port())})
	}
	var bound syscall.Sockaddr
	if err == nil {
		bound, err = syscall.Getsockname(fd)
	}
	if err != nil {
		p.Release()
		return nil, fmt.Errorf("reserve %s: %w", addr, err)
	}
	p.addr = netip.AddrPortFrom(addr.Addr(), uint16(bound.(*syscall.SockaddrInet4).Port))
	return p, nil
}

// Both reserves a port chosen by the system that is free for UDP as well. The system gives it to no other TCP socket.
// UDP can't be reserved, but code that picks a UDP port at a laboratory address takes the TCP port of that number
// first.
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

// Addr returns the reserved address.
func (p *Port) Addr() netip.AddrPort { return p.addr }

// Release ends the reservation. It may be called more than once, and on nil.
func (p *Port) Release() {
	if p != nil && p.fd > 0 {
		syscall.Close(p.fd)
		p.fd = 0
	}
}
