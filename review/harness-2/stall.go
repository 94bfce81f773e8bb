//go:build review

package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the case of the stall.
const (
	stallReadings  = 190 // buoy readings a second
	stallWarnings  = 95  // swell warnings a second
	stallSeconds   = 72
	stallCrash     = 3 * time.Second  // from the start of the traffic
	stallListLag   = 3 * time.Second  // a crashed worker remains on the list for some seconds
	stallCalm      = 10 * time.Second // the first readings reach their retention of 90 s after that
	stallSettled   = 6 * time.Second  // from the crash to the first message that is judged
	stallAskedMost = 300
)

// coast is a configuration with the readings and the ordered warnings, each with a service of its own.
func coast(version int) []byte {
	return configuration(version, []route{
		{Name: "r-readings", Host: host, Prefix: "/readings/", Kind: "async", Timeout: 2500, TargetAck: 120, Priority: 2,
			Backend: "houle", Retries: 4, Retention: 90, TargetStart: 1000},
		{Name: "r-warnings", Host: host, Prefix: "/warnings/", Kind: "async", Timeout: 800, TargetAck: 120, Priority: 1,
			Backend: "alerte", Retries: 4, Ordered: true, Retention: 90, TargetStart: 1000}},
		[]service{{Name: "houle", HealthPath: "/healthz", MaxConnections: 96, Protocol: "h1"},
			{Name: "alerte", HealthPath: "/healthz", MaxConnections: 96, Protocol: "h1", Idempotent: true}})
}

// readingSize draws the size of a buoy reading as the site does: a mean of 5,000 bytes, a spread of 0.9, at most 30,000.
func readingSize(r *rand.Rand) int {
	const mean, spread, most = 5000.0, 0.9, 30000.0
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return int(min(most, mean*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)))
}

// stall: all workers of one service are lost for good. The messages of the other service must run.
func stall(t *trial) (outcome, error) {
	if err := t.addWorkers(36); err != nil {
		return nil, err
	}
	for i := range 4 {
		if _, err := t.fleet.add("alerte", fmt.Sprintf("i-alerte-%d", i+1), threeZones[i%3], 2, 40*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := t.begin(threeZones, 3, 2, coast(1)); err != nil {
		return nil, err
	}
	began := time.Now()
	// Four fifths of the clients reach the first machine ("chosen by a hash of the client; shares are therefore uneven").
	uneven := func(i int) int {
		if i%5 < 4 {
			return 0
		}
		return 1
	}
	readings, warnings := &load{trial: t, edgeOf: uneven}, &load{trial: t, edgeOf: uneven}
	sizes := rand.New(rand.NewPCG(4, 4))
	var sending sync.WaitGroup
	sending.Add(2)
	go func() {
		defer sending.Done()
		readings.run(stallSeconds*stallReadings, time.Second/stallReadings, func(i int) send {
			id := fmt.Sprintf("r%06d", i)
			return send{id: id, host: host, target: "/readings/" + id, body: content(id, readingSize(sizes))}
		})
	}()
	go func() {
		defer sending.Done()
		warnings.run(stallSeconds*stallWarnings, time.Second/stallWarnings, func(i int) send {
			id := fmt.Sprintf("w%06d", i)
			return send{id: id, host: host, target: "/warnings/" + id, key: fmt.Sprintf("coast-%d", i%380), body: content(id, 600)}
		})
	}()
	crash := began.Add(stallCrash)
	if t.trouble {
		time.Sleep(time.Until(crash))
		t.record.event("all workers of houle are lost for good")
		t.fleet.crash("houle")
		time.Sleep(stallListLag)
		t.fleet.unlist("houle")
		t.record.event("they are gone from the list")
	}
	sending.Wait()
	accepted := warnings.accepted()
	readings.accepted()
	t.record.event("readings: %s", readings.summary())
	t.record.event("warnings: %s", warnings.summary())
	time.Sleep(stallCalm)
	now := time.Now()
	t.fleet.mutex.Lock()
	quiet, running := now.Sub(t.fleet.lastDone), t.fleet.running
	var waiting []*sent
	for _, message := range accepted {
		judged := message.at.After(crash.Add(stallSettled)) && now.Sub(message.answer) > 6*time.Second
		if judged && len(t.fleet.arrivals[message.id]) == 0 && t.fleet.begun[message.id] == 0 {
			waiting = append(waiting, message)
		}
	}
	t.fleet.mutex.Unlock()
	t.record.event("%s after the last answer: last success %s ago, %d runs under way, %d of %d accepted warnings never sent to a worker",
		stallCalm, quiet.Round(time.Millisecond), running, len(waiting), len(accepted))
	pending, asked := 0, min(len(waiting), stallAskedMost)
	for _, message := range waiting[:asked] {
		phase := t.system.phase(host, message.id, 2*time.Second)
		t.record.event("%s, accepted %.1f s ago without a delay: %s", message.id, now.Sub(message.answer).Seconds(), phase)
		if phase == "pending" {
			pending++
		}
	}
	if pending == 0 || quiet < 3*time.Second || running > 0 {
		return nil, nil
	}
	return outcome{fmt.Sprintf("LOST: %d of %d accepted warnings were never sent to a worker, %d of %d asked for are pending, with all workers of their service idle",
		len(waiting), len(accepted), pending, asked)}, nil
}
