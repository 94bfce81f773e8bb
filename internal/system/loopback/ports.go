package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
)

// NoFreePortsError reports that FreePorts found no range that is free at all addresses.
type NoFreePortsError struct{ Addresses []string }

func (e *NoFreePortsError) Error() string {
	return "no free port range at " + strings.Join(e.Addresses, ", ")
}

// FreePorts returns the first of PortsPerMachine consecutive ports that are currently free at all of the addresses. It
// returns NoFreePortsError if there is no such range. The search starts at a random range because other processes may
// search at the same time. Nothing reserves the ports.
func FreePorts(addresses []string) (int, error) {
	const first, ranges, step = 21000, 156, 64
	offset := rand.IntN(ranges)
	for attempt := range ranges {
		from := first + (offset+attempt)%ranges*step
		if portsFree(addresses, from, PortsPerMachine) {
			return from, nil
		}
	}
	return 0, &NoFreePortsError{Addresses: addresses}
}

// portsFree reports whether count ports are free at all of the addresses.
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
