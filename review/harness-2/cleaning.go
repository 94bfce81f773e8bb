//go:build review

package main

import (
	"fmt"
	"time"
)

// Figures of the case of cleaning.
const (
	cleaningMessages = 1200
	cleaningInterval = time.Second / 19 // a tenth of the 190 buoy readings a second, the delayed part
	cleaningBody     = 262_000          // max-body-bytes is 262144
	cleaningDelay    = 90 * time.Second // the site's greatest delay
	cleaningWatch    = 22 * time.Second
)

// cleaning: clients send messages that are delayed. The stores must hold them; nothing is stopped, cut or slowed.
func cleaning(t *trial) (outcome, error) {
	if err := t.addWorkers(36); err != nil {
		return nil, err
	}
	if err := t.begin([]string{"hann"}, 3, 2, readings(1)); err != nil {
		return nil, err
	}
	l := &load{trial: t}
	l.run(cleaningMessages, cleaningInterval, func(i int) send {
		id := fmt.Sprintf("c%06d", i)
		message := send{id: id, host: host, target: "/readings/" + id, body: content(id, cleaningBody)}
		if t.trouble {
			message.delay = cleaningDelay
		}
		return message
	})
	l.accepted()
	t.record.event("%s", l.summary())
	time.Sleep(cleaningWatch)
	machines, ended := 0, 0
	for _, m := range t.system.machines {
		for _, p := range m.processes {
			p.mutex.Lock()
			if p.memoryEnds >= 3 {
				machines++
				ended += p.memoryEnds
			}
			p.mutex.Unlock()
		}
	}
	if machines < 2 {
		return nil, nil
	}
	return outcome{fmt.Sprintf("Fault: on %d of %d machines a process ended by itself three times or more, over its memory limit (%d times in all)",
		machines, len(t.system.machines), ended)}, nil
}
