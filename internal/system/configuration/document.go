// Package configuration reads, checks and keeps the operator's configurations: the document itself, the table that
// routes requests by it, and the replicated state that decides which document is current.
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

// Route sends the requests of a host and a path prefix to a service.
type Route struct {
	Name        string
	Host        string // lower case
	PathPrefix  string
	Kind        string
	Service     string
	Timeout     time.Duration // of one delivery
	TargetAck   time.Duration // for the answer that accepts a message
	TargetStart time.Duration // for the start of a run, after first send and delay
	Retention   time.Duration
	Priority    int // 0 is the highest
	Retries     int // failed attempts that end a message
	Ordered     bool
	Callback    bool
}

// Service is a backend.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	Rate           float64 // messages a second over the fleet; 0 is no limit
	Idempotent     bool
	Static         string // address of the one endpoint; empty where workers are listed
}

// Limits bounds what clients may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one configuration, read and checked.
type Document struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	Raw      []byte // as the operator sent it
}

// InvalidError tells why a configuration can't be used.
type InvalidError struct {
	Key    string // where in the document, such as routes[3].timeout-ms
	Reason string
}

func (e *InvalidError) Error() string {
	if e.Key == "" {
		return "invalid configuration: " + e.Reason
	}
	return fmt.Sprintf("invalid configuration: %s: %s", e.Key, e.Reason)
}

// Defaults where a configuration gives no limit.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 256 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultRetention     = 90 * time.Second
)

type routeForm struct {
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
	Weight      *float64 `json:"weight"`
}

type serviceForm struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health-path"`
	MaxConnections int     `json:"max-connections"`
	Rate           float64 `json:"rate-per-s"`
	Idempotent     bool    `json:"idempotent"`
	Static         *string `json:"static"`
}

type limitsForm struct {
	MaxHeaderBytes int     `json:"max-header-bytes"`
	MaxBodyBytes   int     `json:"max-body-bytes"`
	HeaderTimeout  float64 `json:"header-timeout-ms"`
	IdleTimeout    float64 `json:"idle-timeout-ms"`
}

type documentForm struct {
	Version  *uint64        `json:"resource-version"`
	Routes   *[]routeForm   `json:"routes"`
	Services *[]serviceForm `json:"services"`
	Limits   limitsForm     `json:"limits"`
}

// Parse reads a whole configuration and checks all that can be checked without knowing the current one.
func Parse(raw []byte) (*Document, error) {
	var form documentForm
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(&form); err != nil {
		return nil, &InvalidError{Reason: "can't be read: " + err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &InvalidError{Reason: "something follows the document"}
	}
	if form.Version == nil {
		return nil, &InvalidError{Key: "resource-version", Reason: "is missing"}
	}
	if form.Routes == nil || form.Services == nil {
		return nil, &InvalidError{Reason: "routes or services are missing"}
	}
	document := &Document{Version: *form.Version, Raw: append([]byte(nil), raw...), Limits: limitsOf(form.Limits)}
	if err := document.takeServices(*form.Services); err != nil {
		return nil, err
	}
	if err := document.takeRoutes(*form.Routes); err != nil {
		return nil, err
	}
	return document, nil
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

func limitsOf(form limitsForm) Limits {
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

func (d *Document) takeServices(forms []serviceForm) error {
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

func (d *Document) takeRoutes(forms []routeForm) error {
	type place struct{ host, prefix string }
	places := make(map[place]string, len(forms))
	d.Routes = make([]Route, 0, len(forms))
	for i, form := range forms {
		key := fmt.Sprintf("routes[%d]", i)
		if err := d.checkRoute(key, &form); err != nil {
			return err
		}
		host := strings.ToLower(form.Host)
		at := place{host, form.PathPrefix}
		if other, taken := places[at]; taken {
			return &InvalidError{Key: key, Reason: "has the host and prefix of route " + other}
		}
		places[at] = form.Name
		d.Routes = append(d.Routes, routeOf(&form, host))
	}
	return nil
}

func (d *Document) checkRoute(key string, form *routeForm) error {
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

func routeOf(form *routeForm, host string) Route {
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
