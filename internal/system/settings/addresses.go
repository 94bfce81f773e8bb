package settings

import (
	"net"
	"strconv"
)

// Offsets, in the port range, of the ports on which the roles serve each other. The range is the same on all machines.
const (
	keeperPort = iota
	storePort
	carrierPort
	requiredPorts
)

func joinPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// KeeperAddress returns the address, host and port, on which the keeper of the machine with this IP serves other roles.
func (s *Settings) KeeperAddress(ip string) string { return joinPort(ip, s.FirstPort+keeperPort) }

// StoreAddress returns the address on which this machine's store serves other roles.
func (s *Settings) StoreAddress() string { return joinPort(s.IP, s.FirstPort+storePort) }

// CarrierAddress returns the address on which this machine's carrier serves other carriers.
func (s *Settings) CarrierAddress() string { return joinPort(s.IP, s.FirstPort+carrierPort) }

// SeedKeepers returns the addresses on which the seeds, which are control addresses of keepers, serve other roles.
func (s *Settings) SeedKeepers() []string {
	keepers := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // cannot happen in parsed settings: Parse validates the seeds
		}
		keepers = append(keepers, s.KeeperAddress(host))
	}
	return keepers
}

// ControlAddress returns the control address, which operators call, of the keeper that serves other roles on the
// address keeper. The control port is the same on all machines. It returns "" if keeper is not an address or the port
// is unknown.
func (s *Settings) ControlAddress(keeper string) string {
	host, _, err := net.SplitHostPort(keeper)
	if err != nil {
		return ""
	}
	for _, configured := range append([]string{s.Listen.Control}, s.Seeds...) {
		if _, port, err := net.SplitHostPort(configured); err == nil {
			return net.JoinHostPort(host, port)
		}
	}
	return ""
}
