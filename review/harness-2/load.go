//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// route and service are entries of a configuration, with the keys of the operator's API.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path-prefix"`
	Kind        string  `json:"kind"`
	Timeout     int     `json:"timeout-ms"`
	TargetAck   int     `json:"target-latency-ms"`
	Priority    int     `json:"priority"`
	Backend     string  `json:"backend"`
	Retries     int     `json:"retries"`
	Ordered     bool    `json:"ordered"`
	Retention   float64 `json:"retention-s"`
	Callback    bool    `json:"callback-url"`
	TargetStart int     `json:"target-start-ms"`
}

type service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health-path"`
	MaxConnections int     `json:"max-connections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	Rate           float64 `json:"rate-per-s"`
	Idempotent     bool    `json:"idempotent"`
	Pull           bool    `json:"pull"`
	Static         *string `json:"static"`
}

// configuration returns a document of the operator; its limits are those of the pages' example.
func configuration(version int, routes []route, services []service) []byte {
	raw, err := json.Marshal(map[string]any{"resource-version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
	if err != nil {
		panic(err)
	}
	return raw
}

const (
	maxBodyBytes = 262144 // of the pages' configuration
	host         = "boye61.example"
)

// readings is the route of the buoy readings and its service, with the figures of the site rbcs-bouees.
func readings(version int) []byte {
	return configuration(version, []route{{Name: "r-readings", Host: host, Prefix: "/readings/", Kind: "async", Timeout: 2500, TargetAck: 120,
		Priority: 2, Backend: "houle", Retries: 4, Retention: 90, TargetStart: 1000}},
		[]service{{Name: "houle", HealthPath: "/healthz", MaxConnections: 96, Protocol: "h1"}})
}

// addWorkers adds workers of the service of readings.
func (t *trial) addWorkers(count int) error {
	for i := range count {
		if _, err := t.fleet.add("houle", fmt.Sprintf("i-houle-%d", i+1), []string{"hann", "yoff", "rufisque"}[i%3], 6, 100*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// sent is a message with its answer.
type sent struct {
	send
	at     time.Time
	edge   *machine
	status int
	answer time.Time
}

// load sends messages at an even pace, each from a client of its own; clients are spread over the edge machines.
type load struct {
	trial   *trial
	edgeOf  func(i int) int // number of the edge machine that a message's client reaches; nil: each in turn
	mutex   sync.Mutex
	sent    []*sent
	pending sync.WaitGroup
}

// run sends count messages, one each interval; make returns the message with a number.
func (l *load) run(count int, interval time.Duration, make func(i int) send) {
	edges := l.trial.system.class("edge")
	began := time.Now()
	for i := range count {
		time.Sleep(time.Until(began.Add(time.Duration(i) * interval)))
		edge := i % len(edges)
		if l.edgeOf != nil {
			edge = l.edgeOf(i)
		}
		message := &sent{send: make(i), at: time.Now(), edge: edges[edge]}
		l.mutex.Lock()
		l.sent = append(l.sent, message)
		l.mutex.Unlock()
		l.pending.Add(1)
		go func() {
			defer l.pending.Done()
			status := l.trial.system.post(context.Background(), message.edge, message.send)
			l.mutex.Lock()
			message.status, message.answer = status, time.Now()
			l.mutex.Unlock()
			l.trial.record.event("sent %s to %s, body %d bytes, delay %s: answer %d", message.id, message.edge.name, len(message.body), message.delay, status)
		}()
	}
}

// accepted waits for all answers and returns the messages that were answered 202.
func (l *load) accepted() []*sent {
	l.pending.Wait()
	var found []*sent
	for _, message := range l.sent {
		if message.status == 202 {
			found = append(found, message)
		}
	}
	return found
}

func (l *load) summary() string {
	counts := map[int]int{}
	bytes := 0
	for _, message := range l.sent {
		counts[message.status]++
		if message.status == 202 {
			bytes += len(message.body)
		}
	}
	return fmt.Sprintf("%d messages sent, answers by status %v, %d MB accepted", len(l.sent), counts, bytes>>20)
}
