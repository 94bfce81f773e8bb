package cli

import (
	"fmt"
	"io"
)

// priceStatus is the price at which a fleet admits jobs, as one dispatcher reports it.
type priceStatus struct {
	Price    float64 `json:"price"`             // value of a slot-second
	Asked    float64 `json:"asked_per_second"`  // slot-seconds requested per second
	Waits    float64 `json:"waits"`             // slot-seconds
	Capacity float64 `json:"capacity"`          // slot-seconds per second
	Heard    int     `json:"dispatchers_heard"` // dispatchers whose load is known, this one included
}

// set stores the value of a metric and reports whether it is one of these.
func (p *priceStatus) set(name string, v float64) bool {
	switch name {
	case "router_fleet_price":
		p.Price = v
	case "router_fleet_asked":
		p.Asked = v
	case "router_fleet_waits":
		p.Waits = v
	case "router_fleet_capacity":
		p.Capacity = v
	case "router_fleet_load_heard":
		p.Heard = int(v)
	default:
		return false
	}
	return true
}

func (p *priceStatus) write(w io.Writer) {
	if p == nil {
		return
	}
	fmt.Fprintf(w, "asked of the fleet: %.1f slot-seconds a second of %.1f, %.1f wait; told by %d dispatchers; ", p.Asked, p.Capacity, p.Waits, p.Heard)
	if p.Price == 0 {
		fmt.Fprintln(w, "there is room for all")
	} else {
		fmt.Fprintf(w, "refused is what is worth less than %.3g a slot-second\n", p.Price)
	}
}
