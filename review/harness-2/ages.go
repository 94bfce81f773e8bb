//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of ages.
const (
	agesWaiting  = 3400 // messages with the site's greatest delay, sent first
	agesJudged   = 300  // messages that fall due at agesDue
	agesRate     = 300  // messages a second; the site has 380
	agesBody     = 600
	agesDelay    = 90 * time.Second
	agesDue      = 76 * time.Second // after the first message is sent
	agesOutage   = 3500 * time.Millisecond
	agesCatchUp  = 4600 * time.Millisecond // catch-up-s is 4.5
	agesRounds   = 3
	agesPast     = 7500 * time.Millisecond // from agesDue to the check
	agesAskedMax = 300
)

// ages: two storage machines lose power three times each, one at a time; then one carrier is stopped and started as
// planned. Delayed messages must run when their delay is over.
func ages(t *trial) (outcome, error) {
	if err := t.addWorkers(36); err != nil {
		return nil, err
	}
	if err := t.begin([]string{"hann"}, 3, 2, readings(1)); err != nil {
		return nil, err
	}
	began := time.Now()
	waiting, judged := &load{trial: t}, &load{trial: t}
	waiting.run(agesWaiting, time.Second/agesRate, func(i int) send {
		id := fmt.Sprintf("l%06d", i)
		return send{id: id, host: host, target: "/readings/" + id, body: content(id, agesBody), delay: agesDelay}
	})
	due := began.Add(agesDue)
	judged.run(agesJudged, time.Second/agesRate, func(i int) send {
		id := fmt.Sprintf("j%06d", i)
		return send{id: id, host: host, target: "/readings/" + id, body: content(id, agesBody), delay: time.Until(due)}
	})
	accepted := judged.accepted()
	waiting.accepted()
	t.record.event("messages with the greatest delay: %s", waiting.summary())
	t.record.event("messages that fall due at %s: %s", agesDue, judged.summary())
	if len(accepted) < agesJudged*9/10 {
		return nil, fmt.Errorf("only %d of %d messages were accepted", len(accepted), agesJudged)
	}
	if t.trouble {
		for range agesRounds {
			for _, m := range t.system.class("storage")[:2] {
				t.record.event("%s loses power", m.name)
				m.kill()
				time.Sleep(agesOutage)
				if err := m.restart(); err != nil {
					return nil, err
				}
				time.Sleep(agesCatchUp)
			}
		}
	}
	// The planned restart of one carrier comes with and without the losses of power.
	edges := t.system.class("edge")
	t.record.event("the carrier on %s gets SIGTERM", edges[1].name)
	edges[1].processes[0].end(syscall.SIGTERM)
	if err := edges[1].restart(); err != nil {
		return nil, err
	}
	t.record.event("it has been started again, %.1f s before the messages fall due", time.Until(due).Seconds())
	if time.Until(due) < 2*time.Second {
		return nil, fmt.Errorf("the steps before the messages fall due took too long")
	}
	time.Sleep(time.Until(due.Add(agesPast)))
	now := time.Now()
	t.fleet.mutex.Lock()
	quiet, running := now.Sub(t.fleet.lastDone), t.fleet.running
	var late []*sent
	for _, message := range accepted {
		if len(t.fleet.arrivals[message.id]) == 0 && t.fleet.begun[message.id] == 0 {
			late = append(late, message)
		}
	}
	t.fleet.mutex.Unlock()
	t.record.event("%s past their time: last success %s ago, %d runs under way, %d of %d messages never sent to a worker",
		agesPast, quiet.Round(time.Millisecond), running, len(late), len(accepted))
	var mutex sync.Mutex
	var asking sync.WaitGroup
	pending, asked := 0, min(len(late), agesAskedMax)
	for _, message := range late[:asked] {
		asking.Add(1)
		go func() {
			defer asking.Done()
			phase := t.system.phase(host, message.id, time.Second)
			mutex.Lock()
			defer mutex.Unlock()
			t.record.event("%s: %s", message.id, phase)
			if phase == "pending" {
				pending++
			}
		}()
	}
	asking.Wait()
	if pending == 0 || quiet < 3*time.Second || running > 0 {
		return nil, nil
	}
	return outcome{fmt.Sprintf("LOST: %d of %d accepted messages are pending %.1f s after their time has come, never sent to a worker, with all workers idle for %.1f s",
		pending, len(accepted), now.Sub(due).Seconds(), quiet.Seconds())}, nil
}
