//go:build review

package main

import (
	"crypto/rand"
	"fmt"
	"sync"
	"time"
)

// Sizes of the case.
const (
	outageEdges   = 3
	outageBody    = 30000 // bytes; the configuration allows 262144
	outageRate    = 190   // messages per second
	outageSenders = 64
	outageFrom    = 5 * time.Second  // after the start: all workers end
	outageTraffic = 66 * time.Second // messages are sent until then
	outageUntil   = 68 * time.Second // new workers are there
	outageEnd     = 88 * time.Second // no message is older than its retention of 90 s
)

func init() { cases["outage"] = outage }

// outage: all workers of a service are lost while clients send on, and new ones come later.
func outage(record *record, trouble bool) int {
	w := newWorld(record)
	addWorkers := func() {
		for i := range 12 {
			w.addWorker("archive", "zone-"+string(rune('a'+i%3)), 12, 100*time.Millisecond)
		}
	}
	addWorkers()
	s := newSystem(record, outageEdges, w.platform())
	defer s.stopAll()
	s.startAll()
	if !s.configure(0, 5, configuration(5, false)) || !s.awaitReady(s.edges, 20*time.Second) {
		record.say("the system did not come up")
		return 2
	}
	go func() {
		if !trouble {
			return
		}
		time.Sleep(time.Until(record.began.Add(outageFrom)))
		record.say("all workers of the service are lost")
		w.endWorkers()
		time.Sleep(time.Until(record.began.Add(outageUntil)))
		addWorkers()
		record.say("new workers are there and on the list")
	}()
	var accepted []delayedMessage
	answers := map[int]int{}
	var mutex sync.Mutex
	var senders sync.WaitGroup
	work := make(chan int)
	for range outageSenders {
		senders.Go(func() {
			body := make([]byte, outageBody)
			rand.Read(body)
			for n := range work {
				id, at, to := newID(), time.Now(), s.edges[n%len(s.edges)]
				status := submit(to.front(), id, body, nil)
				record.add("message %s of %d bytes sent to %s: answer %d", id, len(body), to.name, status)
				mutex.Lock()
				answers[status]++
				if status == 202 {
					accepted = append(accepted, delayedMessage{id, at})
				}
				mutex.Unlock()
			}
		})
	}
	ticker := time.NewTicker(time.Second / outageRate)
	for n := 0; time.Since(record.began) < outageTraffic; n++ {
		<-ticker.C
		select {
		case work <- n:
		default:
		}
	}
	close(work)
	senders.Wait()
	record.say("%d messages accepted; answers: %v", len(accepted), answers)
	defer s.reportMemory()
	end := record.began.Add(outageEnd)
	notRun := func() (waiting []delayedMessage) {
		for _, m := range accepted {
			if w.runCount(m.id) == 0 {
				waiting = append(waiting, m)
			}
		}
		return waiting
	}
	for time.Now().Before(end) && len(notRun()) > 0 {
		time.Sleep(time.Second)
	}
	lost := notRun()
	phases := map[string]int{}
	for i, m := range lost {
		if i >= 60 || time.Since(record.began) > outageEnd+5*time.Second {
			record.add("message %s has not run", m.id)
			continue
		}
		phase := state(s.edges, m.id, 3)
		status, length := bodyStatus(s.edges, m.id, 3)
		phases[fmt.Sprintf("state %q, body %d", phase, status)]++
		record.add("message %s has not run; its state is %q, its body is answered with %d and %d bytes", m.id, phase, status, length)
	}
	record.say("of %d accepted messages, %d have not been at a worker; answers about the first of them: %v", len(accepted), len(lost), phases)
	often, ends := 0, 0
	for _, p := range s.processes() {
		if own := p.overMemory + p.ownExits; own > 0 {
			record.say("%s %s ended by itself %d times over its memory and %d times otherwise", p.name, p.role, p.overMemory, p.ownExits)
			ends += own
			if own >= 3 && p.role == "store" {
				often++
			}
		}
	}
	record.say("%d processes ended by themselves; %d of 3 stores did so three times", ends, often)
	if often >= 2 {
		return 1
	}
	return 0
}
