package driver

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"granitewing/logic"
)

// shortages are errors of this machine that say nothing of the one at the other end: no descriptor, memory, port or route
// is to be had here just now.
var shortages = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR,
}

// shortage tells whether an error is this machine's own.
func shortage(err error) bool {
	for _, e := range shortages {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// dialResult is how an attempt ended whose connection did not come up.
func dialResult(err error) logic.Result {
	if shortage(err) {
		return logic.Moot
	}
	return logic.ConnectFailed
}

// States of a TCP connection as the system numbers them.
const (
	tcpClose     = 7 // reset
	tcpCloseWait = 8 // the other end has closed
)

// left tells whether a client has closed its connection behind bytes that are left unread; where all is read, the reader
// sees it.
func (n *downstream) left() bool {
	t, tcp := n.c.(*net.TCPConn)
	if !n.paused || !tcp {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		left = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return left
}

// dialTCP connects to a server.
func dialTCP(addr string, limit time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, limit)
}
