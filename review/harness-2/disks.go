//go:build review

package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// Figures of the case of two disks.
const (
	disksMessages = 560
	disksInterval = time.Second / 19 // a tenth of the 190 buoy readings a second, the delayed part
	disksBody     = 250_000
	disksDelay    = 88 * time.Second // the site's delays reach 90 s
	// secondLoss is from the return of the first machine to the loss of the second: a machine counts as lost for
	// catch-up-s (4.5) after its return.
	secondLoss = 5 * time.Second
	outageTime = 500 * time.Millisecond
	repairTime = 8 * time.Second
	readPeriod = 12 * time.Second
)

// twoDisks: a storage machine loses its disk and comes back; after catch-up-s another one does. Each is the one loss that
// must be borne at a time. All messages that were accepted and have not ended must be readable afterwards.
func twoDisks(t *trial) (outcome, error) {
	count := disksMessages
	if text := os.Getenv("MESSAGES"); text != "" {
		count, _ = strconv.Atoi(text)
	}
	if err := t.addWorkers(6); err != nil {
		return nil, err
	}
	if err := t.begin(threeZones, 3, 2, readings(1)); err != nil {
		return nil, err
	}
	l := &load{trial: t}
	l.run(count, disksInterval, func(i int) send {
		id := fmt.Sprintf("d%06d", i)
		return send{id: id, host: host, target: "/readings/" + id, body: content(id, disksBody), delay: disksDelay}
	})
	accepted := l.accepted()
	t.record.event("%s", l.summary())
	if len(accepted) < count*9/10 {
		return nil, fmt.Errorf("only %d of %d messages were accepted", len(accepted), count)
	}
	time.Sleep(time.Second)
	if t.trouble {
		storage := t.system.class("storage")
		for i, m := range []*machine{storage[0], storage[1]} {
			if i > 0 {
				time.Sleep(secondLoss)
			}
			t.record.event("%s loses its disk", m.name)
			m.kill()
			if err := t.system.wipe(m); err != nil {
				return nil, err
			}
			time.Sleep(outageTime)
			if err := m.restart(); err != nil {
				return nil, err
			}
			t.record.event("%s is back at its address with an empty disk", m.name)
		}
	}
	time.Sleep(repairTime)
	return t.readBack(accepted, readPeriod), nil
}

// readBack asks for the bodies of messages, again and again at all edge machines, until they came or the time is over.
func (t *trial) readBack(messages []*sent, period time.Duration) outcome {
	until := time.Now().Add(period)
	edges := t.system.class("edge")
	var mutex sync.Mutex
	var asking sync.WaitGroup
	var broken outcome
	answers := map[string]int{}
	queue := make(chan *sent, len(messages))
	for _, message := range messages {
		queue <- message
	}
	close(queue)
	for range 16 {
		asking.Add(1)
		go func() {
			defer asking.Done()
			for message := range queue {
				t.readOne(message, edges, until, func(result string) {
					mutex.Lock()
					defer mutex.Unlock()
					answers[result]++
					if result != "came back" {
						t.record.event("body of %s: %s", message.id, result)
					}
				})
			}
		}()
	}
	asking.Wait()
	t.record.event("bodies asked for: %v", answers)
	for result, count := range answers {
		if result != "came back" {
			broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted messages that have not ended: body does not come back (%s)", count, len(messages), result))
		}
	}
	return broken
}

// readOne asks for one body until it came or the time is over; each message is asked for at least six times.
func (t *trial) readOne(message *sent, edges []*machine, until time.Time, done func(result string)) {
	result := ""
	for turn := 0; turn < 6 || time.Now().Before(until) && turn < 40; turn++ {
		status, body := t.system.ask(edges[turn%len(edges)], message.host, "/-/message-body/"+message.id)
		if status == 200 && bytes.Equal(body, message.body) {
			done("came back")
			return
		}
		result = fmt.Sprintf("status %d", status)
		if status == 200 {
			result = "other bytes"
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.fleet.mutex.Lock()
	_, ran := t.fleet.done[message.id]
	t.fleet.mutex.Unlock()
	if ran {
		result = "came back" // it has ended meanwhile and is not owed
	}
	done(result)
}
