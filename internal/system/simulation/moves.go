package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"
)

// maxApplyTime is how long after the acknowledgement of a version a carrier may still use an older one. routeDropped
// allows the same time after the sending of a document without the route.
const maxApplyTime = 3 * time.Second

// backends maps each kind of traffic, and each fallback, to the service that it is routed to. One that is missing has no
// route.
type backends map[string]string

// serviceOf returns the service that runs a kind of traffic: that of its own route, or of its fallback while its own
// route is missing.
func (b backends) serviceOf(traffic string) (service string, routed bool) {
	if service, routed = b[traffic]; routed {
		return service, true
	}
	service, routed = b[fallbacks[traffic]]
	return service, routed
}

func (b backends) services() []string {
	var services []string
	for _, service := range b {
		services = append(services, service)
	}
	return services
}

func newBackends() backends { return backends{archive: archive, alert: alert, partner: partner} }

// moveRoute routes traffic to another service by a configuration change.
func (sim *simulation) moveRoute(traffic, service string) {
	sim.backends[traffic] = service
	sim.sendNewConfiguration(1)
}

// dropRoute removes a route by a configuration change; moveRoute restores it.
func (sim *simulation) dropRoute(traffic string) {
	delete(sim.backends, traffic)
	sim.sendNewConfiguration(1)
}

// addFallback routes the fallback of a kind of traffic to a service by a configuration change.
func (sim *simulation) addFallback(traffic, service string) {
	sim.backends[fallbacks[traffic]] = service
	sim.sendNewConfiguration(1)
}

// dropFallback removes the fallback of a kind of traffic by a configuration change.
func (sim *simulation) dropFallback(traffic string) {
	delete(sim.backends, fallbacks[traffic])
	sim.sendNewConfiguration(1)
}

// sentRouting holds the routes of a document that was sent to the keepers.
type sentRouting struct {
	at      time.Duration
	version uint64
	routes  backends
}

// recordSentRoutes records the routes of a version that is sent.
func (c *checker) recordSentRoutes(now time.Duration, version uint64, b backends) {
	c.sentRoutes = append(c.sentRoutes, sentRouting{at: now, version: version, routes: maps.Clone(b)})
	for _, traffic := range []string{archive, alert, partner} {
		if _, routed := b.serviceOf(traffic); !routed {
			c.droppedAt[traffic] = now
		}
	}
}

// routeDropped reports whether a configuration without a message's route may have been in force since the message was
// sent. Such a configuration makes the message complete as a dead letter. Without recent disruptions all carriers have such a configuration within
// maxFeedDelay after it was sent.
func (c *checker) routeDropped(r *messageRecord) bool {
	const maxFeedDelay = 400 * time.Millisecond
	at, dropped := c.droppedAt[r.service]
	if !dropped {
		return false
	}
	if c.undisturbed(r.sentAt) {
		return at+maxFeedDelay >= r.sentAt
	}
	return at+maxApplyTime >= r.sentAt
}

// minVersion returns the lowest version by which a message may be accepted; 0 if a disruption excuses all versions.
func (c *checker) minVersion(r *messageRecord) uint64 {
	if !c.undisturbed(r.sentAt) {
		return 0
	}
	return c.ackedBefore(r.sentAt - maxApplyTime)
}

// maybeFallback reports whether a fallback may have taken a message, as judged at a time: whether a document with the
// fallback and without the message's own route may have been in force until the message was answered. The message is
// then neither in order nor owed a call-back.
func (c *checker) maybeFallback(now time.Duration, r *messageRecord) bool {
	answeredBy := now
	if r.status != 0 {
		answeredBy = r.answeredAt
	}
	minVersion := c.minVersion(r)
	for _, sent := range c.sentRoutes {
		_, own := sent.routes[r.service]
		_, fallback := sent.routes.serviceOf(r.service)
		if !own && fallback && sent.at <= answeredBy && sent.version >= minVersion {
			return true
		}
	}
	return false
}

// checkRoute checks the service that runs a message. Some version that was sent must route the message there. If a
// version was acknowledged long enough before the message was sent, it must be this version or a newer one.
func (c *checker) checkRoute(now time.Duration, r *messageRecord, service string) {
	minVersion := uint64(0)
	if c.undisturbed(now) {
		minVersion = c.minVersion(r)
	}
	everRouted, inForce := false, false
	for _, sent := range c.sentRoutes {
		if allowed, _ := sent.routes.serviceOf(r.service); allowed == service {
			everRouted = true
			inForce = inForce || sent.version >= minVersion
		}
	}
	switch {
	case !everRouted:
		c.reportViolation(now, "ROUTE", r.id+" runs at a service that no version routes it to: "+service)
	case !inForce:
		c.reportViolation(now, "CONFIG", fmt.Sprintf("%s runs at %s, which only versions before %d allow", r.id, service, minVersion))
	}
}

// DrawRouteMoves draws a scenario as Draw does, with route changes added.
func DrawRouteMoves(seed uint64) *Scenario {
	const minMoves, moveRange = 2, 12
	const dropOneIn = 8
	s := Draw(seed)
	r := rand.New(rand.NewPCG(seed, 7))
	for range minMoves + r.IntN(moveRange) {
		at := time.Duration(r.Int64N(int64(s.Traffic)))
		s.Events = append(s.Events, Event{At: at, What: drawMove(r)})
		if r.IntN(dropOneIn) == 0 {
			traffic := []string{alert, archive, partner}[r.IntN(3)]
			s.Events = append(s.Events, Event{At: at, What: "drop " + traffic})
			s.Events = append(s.Events, Event{At: at + time.Duration(r.IntN(2000))*time.Millisecond, What: fmt.Sprintf("move %s to %s", traffic, traffic)})
		}
	}
	return s
}

// drawMove draws a route change. Changes of the ordered route are the most frequent.
func drawMove(r *rand.Rand) string {
	traffic := []string{alert, alert, archive, partner}[r.IntN(4)]
	service := []string{alert, archive, partner}[r.IntN(3)]
	return fmt.Sprintf("move %s to %s", traffic, service)
}
