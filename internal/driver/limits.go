package driver

import (
	"bytes"
	"fmt"

	"granitewing/internal/fleet/limit"
	"granitewing/internal/memory"
)

// fleetLimits holds requests to the limits of the fleet, by the rights that this dispatcher has. It belongs to the owner.
type fleetLimits struct {
	part   *limit.Part
	now    func() int64
	places map[memory.ID]limit.Places // of open requests that have taken any
}

// Enter implements memory.Limits.
func (l *fleetLimits) Enter(now int64, id memory.ID, tenant, class int) (memory.Right, int64) {
	verdict, places := l.part.Enter(now, tenant, class)
	if places != (limit.Places{}) {
		l.places[id] = places
	}
	return [...]memory.Right{limit.Free: memory.Unlimited, limit.Inside: memory.Inside, limit.Beyond: memory.Beyond, limit.Refuse: memory.Over}[verdict], l.part.Longest(tenant, class)
}

// Answered implements memory.Limits.
func (l *fleetLimits) Answered(id memory.ID) {
	if places, has := l.places[id]; has {
		l.part.Done(l.now(), places)
		delete(l.places, id)
	}
}

// round takes what the others have said and says what to say to them. The clock is read once all is taken: a process may be
// stopped at any line, and what came while it was must not be taken at a time before it was said. A keeper would promise the
// post for less than a lease, and a dealer give rights past the end of its own.
func (l *fleetLimits) round(peers Peers) {
	heard := peers.Said()
	now := l.now()
	var out []*limit.Message
	for _, m := range heard {
		if answer := l.part.Hear(now, m); answer != nil {
			out = append(out, answer)
		}
	}
	peers.Say(append(out, l.part.Round(now)...))
}

// resign gives up what this dispatcher does for its whole fleet, so that another does it at once.
func (d *Driver) resign() {
	if s := d.sharing; s != nil {
		if s.gangs != nil {
			s.gangs.Close()
		}
		if s.rights != nil {
			s.Peers.Say(s.rights.part.Leave(d.now()))
		}
		close(s.resigned)
	}
}

// Resigned is closed once a driver that shares has been stopped and has said so to the others.
func (d *Driver) Resigned() <-chan struct{} { return d.sharing.resigned }

// Relimit sets other amounts, bursts and floors of limits by their names. It may be called from any goroutine.
func (d *Driver) Relimit(limits []limit.Limit) {
	d.post(func() {
		if d.sharing != nil && d.sharing.rights != nil {
			d.sharing.rights.part.Change(d.now(), limits)
		}
	})
}

// text is what the door tells of the limits.
func (l *fleetLimits) text(b *bytes.Buffer, now int64) {
	dealer, self := l.part.Dealer(now)
	fmt.Fprintf(b, "router_fleet_dealer{member=\"%s\",self=\"%t\"} 1\n", labelValue.Replace(dealer), self)
	r := l.part.Refusals()
	fmt.Fprintf(b, "router_fleet_limit_refused_messages_total{cause=\"strange\"} %d\nrouter_fleet_limit_refused_messages_total{cause=\"late\"} %d\nrouter_fleet_limit_refused_messages_total{cause=\"full\"} %d\n", r.Strange, r.Late, r.Full)
	for _, s := range l.part.Status(now) {
		name := labelValue.Replace(s.Name)
		figure := func(what string, v float64) {
			fmt.Fprintf(b, "router_fleet_limit_%s{limit=\"%s\"} %g\n", what, name, v)
		}
		valid := 0.0
		if s.Valid {
			valid = 1
		}
		figure("amount", s.Amount)
		figure("connected", valid)
		figure("rights", float64(s.Held))
		figure("free", float64(s.Free))
		figure("open", float64(s.Open))
		figure("inside_total", float64(s.Taken))
		figure("over_total", float64(s.Over))
		figure("by_floor_total", float64(s.Low))
		if s.Deals {
			figure("dealt_out", float64(s.Out))
			figure("dealer_left", s.Left)
			figure("holders", float64(s.Holders))
		}
	}
}
