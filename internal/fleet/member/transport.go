package member

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport carries the library's messages. It differs from the library's own transport in two ways. It opens
// connections from the address that it listens on, so that other members, and network devices in between, know a member
// by one address and can distinguish two members on one machine. And it allocates as much memory as a datagram needs,
// where the library's own allocates 64 KB for each.
type transport struct {
	host    net.IP
	dialer  net.Dialer
	tcp     *net.TCPListener
	udp     *net.UDPConn
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
	wait    sync.WaitGroup
	log     *slog.Logger
}

const (
	maxPacketSize  = 64 << 10
	readBufferSize = 1 << 20                // bytes of datagrams that the kernel queues
	acceptPause    = 100 * time.Millisecond // after a failed accept, for example when no descriptors are left
)

// listen opens an address for datagrams and connections, both on the same port; port 0 selects a free one.
func listen(host net.IP, port int, log *slog.Logger) (*transport, error) {
	t := &transport{host: host, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), done: make(chan struct{}), log: log}
	var err error
	if t.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: host, Port: port}); err != nil {
		return nil, err
	}
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: host, Port: t.port()}); err != nil {
		t.tcp.Close()
		return nil, err
	}
	t.udp.SetReadBuffer(readBufferSize) // the system may allow less
	if !host.IsUnspecified() {
		t.dialer.LocalAddr = &net.TCPAddr{IP: host}
	}
	t.wait.Go(t.accept)
	t.wait.Go(t.receive)
	return t, nil
}

func (t *transport) port() int { return t.tcp.Addr().(*net.TCPAddr).Port }

// receive passes datagrams to the library until the transport is closed.
func (t *transport) receive() {
	buf := make([]byte, maxPacketSize)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			continue // for example the ICMP error for a datagram to a closed port
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: net.UDPAddrFromAddrPort(netip.AddrPortFrom(from.Addr().Unmap(), from.Port())), Timestamp: time.Now()}
		select {
		case t.packets <- p:
		case <-t.done:
			return
		}
	}
}

// accept passes connections to the library until the transport is closed.
func (t *transport) accept() {
	for {
		c, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.log.Warn("fleet: could not accept a connection", "cause", err)
			pause := time.NewTimer(acceptPause)
			select {
			case <-pause.C:
			case <-t.done:
				pause.Stop()
			}
			continue
		}
		select {
		case t.streams <- c:
		case <-t.done:
			c.Close()
			return
		}
	}
}

// FinalAdvertiseAddr implements memberlist.Transport: the configured address, or the bound one if none is configured.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	addr := net.ParseIP(ip)
	if addr == nil {
		addr, port = t.host, t.port()
	}
	if v4 := addr.To4(); v4 != nil {
		addr = v4
	}
	return addr, port, nil
}

// WriteTo implements memberlist.Transport: it sends a datagram from the address that the transport listens on.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	_, err = t.udp.WriteToUDPAddrPort(b, to)
	return time.Now(), err
}

// WriteToAddress implements memberlist.NodeAwareTransport; it ignores the name of the node.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// PacketCh implements memberlist.Transport: it returns the channel of received datagrams.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport: it returns the channel of accepted connections.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout implements memberlist.Transport: it connects from the address that the transport listens on.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := t.dialer
	d.Timeout = timeout
	return d.Dial("tcp", addr)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport; it ignores the name of the node.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// Shutdown implements memberlist.Transport. It closes the sockets and waits for the goroutines; further calls do
// nothing.
func (t *transport) Shutdown() error {
	var err error
	t.once.Do(func() {
		close(t.done)
		err = errors.Join(t.tcp.Close(), t.udp.Close())
		t.wait.Wait()
	})
	return err
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)
