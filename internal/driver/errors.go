package driver

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"granitewing/logic"
)

// localErrors are errors of this machine that say nothing about the remote one: no descriptor, memory, port or route
// is available here at the moment.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR,
}

// isLocalError reports whether an error has its cause on this machine.
func isLocalError(err error) bool {
	for _, e := range localErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// dialResult returns the result of an attempt whose connection could not be made.
func dialResult(err error) logic.Result {
	if isLocalError(err) {
		return logic.NotSent
	}
	return logic.ConnectFailed
}

// Kernel numbers of TCP connection states.
const (
	tcpStateClose     = 7 // the connection was reset
	tcpStateCloseWait = 8 // the peer has closed its side
)

// clientClosed reports whether a client has closed its connection while bytes from it are still unread. If all is
// read, the reader notices the close itself.
func (n *downstream) clientClosed() bool {
	t, tcp := n.socket.(*net.TCPConn)
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
		left = err == nil && (info.State == tcpStateClose || info.State == tcpStateCloseWait)
	})
	return left
}

// dialTCP connects to a server within a time limit.
func dialTCP(addr string, limit time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, limit)
}
