//go:build review

package main

import (
	"crypto/rand"
	mathrand "math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Sizes of the case.
const (
	backlogEdges    = 3
	backlogMessages = 6000
	backlogBody     = 30000 // bytes; the configuration allows 262144
	backlogRate     = 200   // messages per second
	backlogMinDelay = 50 * time.Second
	backlogMaxDelay = 58 * time.Second
	backlogSenders  = 48
	backlogSendTime = 48 * time.Second // longer sending leaves no time for the rest: the case cannot run
	backlogEnd      = 88 * time.Second // after the start: no message is older than its retention of 90 s
	backlogOverdue  = 10 * time.Second
)

// delayedMessage is an accepted message.
type delayedMessage struct {
	id  string
	due time.Time
}

// sendDelayed sends the messages of one client to one carrier and returns the accepted ones.
func sendDelayed(s *system, to *process) []delayedMessage {
	var accepted []delayedMessage
	var mutex sync.Mutex
	var senders sync.WaitGroup
	work := make(chan struct{})
	for range backlogSenders {
		senders.Go(func() {
			body := make([]byte, backlogBody)
			rand.Read(body)
			for range work {
				for range 5 {
					delay := backlogMinDelay + time.Duration(mathrand.Int64N(int64(backlogMaxDelay-backlogMinDelay)))
					id, at := newID(), time.Now()
					status := submit(to.front(), id, body, map[string]string{"X-Delay-Ms": strconv.Itoa(int(delay.Milliseconds()))})
					s.record.add("message %s of %d bytes with a delay of %s sent to %s: answer %d", id, len(body), delay.Round(time.Millisecond), to.name, status)
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
	ticker := time.NewTicker(time.Second / backlogRate)
	for n := 0; n < backlogMessages && time.Since(s.record.began) < backlogSendTime; n++ {
		<-ticker.C
		work <- struct{}{}
	}
	close(work)
	senders.Wait()
	return accepted
}

func init() { cases["backlog"] = backlog }

// backlog: one carrier accepts messages with a delay, then its process is stopped with SIGTERM once and starts again. The messages
// have to run when their delays are over.
func backlog(record *record, trouble bool) int {
	w := newWorld(record)
	for i := range 6 {
		w.addWorker("archive", "zone-"+string(rune('a'+i%3)), 8, 50*time.Millisecond)
	}
	s := newSystem(record, backlogEdges, w.platform())
	defer s.stopAll()
	s.startAll()
	if !s.configure(0, 5, configuration(5, false)) || !s.awaitReady(s.edges, 20*time.Second) {
		record.say("the system did not come up")
		return 2
	}
	accepted := sendDelayed(s, s.edges[0])
	record.say("%d messages accepted; edge-1 has used up to %d MB", len(accepted), s.edges[0].peakMB)
	if len(accepted) < backlogMessages*9/10 || time.Since(record.began) > backlogSendTime {
		record.say("the messages could not be sent in time")
		return 2
	}
	time.Sleep(time.Second)
	if trouble {
		s.edges[0].signal(syscall.SIGTERM)
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
	end := record.began.Add(backlogEnd)
	for time.Now().Before(end) && len(notRun(end)) > 0 {
		time.Sleep(time.Second)
	}
	lost := notRun(time.Now().Add(-backlogOverdue))
	lastRun := w.lastRun()
	ends, peak := 0, 0
	for _, p := range s.processes() {
		p.mutex.Lock()
		own := p.overMemory + p.ownExits
		if ends += own; own > 0 {
			record.say("%s %s ended by itself %d times over its memory and %d times otherwise", p.name, p.role, p.overMemory, p.ownExits)
		}
		if p.role == "carrier" {
			peak = max(peak, p.peakMB)
		}
		p.mutex.Unlock()
	}
	states := map[string]int{}
	record.say("the check ends: %d messages are due for over %s and have not been at a worker", len(lost), backlogOverdue)
	for i, m := range lost {
		if i < 20 {
			answer := state(s.edges, m.id, 12)
			states[answer]++
			record.add("message %s is %q, %.1f s after its delay was over; no worker has had it", m.id, answer, time.Since(m.due).Seconds())
			continue
		}
		record.add("message %s has not been at a worker, %.1f s after its delay was over", m.id, time.Since(m.due).Seconds())
	}
	record.say("of %d accepted messages, %d have been due for over %s and never reached a worker; states of the first 20: %v", len(accepted), len(lost), backlogOverdue, states)
	if !lastRun.IsZero() {
		record.say("the last run of any message began %.1f s ago", time.Since(lastRun).Seconds())
	}
	record.say("%d processes ended by themselves; a carrier used at most %d MB of %d MB", ends, peak, memoryMB)
	if len(lost) > 0 || ends > 0 {
		return 1
	}
	return 0
}
