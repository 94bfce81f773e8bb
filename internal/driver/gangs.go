package driver

import (
	"bytes"
	"fmt"
)

// writeGangMetrics appends the metrics of gangs.
func (s *fleetSharing) writeGangMetrics(b *bytes.Buffer, now int64) {
	waiting, half, running := s.gangs.Open()
	for _, f := range []struct {
		state string
		n     int
	}{{"waiting", waiting}, {"half", half}, {"running", running}} {
		fmt.Fprintf(b, "router_gangs{state=%q} %d\n", f.state, f.n)
	}
	c := s.gangs.Counts()
	for _, f := range []struct {
		what string
		n    int
	}{{"arrived", c.Arrived}, {"started", c.Started}, {"served", c.Served}, {"nowhere", c.NoPlacement}, {"waited", c.Waited}, {"half", c.IncompleteStart}, {"failed", c.Failed}} {
		fmt.Fprintf(b, "router_gangs_total{what=%q} %d\n", f.what, f.n)
	}
	for _, f := range []struct {
		term string
		v    float64
	}{{"late", c.Late}, {"push", c.Push}, {"price", c.Price}, {"pieces", c.Pieces}, {"crosses", c.Crosses}} {
		fmt.Fprintf(b, "router_gang_terms_total{term=%q} %g\n", f.term, f.v)
	}
	if sets, slots, deals := s.rights.participant.SlotBook(now); deals {
		fmt.Fprintf(b, "router_gang_dealt_sets %d\nrouter_gang_dealt_slots %d\n", sets, slots)
	}
}
