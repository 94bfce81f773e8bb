// Package configuration reads and validates the operators' configuration, a versioned JSON document of routes and
// services.
//
// Parse turns the JSON text into a Document. A Table routes requests by a document. State is the replicated state of
// the configuration shard, which decides which document is current: an Order replaces the document of a given version
// by one with a higher version.
package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Route maps the requests for a host and a path prefix to a service.
type Route struct {
	Name        string
	Host        string // lower case
	PathPrefix  string
	Kind        string        // as in the document, not interpreted here
	Service     string        // name of the service
	Timeout     time.Duration // of one delivery attempt
	TargetAck   time.Duration // target latency of the response that accepts a message
	TargetStart time.Duration // target time until a run starts, counted from the first send plus the message's delay
	Retention   time.Duration // how long a message may wait
	Priority    int           // 0 is the highest
	Retries     int           // number of failed attempts after which a message is a dead letter; at least 1
	Ordered     bool          // messages with the same ordering key are delivered in order
	Callback    bool          // messages may name a call-back URL, which is notified of their outcome
}

// Service is a back end that runs messages.
type Service struct {
	Name           string
	HealthPath     string // not used by the roles
	MaxConnections int
	Rate           float64 // messages per second over the whole fleet; 0 means no limit
	Idempotent     bool    // declared safe to run a message more than once; not used by the roles
	Static         string  // address of the only endpoint; empty if the platform lists the workers
}

// Limits bound clients' requests and connections. Sizes are in bytes.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is a parsed and validated configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service // by name
	Limits   Limits
	Raw      []byte // the JSON text as the operator sent it
}

// InvalidError is the error for a configuration that is malformed or not valid.
type InvalidError struct {
	Key    string // path in the document, such as routes[3].timeout-ms; empty if the whole document is at fault
	Reason string
}

func (e *InvalidError) Error() string {
	if e.Key == "" {
		return "invalid configuration: " + e.Reason
	}
	return fmt.Sprintf("invalid configuration: %s: %s", e.Key, e.Reason)
}

// Defaults for what a configuration leaves out.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 256 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultRetention     = 90 * time.Second
)

// routeJSON, serviceJSON, limitsJSON and documentJSON are the JSON form of a document. Pointers distinguish a missing
// value from zero.
type routeJSON struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	PathPrefix  string   `json:"path-prefix"`
	Kind        string   `json:"kind"`
	Timeout     *float64 `json:"timeout-ms"`
	TargetAck   float64  `json:"target-latency-ms"`
	TargetStart float64  `json:"target-start-ms"`
	Priority    int      `json:"priority"`
	Backend     string   `json:"backend"`
	Retries     int      `json:"retries"`
	Ordered     bool     `json:"ordered"`
	Retention   float64  `json:"retention-s"`
	Callback    bool     `json:"callback-url"`
	Weight      *float64 `json:"weight"` // checked, but not used by the roles
}

type serviceJSON struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health-path"`
	MaxConnections int     `json:"max-connections"`
	Rate           float64 `json:"rate-per-s"`
	Idempotent     bool    `json:"idempotent"`
	Static         *string `json:"static"`
}

type limitsJSON struct {
	MaxHeaderBytes int     `json:"max-header-bytes"`
	MaxBodyBytes   int     `json:"max-body-bytes"`
	HeaderTimeout  float64 `json:"header-timeout-ms"`
	IdleTimeout    float64 `json:"idle-timeout-ms"`
}

type documentJSON struct {
	Version  *uint64        `json:"resource-version"`
	Routes   *[]routeJSON   `json:"routes"`
	Services *[]serviceJSON `json:"services"`
	Limits   limitsJSON     `json:"limits"`
}

// Parse reads a configuration and validates everything that does not depend on the current one. Its errors are of type
// *InvalidError.
func Parse(raw []byte) (*Document, error) {
	var parsed documentJSON
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(&parsed); err != nil {
		return nil, &InvalidError{Reason: "can't be read: " + err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &InvalidError{Reason: "something follows the document"}
	}
	if parsed.Version == nil {
		return nil, &InvalidError{Key: "resource-version", Reason: "is missing"}
	}
	if parsed.Routes == nil || parsed.Services == nil {
		return nil, &InvalidError{Reason: "routes or services are missing"}
	}
	document := &Document{Version: *parsed.Version, Raw: append([]byte(nil), raw...), Limits: limitsFromJSON(parsed.Limits)}
	if err := document.addServices(*parsed.Services); err != nil {
		return nil, err
	}
	if err := document.addRoutes(*parsed.Routes); err != nil {
		return nil, err
	}
	return document, nil
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// limitsFromJSON returns the limits, with defaults for those that are missing, zero or negative.
func limitsFromJSON(form limitsJSON) Limits {
	limits := Limits{MaxHeaderBytes: form.MaxHeaderBytes, MaxBodyBytes: form.MaxBodyBytes,
		HeaderTimeout: milliseconds(form.HeaderTimeout), IdleTimeout: milliseconds(form.IdleTimeout)}
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = defaultHeaderBytes
	}
	if limits.MaxBodyBytes <= 0 {
		limits.MaxBodyBytes = defaultBodyBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

// addServices validates the services and adds them.
func (d *Document) addServices(forms []serviceJSON) error {
	d.Services = make(map[string]*Service, len(forms))
	for i, form := range forms {
		key := fmt.Sprintf("services[%d]", i)
		if form.Name == "" {
			return &InvalidError{Key: key + ".name", Reason: "is missing"}
		}
		if d.Services[form.Name] != nil {
			return &InvalidError{Key: key + ".name", Reason: "is there twice: " + form.Name}
		}
		if form.Rate < 0 {
			return &InvalidError{Key: key + ".rate-per-s", Reason: "is negative"}
		}
		service := &Service{Name: form.Name, HealthPath: form.HealthPath, MaxConnections: form.MaxConnections,
			Rate: form.Rate, Idempotent: form.Idempotent}
		if form.Static != nil {
			service.Static = *form.Static
		}
		d.Services[form.Name] = service
	}
	return nil
}

// addRoutes validates the routes and adds them. The services must have been added before.
func (d *Document) addRoutes(forms []routeJSON) error {
	type routeMatch struct{ host, prefix string }
	routeNames := make(map[routeMatch]string, len(forms))
	d.Routes = make([]Route, 0, len(forms))
	for i, form := range forms {
		key := fmt.Sprintf("routes[%d]", i)
		if err := d.checkRoute(key, &form); err != nil {
			return err
		}
		host := strings.ToLower(form.Host)
		match := routeMatch{host, form.PathPrefix}
		if other, duplicate := routeNames[match]; duplicate {
			return &InvalidError{Key: key, Reason: "has the host and prefix of route " + other}
		}
		routeNames[match] = form.Name
		d.Routes = append(d.Routes, routeFromJSON(&form, host))
	}
	return nil
}

// checkRoute validates one route; key is its path in the document, for errors.
func (d *Document) checkRoute(key string, form *routeJSON) error {
	switch {
	case form.Name == "":
		return &InvalidError{Key: key + ".name", Reason: "is missing"}
	case form.Host == "":
		return &InvalidError{Key: key + ".host", Reason: "is missing"}
	case !strings.HasPrefix(form.PathPrefix, "/"):
		return &InvalidError{Key: key + ".path-prefix", Reason: "does not begin with /"}
	case form.Timeout == nil || *form.Timeout <= 0:
		return &InvalidError{Key: key + ".timeout-ms", Reason: "is not over 0"}
	case d.Services[form.Backend] == nil:
		return &InvalidError{Key: key + ".backend", Reason: "names no service: " + form.Backend}
	case form.Weight != nil && *form.Weight <= 0:
		return &InvalidError{Key: key + ".weight", Reason: "is not over 0"}
	case form.Retries < 0:
		return &InvalidError{Key: key + ".retries", Reason: "is negative"}
	}
	return nil
}

// routeFromJSON returns the route, with defaults for what is missing. Retries counts failed attempts, the first one
// included, so it is at least 1.
func routeFromJSON(form *routeJSON, host string) Route {
	route := Route{
		Name: form.Name, Host: host, PathPrefix: form.PathPrefix, Kind: form.Kind, Service: form.Backend,
		Timeout: milliseconds(*form.Timeout), TargetAck: milliseconds(form.TargetAck),
		TargetStart: milliseconds(form.TargetStart), Priority: form.Priority, Retries: max(form.Retries, 1),
		Ordered: form.Ordered, Callback: form.Callback, Retention: milliseconds(form.Retention * 1000),
	}
	if route.Retention <= 0 {
		route.Retention = defaultRetention
	}
	return route
}
