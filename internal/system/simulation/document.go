package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Fallbacks are routes that have the host of a kind of traffic and a shorter prefix, without order and call-backs. They
// take the messages of its clients while its own route is missing. A system starts without any.
const (
	alertFallback   = "alert-fallback"
	archiveFallback = "archive-fallback"
)

// fallbacks maps kinds of traffic to their fallbacks.
var fallbacks = map[string]string{alert: alertFallback, archive: archiveFallback}

// routeForms are the routes by kind of traffic or fallback, as formats of a timeout, service, number of retries and retention.
var routeForms = []struct{ traffic, form string }{
	{archive, `{"name":"r1","host":"archive.example","path-prefix":"/in/","kind":"async","timeout-ms":%d,"target-latency-ms":120,"priority":2,"backend":"%s","retries":%d,"ordered":false,"retention-s":%.1f,"callback-url":true,"target-start-ms":1000}`},
	{alert, `{"name":"r2","host":"alert.example","path-prefix":"/in/","kind":"async","timeout-ms":%d,"target-latency-ms":120,"priority":1,"backend":"%s","retries":%d,"ordered":true,"retention-s":%.1f,"callback-url":false,"target-start-ms":1000}`},
	{partner, `{"name":"r3","host":"partner.example","path-prefix":"/in/","kind":"async","timeout-ms":%d,"target-latency-ms":120,"priority":2,"backend":"%s","retries":%d,"ordered":false,"retention-s":%.1f,"callback-url":false,"target-start-ms":1000}`},
	{alertFallback, `{"name":"r4","host":"alert.example","path-prefix":"/","kind":"async","timeout-ms":%d,"target-latency-ms":120,"priority":2,"backend":"%s","retries":%d,"ordered":false,"retention-s":%.1f,"callback-url":false,"target-start-ms":1000}`},
	{archiveFallback, `{"name":"r5","host":"archive.example","path-prefix":"/","kind":"async","timeout-ms":%d,"target-latency-ms":120,"priority":2,"backend":"%s","retries":%d,"ordered":false,"retention-s":%.1f,"callback-url":false,"target-start-ms":1000}`},
}

// serviceForms are the services. A service without a route is left out of the document.
var serviceForms = []struct{ service, form string }{
	{archive, `{"name":"archive","max-connections":90,"rate-per-s":0,"static":null}`},
	{alert, `{"name":"alert","max-connections":90,"rate-per-s":0,"idempotent":true,"static":null}`},
	{partner, `{"name":"partner","max-connections":40,"rate-per-s":20,"static":"10.7.0.1:9000"}`},
}

// timeouts are those of one delivery by kind of traffic or fallback. A variant of a document changes that of its first
// route.
var timeouts = map[string]time.Duration{archive: 1500 * time.Millisecond, alert: 500 * time.Millisecond, partner: 700 * time.Millisecond,
	alertFallback: 1500 * time.Millisecond, archiveFallback: 1500 * time.Millisecond}

// document returns the configuration of a version. Different variants are different documents of the same version.
func (sim *simulation) document(version uint64, variant int) []byte {
	sim.checker.recordSentRoutes(sim.world.now, version, sim.backends)
	var routes, services []string
	for _, route := range routeForms {
		service, routed := sim.backends[route.traffic]
		if !routed {
			continue
		}
		timeout := timeouts[route.traffic].Milliseconds()
		if len(routes) == 0 {
			timeout += int64(variant)
		}
		routes = append(routes, fmt.Sprintf(route.form, timeout, service, maxFailures, sim.retention.Seconds()))
	}
	for _, service := range serviceForms {
		if slices.Contains(sim.backends.services(), service.service) {
			services = append(services, service.form)
		}
	}
	return []byte(fmt.Sprintf(`{"resource-version":%d,"routes":[%s],"services":[%s],"limits":{}}`, version,
		strings.Join(routes, ","), strings.Join(services, ",")))
}
