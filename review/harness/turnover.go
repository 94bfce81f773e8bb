//go:build review

package main

import (
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Sizes of the case.
const (
	turnoverEdges    = 3
	turnoverMessages = 8000
	turnoverBody     = 30000 // bytes; the configuration allows 262144
	turnoverRate     = 300   // messages per second
	turnoverMinDelay = 52 * time.Second
	turnoverMaxDelay = 58 * time.Second
	turnoverSenders  = 64
	turnoverSendTime = 45 * time.Second        // longer sending leaves no time for the rest: the case cannot run
	turnoverDown     = 2 * time.Second         // a machine that loses its disk is down for so long
	turnoverCatchUp  = 5500 * time.Millisecond // catch-up-s is 4.5 s; one second more is left
	turnoverOverdue  = 5 * time.Second
	turnoverEnd      = 88 * time.Second // after the start: no message is older than its retention of 90 s
)

// loseDisk ends the processes of a storage machine, removes its disk's content and starts them again after a time.
func (s *system) loseDisk(machine int, down time.Duration) {
	roles := []*process{s.keepers[machine], s.stores[machine]}
	s.record.say("%s loses its disk", roles[0].name)
	for _, p := range roles {
		p.mutex.Lock()
		p.held = true
		p.mutex.Unlock()
		p.signal(syscall.SIGKILL)
	}
	for _, p := range roles {
		<-p.down
		if err := os.RemoveAll(filepath.Join(s.folder, p.name, p.role)); err != nil {
			cannotRun(err)
		}
	}
	time.Sleep(down)
	for _, p := range roles {
		p.mutex.Lock()
		p.held = false
		p.mutex.Unlock()
		p.start(false)
	}
	s.record.say("%s is back with an empty disk", roles[0].name)
}

func init() { cases["turnover"] = turnover }

// turnover: the storage machines hold messages with a delay. One machine loses its disk and returns with an empty one.
// After it has had its time to catch up, another one does.
func turnover(record *record, trouble bool) int {
	w := newWorld(record)
	for i := range 6 {
		w.addWorker("archive", "zone-"+string(rune('a'+i%3)), 8, 50*time.Millisecond)
	}
	s := newSystem(record, turnoverEdges, w.platform())
	defer s.stopAll()
	s.startAll()
	if !s.configure(0, 5, configuration(5, false)) || !s.awaitReady(s.edges, 20*time.Second) {
		record.say("the system did not come up")
		return 2
	}
	var accepted []delayedMessage
	var mutex sync.Mutex
	var senders sync.WaitGroup
	work := make(chan int)
	for range turnoverSenders {
		senders.Go(func() {
			body := make([]byte, turnoverBody)
			rand.Read(body)
			for n := range work {
				for range 5 {
					delay := turnoverMinDelay + time.Duration(mathrand.Int64N(int64(turnoverMaxDelay-turnoverMinDelay)))
					id, at, to := newID(), time.Now(), s.edges[n%len(s.edges)]
					status := submit(to.front(), id, body, map[string]string{"X-Delay-Ms": strconv.Itoa(int(delay.Milliseconds()))})
					record.add("message %s of %d bytes with a delay of %s sent to %s: answer %d", id, len(body), delay.Round(time.Millisecond), to.name, status)
					if status == 202 {
						mutex.Lock()
						accepted = append(accepted, delayedMessage{id, at.Add(delay)})
						mutex.Unlock()
						break
					}
					time.Sleep(time.Second)
				}
			}
		})
	}
	ticker := time.NewTicker(time.Second / turnoverRate)
	for n := 0; n < turnoverMessages && time.Since(record.began) < turnoverSendTime; n++ {
		<-ticker.C
		work <- n
	}
	close(work)
	senders.Wait()
	record.say("%d messages accepted", len(accepted))
	if len(accepted) < turnoverMessages*9/10 || time.Since(record.began) > turnoverSendTime {
		record.say("the messages could not be sent in time")
		return 2
	}
	time.Sleep(time.Second)
	if trouble {
		s.loseDisk(0, turnoverDown)
		time.Sleep(turnoverCatchUp)
		s.loseDisk(1, turnoverDown)
	}
	notRun := func(dueBefore time.Time) (waiting []delayedMessage) {
		for _, m := range accepted {
			if m.due.Before(dueBefore) && w.runCount(m.id) == 0 {
				waiting = append(waiting, m)
			}
		}
		return waiting
	}
	defer s.reportMemory()
	end := record.began.Add(turnoverEnd)
	for time.Now().Before(end) && len(notRun(end)) > 0 {
		time.Sleep(time.Second)
	}
	lost := notRun(time.Now().Add(-turnoverOverdue))
	record.say("the check ends: %d messages are due for over %s and have not been at a worker", len(lost), turnoverOverdue)
	answers := map[string]int{}
	for i, m := range lost {
		if i >= 200 || time.Since(record.began) > turnoverEnd+5*time.Second {
			record.add("message %s has not run, %.1f s after its delay was over", m.id, time.Since(m.due).Seconds())
			continue
		}
		phase := state(s.edges, m.id, 3)
		status, length := bodyStatus(s.edges, m.id, 3)
		answers[fmt.Sprintf("state %q, body %d", phase, status)]++
		record.add("message %s has not run, %.1f s after its delay was over; its state is %q, its body is answered with %d and %d bytes", m.id,
			time.Since(m.due).Seconds(), phase, status, length)
	}
	probes, taken := 40, 0
	for n := range probes {
		id, to := newID(), s.edges[n%len(s.edges)]
		status := submit(to.front(), id, []byte("late"), nil)
		record.add("message %s sent to %s at the end: answer %d", id, to.name, status)
		if status == 202 {
			taken++
		}
		time.Sleep(20 * time.Millisecond)
	}
	record.say("%d of %d messages that were sent at the end were accepted", taken, probes)
	record.say("of %d accepted messages, %d never reached a worker; answers about the first of them: %v", len(accepted), len(lost), answers)
	for _, p := range s.processes() {
		if p.overMemory+p.ownExits > 0 {
			record.say("%s %s ended by itself %d times over its memory and %d times otherwise", p.name, p.role, p.overMemory, p.ownExits)
		}
	}
	if len(lost) > 0 {
		return 1
	}
	return 0
}
