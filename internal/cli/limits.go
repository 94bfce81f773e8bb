package cli

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// limitStatus is one dispatcher's state of a fleet-wide limit.
type limitStatus struct {
	Name      string  `json:"name"`
	Amount    float64 `json:"amount"`
	Connected bool    `json:"connected"` // its rights are valid; if not, it is cut off from the dealer or the dealer is not ready
	Rights    float64 `json:"rights"`
	Free      float64 `json:"free"`
	Open      float64 `json:"open"`
	Inside    float64 `json:"inside"`
	Over      float64 `json:"over"`
	ByFloor   float64 `json:"by_floor"`
	Deals     bool    `json:"deals"` // this dispatcher is the dealer; the fields below are from its books
	Out       float64 `json:"dealt_out"`
	Left      float64 `json:"left"`
	Holders   float64 `json:"holders"`
}

// limitNamed returns the limit with a name, adding it if necessary.
func (s *status) limitNamed(name string) *limitStatus {
	for _, l := range s.Limits {
		if l.Name == name {
			return l
		}
	}
	l := &limitStatus{Name: name}
	s.Limits = append(s.Limits, l)
	return l
}

// set stores the value of a metric router_fleet_limit_NAME, given by NAME; unknown names are ignored.
func (l *limitStatus) set(what string, v float64) {
	l.Connected = l.Connected || what == "connected" && v == 1
	l.Deals = l.Deals || what == "dealt_out" // only a dealer reports this metric
	fields := map[string]*float64{
		"amount": &l.Amount, "rights": &l.Rights, "free": &l.Free, "open": &l.Open, "inside_total": &l.Inside, "over_total": &l.Over,
		"by_floor_total": &l.ByFloor, "dealt_out": &l.Out, "dealer_left": &l.Left, "holders": &l.Holders,
	}
	if field := fields[what]; field != nil {
		*field = v
	}
}

func (s *status) writeLimits(w io.Writer) {
	if len(s.Limits) == 0 {
		return
	}
	fmt.Fprintf(w, "limits of the fleet, dealt by %s:\n", s.Dealer)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "limit\tamount\trights here\tfree\topen\tlet in\tover\tby the floor\t")
	for _, l := range s.Limits {
		state := ""
		switch {
		case !l.Connected:
			state = "not connected to a dealer"
		case l.Deals:
			state = fmt.Sprintf("deals: %g out with %g, %.1f left", l.Out, l.Holders, l.Left)
		}
		fmt.Fprintf(t, "%s\t%g\t%g\t%g\t%g\t%g\t%g\t%g\t%s\n", l.Name, l.Amount, l.Rights, l.Free, l.Open, l.Inside, l.Over, l.ByFloor, state)
	}
	t.Flush()
}
