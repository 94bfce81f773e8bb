package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
)

// NoPortsError tells that no range of ports is free.
type NoPortsError struct{ Addresses []string }

func (e *NoPortsError) Error() string {
	return "no range of ports is free at " + strings.Join(e.Addresses, ", ")
}

// FreePorts finds a range of ports for machines that is free at all of some addresses now. The search begins anywhere, since others
// may look for ports at the same time.
func FreePorts(addresses []string) (int, error) {
	const first, ranges, step = 21000, 156, 64
	begin := rand.IntN(ranges)
	for turn := range ranges {
		from := first + (begin+turn)%ranges*step
		if portsFree(addresses, from, PortsOfMachine) {
			return from, nil
		}
	}
	return 0, &NoPortsError{Addresses: addresses}
}

func portsFree(addresses []string, from, count int) bool {
	for _, ip := range addresses {
		for port := from; port < from+count; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}
