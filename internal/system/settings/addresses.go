package settings

import (
	"net"
	"strconv"
)

// Ports of the range that the roles use between themselves. They are the same on all machines.
const (
	keeperPort = iota
	storePort
	carrierPort
	portsNeeded
)

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// KeeperAddress is where a keeper on a machine serves its peers.
func (s *Settings) KeeperAddress(ip string) string { return address(ip, s.FirstPort+keeperPort) }

// StoreAddress is where this machine's store serves.
func (s *Settings) StoreAddress() string { return address(s.IP, s.FirstPort+storePort) }

// CarrierAddress is where this machine's carrier serves other carriers.
func (s *Settings) CarrierAddress() string { return address(s.IP, s.FirstPort+carrierPort) }

// SeedKeepers gives the peer addresses of the keepers that the seeds name.
func (s *Settings) SeedKeepers() []string {
	keepers := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // checked when it was read
		}
		keepers = append(keepers, s.KeeperAddress(host))
	}
	return keepers
}

// ControlAddress turns a keeper's peer address into the one that operators call; the port is the same on all machines.
func (s *Settings) ControlAddress(keeper string) string {
	host, _, err := net.SplitHostPort(keeper)
	if err != nil {
		return ""
	}
	for _, known := range append([]string{s.Listen.Control}, s.Seeds...) {
		if _, port, err := net.SplitHostPort(known); err == nil {
			return net.JoinHostPort(host, port)
		}
	}
	return ""
}
