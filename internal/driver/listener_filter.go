package driver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The place of a TCP header's flags, in bytes from its start, and the flag of a packet that opens a connection.
const (
	tcpFlagsAt = 13
	tcpFlagSyn = 0x02
)

// noOpeningPackets is a socket filter that drops what opens a connection and lets all else pass.
var noOpeningPackets = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsAt},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSyn, Jt: 0, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
}

// stopArrivals has a listener take no new connections while it keeps those in its queue: their opening packets are
// dropped, and the client's machine sends them again to whoever listens by then. Where the listener can have no socket
// filter (multipath TCP, some systems) it returns an error and nothing changes.
func stopArrivals(ln net.Listener) error {
	socket, can := ln.(syscall.Conn)
	if !can {
		return syscall.ENOTSUP
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	program := unix.SockFprog{Len: uint16(len(noOpeningPackets)), Filter: &noOpeningPackets[0]}
	var filterErr error
	if err := raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	}); err != nil {
		return err
	}
	return filterErr
}
