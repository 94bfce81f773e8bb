// Package catalog reads the platform's list of workers, which comes in pages. The platform is the operators' environment
// that starts processes and lists the workers; other packages call the list inventory or catalog.
//
// ParsePage decodes one page, a Reading gathers the pages of one pass over the list, and Merge combines its result with
// the list that was known before.
package catalog

import (
	"encoding/json"
	"fmt"
	"time"
)

// Instance is one running instance of a worker, as the platform lists it. A restarted worker is another instance.
type Instance struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Service  string // name of the service that it runs
	Address  string // host and port
	Zone     string
	Version  string
	Capacity int
	Draining bool
	// Cold is the remaining slow-start time that the platform reported when the instance was first listed.
	Cold time.Duration
}

// Page is one page of the platform's list.
type Page struct {
	Instances []Instance
	Next      string // token of the next page, empty on the last
}

// MalformedPageError is the error for a malformed page.
type MalformedPageError struct{ Reason string }

func (e *MalformedPageError) Error() string { return "malformed list of workers: " + e.Reason }

type instanceJSON struct {
	ID       string  `json:"id"`
	Backend  string  `json:"backend"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"resource-version"`
	Capacity int     `json:"capacity"`
	Phase    string  `json:"phase"`
	Cold     float64 `json:"cold-remaining-ms"`
}

type pageJSON struct {
	Instances *[]instanceJSON `json:"instances"`
	Next      *string         `json:"next-page-token"`
}

// Values of the field "phase".
const (
	phaseReady    = "ready"
	phaseDraining = "draining"
)

// ParsePage decodes and validates one page, in JSON. Its errors are of type *MalformedPageError.
func ParsePage(body []byte) (Page, error) {
	var parsed pageJSON
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Page{}, &MalformedPageError{Reason: err.Error()}
	}
	if parsed.Instances == nil {
		return Page{}, &MalformedPageError{Reason: "instances are missing"}
	}
	page := Page{}
	if parsed.Next != nil {
		page.Next = *parsed.Next
	}
	for i, entry := range *parsed.Instances {
		if entry.ID == "" || entry.Backend == "" || entry.Address == "" {
			return Page{}, &MalformedPageError{Reason: fmt.Sprintf("instances[%d] has no id, backend or address", i)}
		}
		if entry.Phase != phaseReady && entry.Phase != phaseDraining {
			return Page{}, &MalformedPageError{Reason: fmt.Sprintf("instances[%d] has unknown phase %q", i, entry.Phase)}
		}
		page.Instances = append(page.Instances, Instance{ID: entry.ID, Service: entry.Backend, Address: entry.Address,
			Zone: entry.Zone, Version: entry.Version, Capacity: entry.Capacity, Draining: entry.Phase == phaseDraining,
			Cold: time.Duration(entry.Cold * float64(time.Millisecond))})
	}
	return page, nil
}

// Reading gathers the pages of one pass over the list.
type Reading struct{ instances map[string]Instance }

// MaxPages bounds the pages of one pass over the list.
const MaxPages = 1000

// NewReading returns a Reading without pages.
func NewReading() *Reading { return &Reading{instances: map[string]Instance{}} }

// Add adds the instances of a page.
func (r *Reading) Add(page Page) {
	for _, instance := range page.Instances {
		if old, known := r.instances[instance.ID]; known {
			// The list changed between two pages, so that the instance is on both. Draining is never undone.
			instance.Draining = instance.Draining || old.Draining
		}
		r.instances[instance.ID] = instance
	}
}

// Instances returns the instances of the pages added so far, by ID.
func (r *Reading) Instances() map[string]Instance { return r.instances }

// Merge returns the instances of a new reading. An instance that was known before keeps the slow-start time with which
// it was first listed, and one that was draining stays draining.
func Merge(before, reading map[string]Instance) map[string]Instance {
	after := make(map[string]Instance, len(reading))
	for id, instance := range reading {
		if old, known := before[id]; known {
			instance.Cold = old.Cold
			instance.Draining = instance.Draining || old.Draining
		}
		after[id] = instance
	}
	return after
}
