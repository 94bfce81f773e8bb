package driver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Offset of the flags in a TCP header, in bytes, and the flag of a packet that opens a connection.
const (
	tcpFlagsOffset = 13
	tcpFlagSyn     = 0x02
)

// dropSYN is a classic BPF program that drops packets that open a connection and accepts all others.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSyn, Jt: 0, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
}

// dropNewConnections makes a listener accept no new connections while it keeps those in its queue: SYN packets are
// dropped, and the client resends them to whichever process listens by then. If the listener does not support a socket
// filter (multipath TCP, some systems), it returns an error and changes nothing.
func dropNewConnections(ln net.Listener) error {
	socket, can := ln.(syscall.Conn)
	if !can {
		return syscall.ENOTSUP
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	program := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
	var filterErr error
	if err := raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	}); err != nil {
		return err
	}
	return filterErr
}
