package member

import (
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is the library's, but calls from the address that it listens at: on a machine with several, others (and what
// stands between) know a member by one address, and two members of one machine apart.
type transport struct {
	*memberlist.NetTransport
	dialer net.Dialer
}

func newTransport(host string, port int, out io.Writer) (*transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host}, BindPort: port, Logger: log.New(out, "", 0)})
	if err != nil {
		return nil, err
	}
	own := &transport{NetTransport: t}
	if ip := net.ParseIP(host); !ip.IsUnspecified() {
		own.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return own, nil
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := t.dialer
	d.Timeout = timeout
	return d.Dial("tcp", addr)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)
