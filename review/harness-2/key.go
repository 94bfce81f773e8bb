//go:build review

package main

import (
	"fmt"
	"time"
)

// Figures of the case of the ordering key.
const (
	keyRate    = 95 // swell warnings a second
	keyBefore  = 4 * time.Second
	keyAfter   = 2 * time.Second // within config-apply-ms of the acknowledgement, in which either version may be in force
	keySettles = 6 * time.Second
)

// warnings is a configuration with the ordered route of the swell warnings, beside an unordered route of the same host
// with a shorter prefix. Without the ordered route, the shorter prefix takes its messages.
func warnings(version int, withOrdered bool) []byte {
	routes := []route{{Name: "r-coast", Host: host, Prefix: "/coast/", Kind: "async", Timeout: 2500, TargetAck: 120, Priority: 2,
		Backend: "houle", Retries: 4, Retention: 90, TargetStart: 1000}}
	if withOrdered {
		routes = append(routes, route{Name: "r-warnings", Host: host, Prefix: "/coast/warnings/", Kind: "async", Timeout: 800, TargetAck: 120,
			Priority: 1, Backend: "houle", Retries: 4, Ordered: true, Retention: 90, TargetStart: 1000})
	}
	return configuration(version, routes, []service{{Name: "houle", HealthPath: "/healthz", MaxConnections: 96, Protocol: "h1"}})
}

// orderingKey: the operator removes an ordered route while its clients send. Every run must have the sender's key.
func orderingKey(t *trial) (outcome, error) {
	if err := t.addWorkers(6); err != nil {
		return nil, err
	}
	if err := t.begin(threeZones, 3, 2, warnings(1, true)); err != nil {
		return nil, err
	}
	l := &load{trial: t}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		l.run(int((keyBefore+keyAfter).Seconds()*keyRate), time.Second/keyRate, func(i int) send {
			id := fmt.Sprintf("k%06d", i)
			return send{id: id, host: host, target: "/coast/warnings/" + id, key: fmt.Sprintf("coast-%d", i%40), body: content(id, 600)}
		})
	}()
	time.Sleep(keyBefore)
	if t.trouble {
		if err := t.system.operate(warnings(2, false), 1, 5*time.Second); err != nil {
			return nil, err
		}
	}
	<-finished
	accepted := l.accepted()
	t.record.event("%s", l.summary())
	time.Sleep(keySettles)
	t.fleet.mutex.Lock()
	defer t.fleet.mutex.Unlock()
	wrong, other := 0, 0
	for _, message := range l.sent {
		for _, seen := range t.fleet.arrivals[message.id] {
			if seen.key == message.key {
				continue
			}
			wrong++
			if wrong <= 20 {
				t.record.event("worker %s was sent %s with the ordering key %q (sent at all: %t); its sender's is %q", seen.worker, message.id, seen.key, seen.keySent, message.key)
			}
			if t.fleet.begun[message.id] == 0 {
				other++
			}
		}
	}
	t.record.event("%d of %d messages accepted; %d reached a worker with another key than the sender's, %d of them did not run", len(accepted), len(l.sent), wrong, other)
	if wrong-other == 0 {
		return nil, nil
	}
	return outcome{fmt.Sprintf("UNASKED: a worker ran %d messages whose ordering key is not the sender's", wrong-other)}, nil
}
