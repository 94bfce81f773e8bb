package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"
)

// configApply is how long after an acknowledgement a carrier may still go by an older version.
const configApply = 3 * time.Second

// backends names the service that each kind of traffic is routed to; one that is not there has no route.
type backends map[string]string

func (b backends) services() []string {
	var services []string
	for _, service := range b {
		services = append(services, service)
	}
	return services
}

func newBackends() backends { return backends{archive: archive, alert: alert, partner: partner} }

// move gives a route to another service, by a change of the configuration.
func (d *day) move(traffic, service string) {
	d.backends[traffic] = service
	d.configure(1)
}

// drop takes a route out of the configuration; move brings it back.
func (d *day) drop(traffic string) {
	delete(d.backends, traffic)
	d.configure(1)
}

// sentBackends notes where a version that is sent routes to.
func (c *checker) sentBackends(now time.Duration, version uint64, b backends) {
	c.routed[version] = append(c.routed[version], maps.Clone(b))
	for _, traffic := range []string{archive, alert, partner} {
		if _, routed := b[traffic]; !routed {
			c.dropped[traffic] = now
		}
	}
}

// routeDropped tells whether a configuration without a message's route may have come into force since the message was sent: the
// message ends by that. In a calm time all carriers have such a configuration soon after it was sent.
func (c *checker) routeDropped(r *record) bool {
	const knownWithin = 400 * time.Millisecond
	at, dropped := c.dropped[r.service]
	if !dropped {
		return false
	}
	if c.calm(r.sent) {
		return at+knownWithin >= r.sent
	}
	return at+configApply >= r.sent
}

// checkRoute judges the service that runs a message: some version that was sent must have allowed it, and once a version was
// acknowledged long enough before the message was sent, that or a newer one.
func (c *checker) checkRoute(now time.Duration, r *record, service string) {
	least := uint64(0)
	if c.calm(now) && c.calm(r.sent) {
		least = c.ackedBefore(r.sent - configApply)
	}
	ever, inForce := false, false
	for version, documents := range c.routed {
		for _, b := range documents {
			if b[r.service] == service {
				ever = true
				inForce = inForce || version >= least
			}
		}
	}
	switch {
	case !ever:
		c.breakRule(now, "ROUTE", r.id+" runs at "+service)
	case !inForce:
		c.breakRule(now, "CONFIG", fmt.Sprintf("%s runs at %s, as only versions before %d allow", r.id, service, least))
	}
}

// DrawMoves draws a scenario as Draw does, in which routes are given to other services as well.
func DrawMoves(seed uint64) *Scenario {
	const movesLeast, movesMore = 2, 12
	const dropEvery = 8
	s := Draw(seed)
	r := rand.New(rand.NewPCG(seed, 7))
	for range movesLeast + r.IntN(movesMore) {
		at := time.Duration(r.Int64N(int64(s.Traffic)))
		s.Events = append(s.Events, Event{At: at, What: drawMove(r)})
		if r.IntN(dropEvery) == 0 {
			traffic := []string{alert, archive, partner}[r.IntN(3)]
			s.Events = append(s.Events, Event{At: at, What: "drop " + traffic})
			s.Events = append(s.Events, Event{At: at + time.Duration(r.IntN(2000))*time.Millisecond, What: fmt.Sprintf("move %s to %s", traffic, traffic)})
		}
	}
	return s
}

// drawMove gives a move of a route; those of the ordered one come most often.
func drawMove(r *rand.Rand) string {
	traffic := []string{alert, alert, archive, partner}[r.IntN(4)]
	service := []string{alert, archive, partner}[r.IntN(3)]
	return fmt.Sprintf("move %s to %s", traffic, service)
}
