// Package catalog reads the platform's list of workers and tells what changed between two readings.
package catalog

import (
	"encoding/json"
	"fmt"
	"time"
)

// Instance is one start of a worker, as the platform lists it.
type Instance struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Service  string
	Address  string
	Zone     string
	Version  string
	Capacity int
	Draining bool
	// Cold is the time that it stays slow, as told when it was first seen.
	Cold time.Duration
}

// Page is one answer of the platform.
type Page struct {
	Instances []Instance
	Next      string // token of the following page, empty on the last
}

// UnreadableError tells of an answer that is no page.
type UnreadableError struct{ Reason string }

func (e *UnreadableError) Error() string { return "instance list can't be read: " + e.Reason }

type instanceForm struct {
	ID       string  `json:"id"`
	Backend  string  `json:"backend"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"resource-version"`
	Capacity int     `json:"capacity"`
	Phase    string  `json:"phase"`
	Cold     float64 `json:"cold-remaining-ms"`
}

type pageForm struct {
	Instances *[]instanceForm `json:"instances"`
	Next      *string         `json:"next-page-token"`
}

// The phases of an instance.
const (
	phaseReady    = "ready"
	phaseDraining = "draining"
)

// ParsePage reads one answer of the platform.
func ParsePage(body []byte) (Page, error) {
	var form pageForm
	if err := json.Unmarshal(body, &form); err != nil {
		return Page{}, &UnreadableError{Reason: err.Error()}
	}
	if form.Instances == nil {
		return Page{}, &UnreadableError{Reason: "instances are missing"}
	}
	page := Page{}
	if form.Next != nil {
		page.Next = *form.Next
	}
	for i, entry := range *form.Instances {
		if entry.ID == "" || entry.Backend == "" || entry.Address == "" {
			return Page{}, &UnreadableError{Reason: fmt.Sprintf("instances[%d] has no id, backend or address", i)}
		}
		if entry.Phase != phaseReady && entry.Phase != phaseDraining {
			return Page{}, &UnreadableError{Reason: fmt.Sprintf("instances[%d] has phase %q", i, entry.Phase)}
		}
		page.Instances = append(page.Instances, Instance{ID: entry.ID, Service: entry.Backend, Address: entry.Address,
			Zone: entry.Zone, Version: entry.Version, Capacity: entry.Capacity, Draining: entry.Phase == phaseDraining,
			Cold: time.Duration(entry.Cold * float64(time.Millisecond))})
	}
	return page, nil
}

// Reading gathers the pages of one reading of the list.
type Reading struct{ instances map[string]Instance }

// MaxPages bounds the pages of one reading.
const MaxPages = 1000

// NewReading starts a reading.
func NewReading() *Reading { return &Reading{instances: map[string]Instance{}} }

// Add takes a page.
func (r *Reading) Add(page Page) {
	for _, instance := range page.Instances {
		if old, known := r.instances[instance.ID]; known {
			// Listed twice while the list moved under the reading: draining is never taken back.
			instance.Draining = instance.Draining || old.Draining
		}
		r.instances[instance.ID] = instance
	}
}

// Instances gives what was read, by id.
func (r *Reading) Instances() map[string]Instance { return r.instances }

// Merge gives the list that follows from a reading: a worker keeps the coldness with which it was first seen, and one
// that was draining stays so.
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
