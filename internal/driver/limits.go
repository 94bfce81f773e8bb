package driver

import (
	"bytes"
	"fmt"

	"granitewing/internal/dispatch"
	"granitewing/internal/fleet/limit"
)

// fleetLimits applies the fleet's limits to requests, using the rights that this dispatcher holds. It belongs to the
// owner.
type fleetLimits struct {
	participant *limit.Part
	now         func() int64
	places      map[dispatch.ID]limit.Places // of open requests that hold any
}

// Admit implements dispatch.Limits.
func (l *fleetLimits) Admit(now int64, id dispatch.ID, tenant, class int) (dispatch.LimitResult, int64) {
	verdict, places := l.participant.Admit(now, tenant, class)
	if places != (limit.Places{}) {
		l.places[id] = places
	}
	return [...]dispatch.LimitResult{limit.Free: dispatch.Unlimited, limit.Inside: dispatch.WithinShare, limit.Beyond: dispatch.BeyondShare, limit.Refuse: dispatch.OverLimit}[verdict], l.participant.MaxOpenTime(tenant, class)
}

// Answered implements dispatch.Limits.
func (l *fleetLimits) Answered(id dispatch.ID) {
	if places, has := l.places[id]; has {
		l.participant.Done(l.now(), places)
		delete(l.places, id)
	}
}

// exchange handles the messages received from other members and sends the replies and this member's own. The clock is
// read after all messages are taken: the process may be suspended at any point, and a message that arrived meanwhile
// must not be handled at a time before it was sent. Otherwise a keeper would promise the dealer's lease for less than
// its duration, and a dealer would grant rights beyond the end of its own lease.
func (l *fleetLimits) exchange(peers Peers) {
	received := peers.ReceiveLimitMessages()
	now := l.now()
	var out []*limit.Message
	for _, m := range received {
		if answer := l.participant.Receive(now, m); answer != nil {
			out = append(out, answer)
		}
	}
	peers.SendLimitMessages(append(out, l.participant.Round(now)...))
}

// resignFleetRoles gives up the roles that this dispatcher has for its fleet, so that another member takes them over
// at once.
func (d *Driver) resignFleetRoles() {
	if s := d.sharing; s != nil {
		if s.gangs != nil {
			s.gangs.Close()
		}
		if s.rights != nil {
			s.Peers.SendLimitMessages(s.rights.participant.Leave(d.now()))
		}
		close(s.resigned)
	}
}

// Resigned is closed once a driver in a fleet has been stopped and has notified the other members.
func (d *Driver) Resigned() <-chan struct{} { return d.sharing.resigned }

// SetFleetLimits changes the amounts, bursts and floors of the limits with the given names. It is safe for use by any
// goroutine.
func (d *Driver) SetFleetLimits(limits []limit.Limit) {
	d.post(func() {
		if d.sharing != nil && d.sharing.rights != nil {
			d.sharing.rights.participant.Change(d.now(), limits)
		}
	})
}

// writeMetrics appends the metrics of the fleet's limits.
func (l *fleetLimits) writeMetrics(b *bytes.Buffer, now int64) {
	dealer, self := l.participant.Dealer(now)
	fmt.Fprintf(b, "router_fleet_dealer{member=\"%s\",self=\"%t\"} 1\n", labelValue.Replace(dealer), self)
	r := l.participant.Refusals()
	fmt.Fprintf(b, "router_fleet_limit_refused_messages_total{cause=\"strange\"} %d\nrouter_fleet_limit_refused_messages_total{cause=\"late\"} %d\nrouter_fleet_limit_refused_messages_total{cause=\"full\"} %d\n", r.Misaddressed, r.Late, r.Full)
	for _, s := range l.participant.Status(now) {
		name := labelValue.Replace(s.Name)
		writeGauge := func(what string, v float64) {
			fmt.Fprintf(b, "router_fleet_limit_%s{limit=\"%s\"} %g\n", what, name, v)
		}
		valid := 0.0
		if s.Valid {
			valid = 1
		}
		writeGauge("amount", s.Amount)
		writeGauge("connected", valid)
		writeGauge("rights", float64(s.Held))
		writeGauge("free", float64(s.Free))
		writeGauge("open", float64(s.Open))
		writeGauge("inside_total", float64(s.Taken))
		writeGauge("over_total", float64(s.Beyond))
		writeGauge("by_floor_total", float64(s.ByFloor))
		if s.IsDealer {
			writeGauge("dealt_out", float64(s.Out))
			writeGauge("dealer_left", s.Unallocated)
			writeGauge("holders", float64(s.Holders))
		}
	}
}
